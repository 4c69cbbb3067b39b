//! The leader's side of the exchange with entry hosts about load and targets.

use catkinlatch_base::Term;
use catkinlatch_runtime::message::{Guidance, Report};

/// Time until the next report while no part needs reports, in milliseconds.
const IDLE_INTERVAL_MS: u32 = 5_000;

/// Duration of the lease that guidance is, in milliseconds.
const LEASE_MS: u32 = 1_500;

/// Answers the report of an entry host in `term`.
pub fn answer(term: Term, _report: &Report) -> Guidance {
    Guidance {
        term,
        interval_ms: IDLE_INTERVAL_MS,
        lease_ms: LEASE_MS,
        places: Vec::new(),
        cold: Vec::new(),
        observations: Vec::new(),
    }
}
