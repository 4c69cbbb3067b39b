//! The leader's part: gathers what senders report and decides what they are told.

use super::{
    Change, Cooldown, Durations, Event, Load, Observation, Scope, Table, cooldown::Case,
    duration::History,
};
use crate::Target;
use catkinlatch_base::{HostId, Incarnation, Instant, ServiceId, TargetId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How often the leader updates what it tells senders. It answers up to 500 reports a second.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time between a report and one that a sender sends early, in milliseconds.
///
/// Machines are slow for about half a second at a time: in plays of 60 senders, 12 to 14% of the
/// requests reached a slow target with reports each 500 ms alone, and 9% with early ones as well.
const MIN_REFRESH_MS: u32 = 100;

/// That time per entry host, in milliseconds, so that the leader gets at most 500 early reports a
/// second however busy its senders are.
const REFRESH_MS_PER_ENTRY: u32 = 2;

/// How often the leader looks for targets that came or went: there may be a thousand.
const TARGETS_INTERVAL: Duration = Duration::from_millis(250);

/// How often the leader states what it has seen itself, as senders do in their reports.
const OWN_INTERVAL: Duration = Duration::from_millis(500);

/// How long after a target last stated a pace its service stays on: longer than senders that are
/// told nothing take to report again.
const PACE_RETENTION: Duration = Duration::from_secs(30);

/// The most durations that one report adds for a service.
const MAX_DURATIONS: usize = 32;

/// One of this many targets of a service may be in cooldown.
const COOLDOWN_DIVISOR: usize = 3;

/// What the leader tells all senders.
#[derive(Clone, Debug, Default)]
pub struct Digest {
    /// What is known of the targets that changed most.
    pub observations: Vec<Observation>,
    /// The targets in cooldown.
    pub cooldowns: Vec<Cooldown>,
    /// The services for which targets are selected by what all senders have observed.
    pub scopes: Vec<Scope>,
    /// Shortest time between a report and one that a sender sends early, in milliseconds.
    pub refresh_ms: u32,
}

/// The ready targets of a service.
#[derive(Clone, Debug, Default)]
struct Service {
    targets: BTreeSet<TargetId>,
    /// Whether the service has fewer slots than there are entry hosts.
    is_scarce: bool,
    /// When a target last stated a pace.
    paced_at: Option<Instant>,
    history: History,
}

/// Gathers what senders report and decides what they are told.
#[derive(Clone, Debug)]
pub struct Hub {
    own: HostId,
    table: Table,
    /// The start and the last report of each sender.
    senders: BTreeMap<HostId, (Incarnation, u64)>,
    services: BTreeMap<ServiceId, Service>,
    /// The service and the start of each ready target.
    starts: BTreeMap<TargetId, (ServiceId, u64)>,
    cases: BTreeMap<TargetId, Case>,
    changes: Vec<Change>,
    digest: Digest,
    updated_at: Option<Instant>,
    targets_at: Option<Instant>,
    stated_at: Instant,
}

impl Hub {
    /// Creates the hub of a leader that has heard nothing yet; `own` is the leader's host.
    pub fn new(own: HostId) -> Self {
        let (table, senders, services) = Default::default();
        let (starts, cases, changes, digest) = Default::default();
        let (updated_at, targets_at, stated_at) = (None, None, Instant::ZERO);
        Self {
            own,
            table,
            senders,
            services,
            starts,
            cases,
            changes,
            digest,
            updated_at,
            targets_at,
            stated_at,
        }
    }

    /// Returns whether [`Self::update`] is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.updated_at.is_none_or(|at| now >= at + UPDATE_INTERVAL)
    }

    /// Updates what senders are told, for these registered targets and this number of entry hosts
    /// that are ready; `running` returns the leader's own requests in flight at a target.
    pub fn update<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a Target>,
        ready_entries: usize,
        running: impl Fn(&TargetId) -> u32,
        now: Instant,
    ) {
        self.updated_at = Some(now);
        if self.targets_at.is_none_or(|at| now >= at + TARGETS_INTERVAL) {
            self.targets_at = Some(now);
            self.update_targets(targets, ready_entries);
        }
        if now >= self.stated_at + OWN_INTERVAL {
            self.stated_at = now;
            let own = self.own.clone();
            for observation in self.table.take_news(now) {
                self.state(&own, &observation, now);
            }
        }
        for (id, case) in &mut self.cases {
            self.changes.extend(case.advance(id, now));
        }
        self.digest = self.create_digest(ready_entries, now);
        for observation in &mut self.digest.observations {
            observation.leader_running = running(&observation.target);
        }
    }

    fn update_targets<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a Target>,
        ready_entries: usize,
    ) {
        let mut slots: BTreeMap<ServiceId, usize> = BTreeMap::new();
        let mut starts = BTreeMap::new();
        self.services.values_mut().for_each(|service| service.targets.clear());
        for target in targets.filter(|target| target.is_ready()) {
            *slots.entry(target.service.clone()).or_default() += target.slots as usize;
            let service = self.services.entry(target.service.clone()).or_default();
            service.targets.insert(target.id.clone());
            let before = self.starts.get(&target.id);
            if before.is_none_or(|(_, born_ms)| *born_ms != target.born_ms) {
                self.cases.remove(&target.id);
            }
            starts.insert(target.id.clone(), (target.service.clone(), target.born_ms));
        }
        self.starts = starts;
        self.services.retain(|_, service| !service.targets.is_empty());
        for (id, service) in &mut self.services {
            service.is_scarce = slots.get(id).is_some_and(|slots| *slots < ready_entries);
        }
        let starts = &self.starts;
        self.table.retain(|id| starts.contains_key(id));
        self.cases.retain(|id, _| starts.contains_key(id));
    }

    fn create_digest(&self, ready_entries: usize, now: Instant) -> Digest {
        let scopes = self.services.iter().filter(|(_, service)| service.is_on(now));
        let scopes = scopes.map(|(id, service)| Scope {
            service: id.clone(),
            late_ms: service.history.late_ms(now),
        });
        let scopes: Vec<Scope> = scopes.collect();
        if scopes.is_empty() {
            return Digest::default();
        }
        let is_supported =
            |id: &TargetId| self.cases.get(id).is_some_and(|case| case.is_supported());
        let observations = self.table.digest(|id| self.is_target_on(id, now), is_supported, now);
        let cooling = self.cases.iter().filter(|(_, case)| case.is_in_cooldown());
        let cooldowns = cooling.filter_map(|(id, case)| {
            let (_, born_ms) = self.starts.get(id)?;
            let is_open = case.is_open(now);
            Some(Cooldown { target: id.clone(), born_ms: *born_ms, is_open })
        });
        let entries = u32::try_from(ready_entries).unwrap_or(u32::MAX);
        let refresh_ms = entries.saturating_mul(REFRESH_MS_PER_ENTRY).max(MIN_REFRESH_MS);
        Digest { observations, cooldowns: cooldowns.collect(), scopes, refresh_ms }
    }

    /// Records the report of a sender; `running` returns the leader's own requests in flight at a
    /// target. A report that was received before, or was overtaken by a later one, is ignored.
    pub fn record_report(
        &mut self,
        (sender, incarnation, sequence): (&HostId, Incarnation, u64),
        observations: &[Observation],
        durations: &[Durations],
        running: impl Fn(&TargetId) -> u32,
        now: Instant,
    ) {
        let last = self.senders.insert(sender.clone(), (incarnation, sequence));
        if let Some(last) = last.filter(|last| last.0 == incarnation && last.1 >= sequence) {
            self.senders.insert(sender.clone(), last);
            return;
        }
        for observation in observations.iter().take(super::MAX_OBSERVATIONS) {
            let Some((service, born_ms)) = self.starts.get(&observation.target) else { continue };
            if *born_ms != observation.born_ms {
                continue;
            }
            let service = self.services.get_mut(service);
            if let Some(service) = service.filter(|_| observation.pace.is_some()) {
                service.paced_at = Some(now);
            }
            self.table.merge(observation, running(&observation.target), now);
            self.state(sender, observation, now);
        }
        for Durations { service, ms } in durations {
            if let Some(service) = self.services.get_mut(service) {
                ms.iter().take(MAX_DURATIONS).for_each(|ms| service.history.record(*ms, now));
            }
        }
    }

    /// Records a load that a target stated in an answer to the leader itself, which has `own`
    /// requests in flight there.
    pub fn record_load(&mut self, target: &Target, load: Load, own: u32, now: Instant) {
        self.table.record_load((&target.id, target.born_ms), load, own, now);
        let service = self.services.get_mut(&target.service);
        if let Some(service) = service.filter(|_| load.pace.is_some()) {
            service.paced_at = Some(now);
        }
    }

    /// Records how a request of the leader itself ended, and how long it took if it was answered.
    pub fn record(&mut self, target: &Target, event: Event, took: Duration, now: Instant) {
        self.table.record((&target.id, target.born_ms), event, now);
        let service = self.services.get_mut(&target.service);
        if let Some(service) = service.filter(|_| event == Event::Answered) {
            service.history.record(u32::try_from(took.as_millis()).unwrap_or(u32::MAX), now);
        }
    }

    /// Records what a sender states about a target in one report.
    fn state(&mut self, sender: &HostId, observation: &Observation, now: Instant) {
        let id = &observation.target;
        let Some((service, born_ms)) = self.starts.get(id) else { return };
        if *born_ms != observation.born_ms {
            return;
        }
        let Some(service) = self.services.get(service).filter(|service| service.is_on(now)) else {
            return;
        };
        let is_in_cooldown =
            |id: &&TargetId| self.cases.get(*id).is_some_and(|case| case.is_in_cooldown());
        let cooling = service.targets.iter().filter(is_in_cooldown).count();
        let may_begin = cooling < service.targets.len() / COOLDOWN_DIVISOR;
        let case = self.cases.entry(id.clone()).or_default();
        self.changes.extend(case.record(sender, observation, may_begin, now));
    }

    /// Allows a sender to retry a target in cooldown, unless another one does; returns whether it
    /// may.
    pub fn grant_retry(&mut self, sender: &HostId, id: &TargetId, now: Instant) -> bool {
        self.cases.get_mut(id).is_some_and(|case| case.grant_retry(sender, now))
    }

    /// Returns the part of [`Self::update`] that is for all senders.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the estimates for the leader's own requests.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns whether targets of a service are selected by what all senders have observed.
    pub fn is_on(&self, service: &ServiceId, now: Instant) -> bool {
        self.services.get(service).is_some_and(|service| service.is_on(now))
    }

    /// Returns whether a target is in cooldown.
    pub fn is_in_cooldown(&self, id: &TargetId) -> bool {
        self.cases.get(id).is_some_and(|case| case.is_in_cooldown())
    }

    /// Returns a target in cooldown that a sender may ask to retry now, among `targets`.
    pub fn open<'a>(
        &self,
        mut targets: impl Iterator<Item = &'a Target>,
        now: Instant,
    ) -> Option<&'a Target> {
        targets.find(|target| self.cases.get(&target.id).is_some_and(|case| case.is_open(now)))
    }

    /// Returns what changed about cooldowns since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn is_target_on(&self, id: &TargetId, now: Instant) -> bool {
        self.starts.get(id).is_some_and(|(service, _)| self.is_on(service, now))
    }
}

impl Service {
    fn is_on(&self, now: Instant) -> bool {
        self.is_scarce || self.paced_at.is_some_and(|at| now < at + PACE_RETENTION)
    }
}
