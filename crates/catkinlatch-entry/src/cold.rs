//! Cold targets: what this host may send to them.
//!
//! The leader grants shares of what a cold target may get; without a valid share this host sends
//! nothing to it. Nothing here has any effect where the settings name no bounds.

use crate::{front::InboundRequest, host::Host};
use catkinlatch_base::{Instant, TargetId};
use catkinlatch_ledger::{
    ColdTargets, Target,
    cold::{self, Bound, Entrance, Start},
};
use catkinlatch_platform::{decode_cold_limits, header};
use catkinlatch_route::cold::{Change, Holder, Limit};
use catkinlatch_runtime::{
    Message, Reply,
    message::{ColdDemand, Guidance},
    settings,
};
use http::{Response, StatusCode};
use log::info;
use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::Notify, time};

/// Interval at which this host checks whether the limits of the configuration in force are known.
const LIMITS_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a request for the configuration.
const LIMITS_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest number of targets in a report.
const MAX_DEMANDS: usize = 64;

/// Cold targets as this host knows them, and its shares.
pub struct Cold {
    settings: Option<settings::Cold>,
    table: Mutex<Table>,
    /// Notified when a request lacks allowance, so that the next report is sent at once.
    shortage: Notify,
}

#[derive(Default)]
struct Table {
    targets: ColdTargets,
    holder: Holder<Start>,
    /// Number of reports so far.
    reports: u64,
    /// Targets that this host found cold itself since its last report.
    found: BTreeSet<Start>,
}

impl Cold {
    /// Creates the table of a host that knows no targets; `settings` is `None` where cold targets
    /// are not limited.
    pub fn new(settings: Option<settings::Cold>) -> Self {
        Self { settings, table: Mutex::default(), shortage: Notify::new() }
    }

    fn is_on(&self) -> bool {
        self.settings.is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a request lacks allowance for a cold target.
    pub async fn shortage(&self) {
        self.shortage.notified().await;
    }

    /// Records what the registrations of targets in a view state.
    pub fn observe_view(&self, targets: &[Target], now: Instant) {
        if self.is_on() {
            let mut table = self.lock();
            table.targets.observe_all(targets.iter(), now);
            table.targets.expire(now);
            table.holder.expire(now);
        }
    }

    /// Returns whether a target is cold, so that this host needs a share of what it tolerates.
    pub fn limits(&self, target: &Target, now: Instant) -> bool {
        self.is_on() && self.lock().targets.is_limited(target, now)
    }

    /// Takes one request from the share of a target just before it is sent; returns whether it may
    /// be sent.
    pub fn admit(&self, target: &Target, now: Instant) -> bool {
        let mut table = self.lock();
        if table.targets.count_sent(target).is_some() {
            metrics::counter!("catkinlatch_entry_limited_sent").increment(1);
        }
        if !self.is_on() {
            return true;
        }
        let start = cold::start(target);
        let is_admitted = match table.targets.bound(target, now) {
            Bound::Free => true,
            Bound::Warm => {
                table.holder.record(&start, now);
                true
            }
            Bound::Limited { factor, .. } => table.holder.admit(&start, factor, now),
        };
        if !is_admitted {
            metrics::counter!("catkinlatch_entry_cold_not_sent").increment(1);
        }
        is_admitted
    }

    /// Records what the response to a request that was sent at `sent` tells about a target.
    ///
    /// A misdirected request was answered by another target, and does not count.
    pub fn record_response<B>(
        &self,
        target: &Target,
        response: &Response<B>,
        sent: Option<Instant>,
        now: Instant,
    ) {
        let mut table = self.lock();
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            if let Some(sent) = sent.filter(|_| self.is_on()) {
                table.holder.refund(&cold::start(target), sent);
            }
            return;
        }
        let rate = header::limit(response.headers());
        if rate.is_some() || response.status().is_success() {
            let change = table.targets.observe_rate(target, rate, sent.unwrap_or(now), now);
            log_change(target, change);
        }
        if !self.is_on() {
            return;
        }
        let left = Duration::from_millis(header::cold_ms(response.headers()).unwrap_or(0));
        if table.targets.observe(target, left, now) {
            table.found.insert(cold::start(target));
            info!(
                target_id:% = target.id, born_ms = target.born_ms, cold_ms = left.as_millis() as u64;
                "entry: a target is cold"
            );
            self.shortage.notify_one();
        }
    }

    /// Returns what to tell the leader about cold targets, in a report that is sent now.
    pub fn report(&self, now: Instant) -> Vec<ColdDemand> {
        if !self.is_on() {
            return Vec::new();
        }
        let mut table = self.lock();
        table.reports += 1;
        let number = table.reports;
        let demands = table.holder.take_demands(now);
        let found = std::mem::take(&mut table.found);
        let demand = |start: Start, wanted: u32, used: u32, idle: Duration| ColdDemand {
            number,
            cold_ms: millis(table.targets.left_of(&start, now)),
            target: start.0,
            born_ms: start.1,
            wanted,
            used,
            idle_ms: millis(idle),
        };
        let asked: BTreeSet<Start> = demands.iter().map(|demand| demand.start.clone()).collect();
        let demands = demands.into_iter().map(|d| demand(d.start, d.wanted, d.used, d.idle));
        let found = found.into_iter().filter(|start| !asked.contains(start));
        let found = found.map(|start| demand(start, 0, 0, Duration::ZERO));
        demands.chain(found).take(MAX_DEMANDS).collect()
    }

    /// Takes over the shares that the leader has granted in answer to a report sent at `sent`.
    pub fn accept(&self, guidance: &Guidance, targets: &[Target], sent: Instant, now: Instant) {
        if !self.is_on() {
            return;
        }
        let until = sent + Duration::from_millis(guidance.lease_ms.into());
        let mut table = self.lock();
        for share in &guidance.cold {
            let start = (share.target.clone(), share.born_ms);
            let target = targets.iter().find(|target| cold::start(target) == start);
            if let Some(target) = target {
                let left = Duration::from_millis(share.cold_ms.into());
                table.targets.observe(target, left, now);
            }
            if share.per_second > 0 {
                table.holder.accept(&start, share.per_second, until);
            }
        }
        metrics::gauge!("catkinlatch_entry_cold_shares").set(f64::from(table.holder.shares(now)));
    }
}

/// Logs that a target limits what it takes, or no longer does.
fn log_change(target: &Target, change: Change) {
    match change {
        Change::Unchanged => {}
        Change::Limited(rate) => info!(
            target_id:% = target.id, born_ms = target.born_ms, per_second:% = rate;
            "entry: a target limits what it takes"
        ),
        Change::Lifted { sent } => info!(
            target_id:% = target.id, born_ms = target.born_ms, sent = sent;
            "entry: a target no longer limits what it takes"
        ),
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Picks a target among `targets`; a cold one only with allowance, and if no warm one has room.
///
/// If only cold targets without allowance could take the request, the leader is asked at once.
pub fn pick<'a>(
    host: &Host,
    targets: impl Iterator<Item = &'a Target>,
    tried: &BTreeSet<TargetId>,
    now: Instant,
) -> Option<&'a Target> {
    let zone = &host.settings.zone;
    if !host.cold.is_on() {
        return host.balancer().pick(targets, zone, tried, now);
    }
    let mut table = host.cold.lock();
    let entrance = |target: &Target| match table.targets.bound(target, now) {
        Bound::Free | Bound::Warm => Entrance::Warm,
        Bound::Limited { factor, .. } => {
            let has_room = table.holder.has_room(&cold::start(target), factor, now);
            if has_room { Entrance::Cold } else { Entrance::Closed }
        }
    };
    let pick = cold::pick(&host.balancer(), targets, entrance, zone, tried, now);
    if let Some(closed) = pick.closed
        && table.holder.want(&cold::start(closed))
    {
        host.cold.shortage.notify_one();
    }
    pick.target
}

/// Returns whether a target of the request's route that was not tried yet is cold, so that the
/// request may wait for allowance.
pub fn may_wait(
    host: &Host,
    inbound: &InboundRequest,
    tried: &BTreeSet<TargetId>,
    now: Instant,
) -> bool {
    if !host.cold.is_on() {
        return false;
    }
    let view = host.view();
    let leaving = host.leaving();
    let services = inbound.route.shares.iter().map(|share| &share.service);
    let mut targets = services.flat_map(|service| view.targets(service));
    let table = host.cold.lock();
    targets.any(|target| {
        target.is_ready()
            && !tried.contains(&target.id)
            && !leaving.contains(target)
            && table.targets.is_limited(target, now)
    })
}

/// Keeps the limits of the configuration in force until the process stops.
///
/// The configuration that entry hosts follow has no fields for them, so they are taken from the
/// document that the operator sent.
pub async fn follow_limits(host: Arc<Host>) {
    let Some(settings) = host.settings.cold else { return };
    let mut known = None;
    loop {
        let version = host.view().version();
        if version != known
            && let Some(leader) = host.leader_client.leader()
        {
            let call = host.peers.call::<Reply>(&leader, &Message::Configuration, LIMITS_TIMEOUT);
            if let Ok(Reply::Configuration(Some(source))) = call.await
                && let Ok(limits) = decode_cold_limits(&source)
            {
                let limit = |(service, limit): (_, catkinlatch_platform::ColdLimit)| {
                    let limit = Limit::new(limit.per_second, settings.excess, settings.slack)?;
                    Some((service, limit))
                };
                let limits = limits.into_iter().filter_map(limit).collect();
                host.cold.lock().targets.set_limits(limits);
                known = version;
            }
        }
        time::sleep(LIMITS_INTERVAL).await;
    }
}
