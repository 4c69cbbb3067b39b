//! The leader's side of the exchange with entry hosts about load and targets.

use crate::{host::Host, observation};
use catkinlatch_base::Term;
use catkinlatch_runtime::message::{Guidance, Report};

/// Time until the next report while no part needs reports, in milliseconds.
const IDLE_INTERVAL_MS: u32 = 5_000;

/// Time until the next report while a part needs reports, in milliseconds.
const ACTIVE_INTERVAL_MS: u32 = 500;

/// Duration of the lease that guidance is, in milliseconds.
const LEASE_MS: u32 = 1_500;

/// Answers the report of an entry host in `term`.
pub fn answer(host: &Host, term: Term, report: &Report) -> Guidance {
    let digest = observation::answer(host, report);
    let is_idle = digest.scopes.is_empty();
    Guidance {
        term,
        interval_ms: if is_idle { IDLE_INTERVAL_MS } else { ACTIVE_INTERVAL_MS },
        lease_ms: LEASE_MS,
        places: Vec::new(),
        cold: Vec::new(),
        observations: digest.observations,
        cooldowns: digest.cooldowns,
        scopes: digest.scopes,
        refresh_ms: digest.refresh_ms,
    }
}
