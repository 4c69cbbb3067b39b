//! What goes wrong with one order or report.

use std::time::Duration;

/// What goes wrong with one order or report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is carried out at once, and the answer comes late.
    Late(Duration),
    /// It is carried out, and no answer comes.
    Lost,
    /// It is not carried out, and no answer comes.
    Ignored,
    /// It is answered with an internal error after it was carried out.
    Error,
}
