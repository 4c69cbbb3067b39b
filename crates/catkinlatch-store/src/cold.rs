//! Cold targets: what this host may send to them as the leader, and what it grants to other hosts.
//!
//! Nothing here has any effect where the settings name no bounds.

use crate::{exchange, host::Host};
use catkinlatch_base::{HostId, Incarnation, Instant, TargetId, Term, ZoneId};
use catkinlatch_ledger::{
    Balancer, ColdTargets, Target,
    cold::{self, Bound, Entrance, Start},
};
use catkinlatch_platform::{ColdLimit, decode_cold_limits, header};
use catkinlatch_route::cold::{Asked, Change, Division, Limit};
use catkinlatch_runtime::{
    http::{Body, Exchange, Failure},
    message::{ColdDemand, ColdShare, Guidance, Report},
    settings,
};
use derive_more::Display;
use http::{Request, Response, StatusCode};
use log::{info, warn};
use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Interval of reports while a target is limited, in milliseconds.
const BUSY_INTERVAL_MS: u32 = 500;

/// The most limited targets that an answer names.
const MAX_SHARES: usize = 64;

/// Identifies a process that holds shares.
type Holder = (HostId, Incarnation);

/// Why a request was not sent, or got no response.
#[derive(Debug, Display)]
pub enum SendError {
    /// The target is cold, and the leader has no allowance left for it; nothing was sent.
    #[display("the target is cold")]
    Withheld,
    /// The request failed.
    Failed(Failure),
}

/// Cold targets as this host knows them, and the division of what they may get.
pub struct Cold {
    settings: Option<settings::Cold>,
    table: Mutex<Table>,
}

struct Table {
    targets: ColdTargets,
    /// Version of the configuration from which the limits are.
    version: Option<u64>,
    /// The term that this host leads; `None` while it does not.
    term: Option<Term>,
    division: Division<Start, Holder>,
}

impl Cold {
    /// Creates the table of a host that knows no targets; `settings` is `None` where cold targets
    /// are not limited.
    pub fn new(settings: Option<settings::Cold>) -> Self {
        let division = Division::new(None, Instant::ZERO);
        let table = Table { targets: ColdTargets::default(), version: None, term: None, division };
        Self { settings, table: Mutex::new(table) }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the division of a leader that has just taken over; the shares that the last one
    /// granted may be in use until their leases end. There was none before the first term.
    pub fn begin_term(&self, term: Term, now: Instant) {
        let lease = (term.get() > 1).then_some(exchange::LEASE);
        let mut table = self.lock();
        (table.term, table.division) = (Some(term), Division::new(lease, now));
    }

    /// Records what the registrations in a view of the leader state.
    pub fn observe_view(&self, targets: &[Target], now: Instant) {
        if self.settings.is_some() {
            let mut table = self.lock();
            table.targets.observe_all(targets.iter(), now);
            table.targets.expire(now);
        }
    }

    /// Records how long a target states to be cold; returns whether it has turned cold, which other
    /// hosts must learn.
    pub fn observe(&self, target: &Target, left: Duration, now: Instant) -> bool {
        if self.settings.is_none() || left.is_zero() {
            return false;
        }
        let turned_cold = self.lock().targets.observe(target, left, now);
        if turned_cold {
            info!(
                target_id:% = target.id, born_ms = target.born_ms, cold_ms = left.as_millis() as u64;
                "targets: turned cold"
            );
        }
        turned_cold
    }

    /// Replaces the remaining times of cold phases by those of now: registrations that only renew a
    /// target start no new view.
    pub fn update_left(&self, targets: &mut [Target], now: Instant) {
        if self.settings.is_some() {
            let table = self.lock();
            for target in targets {
                if table.targets.bound(target, now) != Bound::Free {
                    target.cold_ms = table.targets.left(target, now).as_millis() as u64;
                }
            }
        }
    }

    /// Returns how many requests this host may send to a target now; `None` if it is not limited.
    pub fn room(&self, target: &Target, now: Instant) -> Option<u32> {
        self.settings?;
        let table = self.lock();
        match table.targets.bound(target, now) {
            Bound::Free | Bound::Warm => None,
            Bound::Limited { planned, factor } => {
                Some(table.division.own_room(&cold::start(target), planned, factor, now))
            }
        }
    }

    /// Picks a target; a cold one only with allowance, and if no warm one has room.
    pub fn pick<'a>(
        &self,
        balancer: &Balancer,
        targets: impl Iterator<Item = &'a Target>,
        zone: &ZoneId,
        tried: &BTreeSet<TargetId>,
        now: Instant,
    ) -> Option<&'a Target> {
        if self.settings.is_none() {
            return balancer.pick(targets, zone, tried, now);
        }
        let entrance = |target: &Target| match self.room(target, now) {
            None => Entrance::Warm,
            Some(0) => Entrance::Closed,
            Some(_) => Entrance::Cold,
        };
        cold::pick(balancer, targets, entrance, zone, tried, now).target
    }

    /// Takes one request of this host, which holds the lease of `term`, just before it is sent;
    /// returns whether it may be sent.
    fn admit(&self, target: &Target, term: Option<Term>, now: Instant) -> bool {
        let mut table = self.lock();
        if table.targets.count_sent(target).is_some() {
            metrics::counter!("catkinlatch_store_limited_sent").increment(1);
        }
        if self.settings.is_none() {
            return true;
        }
        let start = cold::start(target);
        let is_admitted = match table.targets.bound(target, now) {
            Bound::Free => true,
            Bound::Warm => {
                table.division.record_own(&start, now);
                true
            }
            Bound::Limited { planned, factor } => {
                // A leader that was frozen may have lost its lease without having noticed it.
                term.is_some()
                    && term == table.term
                    && table.division.admit_own(&start, planned, factor, now)
            }
        };
        if !is_admitted {
            metrics::counter!("catkinlatch_store_cold_not_sent").increment(1);
        }
        is_admitted
    }
}

/// Updates the limits of the services if the configuration has changed.
pub fn update_limits(host: &Host) {
    let Some(settings) = host.cold.settings else { return };
    let version = host.configuration_version().borrow().to_owned();
    if std::mem::replace(&mut host.cold.lock().version, version) == version {
        return;
    }
    let source = host.replica.read(|state| state.document.as_ref().map(|d| d.source.clone()));
    let Some(source) = source else { return };
    match decode_cold_limits(&source) {
        Ok(limits) => {
            let limits = limits.into_iter().filter_map(|(service, limit)| {
                let ColdLimit { per_second, .. } = limit;
                Some((service, Limit::new(per_second, settings.excess, settings.slack)?))
            });
            let mut table = host.cold.lock();
            table.targets.set_limits(limits.collect());
        }
        Err(error) => warn!(error:% = error; "targets: cannot decode the limits of cold targets"),
    }
}

/// Sends a request to a target unless that is cold and this host has no allowance for it.
///
/// # Errors
///
/// Returns why the request was not sent or got no response.
pub async fn send(
    host: &Host,
    target: &Target,
    request: Request<Body>,
) -> Result<Exchange, SendError> {
    send_if(host, target, request, || true).await
}

/// Like [`send`], but sends the request only if `may_send` allows it once a connection is open.
///
/// # Errors
///
/// Returns why the request was not sent or got no response.
pub async fn send_if(
    host: &Host,
    target: &Target,
    request: Request<Body>,
    may_send: impl FnOnce() -> bool,
) -> Result<Exchange, SendError> {
    let (mut sent, mut is_withheld) = (None, false);
    let may_send = || {
        if !may_send() {
            return false;
        }
        let now = host.clock.now();
        is_withheld = !host.cold.admit(target, host.replica.fencing_token(), now);
        sent = Some(now);
        !is_withheld
    };
    match host.client.send_if(&target.address, request, may_send).await {
        Ok(exchange) => {
            record_response(host, target, &exchange.response, sent);
            Ok(exchange)
        }
        Err(_) if is_withheld => Err(SendError::Withheld),
        Err(failure) => Err(SendError::Failed(failure)),
    }
}

/// Records what the response to a request that was sent at `sent` tells about a target.
///
/// A misdirected request was answered by another target, and does not count.
fn record_response<B>(host: &Host, target: &Target, response: &Response<B>, sent: Option<Instant>) {
    if response.status() != StatusCode::MISDIRECTED_REQUEST {
        let rate = header::limit(response.headers());
        if rate.is_some() || response.status().is_success() {
            let now = host.clock.now();
            let mut table = host.cold.lock();
            let change = table.targets.observe_rate(target, rate, sent.unwrap_or(now), now);
            log_change(target, change);
        }
        let left = Duration::from_millis(header::cold_ms(response.headers()).unwrap_or(0));
        observe(host, target, left);
    } else if let Some(sent) = sent.filter(|_| host.cold.settings.is_some()) {
        host.cold.lock().division.refund_own(&cold::start(target), sent);
    }
}

/// Logs that a target limits what it takes, or no longer does.
fn log_change(target: &Target, change: Change) {
    match change {
        Change::Unchanged => {}
        Change::Limited(rate) => info!(
            target_id:% = target.id, born_ms = target.born_ms, per_second:% = rate;
            "targets: a target limits what it takes"
        ),
        Change::Lifted { sent } => info!(
            target_id:% = target.id, born_ms = target.born_ms, sent = sent;
            "targets: a target no longer limits what it takes"
        ),
    }
}

/// Records how long a target states to be cold, and passes it on if it has turned cold.
pub fn observe(host: &Host, target: &Target, left: Duration) {
    if host.cold.observe(target, left, host.clock.now()) {
        host.soft_state().revision += 1;
        host.publish_soon();
    }
}

/// Adds to the answer to a report which targets are limited, and the shares of them that the
/// reporting host gets.
pub fn guide(host: &Host, term: Term, report: &Report, guidance: &mut Guidance) {
    if host.cold.settings.is_none() {
        return;
    }
    for demand in &report.cold {
        let target = host.soft_state().registry.target(&demand.target).cloned();
        if let Some(target) = target.filter(|target| target.born_ms == demand.born_ms) {
            observe(host, &target, Duration::from_millis(demand.cold_ms.into()));
        }
    }
    let now = host.clock.now();
    let soft = host.soft_state();
    let find = |demand: &ColdDemand| {
        let target = soft.registry.target(&demand.target);
        target.filter(|target| target.born_ms == demand.born_ms)
    };
    let mut table = host.cold.lock();
    let Table { targets, division, term: own_term, .. } = &mut *table;
    if *own_term != Some(term) {
        return;
    }
    targets.expire(now);
    division.expire(now);
    let find_id = |id: &TargetId| soft.registry.target(id);
    let limited: Vec<&Target> = targets.limited(find_id, now).take(MAX_SHARES).collect();
    metrics::gauge!("catkinlatch_cold_targets").set(limited.len() as f64);
    if limited.is_empty() {
        return;
    }
    guidance.interval_ms = guidance.interval_ms.min(BUSY_INTERVAL_MS);
    let holder: Holder = (report.host.clone(), report.incarnation);
    let mut grant = |target: &Target, demand: &ColdDemand, wanted: u32| {
        let Bound::Limited { planned, factor } = targets.bound(target, now) else { return None };
        let idle = Duration::from_millis(demand.idle_ms.into());
        let asked = Asked { number: demand.number, wanted, used: demand.used, idle };
        let (start, bound) = (cold::start(target), (planned, factor));
        let per_second = division.grant(&start, &holder, asked, bound, exchange::LEASE, now);
        let cold_ms = targets.left(target, now).as_millis() as u32;
        Some(ColdShare { target: start.0, born_ms: start.1, per_second, cold_ms })
    };
    for demand in &report.cold {
        let Some(target) = find(demand) else { continue };
        let share = grant(target, demand, demand.wanted);
        let is_refused = share.as_ref().is_some_and(|share| share.per_second == 0);
        guidance.cold.extend(share);
        if is_refused && demand.wanted > 0 {
            // Another target of the service may have allowance left.
            let others = limited.iter().filter(|other| {
                other.service == target.service && report.cold.iter().all(|d| d.target != other.id)
            });
            let demand = ColdDemand { used: 0, idle_ms: 0, ..demand.clone() };
            let mut shares = others.filter_map(|other| grant(other, &demand, 1));
            guidance.cold.extend(shares.find(|share| share.per_second > 0));
        }
    }
    let reserved: u32 =
        limited.iter().map(|target| division.reserved(&cold::start(target), now)).sum();
    metrics::gauge!("catkinlatch_cold_shares").set(f64::from(reserved));
    for target in limited {
        if guidance.cold.len() < MAX_SHARES
            && guidance.cold.iter().all(|share| share.target != target.id)
        {
            let cold_ms = targets.left(target, now).as_millis() as u32;
            let (target, born_ms) = cold::start(target);
            guidance.cold.push(ColdShare { target, born_ms, per_second: 0, cold_ms });
        }
    }
}
