//! The cheapest schedule, known afterwards.
//!
//! It knows all demand and all losses ahead, boots in advance, and moves targets between zones at
//! no cost, so no real schedule costs less.

use super::{BOOT, TICK, load::Load, market::Market};
use catkinlatch_base::Ratio;
use catkinlatch_fleet::{
    placement::{Demand, Pool},
    spend::Money,
};

/// A cost that no schedule has.
const NEVER: f64 = f64::INFINITY;

/// What one tick asks of the schedule.
struct Slot {
    needed: usize,
    floor: usize,
    /// How many zones have cheap targets.
    up: usize,
}

/// The least cost up to a tick, by the number of cheap targets and of those at full price.
struct Table {
    size: usize,
    costs: Vec<f64>,
}

/// Returns the cost of the cheapest schedule.
pub fn cost(pool: &Pool, load: &Load, market: &Market) -> Money {
    let [cheap, full] = tick_prices(pool);
    let boot_ticks = BOOT.as_secs_f64() / TICK.as_secs_f64();
    let mut table = Table::new(pool.max_targets as usize + 1);
    for tick in 0..load.ticks.len() {
        table.start(1, cheap * boot_ticks);
        table.start(table.size, full * boot_ticks);
        table.run(&slot(pool, load, market, tick), cheap, full);
    }
    Money::from_micros(table.costs.into_iter().fold(NEVER, f64::min) as u64)
}

impl Table {
    fn new(size: usize) -> Self {
        let mut costs = vec![NEVER; size * size];
        costs[0] = 0.0;
        Self { size, costs }
    }

    /// Lets targets of one kind start at a cost each, or stop at none.
    ///
    /// Cheap targets lie `1` apart in the table and those at full price `size`.
    fn start(&mut self, step: usize, cost: f64) {
        let other = if step == 1 { self.size } else { 1 };
        for line in (0..self.size).map(|n| n * other) {
            for n in 1..self.size {
                let position = line + n * step;
                self.costs[position] = self.costs[position].min(self.costs[position - step] + cost);
            }
            for n in (1..self.size).rev() {
                let position = line + n * step;
                self.costs[position - step] = self.costs[position - step].min(self.costs[position]);
            }
        }
    }

    /// Adds the price of a tick, and rules out what the tick does not allow.
    fn run(&mut self, slot: &Slot, cheap_price: f64, full_price: f64) {
        for full in 0..self.size {
            for cheap in 0..self.size {
                let count = cheap + full;
                let cheap_most = slot.up * count.saturating_sub(slot.floor);
                let is_allowed = count >= slot.needed && cheap <= cheap_most;
                let price = cheap as f64 * cheap_price + full as f64 * full_price;
                self.costs[full * self.size + cheap] += if is_allowed { price } else { NEVER };
            }
        }
    }
}

fn slot(pool: &Pool, load: &Load, market: &Market, tick: usize) -> Slot {
    let work = load.ticks[tick];
    let live = Demand { live: work.live, rollout: 0.0, queued: 0.0, trainer_idle: Ratio::new(0.0) };
    let floor = live.floor(pool);
    let busy = (work.live + work.rollout).ceil() as u32;
    let needed = busy.max(pool.least_for_floor(floor, pool.zones())).min(pool.max_targets);
    let tick = u32::try_from(tick).unwrap_or(u32::MAX);
    let up = market.up.keys().filter(|zone| market.is_up(zone, tick)).count();
    Slot { needed: needed as usize, floor: floor as usize, up }
}

/// Returns the lowest and the highest price of a tick, in millionths.
fn tick_prices(pool: &Pool) -> [f64; 2] {
    let hourly = pool.offers.iter().map(|offer| offer.hourly.micros());
    let tick = |hourly: Option<u64>| hourly.unwrap_or(0) as f64 * TICK.as_secs_f64() / 3_600.0;
    [tick(hourly.clone().min()), tick(hourly.max())]
}
