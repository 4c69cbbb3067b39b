//! Targets that leave, as far as one host knows.

use super::Target;
use catkinlatch_base::{Instant, TargetId, Term};
use std::{collections::BTreeMap, time::Duration};

/// How long a start is remembered after its host last knew it: longer than late registrations take.
const RETENTION: Duration = Duration::from_secs(120);

/// The starts of targets that said to this host that they leave, or that a leader lists as withdrawn.
///
/// They get nothing new from this host, whatever registrations and the leader say: a start that
/// leaves never comes back, and a later start of the target is another one.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    /// By id and start time of the target.
    starts: BTreeMap<(TargetId, u64), Start>,
}

/// A start that leaves.
#[derive(Clone, Copy, Debug)]
struct Start {
    known_at: Instant,
    /// The latest term whose leader listed the start as withdrawn; `None` if the start itself said
    /// that it leaves.
    listed_in: Option<Term>,
}

impl Leaving {
    /// Records a start that says that it leaves; returns whether that is new.
    pub fn insert(&mut self, id: &TargetId, born_ms: u64, now: Instant) -> bool {
        let start = Start { known_at: now, listed_in: None };
        self.starts.insert((id.clone(), born_ms), start).is_none()
    }

    /// Records a start that the leader of a term lists as withdrawn.
    pub fn insert_listed(&mut self, id: &TargetId, born_ms: u64, term: Term, now: Instant) {
        let listed = Start { known_at: now, listed_in: Some(term) };
        let start = self.starts.entry((id.clone(), born_ms)).or_insert(listed);
        start.known_at = now;
        start.listed_in = start.listed_in.and(Some(term));
    }

    /// Forgets a start that the leader of a term uses again, if the same leader had listed it as
    /// withdrawn; returns whether it did. Another leader may not know of the withdrawal.
    pub fn remove_listed(&mut self, target: &Target, term: Term) -> bool {
        let key = (target.id.clone(), target.born_ms);
        let is_listed = self.starts.get(&key).is_some_and(|start| start.listed_in == Some(term));
        if is_listed {
            self.starts.remove(&key);
        }
        is_listed
    }

    /// Returns whether this start of a target leaves.
    pub fn contains(&self, target: &Target) -> bool {
        !self.starts.is_empty() && self.starts.contains_key(&(target.id.clone(), target.born_ms))
    }

    /// Forgets the starts that have not been among the known `targets` for long.
    pub fn retain<'a>(&mut self, targets: impl Iterator<Item = &'a Target>, now: Instant) {
        if self.starts.is_empty() {
            return;
        }
        for target in targets {
            if let Some(known) = self.starts.get_mut(&(target.id.clone(), target.born_ms)) {
                known.known_at = now;
            }
        }
        self.starts.retain(|_, start| now < start.known_at + RETENTION);
    }
}
