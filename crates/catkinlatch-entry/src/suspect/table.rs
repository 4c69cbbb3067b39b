//! A host's copy of the requests that may crash targets.

use catkinlatch_base::TargetId;
use catkinlatch_runtime::message::ViewVersion;
use catkinlatch_state::suspect::{Change, Fingerprint, Reply, Suspects};
use std::collections::{BTreeSet, VecDeque};

/// Largest number of crashes that wait to be reported; the oldest is dropped for a new one.
const MAX_UNREPORTED: usize = 256;

/// Largest number of refused requests that one host reports again to a leader that lacks them.
const MAX_REPORTED_AGAIN: usize = 32;

/// What is known about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing speaks against the request.
    Unknown,
    /// A connection to a target broke under the request.
    Suspect,
    /// The request crashed too many targets.
    Refused,
}

/// A host's copy of the suspects, with the crashes that no leader has confirmed yet.
#[derive(Clone, Debug, Default)]
pub struct Table {
    suspects: Suspects,
    version: ViewVersion,
    unreported: VecDeque<Change>,
}

impl Table {
    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.list().is_empty()
    }

    /// Returns what is known about a request.
    pub fn state(&self, fingerprint: &Fingerprint) -> State {
        match self.suspects.get(fingerprint) {
            None => State::Unknown,
            Some(_) if self.suspects.is_refused(fingerprint) => State::Refused,
            Some(_) => State::Suspect,
        }
    }

    /// Returns the targets on which suspects run, as far as this host knows.
    pub fn trial_targets(&self, wall_ms: u64) -> BTreeSet<TargetId> {
        self.suspects.trial_targets(wall_ms).cloned().collect()
    }

    /// Applies a change, and keeps a crash until a leader has confirmed it.
    pub fn apply(&mut self, change: &Change, wall_ms: u64) -> Reply {
        if self.suspects.has_due(wall_ms) {
            self.suspects.apply(&Change::Expire { now_ms: wall_ms });
        }
        if matches!(change, Change::Crashed { .. }) {
            self.keep(change.clone());
        }
        self.suspects.apply(change)
    }

    /// Returns the oldest crash that no leader has confirmed.
    pub fn unreported(&self) -> Option<Change> {
        self.unreported.front().cloned()
    }

    /// Drops a crash that a leader has confirmed.
    pub fn set_reported(&mut self, change: &Change) {
        self.unreported.retain(|other| other != change);
    }

    /// Replaces the copy by the leader's list, with the crashes that it does not contain yet.
    ///
    /// A new leader may have lost what all hosts know, for example if all stores were killed, so
    /// the refused requests that it lacks are reported to it again.
    pub fn adopt(&mut self, version: ViewVersion, suspects: Suspects) {
        if version.term != self.version.term {
            let missing = self.suspects.refused().filter(|(id, _)| suspects.get(id).is_none());
            let missing: Vec<Change> = missing
                .take(MAX_REPORTED_AGAIN)
                .flat_map(|(id, suspect)| {
                    suspect.crashes.iter().map(|boot| Change::Crashed {
                        fingerprints: vec![*id],
                        boot: boot.clone(),
                        at_ms: suspect.last_ms,
                    })
                })
                .collect();
            missing.into_iter().for_each(|change| self.keep(change));
        }
        self.version = version;
        self.suspects = suspects;
        for change in &self.unreported {
            self.suspects.apply(change);
        }
    }

    fn keep(&mut self, change: Change) {
        if self.unreported.len() == MAX_UNREPORTED {
            self.unreported.pop_front();
        }
        self.unreported.push_back(change);
    }
}
