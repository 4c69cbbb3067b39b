//! The leader's side of the exchange with entry hosts about load and targets.

use crate::{allowance, host::Host, observation, places};
use catkinlatch_base::Term;
use catkinlatch_runtime::message::{Guidance, Report};
use std::time::Duration;

/// Time until the next report while no part needs reports, in milliseconds.
const IDLE_INTERVAL_MS: u32 = 5_000;

/// Time until the next report while a part needs reports, in milliseconds.
const ACTIVE_INTERVAL_MS: u32 = 500;

/// Duration of the lease that guidance is.
pub const LEASE: Duration = places::LEASE;

/// Answers the report of an entry host in `term`.
pub fn answer(host: &Host, term: Term, report: &Report) -> Guidance {
    let places = host.places.guide(host, term, report);
    let digest = observation::answer(host, report);
    let is_idle = places.is_empty() && digest.scopes.is_empty();
    let mut guidance = Guidance {
        term,
        interval_ms: if is_idle { IDLE_INTERVAL_MS } else { ACTIVE_INTERVAL_MS },
        lease_ms: LEASE.as_millis() as u32,
        places,
        allowances: Vec::new(),
        observations: digest.observations,
        cooldowns: digest.cooldowns,
        scopes: digest.scopes,
        refresh_ms: digest.refresh_ms,
    };
    allowance::guide(host, term, report, &mut guidance);
    guidance
}
