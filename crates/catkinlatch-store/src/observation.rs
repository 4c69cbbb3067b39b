//! The leader's part in sharing what senders learn of targets.

use crate::{host::Host, shared::Shared as Runs};
use catkinlatch_base::{HostId, Instant, ServiceId, TargetId};
use catkinlatch_ledger::{
    Balancer, Target,
    observation::{Change, Digest, Event, Hub, Load, Selection, select},
};
use catkinlatch_platform::header;
use catkinlatch_runtime::message::Report;
use log::info;
use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// What the leader knows of targets, from reports and from its own scoring calls.
///
/// Locks are taken in the order soft state, balancer, hub.
pub struct Shared {
    own: HostId,
    hub: Mutex<Hub>,
    /// The requests of the leader itself; `None` before it first led.
    runs: Mutex<Option<Runs>>,
}

impl Shared {
    /// Creates the state of a host that has heard nothing yet.
    pub fn new(own: HostId) -> Self {
        let hub = Mutex::new(Hub::new(own.clone()));
        Self { own, hub, runs: Mutex::default() }
    }

    /// Forgets what an earlier term learned; `runs` are the requests of the new one.
    pub fn restart(&self, runs: Runs) {
        *self.lock() = Hub::new(self.own.clone());
        *self.runs.lock().unwrap_or_else(PoisonError::into_inner) = Some(runs);
    }

    /// Locks the hub; the guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, Hub> {
        self.hub.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn runs(&self) -> Option<Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Records the report of an entry host; returns what it is told.
pub fn answer(host: &Host, report: &Report) -> Digest {
    if !host.settings.shares_observations {
        return Digest::default();
    }
    update(host);
    let now = host.clock.now();
    let runs = host.observations.runs();
    let balancer = runs.as_ref().map(|runs| runs.balancer());
    let running =
        |target: &TargetId| balancer.as_ref().map_or(0, |balancer| balancer.running(target));
    let source = (&report.host, report.incarnation, report.sequence);
    let mut hub = host.observations.lock();
    hub.record_report(source, &report.observations, &report.durations, running, now);
    hub.digest().clone()
}

/// Returns whether a host may retry a target in cooldown.
pub fn grant_retry(host: &Host, sender: &HostId, target: &TargetId) -> bool {
    let now = host.clock.now();
    let is_granted = host.observations.lock().grant_retry(sender, target, now);
    if is_granted {
        info!(host:% = sender, target_id:% = target; "targets: a host retries one in cooldown");
    }
    is_granted
}

/// Updates what entry hosts are told, if that is due.
pub fn update(host: &Host) {
    if !host.settings.shares_observations {
        return;
    }
    let now = host.clock.now();
    if !host.observations.lock().is_due(now) {
        return;
    }
    let changes = {
        let soft = host.soft_state();
        let ready_entries = soft.entries().filter(|entry| entry.is_ready).count();
        let runs = host.observations.runs();
        let balancer = runs.as_ref().map(|runs| runs.balancer());
        let running =
            |target: &TargetId| balancer.as_ref().map_or(0, |balancer| balancer.running(target));
        let mut hub = host.observations.lock();
        hub.update(soft.registry.targets(), ready_entries, running, now);
        hub.take_changes()
    };
    changes.iter().for_each(log_change);
}

fn log_change(change: &Change) {
    match change {
        Change::Began { target, senders, pause } => {
            metrics::counter!("catkinlatch_store_cooldowns").increment(1);
            info!(
                target_id:% = target, senders = senders, pause_ms = pause.as_millis() as u64;
                "targets: in cooldown, senders agree that it fails"
            );
        }
        Change::Continued { target, pause } => info!(
            target_id:% = target, pause_ms = pause.as_millis() as u64;
            "targets: stays in cooldown, a retry failed"
        ),
        Change::Ended { target, was_retried } => {
            info!(target_id:% = target, was_retried = was_retried; "targets: out of cooldown");
        }
    }
}

/// Returns the target for a scoring call; `balancer` is that of the leader's own requests.
pub fn pick<'a>(
    host: &Host,
    balancer: &Balancer,
    service: &ServiceId,
    targets: impl Iterator<Item = &'a Target>,
    tried: &BTreeSet<TargetId>,
    now: Instant,
) -> Option<&'a Target> {
    let zone = &host.settings.zone;
    let mut hub = host.observations.lock();
    if !hub.is_on(service, now) {
        return balancer.pick(targets, zone, tried, now);
    }
    let targets: Vec<&Target> = targets.collect();
    let is_usable = |target: &&Target| target.is_ready() && !tried.contains(&target.id);
    let usable = targets.iter().copied().filter(is_usable);
    if let Some(open) = hub.open(usable, now)
        && hub.grant_retry(&host.settings.host, &open.id, now)
    {
        return Some(open);
    }
    let (table, random) = (hub.table(), fastrand::f64());
    let selection = Selection { table, balancer, zone, tried, now, random };
    // A call waits rather than go to a target in cooldown because the others have no room.
    let healthy = targets.into_iter().filter(|target| !hub.is_in_cooldown(&target.id));
    select(&selection, healthy, |_| false)
}

/// Records how a scoring call ended, and the load that the target stated in its answer; `own` is
/// the number of the leader's own requests in flight there.
pub fn record(
    host: &Host,
    target: &Target,
    event: Event,
    took: Duration,
    load: Option<header::Load>,
    own: u32,
) {
    let now = host.clock.now();
    let mut hub = host.observations.lock();
    hub.record(target, event, took, now);
    if let Some(header::Load { running, waiting, pace, .. }) = load {
        hub.record_load(target, Load { running, waiting, pace }, own, now);
    }
}
