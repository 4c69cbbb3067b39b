//! A host's copy of the requests that may crash targets.

use catkinlatch_base::{BootId, Instant, TargetId};
use catkinlatch_ledger::{
    Target,
    suspect::{Change, Paroles},
};
use catkinlatch_runtime::message::ViewVersion;
use catkinlatch_state::suspect::{self, Fingerprint, Reply, Suspects};
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

/// Largest number of crashes that wait to be reported; the oldest is dropped for a new one.
const MAX_UNREPORTED: usize = 256;

/// Largest number of refused requests that one host reports again to a leader that lacks them.
const MAX_REPORTED_AGAIN: usize = 32;

/// How long a crash is reported again to a leader that lacks it: a leader passes its list on within
/// 1 s, and a host may hear of the next leader 2 s later.
const RECENT_MS: u64 = 3_000;

/// Within this time after a crash, no target is up again, so that an answer comes from the start
/// whose connection broke.
const RESTART_TIME: Duration = Duration::from_millis(500);

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
    /// The last crashes that this host saw, and when, in milliseconds since the Unix epoch. A
    /// leader may be lost after it confirmed one and before another host has its list.
    recent: VecDeque<(u64, Change)>,
    /// The targets whose connections broke within [`RESTART_TIME`].
    breaks: Vec<Break>,
}

/// A connection that broke under a request.
#[derive(Clone, Debug)]
struct Break {
    target: TargetId,
    boot: BootId,
    at: Instant,
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

    /// Returns whether the leader may let a refused request run once more.
    pub fn may_be_paroled(&self, fingerprint: &Fingerprint, wall_ms: u64) -> bool {
        Paroles::may_be_due(&self.suspects, fingerprint, wall_ms)
    }

    /// Returns the targets on which suspects run, as far as this host knows.
    pub fn trial_targets(&self, wall_ms: u64) -> BTreeSet<TargetId> {
        self.suspects.trial_targets(wall_ms).cloned().collect()
    }

    /// Applies a change, and keeps a crash until a leader has confirmed it.
    pub fn apply(&mut self, change: &Change, wall_ms: u64) -> Reply {
        if self.suspects.has_due(wall_ms) {
            self.suspects.apply(&suspect::Change::Expire { now_ms: wall_ms });
        }
        if matches!(change, Change::Crashed { .. }) {
            self.keep(change.clone());
            self.remember(change, wall_ms);
        }
        if let Change::Clear { fingerprint } = change {
            self.recent.retain(|(_, crash)| crashed(crash) != Some(fingerprint));
        }
        change.apply(&mut self.suspects, wall_ms)
    }

    /// Returns the crashes under a request that this host saw lately, which are to be reported again
    /// to a leader that does not know the request.
    pub fn recent(&self, fingerprint: &Fingerprint, wall_ms: u64) -> Vec<Change> {
        let recent = self
            .recent
            .iter()
            .filter(|(at, crash)| wall_ms < at + RECENT_MS && crashed(crash) == Some(fingerprint));
        recent.map(|(_, crash)| crash.clone()).collect()
    }

    /// Records that the connection to a target broke.
    pub fn record_break(&mut self, target: &Target, now: Instant) {
        self.breaks.retain(|other| other.target != target.id && now < other.at + RESTART_TIME);
        self.breaks.push(Break { target: target.id.clone(), boot: target.boot(), at: now });
    }

    /// Returns the start of a target that is shown to be running by its answer to a request that
    /// was sent at `sent_at`, if a connection to it had broken before.
    pub fn take_survivor(
        &mut self,
        target: &TargetId,
        sent_at: Instant,
        now: Instant,
    ) -> Option<BootId> {
        if self.breaks.is_empty() {
            return None;
        }
        self.breaks.retain(|other| now < other.at + RESTART_TIME);
        let shows = |other: &Break| other.target == *target && sent_at > other.at;
        let position = self.breaks.iter().position(shows)?;
        Some(self.breaks.swap_remove(position).boot)
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
    /// A new leader may have lost what all hosts know, for example if all stores were killed, or
    /// what only its predecessor knew. So the refused requests that it lacks are reported to it
    /// again, and the last crashes that this host saw.
    pub fn adopt(&mut self, version: ViewVersion, suspects: Suspects, wall_ms: u64) {
        if version.term != self.version.term {
            let missing = self.suspects.refused().filter(|(id, _)| suspects.get(id).is_none());
            let missing: Vec<Change> = missing
                .take(MAX_REPORTED_AGAIN)
                .flat_map(|(id, suspect)| {
                    suspect.crashes.iter().map(|boot| Change::Crashed {
                        fingerprint: *id,
                        boot: boot.clone(),
                        ran_alone: true,
                    })
                })
                .collect();
            missing.into_iter().for_each(|change| self.keep(change));
            let recent = self.recent.iter().filter(|(at, _)| wall_ms < at + RECENT_MS);
            let unknown = |crash: &&Change| {
                crashed(crash).is_some_and(|fingerprint| suspects.get(fingerprint).is_none())
            };
            let recent: Vec<Change> =
                recent.map(|(_, crash)| crash).filter(unknown).cloned().collect();
            recent.into_iter().for_each(|crash| self.keep(crash));
        }
        self.version = version;
        self.suspects = suspects;
        for change in &self.unreported {
            change.apply(&mut self.suspects, wall_ms);
        }
    }

    fn remember(&mut self, crash: &Change, wall_ms: u64) {
        self.recent.retain(|(at, _)| wall_ms < at + RECENT_MS);
        if !self.recent.iter().any(|(_, other)| other.is_same_crash(crash)) {
            self.recent.truncate(MAX_UNREPORTED - 1);
            self.recent.push_front((wall_ms, crash.clone()));
        }
    }

    fn keep(&mut self, change: Change) {
        if self.unreported.iter().any(|other| other.is_same_crash(&change)) {
            return;
        }
        if self.unreported.len() == MAX_UNREPORTED {
            self.unreported.pop_front();
        }
        self.unreported.push_back(change);
    }
}

/// Returns the request under which a target crashed.
fn crashed(change: &Change) -> Option<&Fingerprint> {
    match change {
        Change::Crashed { fingerprint, .. } => Some(fingerprint),
        _ => None,
    }
}
