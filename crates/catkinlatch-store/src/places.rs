//! The leader's division of services' places among entry hosts and its scoring calls.

use crate::host::Host;
use catkinlatch_base::{HostId, Instant, ServiceId, Term};
use catkinlatch_route::places::{Division, Holder, Need};
use catkinlatch_runtime::{
    Reply,
    message::{self, Report},
};
use log::info;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Duration of the lease of a share.
pub const LEASE: Duration = Duration::from_millis(1_500);

/// Interval at which places and hosts are counted. Targets and hosts change within a heartbeat, and
/// 246 hosts report 500 times a second.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// The scoring calls of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    running: u32,
    waiting: u32,
}

#[derive(Default)]
struct Table {
    term: Term,
    counted_at: Option<Instant>,
    divisions: BTreeMap<ServiceId, Division>,
    calls: BTreeMap<ServiceId, BTreeMap<u8, Calls>>,
}

/// The divisions of all services that have fewer places than there are entry hosts.
#[derive(Clone, Default)]
pub struct Places(Arc<Mutex<Table>>);

impl Places {
    /// Records the demands in a report, and returns the host's shares; empty if no service needs to
    /// be divided.
    pub fn guide(&self, host: &Host, term: Term, report: &Report) -> Vec<message::Places> {
        let now = host.clock.now();
        let mut table = self.lock();
        table.count(host, term, now);
        let holder = Holder::Host(report.host.clone());
        let shares = table.divisions.iter_mut().filter_map(|(service, division)| {
            let demand = report.demands.iter().find(|demand| demand.service == *service);
            let need = demand.map(|demand| Need {
                running: demand.running,
                waiting: demand.waiting,
                rank: demand.priority,
            });
            let (held, need) = (demand.map_or(0, |demand| demand.share), need.unwrap_or_default());
            let share = division.grant(&holder, report.sequence, held, need, now)?;
            // With fewer places than hosts, the even share is the least one.
            Some(message::Places { service: service.clone(), share, fallback: 1 })
        });
        shares.collect()
    }

    /// Answers a host that needs one place more than it has.
    ///
    /// A new leader that cannot know yet which places are free does not say; the host then uses its
    /// even share, as it does without a leader.
    pub fn request(&self, host: &Host, term: Term, holder: HostId, service: &ServiceId) -> Reply {
        let now = host.clock.now();
        let mut table = self.lock();
        table.count(host, term, now);
        let Some(division) = table.divisions.get_mut(service) else { return Reply::Place(true) };
        if division.is_waiting(now) {
            return Reply::Nothing;
        }
        let is_granted = division.add_place(&Holder::Host(holder), now);
        let label = if is_granted { "granted" } else { "denied" };
        metrics::counter!("catkinlatch_place_requests", "answer" => label).increment(1);
        Reply::Place(is_granted)
    }

    /// Registers a scoring call of a job of this rank.
    pub fn call(&self, rank: u8) -> Call {
        Call { places: self.clone(), rank, service: None, is_running: false }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A scoring call that waits or runs, until dropped.
pub struct Call {
    places: Places,
    rank: u8,
    service: Option<ServiceId>,
    is_running: bool,
}

impl Call {
    /// Takes a place of a service for the call; returns whether it may run now. It waits otherwise.
    ///
    /// A call may always run if the service's places are not divided.
    pub fn take(&mut self, host: &Host, service: &ServiceId) -> bool {
        let now = host.clock.now();
        self.leave(Some(now));
        let places = self.places.clone();
        let mut table = places.lock();
        if let Some(term) = host.replica.fencing_token() {
            table.count(host, term, now);
        }
        self.service = Some(service.clone());
        table.calls_mut(service, self.rank).waiting += 1;
        let before = table.waiting_before(service, self.rank);
        let need = table.need(service);
        let division = table.divisions.get_mut(service);
        if division.is_some_and(|division| !division.take_own(need, before, now)) {
            return false;
        }
        let calls = table.calls_mut(service, self.rank);
        calls.waiting -= 1;
        calls.running += 1;
        self.is_running = true;
        true
    }

    /// Returns the place, since the call has ended.
    pub fn end(&mut self, now: Instant) {
        self.leave(Some(now));
    }

    fn leave(&mut self, now: Option<Instant>) {
        let Some(service) = self.service.take() else { return };
        let mut table = self.places.lock();
        let calls = table.calls_mut(&service, self.rank);
        let is_running = std::mem::take(&mut self.is_running);
        let count = if is_running { &mut calls.running } else { &mut calls.waiting };
        *count = count.saturating_sub(1);
        let need = table.need(&service);
        let now = now.filter(|_| is_running);
        if let Some((division, now)) = table.divisions.get_mut(&service).zip(now) {
            division.record_own(need, now);
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        // The place itself is free at the next record of the leader's calls, or when its time ends.
        self.leave(None);
    }
}

impl Table {
    /// Updates which services are divided, if they were not counted just now.
    fn count(&mut self, host: &Host, term: Term, now: Instant) {
        if self.term != term {
            (self.term, self.counted_at) = (term, None);
            self.divisions.clear();
        }
        if self.counted_at.is_some_and(|at| now < at + COUNT_INTERVAL) {
            return;
        }
        self.counted_at = Some(now);
        let elected_at = host.replica.leading_since().unwrap_or(now);
        let divided = divided_services(host);
        self.divisions.retain(|service, _| {
            let is_divided = divided.contains_key(service);
            if !is_divided {
                info!(service:% = service; "places: the service is not divided any more");
            }
            is_divided
        });
        for (service, places) in divided {
            let division = self.divisions.entry(service.clone()).or_insert_with(|| {
                info!(service:% = service, places = places; "places: the service is divided");
                Division::new(places, LEASE, elected_at)
            });
            division.set_places(places);
            let label = [("service", service.to_string())];
            metrics::gauge!("catkinlatch_places", &label).set(places);
            metrics::gauge!("catkinlatch_places_committed", &label).set(division.committed(now));
        }
    }

    fn calls_mut(&mut self, service: &ServiceId, rank: u8) -> &mut Calls {
        self.calls.entry(service.clone()).or_default().entry(rank).or_default()
    }

    /// Returns the number of calls of higher ranks that wait.
    fn waiting_before(&self, service: &ServiceId, rank: u8) -> u32 {
        let ranks = self.calls.get(service);
        ranks.map_or(0, |ranks| ranks.range(..rank).map(|(_, calls)| calls.waiting).sum())
    }

    fn need(&self, service: &ServiceId) -> Need {
        let mut need = Need::default();
        let ranks = self.calls.get(service).into_iter().flatten();
        let mut ranks = ranks.filter(|(_, calls)| calls.running + calls.waiting > 0).peekable();
        need.rank = ranks.peek().map_or(0, |(rank, _)| **rank);
        for (_, calls) in ranks {
            need.running += calls.running;
            need.waiting += calls.waiting;
        }
        need
    }
}

/// Returns the plain services that have fewer places than there are ready entry hosts, with their
/// places. The slots of engines are assigned to items by the schedule.
fn divided_services(host: &Host) -> BTreeMap<ServiceId, u32> {
    if !host.settings.divides_slots {
        return BTreeMap::new();
    }
    let document = host.replica.read(|state| state.document.clone());
    let Some(document) = document else { return BTreeMap::new() };
    let soft = host.soft_state();
    let hosts = soft.entries().filter(|entry| entry.is_ready).count();
    let services = document.configuration.services.iter().filter(|service| !service.is_engine);
    let places = services.map(|service| {
        let targets = soft.registry.targets();
        let ready = targets.filter(|target| target.service == service.name && target.is_ready());
        let slots = ready.map(|target| target.slots).fold(0, u32::saturating_add);
        (service.name.clone(), slots)
    });
    places.filter(|(_, places)| (1..hosts).contains(&(*places as usize))).collect()
}
