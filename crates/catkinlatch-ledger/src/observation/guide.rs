//! A sender's part: what it reports, and what the leader told it.

use super::{Digest, Durations, Event, Load, Observation, Table};
use crate::Target;
use catkinlatch_base::{Instant, ServiceId, TargetId, Term};
use std::{collections::BTreeMap, mem, time::Duration};

/// The most durations that are reported of a service at once.
const MAX_DURATIONS: usize = 32;

/// The most services of which durations are kept until the next report.
const MAX_SERVICES: usize = 64;

/// A target counts as silent if it was overtaken after this multiple of the 95th percentile of its
/// service. A target that is slow for a moment mostly answers before that.
const SILENCE_FACTOR: f64 = 1.5;

/// What a sender observed since its last report.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// Number of the report, by which the leader tells apart those that arrive twice.
    pub sequence: u64,
    /// What was observed of targets.
    pub observations: Vec<Observation>,
    /// How long answered requests took.
    pub durations: Vec<Durations>,
}

/// The estimates of a sender, and the guidance of the leader while its lease lasts.
#[derive(Clone, Debug, Default)]
pub struct Guide {
    table: Table,
    sequence: u64,
    durations: BTreeMap<ServiceId, Vec<u32>>,
    term: Term,
    digest: Digest,
    valid_until: Instant,
    reported_at: Instant,
}

impl Guide {
    /// Returns what was observed since the last call, for a report.
    pub fn take_news(&mut self, now: Instant) -> News {
        self.sequence += 1;
        self.reported_at = now;
        let durations = mem::take(&mut self.durations).into_iter();
        let durations = durations.map(|(service, ms)| Durations { service, ms });
        News {
            sequence: self.sequence,
            observations: self.table.take_news(now),
            durations: durations.collect(),
        }
    }

    /// Takes over the guidance of the leader of `term` in answer to a report that was sent at
    /// `sent_at`; `running` returns the sender's own requests in flight at a target. Guidance of an
    /// earlier term than the latest, or in answer to an earlier report, is ignored.
    pub fn adopt(
        &mut self,
        term: Term,
        (sent_at, lease): (Instant, Duration),
        digest: Digest,
        running: impl Fn(&TargetId) -> u32,
        now: Instant,
    ) {
        let is_overtaken = term == self.term && sent_at + lease < self.valid_until;
        if term < self.term || is_overtaken {
            return;
        }
        for observation in digest.observations.iter().take(super::MAX_OBSERVATIONS) {
            self.table.adopt(observation, running(&observation.target), now);
        }
        (self.term, self.digest, self.valid_until) = (term, digest, sent_at + lease);
    }

    /// Returns whether the leader said that targets of a service are selected by what all senders
    /// have observed, and its lease still lasts.
    pub fn is_on(&self, service: &ServiceId, now: Instant) -> bool {
        now < self.valid_until && self.digest.scopes.iter().any(|scope| scope.service == *service)
    }

    /// Returns the number of services for which the last guidance turned the part on.
    pub fn services(&self) -> usize {
        self.digest.scopes.len()
    }

    /// Returns whether a report should be sent now, when a request for a service begins or was
    /// answered, rather than when the next one is due.
    pub fn is_refresh_due(&self, service: &ServiceId, now: Instant) -> bool {
        let interval = Duration::from_millis(self.digest.refresh_ms.into());
        self.is_on(service, now) && now >= self.reported_at + interval
    }

    /// Returns the time after which a request of a service with this objective is late: over the
    /// 95th percentile of the service and past half of the objective. Returns `None` if the part is
    /// off for the service, or too few durations are known.
    pub fn late_after(
        &self,
        service: &ServiceId,
        objective: Duration,
        now: Instant,
    ) -> Option<Duration> {
        Some(self.late(service, now)?.max(objective / 2))
    }

    /// Returns whether a target of a service that did not answer a request within `took`, and was
    /// overtaken by another one, counts as silent.
    pub fn is_silence(&self, service: &ServiceId, took: Duration, now: Instant) -> bool {
        self.late(service, now).is_some_and(|late| took >= late.mul_f64(SILENCE_FACTOR))
    }

    /// Returns the 95th percentile of the durations of a service's requests, if it is known.
    fn late(&self, service: &ServiceId, now: Instant) -> Option<Duration> {
        let mut scopes = self.digest.scopes.iter().filter(|_| now < self.valid_until);
        let late_ms = scopes.find(|scope| scope.service == *service)?.late_ms?;
        Some(Duration::from_millis(late_ms.into()))
    }

    /// Returns whether a target is in cooldown.
    pub fn is_in_cooldown(&self, target: &Target) -> bool {
        let is_same = |cooldown: &&super::Cooldown| {
            cooldown.target == target.id && cooldown.born_ms == target.born_ms
        };
        self.digest.cooldowns.iter().any(|cooldown| is_same(&cooldown))
    }

    /// Returns a target in cooldown that this sender may ask the leader to retry, among `targets`.
    pub fn open<'a>(&self, mut targets: impl Iterator<Item = &'a Target>) -> Option<&'a Target> {
        let open = |target: &Target| {
            let mut open = self.digest.cooldowns.iter().filter(|cooldown| cooldown.is_open);
            open.any(|open| open.target == target.id && open.born_ms == target.born_ms)
        };
        targets.find(|target| open(target))
    }

    /// Returns the estimates of targets.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Records a load that a target stated in an answer to this sender, which has `own` requests in
    /// flight there.
    pub fn record_load(&mut self, target: (&TargetId, u64), load: Load, own: u32, now: Instant) {
        self.table.record_load(target, load, own, now);
    }

    /// Records how a request of this sender ended at a target.
    pub fn record(&mut self, target: (&TargetId, u64), event: Event, now: Instant) {
        self.table.record(target, event, now);
    }

    /// Records how long an answered request of a service took.
    pub fn record_duration(&mut self, service: &ServiceId, took: Duration) {
        if self.durations.len() >= MAX_SERVICES && !self.durations.contains_key(service) {
            return;
        }
        let durations = self.durations.entry(service.clone()).or_default();
        if durations.len() < MAX_DURATIONS {
            durations.push(u32::try_from(took.as_millis()).unwrap_or(u32::MAX));
        }
    }

    /// Drops the targets that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&TargetId) -> bool) {
        self.table.retain(is_known);
    }
}
