//! Items under which engines crashed.

use super::Task;
use catkinlatch_base::BootId;
use catkinlatch_state::suspect::{Fingerprint, Suspects};
use std::collections::BTreeMap;

/// Number of crashes from which an item runs on no engine with another such item, so that the next
/// crash is put down to one of them.
const ALONE_CRASHES: usize = 2;

/// Largest number of starts that are remembered of an item.
const MAX_STARTS: usize = 8;

/// Pause after the second crash; doubles with each further one.
const PAUSE_MS: u64 = 1_000;

/// The longest pause. Engines may crash by chance, so an item is owed however often they did.
const MAX_PAUSE_MS: u64 = 3_000;

/// Time after the last crash from which an item may run beside another such item, so that it runs
/// again within 5 s if engines have room.
const MAX_ALONE_MS: u64 = 4_000;

/// Largest number of items that are remembered; the one with the oldest crash is dropped first.
const MAX_ITEMS: usize = 4_096;

/// When an item may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// On any engine.
    Any,
    /// Only on an engine that runs no other item with this permit.
    Alone,
    /// Not now.
    Wait,
}

/// The starts of engines that crashed under an item.
#[derive(Clone, Debug)]
struct Crashed {
    starts: Vec<BootId>,
    last_ms: u64,
}

/// The items under which engines crashed since they last ran to an end. An item is recognized by
/// its content, since it may come again in another job.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    items: BTreeMap<Fingerprint, Crashed>,
}

impl Crashes {
    /// Adds what an earlier leader knew.
    pub fn adopt(&mut self, suspects: &Suspects) {
        for (fingerprint, suspect) in suspects.list() {
            let known = Crashed { starts: suspect.crashes.clone(), last_ms: suspect.last_ms };
            self.items.entry(*fingerprint).or_insert(known);
        }
    }

    /// Returns whether nothing is known, so that no fingerprint needs to be computed.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Records that the connection to an engine broke under an item; returns the number of crashes
    /// that are remembered.
    pub fn record(&mut self, fingerprint: Fingerprint, start: BootId, wall_ms: u64) -> usize {
        if self.items.len() >= MAX_ITEMS && !self.items.contains_key(&fingerprint) {
            let oldest = self.items.iter().min_by_key(|(_, crashed)| crashed.last_ms);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.items.remove(&oldest);
            }
        }
        let new = Crashed { starts: Vec::new(), last_ms: wall_ms };
        let crashed = self.items.entry(fingerprint).or_insert(new);
        if !crashed.starts.contains(&start) {
            crashed.starts.push(start);
            crashed.last_ms = wall_ms;
        }
        let excess = crashed.starts.len().saturating_sub(MAX_STARTS);
        crashed.starts.drain(..excess);
        crashed.starts.len()
    }

    /// Retracts the crash of a start that still runs.
    pub fn retract(&mut self, start: &BootId) {
        for crashed in self.items.values_mut() {
            crashed.starts.retain(|other| other != start);
        }
        self.items.retain(|_, crashed| !crashed.starts.is_empty());
    }

    /// Forgets an item that an engine has run to an end; returns whether it was known.
    pub fn clear(&mut self, fingerprint: &Fingerprint) -> bool {
        self.items.remove(fingerprint).is_some()
    }

    /// Returns when an item may run.
    pub fn permit(&self, task: &Task, wall_ms: u64) -> Permit {
        if self.is_empty() {
            return Permit::Any;
        }
        let Some(crashed) = self.items.get(&task.fingerprint()) else { return Permit::Any };
        let count = crashed.starts.len();
        if count < ALONE_CRASHES {
            return Permit::Any;
        }
        let doublings = (count - ALONE_CRASHES).min(MAX_STARTS);
        let pause_ms = (PAUSE_MS << doublings).min(MAX_PAUSE_MS);
        match wall_ms.saturating_sub(crashed.last_ms) {
            elapsed_ms if elapsed_ms < pause_ms => Permit::Wait,
            elapsed_ms if elapsed_ms < MAX_ALONE_MS => Permit::Alone,
            _ => Permit::Any,
        }
    }
}
