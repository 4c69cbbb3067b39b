//! How long repeated attempts wait for a target that may be slow.

use std::time::Duration;

/// Number of late attempts that do not lengthen the timeout: another target may not be slow.
const USUAL_LATE: u32 = 1;

/// The most times that a timeout doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Returns the timeout of an attempt after `late` earlier ones were given up as late: if all targets
/// are slow, one of them must be waited for.
pub fn timeout(usual: Duration, late: u32) -> Duration {
    usual * (1 << late.saturating_sub(USUAL_LATE).min(MAX_DOUBLINGS))
}
