//! Targets that said in an answer that they leave.

use super::Target;
use catkinlatch_base::{Instant, TargetId};
use std::{collections::BTreeMap, time::Duration};

/// How long a start is remembered after its host last knew it: longer than late registrations take.
const RETENTION: Duration = Duration::from_secs(120);

/// The starts of targets that said in an answer to this host that they leave.
///
/// They get nothing new from this host, whatever registrations and the leader say: a start that
/// leaves never comes back, and a later start of the target is another one.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    /// By id and start time of the target; when the start was last known.
    starts: BTreeMap<(TargetId, u64), Instant>,
}

impl Leaving {
    /// Records a start that leaves; returns whether that is new.
    pub fn insert(&mut self, id: &TargetId, born_ms: u64, now: Instant) -> bool {
        self.starts.insert((id.clone(), born_ms), now).is_none()
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
                *known = now;
            }
        }
        self.starts.retain(|_, known| now < *known + RETENTION);
    }
}
