//! The builds of targets' software, which may not go on with each other's streams.
//!
//! Targets of several builds may serve side by side. A stream that one build began cannot be continued
//! by another one, and targets do not check it.

mod origin;

pub use self::origin::Origins;

use crate::Target;
use catkinlatch_base::{BuildId, Instant, ServiceId};
use std::{
    collections::{BTreeMap, BTreeSet},
    iter, mem,
    time::Duration,
};

/// How long a stream may go on after the last target of the build that began it has gone.
pub const RETENTION: Duration = Duration::from_secs(120);

/// The longest time without news of the targets in which none can have come and gone unseen: a target
/// that leaves or crashes stays registered for longer.
const MAX_GAP: Duration = Duration::from_secs(3);

/// Time after the first start of a deployment by which each of its hosts has seen the targets.
const START_TIME: Duration = Duration::from_secs(10);

/// The builds that targets have run lately, by service.
pub type Recent = BTreeMap<ServiceId, BTreeSet<BuildId>>;

/// The builds that the targets of a service have run lately, as far as a host has seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// The host has not seen the targets for long enough to tell.
    Unsettled,
    /// One build.
    Only(BuildId),
    /// Several builds.
    Several,
}

/// The builds of each service's targets that a host has seen lately.
#[derive(Clone, Debug, Default)]
pub struct Builds {
    /// Whether the deployment started with this process, so that there were no targets before.
    is_first_start: bool,
    /// When this host first saw any targets.
    since: Option<Instant>,
    /// Since when no target can have come and gone without this host.
    complete_since: Option<Instant>,
    /// When the targets were last known.
    known: Option<Instant>,
    /// The builds that an earlier process of this host knew, until this one sees targets.
    earlier: Recent,
    /// When the last target of each build was gone; `None` if there is one.
    seen: BTreeMap<ServiceId, BTreeMap<BuildId, Option<Instant>>>,
}

impl Builds {
    /// Sets whether the deployment started with this process, at [`Instant::ZERO`].
    pub fn with_first_start(self, is_first_start: bool) -> Self {
        Self { is_first_start, ..self }
    }

    /// Sets the builds that an earlier process of this host knew. Their targets may have left while no
    /// process of it ran, so they count as gone only once this one sees targets.
    pub fn with_earlier(self, earlier: Recent) -> Self {
        Self { earlier, ..self }
    }

    /// Returns the builds that targets have run lately.
    pub fn recent(&self) -> Recent {
        let mut recent = self.earlier.clone();
        for (service, seen) in &self.seen {
            recent.entry(service.clone()).or_default().extend(seen.keys().cloned());
        }
        recent
    }

    /// Records the targets that are registered now.
    pub fn observe<'a>(&mut self, targets: impl Iterator<Item = &'a Target>, now: Instant) {
        self.confirm(now);
        for gone in self.seen.values_mut().flat_map(BTreeMap::values_mut) {
            gone.get_or_insert(now);
        }
        for target in targets {
            self.since.get_or_insert(now);
            let builds = self.seen.entry(target.service.clone()).or_default();
            builds.insert(target.build.clone(), None);
        }
        if self.since.is_some() {
            for (service, builds) in mem::take(&mut self.earlier) {
                let seen = self.seen.entry(service).or_default();
                builds.into_iter().for_each(|build| _ = seen.entry(build).or_insert(Some(now)));
            }
        }
        self.seen.retain(|_, builds| {
            builds.retain(|_, gone| is_recent(*gone, now));
            !builds.is_empty()
        });
    }

    /// Records that the targets have not changed since they were last observed.
    pub fn confirm(&mut self, now: Instant) {
        let since = match self.known.replace(now) {
            None if self.is_first_start && now < Instant::ZERO + START_TIME => Instant::ZERO,
            Some(known) if now < known + MAX_GAP => return,
            None | Some(_) => now,
        };
        self.complete_since = Some(since);
    }

    /// Returns the build that all targets of these services run, and ran lately as far as this host
    /// has seen; `None` if there are several or none.
    pub fn only<'a>(
        &self,
        services: impl Iterator<Item = &'a ServiceId>,
        now: Instant,
    ) -> Option<&BuildId> {
        let seen = services.filter_map(|service| self.seen.get(service)).flatten();
        let recent = seen.filter(|(_, gone)| is_recent(**gone, now));
        let builds: BTreeSet<&BuildId> = recent.map(|(build, _)| build).collect();
        builds.first().copied().filter(|_| builds.len() == 1)
    }

    /// Returns whether this host has seen all targets of the last `duration`, also those that have
    /// left since.
    pub fn is_complete(&self, duration: Duration, now: Instant) -> bool {
        let is_complete = |since: Instant| since == Instant::ZERO || now >= since + duration;
        self.complete_since.is_some_and(is_complete)
    }

    /// Returns the builds of a service once this host has seen targets for `duration`.
    pub fn seen(&self, service: &ServiceId, duration: Duration, now: Instant) -> Seen {
        if self.since.is_none_or(|since| now < since + duration) {
            return Seen::Unsettled;
        }
        self.only(iter::once(service), now).map_or(Seen::Several, |build| Seen::Only(build.clone()))
    }
}

/// Returns whether a stream of a build whose last target was gone at `gone` may still go on.
fn is_recent(gone: Option<Instant>, now: Instant) -> bool {
    gone.is_none_or(|gone| now < gone + RETENTION)
}
