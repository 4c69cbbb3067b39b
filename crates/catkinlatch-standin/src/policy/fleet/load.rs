//! The work offered over simulated days.

use super::{TICK, Workload};
use std::{f64::consts::TAU, time::Duration};

/// The work offered in one tick, in targets kept busy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Live requests.
    pub live: f64,
    /// Rollouts.
    pub rollout: f64,
}

/// The work offered in each tick.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The work by tick.
    pub ticks: Vec<Work>,
}

/// How many ticks an hour has.
pub const TICKS_PER_HOUR: u32 = (3_600 / TICK.as_secs()) as u32;

/// How strongly the noise of a tick carries over to the next.
const CARRY: f64 = 0.97;

/// The mean time between bursts of live requests.
const BURST_EVERY: Duration = Duration::from_secs(4 * 3_600);

/// How long a burst lasts, in ticks.
const BURST_TICKS: u32 = 30;

/// By what factor a burst raises live work.
const BURST_FACTOR: f64 = 1.4;

impl Load {
    /// Draws a day's curve with noise and bursts, and trainers that run for some hours at a time.
    pub fn draw(workload: &Workload, hours: u32, random: &mut fastrand::Rng) -> Self {
        let (mut noise, mut burst, mut trains, mut phase_left) = (0.0, 0_u32, true, 0_u32);
        let mut ticks = Vec::new();
        for tick in 0..hours * TICKS_PER_HOUR {
            noise = noise * CARRY + (random.f64() - 0.5) * 0.06;
            let burst_chance = TICK.as_secs_f64() / BURST_EVERY.as_secs_f64();
            burst = if random.f64() < burst_chance { BURST_TICKS } else { burst.saturating_sub(1) };
            if phase_left == 0 {
                trains = tick == 0 || !trains;
                let span = if trains { 2..7 } else { 1..3 };
                phase_left = random.u32(span) * TICKS_PER_HOUR;
            }
            phase_left -= 1;
            let day = f64::from(tick) / f64::from(24 * TICKS_PER_HOUR);
            let shape = (0.5 - 0.5 * (day * TAU).cos()).powi(2);
            let level = workload.live_low + (workload.live_high - workload.live_low) * shape;
            let factor = if burst > 0 { BURST_FACTOR } else { 1.0 };
            let rollout = if trains { workload.rollout } else { 0.0 };
            ticks.push(Work { live: (level * (1.0 + noise) * factor).max(0.0), rollout });
        }
        Self { ticks }
    }
}
