//! The demand on a pool, derived from the last closed usage window.

use catkinlatch_base::Ratio;
use catkinlatch_fleet::placement::{Demand, Pool};
use catkinlatch_state::{State, window::Figure};

/// The fraction of busy targets above which work may be waiting that no window shows.
const SATURATION_THRESHOLD: f64 = 0.85;

/// The fraction of time for which trainers are assumed to wait while a pool is saturated.
const SATURATED_TRAINER_IDLE: Ratio = Ratio::new(0.5);

/// Returns the demand on a pool in the last closed usage window.
///
/// `slots` is the number of slots per target, `ready` the number of announced targets, and
/// `window_ms` the length of a usage window. Usage by a team that trains the model counts as
/// rollouts, all other usage as live. A saturated pool may have had more work than it could do, so
/// its rollouts are assumed to need half as much again.
pub fn demand(state: &State, pool: &Pool, slots: u32, ready: usize, window_ms: u64) -> Demand {
    let figures = state.windows().list().values().next_back().map(|window| &window.figures);
    let of_pool = |figure: &&Figure| figure.model.as_str() == pool.role;
    let trains = |figure: &Figure| {
        let trainers = state.config().trainers();
        trainers.values().any(|t| t.team == figure.team && t.model == figure.model)
    };
    let (mut live, mut rollout) = (0.0, 0.0);
    for figure in figures.into_iter().flatten().filter(of_pool) {
        let busy = figure.target_ms as f64 / window_ms.max(1) as f64 / f64::from(slots.max(1));
        if trains(figure) { rollout += busy } else { live += busy }
    }
    let is_saturated = ready > 0 && live + rollout > ready as f64 * SATURATION_THRESHOLD;
    let trainer_idle = if is_saturated { SATURATED_TRAINER_IDLE } else { Ratio::new(0.0) };
    Demand { live, rollout, queued: 0.0, trainer_idle }
}
