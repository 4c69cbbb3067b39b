//! What targets say of themselves, ordered by their starts.

mod target;

pub use self::target::{Phase, Target};

use catkinlatch_base::{Instant, TargetId, derive_value};
use std::{collections::BTreeMap, time::Duration};

/// How long the end of a target is remembered, so that none of its late messages revives it.
const GONE_KEPT: Duration = Duration::from_secs(120);

/// What became of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target is new, or something that matters to its use changed.
    Changed,
    /// It was heard again.
    Renewed,
    /// It is older than what is known.
    Outdated,
}

derive_value! {
    /// A target that has ended, and until which start.
    #[derive(Eq)]
    pub struct Gone {
        /// The target.
        pub id: TargetId,
        /// Its last start that has ended, in milliseconds since the Unix epoch.
        pub born_ms: u64,
    }
}

/// A target and when it was last heard.
#[derive(Clone, Debug)]
struct Heard {
    target: Target,
    at: Instant,
}

/// The targets that are known, as soft state of the one that leads.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    targets: BTreeMap<TargetId, Heard>,
    gone: BTreeMap<TargetId, (u64, Instant)>,
}

impl Registry {
    /// Creates a registry from what another one knew.
    pub fn new(targets: Vec<Target>, gone: Vec<Gone>, now: Instant) -> Self {
        let heard = |target: Target| (target.id.clone(), Heard { target, at: now });
        Self {
            targets: targets.into_iter().map(heard).collect(),
            gone: gone.into_iter().map(|gone| (gone.id, (gone.born_ms, now))).collect(),
        }
    }

    /// Counts all targets as heard now: a new leader cannot know when they last spoke.
    pub fn refresh(&mut self, now: Instant) {
        self.targets.values_mut().for_each(|known| known.at = now);
    }

    /// Takes what a target says of itself.
    pub fn register(&mut self, target: Target, now: Instant) -> Change {
        if self.is_outdated(&target) {
            return Change::Outdated;
        }
        self.targets.retain(|id, other| {
            other.target.address != target.address
                || *id == target.id
                || other.target.born_ms > target.born_ms
        });
        let id = target.id.clone();
        let before = self.targets.insert(id, Heard { target: target.clone(), at: now });
        match before {
            Some(before) if before.target.serves_like(&target) => Change::Renewed,
            _ => Change::Changed,
        }
    }

    fn is_outdated(&self, target: &Target) -> bool {
        let is_gone = self.gone.get(&target.id).is_some_and(|(born, _)| target.born_ms <= *born);
        let known = self.targets.get(&target.id).map(|known| &known.target);
        let is_older = known.is_some_and(|known| {
            (target.born_ms, target.sequence) <= (known.born_ms, known.sequence)
        });
        let is_replaced = self.targets.values().any(|other| {
            other.target.address == target.address && other.target.born_ms > target.born_ms
        });
        is_gone || is_older || is_replaced
    }

    /// Removes a target; `wall_ms` stands for its start if that is not known.
    pub fn withdraw(&mut self, id: &TargetId, wall_ms: u64, now: Instant) -> Option<Target> {
        let known = self.targets.remove(id).map(|known| known.target);
        let born = known.as_ref().map_or(wall_ms, |known| known.born_ms);
        let gone = self.gone.entry(id.clone()).or_insert((born, now));
        *gone = (gone.0.max(born), now);
        known
    }

    /// Drops targets that were silent for too long, and returns them.
    pub fn expire(&mut self, silence: Duration, now: Instant) -> Vec<Target> {
        self.gone.retain(|_, (_, at)| now < *at + GONE_KEPT);
        let silent = self.targets.extract_if(.., |_, known| now >= known.at + silence);
        silent.map(|(_, known)| known.target).collect()
    }

    /// Returns the targets in order of their ids.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|known| &known.target)
    }

    /// Returns a target.
    pub fn target(&self, id: &TargetId) -> Option<&Target> {
        self.targets.get(id).map(|known| &known.target)
    }

    /// Returns the targets that have ended of late.
    pub fn gone(&self) -> impl Iterator<Item = Gone> + '_ {
        self.gone.iter().map(|(id, (born_ms, _))| Gone { id: id.clone(), born_ms: *born_ms })
    }

    /// Records the version that a target was seen to run.
    pub fn saw_version(
        &mut self,
        id: &TargetId,
        model: &catkinlatch_base::ModelId,
        version: catkinlatch_base::Version,
    ) {
        if let Some(known) = self.targets.get_mut(id) {
            known.target.models.insert(model.clone(), version);
        }
    }
}
