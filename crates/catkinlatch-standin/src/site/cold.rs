//! The cold phase of a stand-in target, in which too many requests crash it.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// The rate that the stand-ins' services state to tolerate while they are cold.
pub const COLD_PER_SECOND: f64 = 14.0;

/// The most requests in a span of one second that a cold target survives: 1.5 times the rate, and 5.
pub const MAX_COLD_REQUESTS: usize = 26;

/// The cold phase of one start of a target.
#[derive(Clone, Debug)]
pub struct Cold {
    /// Whether the target states its cold phase in each answer, besides its heartbeats.
    pub is_stated: Arc<AtomicBool>,
    /// Duration of the cold phase after each start.
    duration: Duration,
    state: Arc<Mutex<State>>,
    /// The most requests in a span of one second that any cold start got.
    most: Arc<Mutex<usize>>,
}

#[derive(Debug)]
struct State {
    until: Instant,
    /// The requests of the last second that arrived while the target was cold.
    arrivals: VecDeque<Instant>,
}

impl Cold {
    /// Creates the cold phase of a target that is cold for `duration` after each start.
    pub fn new(duration: Duration) -> Self {
        let until = Instant::now() + duration;
        let state = State { until, arrivals: VecDeque::new() };
        let (is_stated, most) = Default::default();
        Self { is_stated, duration, state: Arc::new(Mutex::new(state)), most }
    }

    /// Returns the cold phase of the next start, which begins after `downtime`.
    pub fn next(&self, downtime: Duration) -> Self {
        let until = Instant::now() + downtime + self.duration;
        let state = State { until, arrivals: VecDeque::new() };
        Self { state: Arc::new(Mutex::new(state)), ..self.clone() }
    }

    /// Lets the target be cold from now on.
    pub fn turn_cold(&self, duration: Duration) {
        lock(&self.state).until = Instant::now() + duration;
    }

    /// Returns the remaining time of the cold phase.
    pub fn left(&self) -> Duration {
        lock(&self.state).until.saturating_duration_since(Instant::now())
    }

    /// Returns the remaining time for the header of an answer; `None` if the target is warm or
    /// states nothing in its answers.
    pub fn stated(&self) -> Option<u128> {
        let left = self.left().as_millis();
        (left > 0 && self.is_stated.load(Ordering::Relaxed)).then_some(left)
    }

    /// Counts a request that has arrived; returns whether it is one too many for a cold target.
    pub fn arrive(&self) -> bool {
        let now = Instant::now();
        let mut state = lock(&self.state);
        if now >= state.until {
            state.arrivals.clear();
            return false;
        }
        while state.arrivals.front().is_some_and(|at| now - *at > Duration::from_secs(1)) {
            state.arrivals.pop_front();
        }
        state.arrivals.push_back(now);
        let count = state.arrivals.len();
        let mut most = lock(&self.most);
        *most = count.max(*most);
        count > MAX_COLD_REQUESTS
    }

    /// Returns the most requests in a span of one second that any cold start of the target got.
    pub fn most(&self) -> usize {
        *lock(&self.most)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
