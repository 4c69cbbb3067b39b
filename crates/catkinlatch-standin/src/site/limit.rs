//! The limit that a stand-in target names in its answers while it is overloaded.

use catkinlatch_base::Rate;
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// The span for which requests to a limited target are counted.
const SPAN: Duration = Duration::from_secs(4);

/// The limit of a target, and what the target got in spite of it.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    rate: Option<Rate>,
    notice: Duration,
    /// When an answer first named the rate.
    named: Option<Instant>,
    arrivals: VecDeque<Instant>,
    total: usize,
    most: usize,
}

impl Limit {
    /// Names `rate` in all answers from now on, or no limit; counts what arrives more than `notice`
    /// after the first of them.
    pub fn set(&self, rate: Option<Rate>, notice: Duration) {
        *self.lock() = State { rate, notice, ..State::default() };
    }

    /// Records that an answer that names the rate was sent.
    pub fn record_named(&self) {
        self.lock().named.get_or_insert_with(Instant::now);
    }

    /// Returns whether an answer has named the rate.
    pub fn is_named(&self) -> bool {
        self.lock().named.is_some()
    }

    /// Returns the rate to name in an answer.
    pub fn rate(&self) -> Option<Rate> {
        self.lock().rate
    }

    /// Counts a request that has arrived.
    pub fn arrive(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        if state.named.is_none_or(|named| now < named + state.notice) {
            return;
        }
        while state.arrivals.front().is_some_and(|at| now - *at > SPAN) {
            state.arrivals.pop_front();
        }
        state.arrivals.push_back(now);
        state.total += 1;
        state.most = state.most.max(state.arrivals.len());
    }

    /// Returns the most requests in a span of four seconds since the limit counts.
    pub fn most(&self) -> usize {
        self.lock().most
    }

    /// Returns how many requests arrived since the limit counts.
    pub fn total(&self) -> usize {
        self.lock().total
    }

    /// Returns the most requests in four seconds that a limit allows: 1.5 times the rate, and 5.
    pub fn allowed(rate: Rate) -> usize {
        (rate.per_second() * SPAN.as_secs_f64() * 1.5 + 5.0) as usize
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
