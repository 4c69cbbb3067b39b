//! Targets that may have crashed, until they announce themselves again.

use catkinlatch_base::Instant;
use std::{collections::VecDeque, time::Duration};

/// Largest number of starts watched at one time; the oldest is dropped for a new one.
const MAX_WATCHED: usize = 256;

/// An announcement shows that the target is still running only if it arrives more than this long
/// after the connection broke.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Longest time that a start is watched.
const WATCH_TIME: Duration = Duration::from_secs(30);

/// A start of a target whose connection broke with a request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disconnect<K> {
    /// Identifies the start of the target.
    pub start: K,
    /// When the connection broke.
    pub since: Instant,
}

/// The starts of targets whose connections broke recently.
#[derive(Clone, Debug)]
pub struct Watch<K> {
    disconnects: VecDeque<Disconnect<K>>,
}

impl<K> Default for Watch<K> {
    fn default() -> Self {
        Self { disconnects: VecDeque::new() }
    }
}

impl<K: PartialEq> Watch<K> {
    /// Adds a start, or restarts its watch if it is watched already.
    pub fn add(&mut self, disconnect: Disconnect<K>) {
        self.disconnects.retain(|other| other.start != disconnect.start);
        if self.disconnects.len() == MAX_WATCHED {
            self.disconnects.pop_front();
        }
        self.disconnects.push_back(disconnect);
    }

    /// Returns whether no start is watched.
    pub fn is_empty(&self) -> bool {
        self.disconnects.is_empty()
    }

    /// Removes and returns the starts that announced themselves again, and drops those watched for
    /// too long.
    ///
    /// `last_heard` returns when a start last announced itself; `None` if another start has taken
    /// its place.
    pub fn take_survivors(
        &mut self,
        now: Instant,
        last_heard: impl Fn(&K) -> Option<Instant>,
    ) -> Vec<Disconnect<K>> {
        let has_announced = |disconnect: &Disconnect<K>| {
            last_heard(&disconnect.start)
                .is_some_and(|heard| heard > disconnect.since + SETTLE_TIME)
        };
        let (survivors, others): (VecDeque<_>, VecDeque<_>) =
            self.disconnects.drain(..).partition(has_announced);
        let is_watched =
            |watched: &Disconnect<K>| now.saturating_duration_since(watched.since) < WATCH_TIME;
        self.disconnects = others.into_iter().filter(is_watched).collect();
        survivors.into()
    }
}
