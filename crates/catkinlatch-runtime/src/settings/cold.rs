//! Bounds on the requests that cold targets get.

use serde::Deserialize;

/// Bounds on the requests that a cold target gets in any span of one second.
///
/// It may get `excess` times the rate that its service tolerates, plus `slack` requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Factor on the rate that the service tolerates.
    pub excess: f64,
    /// Number of requests beyond that.
    pub slack: f64,
}
