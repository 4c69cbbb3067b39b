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
    iter,
    time::Duration,
};

/// How long a stream may go on after the last target of the build that began it has gone.
pub const RETENTION: Duration = Duration::from_secs(120);

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
    /// When this host first saw any targets.
    since: Option<Instant>,
    /// When the last target of each build was gone; `None` if there is one.
    seen: BTreeMap<ServiceId, BTreeMap<BuildId, Option<Instant>>>,
}

impl Builds {
    /// Records the targets that are registered now.
    pub fn observe<'a>(&mut self, targets: impl Iterator<Item = &'a Target>, now: Instant) {
        for gone in self.seen.values_mut().flat_map(BTreeMap::values_mut) {
            gone.get_or_insert(now);
        }
        for target in targets {
            self.since.get_or_insert(now);
            let builds = self.seen.entry(target.service.clone()).or_default();
            builds.insert(target.build.clone(), None);
        }
        self.seen.retain(|_, builds| {
            builds.retain(|_, gone| is_recent(*gone, now));
            !builds.is_empty()
        });
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

    /// Returns whether this host has seen targets for `duration`.
    pub fn is_settled(&self, duration: Duration, now: Instant) -> bool {
        self.since.is_some_and(|since| now >= since + duration)
    }

    /// Returns the builds of a service once this host has seen targets for `duration`.
    pub fn seen(&self, service: &ServiceId, duration: Duration, now: Instant) -> Seen {
        if !self.is_settled(duration, now) {
            return Seen::Unsettled;
        }
        self.only(iter::once(service), now).map_or(Seen::Several, |build| Seen::Only(build.clone()))
    }
}

/// Returns whether a stream of a build whose last target was gone at `gone` may still go on.
fn is_recent(gone: Option<Instant>, now: Instant) -> bool {
    gone.is_none_or(|gone| now < gone + RETENTION)
}
