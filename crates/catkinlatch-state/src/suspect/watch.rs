//! Targets that may have crashed, until they announce themselves again.

use catkinlatch_base::Instant;
use std::{collections::VecDeque, mem, time::Duration};

/// Largest number of starts watched at one time; the oldest is dropped for a new one.
const MAX_WATCHED: usize = 256;

/// An announcement shows that the target is still running only if it arrives more than this long
/// after another one that arrived more than this long after the connection broke. A single one may
/// have been sent before the crash and delayed.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Longest time that a start is watched.
const WATCH_TIME: Duration = Duration::from_secs(30);

/// A start of a target whose connection broke with a request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disconnect<K> {
    /// Identifies the start of the target.
    pub start: K,
    since: Instant,
    /// When the start announced itself for the first time after that.
    first_heard: Option<Instant>,
}

impl<K> Disconnect<K> {
    /// Creates the record of a connection that broke at `since`.
    pub fn new(start: K, since: Instant) -> Self {
        Self { start, since, first_heard: None }
    }

    /// Records when the start was last heard; returns whether that shows that it still runs.
    fn survives(&mut self, heard: Instant) -> bool {
        if heard <= self.since + SETTLE_TIME {
            return false;
        }
        heard > *self.first_heard.get_or_insert(heard) + SETTLE_TIME
    }
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
        let mut survivors = Vec::new();
        for mut disconnect in mem::take(&mut self.disconnects) {
            let heard = last_heard(&disconnect.start);
            if heard.is_some_and(|heard| disconnect.survives(heard)) {
                survivors.push(disconnect);
            } else if now.saturating_duration_since(disconnect.since) < WATCH_TIME {
                self.disconnects.push_back(disconnect);
            }
        }
        survivors
    }
}
