//! Limited targets: what this host may send to them.
//!
//! The leader grants shares of what a limited target may get; without a valid share this host sends
//! nothing to it. Cold targets are limited only where the settings name bounds, and others while
//! they state the rate that they take.

mod exchange;

use crate::{front::InboundRequest, host::Host};
use catkinlatch_base::{Instant, TargetId};
use catkinlatch_ledger::{
    Bounds, Target,
    allowance::{self, Bound, Entrance, Start},
};
use catkinlatch_platform::{decode_cold_limits, header};
use catkinlatch_route::allowance::{Change, Holder, Limit, Statement};
use catkinlatch_runtime::{Message, Reply, settings};
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

/// Limited targets as this host knows them, and its shares.
pub struct Allowance {
    settings: Option<settings::Cold>,
    table: Mutex<Table>,
    /// Notified when a request lacks allowance, so that the next report is sent at once.
    shortage: Notify,
}

#[derive(Default)]
struct Table {
    bounds: Bounds,
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
        let is_stated = self.bounds.rate(target).is_some_and(|rate| limit == Limit::of_rate(rate));
        hosts.filter(|_| is_stated).map(|hosts| limit.pause_without_leader(hosts))
    }
}

impl Allowance {
    /// Creates the table of a host that knows no targets; `settings` is `None` where cold targets
    /// are not limited.
    pub fn new(settings: Option<settings::Cold>) -> Self {
        let bounds = match settings {
            Some(_) => Bounds::default(),
            None => Bounds::without_cold_limits(),
        };
        let table = Mutex::new(Table { bounds, ..Table::default() });
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
            table.bounds.observe_all(targets.iter(), now);
        }
        for target in targets.iter().filter(|target| target.rate.is_some()) {
            let start = allowance::start(target);
            if table.bounds.statements().all(|(known, _)| *known != start) {
                let statement = Statement { rate: target.rate, at: now };
                log_change(&start, table.bounds.adopt(&start, statement));
            }
        }
        let find = |id: &TargetId| targets.iter().find(|target| target.id == *id);
        table.bounds.expire(find, now);
        table.holder.expire(now);
    }

    /// Returns whether any of the targets is limited, so that this host needs a share of what it may
    /// get.
    pub fn any_limited(&self, targets: &[&Target], now: Instant) -> bool {
        let table = self.lock();
        let is_limited = |target: &&Target| table.bounds.is_limited(target, now);
        !table.bounds.is_free() && targets.iter().any(is_limited)
    }

    /// Takes one request from the share of a target just before it is sent; returns whether it may
    /// be sent.
    ///
    /// `hosts` is the number of entry hosts if this one hears no leader.
    pub fn admit(&self, target: &Target, hosts: Option<u32>, now: Instant) -> bool {
        let mut table = self.lock();
        let start = allowance::start(target);
        let is_admitted = match table.bounds.bound(target, now) {
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
        } else if table.bounds.count_sent(target).is_some() {
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
        let start = allowance::start(target);
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            if let Some(sent) = sent {
                table.holder.refund(&start, sent);
            }
            return;
        }
        let rate = header::limit(response.headers());
        if rate.is_some() || response.status().is_success() {
            let change = table.bounds.observe_rate(target, rate, sent.unwrap_or(now), now);
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
        if table.bounds.observe(target, left, now) {
            table.found.insert(allowance::start(target));
            info!(
                target_id:% = target.id, born_ms = target.born_ms, cold_ms = left.as_millis() as u64;
                "entry: a target is cold"
            );
            self.shortage.notify_one();
        }
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
    let mut table = host.allowance.lock();
    let table = &mut *table;
    let entrance = |target: &Target| match table.bounds.bound(target, now) {
        Bound::Free | Bound::Warm => Entrance::Free,
        Bound::Limited { limit, factor } => {
            let start = allowance::start(target);
            let has_room = table.holder.has_room(&start, factor, now)
                || table.pause_without_leader(target, limit, hosts).is_some_and(|pause| {
                    table.holder.has_room_without_leader(&start, pause, fastrand::f64(), now)
                });
            if has_room { Entrance::Limited } else { Entrance::Closed }
        }
    };
    let pick = allowance::pick(&host.balancer(), targets, entrance, zone, tried, now);
    let states_rate = |target: &Target| table.bounds.rate(target).is_some();
    if let Some(closed) = pick.wanted(states_rate)
        && table.holder.want(&allowance::start(closed))
    {
        host.allowance.shortage.notify_one();
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
    if host.allowance.lock().bounds.is_free() {
        return false;
    }
    let view = host.view();
    let leaving = host.leaving();
    let services = inbound.route.shares.iter().map(|share| &share.service);
    let mut targets = services.flat_map(|service| view.targets(service));
    let table = host.allowance.lock();
    targets.any(|target| {
        target.is_ready()
            && !tried.contains(&target.id)
            && !leaving.contains(target)
            && table.bounds.is_limited(target, now)
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
                host.allowance.lock().bounds.set_limits(limits);
                known = version;
            }
        }
        time::sleep(LIMITS_INTERVAL).await;
    }
}
