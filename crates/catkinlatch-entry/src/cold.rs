//! Limited targets: what this host may send to them.
//!
//! The leader grants shares of what a limited target may get; without a valid share this host sends
//! nothing to it. Cold targets are limited only where the settings name bounds, and others while
//! they state the rate that they take.

use crate::{front::InboundRequest, host::Host};
use catkinlatch_base::{Instant, TargetId};
use catkinlatch_ledger::{
    ColdTargets, Target,
    cold::{self, Bound, Entrance, Start},
};
use catkinlatch_platform::{decode_cold_limits, header};
use catkinlatch_route::cold::{Change, Demand, Holder, Limit, Statement};
use catkinlatch_runtime::{
    Message, Reply,
    message::{ColdDemand, Guidance, Stated},
    settings,
};
use http::{Response, StatusCode};
use log::info;
use std::{
    collections::{BTreeMap, BTreeSet},
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

/// Limited targets as this host knows them, and its shares.
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
    /// Targets that this host found limited, or no longer limited, since its last report.
    found: BTreeSet<Start>,
}

impl Table {
    /// Returns the time between two requests of this host to a target under `limit`, if this host is
    /// one of `hosts` that hear no leader. Cold targets get nothing meanwhile.
    fn pause_without_leader(
        &self,
        target: &Target,
        limit: Limit,
        hosts: Option<u32>,
    ) -> Option<Duration> {
        let is_stated = self.targets.rate(target).is_some_and(|rate| limit == Limit::of_rate(rate));
        hosts.filter(|_| is_stated).map(|hosts| limit.pause_without_leader(hosts))
    }
}

impl Cold {
    /// Creates the table of a host that knows no targets; `settings` is `None` where cold targets
    /// are not limited.
    pub fn new(settings: Option<settings::Cold>) -> Self {
        let targets = match settings {
            Some(_) => ColdTargets::default(),
            None => ColdTargets::without_cold_limits(),
        };
        let table = Mutex::new(Table { targets, ..Table::default() });
        Self { settings, table, shortage: Notify::new() }
    }

    fn is_on(&self) -> bool {
        self.settings.is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a request lacks allowance, or a target is found limited.
    pub async fn shortage(&self) {
        self.shortage.notified().await;
    }

    /// Records what targets state according to a view of the leader.
    ///
    /// A view may have been on its way for a while, so it changes nothing that is known already of the
    /// rate that a target takes.
    pub fn observe_view(&self, targets: &[Target], now: Instant) {
        let mut table = self.lock();
        if self.is_on() {
            table.targets.observe_all(targets.iter(), now);
        }
        for target in targets.iter().filter(|target| target.rate.is_some()) {
            let start = cold::start(target);
            if table.targets.statements().all(|(known, _)| *known != start) {
                let statement = Statement { rate: target.rate, at: now };
                log_change(&start, table.targets.adopt(&start, statement));
            }
        }
        let find = |id: &TargetId| targets.iter().find(|target| target.id == *id);
        table.targets.expire(find, now);
        table.holder.expire(now);
    }

    /// Returns whether any of the targets is limited, so that this host needs a share of what it may
    /// get.
    pub fn any_limited(&self, targets: &[&Target], now: Instant) -> bool {
        let table = self.lock();
        let is_limited = |target: &&Target| table.targets.is_limited(target, now);
        !table.targets.is_free() && targets.iter().any(is_limited)
    }

    /// Takes one request from the share of a target just before it is sent; returns whether it may
    /// be sent.
    ///
    /// `hosts` is the number of entry hosts if this one hears no leader.
    pub fn admit(&self, target: &Target, hosts: Option<u32>, now: Instant) -> bool {
        let mut table = self.lock();
        let start = cold::start(target);
        let is_admitted = match table.targets.bound(target, now) {
            Bound::Free => true,
            Bound::Warm => {
                table.holder.record(&start, now);
                true
            }
            Bound::Limited { limit, factor } => {
                table.holder.admit(&start, factor, now)
                    || table.pause_without_leader(target, limit, hosts).is_some_and(|pause| {
                        table.holder.admit_without_leader(&start, pause, fastrand::f64(), now)
                    })
            }
        };
        if !is_admitted {
            metrics::counter!("catkinlatch_entry_cold_not_sent").increment(1);
        } else if table.targets.count_sent(target).is_some() {
            metrics::counter!("catkinlatch_entry_limited_sent").increment(1);
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
        let start = cold::start(target);
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            if let Some(sent) = sent {
                table.holder.refund(&start, sent);
            }
            return;
        }
        let rate = header::limit(response.headers());
        if rate.is_some() || response.status().is_success() {
            let change = table.targets.observe_rate(target, rate, sent.unwrap_or(now), now);
            log_change(&start, change);
            if change != Change::Unchanged {
                table.found.insert(start);
                self.shortage.notify_one();
            }
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

    /// Returns what to tell the leader about limited targets, in a report that is sent now.
    ///
    /// It contains all statements about rates, since a new leader may know none.
    pub fn report(&self, now: Instant) -> Vec<ColdDemand> {
        let mut table = self.lock();
        if !self.is_on() && table.targets.is_free() {
            return Vec::new();
        }
        table.reports += 1;
        let number = table.reports;
        let demands = table.holder.take_demands(now);
        let found = std::mem::take(&mut table.found);
        let stated: BTreeMap<Start, Stated> = table
            .targets
            .statements()
            .map(|(start, Statement { rate, at })| {
                (start.clone(), Stated { rate, age_ms: millis(now - at) })
            })
            .collect();
        let idle = |start: &Start| Demand {
            start: start.clone(),
            wanted: 0,
            used: 0,
            idle: Duration::ZERO,
        };
        let asked: BTreeSet<Start> = demands.iter().map(|demand| demand.start.clone()).collect();
        let limited = stated.iter().filter(|(_, stated)| stated.rate.is_some());
        let others: BTreeSet<&Start> = limited.map(|(start, _)| start).chain(&found).collect();
        let others = others.into_iter().filter(|start| !asked.contains(start)).map(idle);
        let demand = |demand: Demand<Start>| ColdDemand {
            number,
            cold_ms: millis(table.targets.left_of(&demand.start, now)),
            stated: stated.get(&demand.start).copied(),
            target: demand.start.0,
            born_ms: demand.start.1,
            wanted: demand.wanted,
            used: demand.used,
            idle_ms: millis(demand.idle),
        };
        demands.into_iter().chain(others).map(demand).take(MAX_DEMANDS).collect()
    }

    /// Takes over the shares that the leader has granted in answer to a report sent at `sent`, and what
    /// it knows of the targets.
    pub fn accept(&self, guidance: &Guidance, targets: &[Target], sent: Instant, now: Instant) {
        let until = sent + Duration::from_millis(guidance.lease_ms.into());
        let mut table = self.lock();
        table.holder.record_leader();
        for share in &guidance.cold {
            let start = (share.target.clone(), share.born_ms);
            let target = targets.iter().find(|target| cold::start(target) == start);
            if let Some(target) = target {
                if self.is_on() {
                    let left = Duration::from_millis(share.cold_ms.into());
                    table.targets.observe(target, left, now);
                }
                let statement = Statement { rate: share.rate, at: sent };
                log_change(&start, table.targets.adopt(&start, statement));
            }
            if share.share > 0 {
                let span = Duration::from_millis(share.span_ms.into());
                table.holder.accept(&start, share.share, span, until);
            }
        }
        metrics::gauge!("catkinlatch_entry_cold_shares").set(f64::from(table.holder.shares(now)));
    }
}

/// Logs that a target limits what it takes, or no longer does.
fn log_change((target, born_ms): &Start, change: Change) {
    match change {
        Change::Unchanged => {}
        Change::Limited(rate) => info!(
            target_id:% = target, born_ms = born_ms, per_second:% = rate;
            "entry: a target limits what it takes"
        ),
        Change::Lifted { sent } => info!(
            target_id:% = target, born_ms = born_ms, sent = sent;
            "entry: a target no longer limits what it takes"
        ),
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Picks a target among `targets`; a limited one only with allowance, and if no other one has room.
///
/// If only limited targets without allowance could take the request, the leader is asked at once.
pub fn pick<'a>(
    host: &Host,
    targets: impl Iterator<Item = &'a Target>,
    tried: &BTreeSet<TargetId>,
    now: Instant,
) -> Option<&'a Target> {
    let zone = &host.settings.zone;
    let hosts = host.hosts_without_leader();
    let mut table = host.cold.lock();
    let table = &mut *table;
    let entrance = |target: &Target| match table.targets.bound(target, now) {
        Bound::Free | Bound::Warm => Entrance::Warm,
        Bound::Limited { limit, factor } => {
            let start = cold::start(target);
            let has_room = table.holder.has_room(&start, factor, now)
                || table.pause_without_leader(target, limit, hosts).is_some_and(|pause| {
                    table.holder.has_room_without_leader(&start, pause, fastrand::f64(), now)
                });
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

/// Returns whether a target of the request's route that was not tried yet is limited, so that the
/// request may wait for allowance.
pub fn may_wait(
    host: &Host,
    inbound: &InboundRequest,
    tried: &BTreeSet<TargetId>,
    now: Instant,
) -> bool {
    if host.cold.lock().targets.is_free() {
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
