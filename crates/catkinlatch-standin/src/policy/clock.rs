//! A simulated clock with a queue of scheduled events.

use catkinlatch_base::Instant;
use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    time::Duration,
};

/// A simulated clock that advances from one scheduled event to the next.
///
/// Events at the same instant are returned in the order in which they were scheduled, so that runs
/// with equal seeds are equal.
///
/// ```
/// use catkinlatch_standin::policy::clock::Clock;
/// use std::time::Duration;
///
/// let mut clock = Clock::new();
/// clock.schedule_after(Duration::from_millis(2), "second");
/// clock.schedule_after(Duration::from_millis(1), "first");
/// assert_eq!(clock.next(), Some("first"));
/// assert_eq!(clock.now().as_millis(), 1);
/// ```
#[derive(Debug)]
pub struct Clock<E> {
    now: Instant,
    next_sequence: u64,
    queue: BinaryHeap<Reverse<Entry<E>>>,
}

#[derive(Debug)]
struct Entry<E> {
    at: Instant,
    sequence: u64,
    event: E,
}

impl<E> Clock<E> {
    /// Creates a clock at instant zero without scheduled events.
    pub fn new() -> Self {
        Self { now: Instant::ZERO, next_sequence: 0, queue: BinaryHeap::new() }
    }

    /// Returns the current simulated time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Schedules an event `delay` after the current simulated time.
    pub fn schedule_after(&mut self, delay: Duration, event: E) {
        self.schedule_at(self.now + delay, event);
    }

    /// Schedules an event at `at`, or at the current simulated time if `at` is in the past.
    pub fn schedule_at(&mut self, at: Instant, event: E) {
        let entry = Entry { at: at.max(self.now), sequence: self.next_sequence, event };
        self.next_sequence += 1;
        self.queue.push(Reverse(entry));
    }

    /// Advances to the next event and returns it, or `None` if no event is scheduled.
    #[expect(clippy::should_implement_trait, reason = "events are scheduled between calls")]
    pub fn next(&mut self) -> Option<E> {
        let Reverse(entry) = self.queue.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }

    /// Like [`next`](Self::next), but returns `None` if the next event is after `end`.
    pub fn next_until(&mut self, end: Instant) -> Option<E> {
        if self.queue.peek()?.0.at > end {
            return None;
        }
        self.next()
    }
}

impl<E> Default for Clock<E> {
    fn default() -> Self {
        Self::new()
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
