//! A bounded ring buffer of events, timestamped by a hybrid logical clock.

use crate::{
    HostId,
    event::{Event, Kind, Stamp},
};
use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// The most recent events of one process.
#[derive(Debug)]
pub struct Timeline {
    host: HostId,
    capacity: usize,
    ring: Mutex<Ring>,
}

/// The buffered events and the state of the hybrid logical clock.
#[derive(Debug, Default)]
struct Ring {
    events: VecDeque<Event>,
    wall_ms: u64,
    counter: u32,
}

impl Timeline {
    /// Creates an empty timeline that keeps the most recent `capacity` events.
    pub fn new(host: HostId, capacity: usize) -> Self {
        Self { host, capacity, ring: Mutex::default() }
    }

    /// Records an event at `wall_ms` milliseconds since the Unix epoch.
    pub fn record(&self, wall_ms: u64, kind: Kind) {
        let mut ring = self.lock();
        ring.advance(wall_ms);
        let stamp = Stamp { wall_ms: ring.wall_ms, counter: ring.counter, host: self.host.clone() };
        if ring.events.len() == self.capacity {
            ring.events.pop_front();
        }
        ring.events.push_back(Event { stamp, kind });
    }

    /// Advances the clock past a timestamp received from another process; returns the new reading.
    ///
    /// Events recorded after a message was received are thereby ordered after those recorded before
    /// it was sent, regardless of the clock skew between the two hosts.
    pub fn observe(&self, wall_ms: u64, remote_wall_ms: u64, remote_counter: u32) -> Stamp {
        let mut ring = self.lock();
        if remote_wall_ms > ring.wall_ms {
            ring.wall_ms = remote_wall_ms;
            ring.counter = remote_counter;
        } else if remote_wall_ms == ring.wall_ms {
            ring.counter = ring.counter.max(remote_counter);
        }
        ring.advance(wall_ms);
        Stamp { wall_ms: ring.wall_ms, counter: ring.counter, host: self.host.clone() }
    }

    /// Returns the buffered events, oldest first.
    pub fn events(&self) -> Vec<Event> {
        self.lock().events.iter().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ring {
    /// Advances the clock: readings never go backward, and no two of them are equal.
    fn advance(&mut self, wall_ms: u64) {
        if wall_ms > self.wall_ms {
            self.wall_ms = wall_ms;
            self.counter = 0;
        } else {
            self.counter += 1;
        }
    }
}
