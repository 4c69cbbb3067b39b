//! Bounds the share of the process's time that passes over all items and engines take.
//!
//! Designed for hundreds of runs that end every second, each of which would start a pass, and for
//! fleets in which one pass takes long: what happens during the pause after a pass shares the next
//! one.

use std::time::Duration;

/// How many times as long as a pass the pause after it is.
const PAUSE_PER_PASS: u32 = 4;

/// Maximum pause between two passes.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Returns how long to pause after a pass that took this long.
pub fn pause_after_pass(took: Duration) -> Duration {
    (took * PAUSE_PER_PASS).min(MAX_PAUSE)
}
