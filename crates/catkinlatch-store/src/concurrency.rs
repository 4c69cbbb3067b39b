//! Bounds how many runs the leader has under way, by what is left of its processor.
//!
//! Designed for fleets with more engine slots than one leader can read events from. Without a bound
//! its heartbeats wait behind the events, another host is elected, begins the same runs and is
//! replaced in turn: nothing is served, and no change is committed.

use catkinlatch_base::Instant;
use std::time::Duration;

/// Interval at which the leader measures how late its timers fire.
pub const TICK: Duration = Duration::from_millis(20);

/// Lateness of a timer from which the leader has too many runs: half of the election timeout, after
/// which followers elect another leader. A leader on a machine that is slow for a while is up to
/// 200 ms late with few runs, and fewer runs would not help it.
const MAX_LATENESS: Duration = Duration::from_millis(250);

/// Lateness of a timer up to which the leader may have more runs: one heartbeat interval.
const GROWTH_LATENESS: Duration = Duration::from_millis(100);

/// Share of the current runs that a late leader keeps.
const DECREASE: f64 = 0.7;

/// Growth of the limit per tick, as a share of it; it doubles in about 0.7 s.
const INCREASE: f64 = 0.02;

/// Minimum time between two decreases: a decrease takes effect as runs end.
const DECREASE_INTERVAL: Duration = Duration::from_millis(300);

/// The lowest limit, so that items never stop altogether.
const MIN_RUNS: f64 = 16.0;

/// The number of runs that a leader may have under way: unlimited until a timer fires late.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    limit: Option<f64>,
    running: usize,
    decreased_at: Option<Instant>,
}

impl Limit {
    /// Records how many runs are under way.
    pub fn set_running(&mut self, running: usize) {
        self.running = running;
    }

    /// Records that a timer fired `late` after its time.
    pub fn record(&mut self, late: Duration, now: Instant) {
        if late >= MAX_LATENESS {
            self.decrease(now);
        } else if late <= GROWTH_LATENESS {
            self.increase();
        }
    }

    /// Returns how many more runs may start.
    pub fn room(&self) -> usize {
        let Some(limit) = self.limit else { return usize::MAX };
        (limit as usize).saturating_sub(self.running)
    }

    /// Returns the limit; `None` if the leader has never been late.
    pub fn get(&self) -> Option<usize> {
        self.limit.map(|limit| limit as usize)
    }

    fn decrease(&mut self, now: Instant) {
        if self.decreased_at.is_some_and(|at| now < at + DECREASE_INTERVAL) {
            return;
        }
        self.decreased_at = Some(now);
        let current = self.running as f64;
        let current = self.limit.map_or(current, |limit| limit.min(current));
        self.limit = Some((current * DECREASE).max(MIN_RUNS));
    }

    /// Raises the limit if it binds; a limit that does not bind says nothing about the processor.
    fn increase(&mut self) {
        if let Some(limit) = &mut self.limit
            && self.running as f64 >= *limit * (1.0 - INCREASE) - 1.0
        {
            *limit += (*limit * INCREASE).max(1.0);
        }
    }
}
