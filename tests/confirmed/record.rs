//! What was acknowledged and observed, and what of it breaks a rule.

use super::setup::{APPLY, CONTACT};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// How long after a host obeyed a version it may still answer by an older one.
const REVERT_TOLERANCE: Duration = Duration::from_millis(250);

/// Events of one run.
#[derive(Debug, Default)]
pub struct Record {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
pub struct State {
    /// When each acknowledged version was acknowledged first.
    pub acknowledged: BTreeMap<u64, Instant>,
    /// How long the acknowledgement of each version took.
    pub ack_times: BTreeMap<u64, Duration>,
    /// When the last fault that takes a host out of touch began or ended, by entry host; `None`
    /// while it lasts.
    out_of_touch: BTreeMap<usize, Option<Instant>>,
    /// The highest version that each start of an entry host obeyed, and since when.
    obeyed: BTreeMap<(usize, u64), (u64, Instant)>,
    /// The time from the acknowledgement until each entry host first obeyed a version.
    pub latenesses: BTreeMap<(usize, u64), Duration>,
    /// The content of each version that was read.
    contents: BTreeMap<u64, Vec<u8>>,
    /// Number of observations by kind.
    pub counts: BTreeMap<&'static str, u64>,
    /// Descriptions of broken rules.
    pub violations: BTreeSet<String>,
}

impl Record {
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn violation(&self, text: String) {
        self.lock().violations.insert(text);
    }

    pub fn count(&self, kind: &'static str) {
        *self.lock().counts.entry(kind).or_default() += 1;
    }

    /// Returns the newest acknowledged version.
    pub fn newest(&self) -> Option<u64> {
        self.lock().acknowledged.last_key_value().map(|(version, _)| *version)
    }

    pub fn acknowledge(&self, version: u64, began: Instant, at: Instant) {
        let mut state = self.lock();
        state.acknowledged.entry(version).or_insert(at);
        state.ack_times.entry(version).or_insert(at - began);
    }

    pub fn begin_out_of_touch(&self, entry: usize) {
        self.lock().out_of_touch.insert(entry, None);
    }

    pub fn end_out_of_touch(&self, entry: usize) {
        self.lock().out_of_touch.insert(entry, Some(Instant::now()));
    }

    /// Records a request to an entry host at the path of `version`, which was sent at `sent`; the
    /// host either obeyed this version or does not know it.
    pub fn observe(&self, entry: usize, start: u64, version: u64, sent: Instant, obeys: bool) {
        let mut state = self.lock();
        let acknowledged = state.acknowledged.get(&version).copied();
        if obeys {
            let highest = state.obeyed.entry((entry, start)).or_insert((version, sent));
            if highest.0 < version {
                *highest = (version, sent);
            }
            if let Some(acknowledged) = acknowledged {
                let lateness = sent.saturating_duration_since(acknowledged);
                state.latenesses.entry((entry, version)).or_insert(lateness);
            }
            return;
        }
        let since_contact = match state.out_of_touch.get(&entry) {
            None => Some(Duration::MAX),
            Some(None) => None,
            Some(Some(end)) => Some(sent.saturating_duration_since(*end)),
        };
        let is_in_touch = since_contact.is_some_and(|since| since > CONTACT);
        if let Some(acknowledged) = acknowledged
            && is_in_touch
            && sent > acknowledged + APPLY
        {
            let late = sent - acknowledged;
            state
                .violations
                .insert(format!("entry {entry} lacks {version} {late:?} after its ack"));
        }
        if let Some((highest, at)) = state.obeyed.get(&(entry, start)).copied()
            && version <= highest
            && sent > at + REVERT_TOLERANCE
        {
            state
                .violations
                .insert(format!("entry {entry} went back from {highest} below {version}"));
        }
    }

    /// Records a read of the configuration that was sent at `sent`.
    pub fn observe_read(&self, store: usize, version: u64, content: &[u8], sent: Instant) {
        let mut state = self.lock();
        *state.counts.entry("reads").or_default() += 1;
        let newest = state.acknowledged.iter().filter(|(_, at)| **at < sent);
        if let Some(newest) = newest.map(|(version, _)| *version).max()
            && version < newest
        {
            state
                .violations
                .insert(format!("store {store} returned {version} after ack of {newest}"));
        }
        let held = state.contents.entry(version).or_insert_with(|| content.to_vec());
        if held != content {
            state.violations.insert(format!("version {version} has two contents"));
        }
    }
}
