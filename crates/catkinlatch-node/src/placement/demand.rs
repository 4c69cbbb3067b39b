//! The work of a pool, as the closed usage windows of all nodes show it.

use catkinlatch_base::Ratio;
use catkinlatch_fleet::placement::{Demand, Pool};
use catkinlatch_state::{State, window::Figure};

/// From what share of busy targets on work may be waiting that no window shows.
const SATURATED: f64 = 0.85;

/// What a saturated pool is taken to lack, as the share of time that trainers wait.
const SATURATED_IDLE: Ratio = Ratio::new(0.5);

/// Returns the work in the last window that was closed.
///
/// Work of a team that trains the model counts as rollouts. A pool that was busy throughout may
/// have had more work than it could do, and is taken to need half as much again.
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
    let is_saturated = ready > 0 && live + rollout > ready as f64 * SATURATED;
    let trainer_idle = if is_saturated { SATURATED_IDLE } else { Ratio::new(0.0) };
    Demand { live, rollout, queued: 0.0, trainer_idle }
}
