//! The leader's side of the exchange with entry hosts about load and targets.

use crate::{cold, host::Host};
use catkinlatch_base::Term;
use catkinlatch_runtime::message::{Guidance, Report};
use std::time::Duration;

/// Time until the next report while no part needs reports, in milliseconds.
const IDLE_INTERVAL_MS: u32 = 5_000;

/// Duration of the lease that guidance is.
pub const LEASE: Duration = Duration::from_millis(1_500);

/// Answers the report of an entry host in `term`.
pub fn answer(host: &Host, term: Term, report: &Report) -> Guidance {
    let mut guidance = Guidance {
        term,
        interval_ms: IDLE_INTERVAL_MS,
        lease_ms: LEASE.as_millis() as u32,
        places: Vec::new(),
        cold: Vec::new(),
        observations: Vec::new(),
    };
    cold::guide(host, term, report, &mut guidance);
    guidance
}
