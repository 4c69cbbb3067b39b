//! Times in which the test's own process did not run, which it must not blame on others.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::time;

/// Interval at which the process notes that it runs.
const INTERVAL: Duration = Duration::from_millis(5);

/// Gap between two notes that counts as a stall.
const LONGEST_GAP: Duration = Duration::from_millis(15);

/// The stalls of this process so far.
#[derive(Default)]
pub struct Stalls(Mutex<Vec<(Instant, Instant)>>);

impl Stalls {
    /// Records stalls; never returns.
    pub async fn record(&self) {
        let mut last = Instant::now();
        loop {
            time::sleep(INTERVAL).await;
            let now = Instant::now();
            if now - last > LONGEST_GAP {
                self.0.lock().unwrap_or_else(PoisonError::into_inner).push((last, now));
            }
            last = now;
        }
    }

    /// Returns how long the process stalled between two times.
    pub fn between(&self, from: Instant, to: Instant) -> Duration {
        let stalls = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let within = |&(began, ended): &(Instant, Instant)| {
            ended.min(to).saturating_duration_since(began.max(from))
        };
        stalls.iter().map(within).sum()
    }
}
