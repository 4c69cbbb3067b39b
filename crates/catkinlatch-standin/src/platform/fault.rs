//! Faults of the stand-in platform.

use std::time::Duration;

/// A fault that affects one order or report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call is executed at once, and answered after this delay.
    Late(Duration),
    /// The call is executed, but never answered.
    Lost,
    /// The call is neither executed nor answered.
    Ignored,
    /// The call is executed, and then answered with an internal error.
    Error,
}
