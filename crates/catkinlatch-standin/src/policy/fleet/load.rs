//! The load offered over simulated days.

use super::{TICK, Workload};
use std::{f64::consts::TAU, time::Duration};

/// The load offered in one tick, in busy targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Load of live requests.
    pub live: f64,
    /// Load of rollouts.
    pub rollout: f64,
}

/// The load offered in each tick.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Offered load, by tick.
    pub ticks: Vec<Work>,
}

/// Number of ticks in an hour.
pub const TICKS_PER_HOUR: u32 = (3_600 / TICK.as_secs()) as u32;

/// Factor by which the noise of a tick carries over to the next.
const NOISE_CORRELATION: f64 = 0.97;

/// Mean time between bursts of live requests.
const MEAN_BURST_INTERVAL: Duration = Duration::from_secs(4 * 3_600);

/// Duration of a burst.
const BURST_TICKS: u32 = 30;

/// Factor by which a burst raises the live load.
const BURST_FACTOR: f64 = 1.4;

impl Load {
    /// Draws a load of `hours` hours.
    ///
    /// The live load follows a daily curve with noise and bursts. Trainers run for 2 to 6 hours at
    /// a time, and pause for 1 or 2 hours in between.
    pub fn draw(workload: &Workload, hours: u32, random: &mut fastrand::Rng) -> Self {
        let (mut noise, mut burst, mut is_training, mut phase_ticks_left) =
            (0.0, 0_u32, true, 0_u32);
        let mut ticks = Vec::new();
        for tick in 0..hours * TICKS_PER_HOUR {
            noise = noise * NOISE_CORRELATION + (random.f64() - 0.5) * 0.06;
            let burst_probability = TICK.as_secs_f64() / MEAN_BURST_INTERVAL.as_secs_f64();
            burst = if random.f64() < burst_probability {
                BURST_TICKS
            } else {
                burst.saturating_sub(1)
            };
            if phase_ticks_left == 0 {
                is_training = tick == 0 || !is_training;
                let span = if is_training { 2..7 } else { 1..3 };
                phase_ticks_left = random.u32(span) * TICKS_PER_HOUR;
            }
            phase_ticks_left -= 1;
            let day = f64::from(tick) / f64::from(24 * TICKS_PER_HOUR);
            let shape = (0.5 - 0.5 * (day * TAU).cos()).powi(2);
            let level = workload.live_min + (workload.live_peak - workload.live_min) * shape;
            let factor = if burst > 0 { BURST_FACTOR } else { 1.0 };
            let rollout = if is_training { workload.rollout } else { 0.0 };
            ticks.push(Work { live: (level * (1.0 + noise) * factor).max(0.0), rollout });
        }
        Self { ticks }
    }
}
