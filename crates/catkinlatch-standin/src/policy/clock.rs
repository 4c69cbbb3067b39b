//! Simulated time: a queue of events, each delivered at its instant.

use catkinlatch_base::Instant;
use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    time::Duration,
};

/// A queue of events on simulated time.
///
/// Events of one instant come in the order in which they were added, so that equal seeds give equal
/// runs.
///
/// ```
/// use catkinlatch_standin::policy::clock::Clock;
/// use std::time::Duration;
///
/// let mut clock = Clock::new();
/// clock.after(Duration::from_millis(2), "second");
/// clock.after(Duration::from_millis(1), "first");
/// assert_eq!(clock.next(), Some("first"));
/// assert_eq!(clock.now().as_millis(), 1);
/// ```
#[derive(Debug)]
pub struct Clock<E> {
    now: Instant,
    added: u64,
    queue: BinaryHeap<Reverse<Entry<E>>>,
}

#[derive(Debug)]
struct Entry<E> {
    at: Instant,
    number: u64,
    event: E,
}

impl<E> Clock<E> {
    /// Creates a clock that reads zero.
    pub fn new() -> Self {
        Self { now: Instant::ZERO, added: 0, queue: BinaryHeap::new() }
    }

    /// Reads the clock.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Adds an event that happens `delay` from now.
    pub fn after(&mut self, delay: Duration, event: E) {
        self.at(self.now + delay, event);
    }

    /// Adds an event that happens at `at`, or now if that has passed.
    pub fn at(&mut self, at: Instant, event: E) {
        let entry = Entry { at: at.max(self.now), number: self.added, event };
        self.added += 1;
        self.queue.push(Reverse(entry));
    }

    /// Moves on to the next event.
    #[expect(clippy::should_implement_trait, reason = "events are added between calls")]
    pub fn next(&mut self) -> Option<E> {
        let Reverse(entry) = self.queue.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }

    /// Moves on to the next event, unless it happens after `end`.
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
