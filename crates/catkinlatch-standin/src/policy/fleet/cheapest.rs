//! Lower bound on the cost of any schedule, computed with knowledge of the whole run.
//!
//! The schedule knows all demand and all losses in advance, boots targets before they are needed,
//! and moves targets between zones at no cost, so no real schedule costs less.

use super::{BOOT_TIME, TICK, load::Load, market::Market};
use catkinlatch_base::Ratio;
use catkinlatch_fleet::{
    placement::{Demand, Pool},
    spend::Money,
};

/// Cost of an infeasible schedule.
const INFEASIBLE: f64 = f64::INFINITY;

/// Constraints on the schedule in one tick.
struct Constraints {
    /// Minimum number of targets.
    needed: usize,
    /// Number of targets that must be left when a zone loses its spot targets.
    floor: usize,
    /// Number of zones that have spot targets.
    spot_zones: usize,
}

/// Minimum cost up to a tick, by the numbers of spot targets and of targets at full price.
struct Table {
    size: usize,
    costs: Vec<f64>,
}

/// Returns the cost of the cheapest schedule.
pub fn cost(pool: &Pool, load: &Load, market: &Market) -> Money {
    let [spot, full] = tick_prices(pool);
    let boot_ticks = BOOT_TIME.as_secs_f64() / TICK.as_secs_f64();
    let mut table = Table::new(pool.max_targets as usize + 1);
    for tick in 0..load.ticks.len() {
        table.allow_changes(1, spot * boot_ticks);
        table.allow_changes(table.size, full * boot_ticks);
        table.charge_tick(&constraints(pool, load, market, tick), spot, full);
    }
    Money::from_micros(table.costs.into_iter().fold(INFEASIBLE, f64::min) as u64)
}

impl Table {
    fn new(size: usize) -> Self {
        let mut costs = vec![INFEASIBLE; size * size];
        costs[0] = 0.0;
        Self { size, costs }
    }

    /// Allows targets of one kind to start at `cost` each and to stop at no cost.
    ///
    /// `step` is the distance in the table between counts of that kind: `1` for spot targets,
    /// `size` for targets at full price.
    fn allow_changes(&mut self, step: usize, cost: f64) {
        let other_step = if step == 1 { self.size } else { 1 };
        for offset in (0..self.size).map(|n| n * other_step) {
            for n in 1..self.size {
                let position = offset + n * step;
                self.costs[position] = self.costs[position].min(self.costs[position - step] + cost);
            }
            for n in (1..self.size).rev() {
                let position = offset + n * step;
                self.costs[position - step] = self.costs[position - step].min(self.costs[position]);
            }
        }
    }

    /// Adds the price of the targets for a tick, and marks the counts that violate its constraints
    /// as infeasible.
    fn charge_tick(&mut self, constraints: &Constraints, spot_price: f64, full_price: f64) {
        for full in 0..self.size {
            for spot in 0..self.size {
                let count = spot + full;
                let max_spot = constraints.spot_zones * count.saturating_sub(constraints.floor);
                let is_allowed = count >= constraints.needed && spot <= max_spot;
                let price = spot as f64 * spot_price + full as f64 * full_price;
                self.costs[full * self.size + spot] += if is_allowed { price } else { INFEASIBLE };
            }
        }
    }
}

fn constraints(pool: &Pool, load: &Load, market: &Market, tick: usize) -> Constraints {
    let work = load.ticks[tick];
    let live = Demand { live: work.live, rollout: 0.0, queued: 0.0, trainer_idle: Ratio::new(0.0) };
    let floor = live.floor(pool);
    let busy = (work.live + work.rollout).ceil() as u32;
    let needed = busy.max(pool.least_for_floor(floor, pool.zones())).min(pool.max_targets);
    let tick = u32::try_from(tick).unwrap_or(u32::MAX);
    let spot_zones = market.availability.keys().filter(|zone| market.has_spot(zone, tick)).count();
    Constraints { needed: needed as usize, floor: floor as usize, spot_zones }
}

/// Returns the lowest and the highest price of a target for one tick, in millionths.
fn tick_prices(pool: &Pool) -> [f64; 2] {
    let hourly = pool.offers.iter().map(|offer| offer.hourly.micros());
    let tick = |hourly: Option<u64>| hourly.unwrap_or(0) as f64 * TICK.as_secs_f64() / 3_600.0;
    [tick(hourly.clone().min()), tick(hourly.max())]
}
