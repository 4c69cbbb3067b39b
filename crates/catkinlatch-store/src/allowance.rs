//! Limited targets: what this host may send to them as the leader, and what it grants to other hosts.
//!
//! Cold targets are limited only where the settings name bounds, and others while they state the
//! rate that they take.

mod guide;

pub use self::guide::guide;

use crate::{exchange, host::Host};
use catkinlatch_base::{HostId, Incarnation, Instant, TargetId, Term, ZoneId};
use catkinlatch_ledger::{
    Balancer, Bounds, Target,
    allowance::{self, Bound, Entrance, Start},
};
use catkinlatch_platform::{ColdLimit, decode_cold_limits, header};
use catkinlatch_route::allowance::{Change, Division, Limit, Statement};
use catkinlatch_runtime::{
    http::{Body, Client, Exchange, Failure},
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
use tokio::time;

/// Interval at which a request that is held back checks whether this host still leads.
const LEADER_POLL: Duration = Duration::from_millis(20);

/// Identifies a process that holds shares.
type Holder = (HostId, Incarnation);

/// Why a request was not sent, or got no response.
#[derive(Debug, Display)]
pub enum SendError {
    /// The target is limited, and the leader has no allowance left for it, or this host may have been
    /// replaced as the leader; nothing was sent.
    #[display("the target is limited, or another host may lead")]
    Withheld,
    /// The request failed.
    Failed(Failure),
}

/// Limited targets as this host knows them, and the division of what they may get.
pub struct Allowance {
    settings: Option<settings::Cold>,
    table: Mutex<Table>,
}

struct Table {
    bounds: Bounds,
    /// Version of the configuration from which the limits are.
    version: Option<u64>,
    /// The term that this host leads; `None` while it does not.
    term: Option<Term>,
    division: Division<Start, Holder>,
}

impl Allowance {
    /// Creates the table of a host that knows no targets; `settings` is `None` where cold targets
    /// are not limited.
    pub fn new(settings: Option<settings::Cold>) -> Self {
        let division = Division::new(None, Instant::ZERO);
        let bounds = match settings {
            Some(_) => Bounds::default(),
            None => Bounds::without_cold_limits(),
        };
        let table = Table { bounds, version: None, term: None, division };
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

    /// Records what targets state according to a view of the leader.
    pub fn observe_view(&self, targets: &[Target], now: Instant) {
        let mut table = self.lock();
        if self.settings.is_some() {
            table.bounds.observe_all(targets.iter(), now);
        }
        for target in targets {
            if target.rate != table.bounds.rate(target) {
                let statement = Statement { rate: target.rate, at: now };
                table.bounds.adopt(&allowance::start(target), statement);
            }
        }
        let find = |id: &TargetId| targets.iter().find(|target| target.id == *id);
        table.bounds.expire(find, now);
    }

    /// Records how long a target states to be cold; returns whether it has turned cold, which other
    /// hosts must learn.
    pub fn observe(&self, target: &Target, left: Duration, now: Instant) -> bool {
        if self.settings.is_none() || left.is_zero() {
            return false;
        }
        let turned_cold = self.lock().bounds.observe(target, left, now);
        if turned_cold {
            info!(
                target_id:% = target.id, born_ms = target.born_ms, cold_ms = left.as_millis() as u64;
                "targets: turned cold"
            );
        }
        turned_cold
    }

    /// Replaces the remaining times of cold phases and the stated rates by those of now: registrations
    /// that only renew a target start no new view.
    pub fn update_stated(&self, targets: &mut [Target], now: Instant) {
        let table = self.lock();
        for target in targets {
            target.rate = table.bounds.rate(target);
            if self.settings.is_some() && table.bounds.bound(target, now) != Bound::Free {
                target.cold_ms = table.bounds.left(target, now).as_millis() as u64;
            }
        }
    }

    /// Returns how many requests this host may send to a target now; `None` if it is not limited.
    pub fn room(&self, target: &Target, now: Instant) -> Option<u32> {
        let table = self.lock();
        match table.bounds.bound(target, now) {
            Bound::Free | Bound::Warm => None,
            Bound::Limited { limit, factor } => {
                Some(table.division.own_room(&allowance::start(target), limit, factor, now))
            }
        }
    }

    /// Picks a target; a limited one only with allowance, and if no other one has room.
    pub fn pick<'a>(
        &self,
        balancer: &Balancer,
        targets: impl Iterator<Item = &'a Target>,
        zone: &ZoneId,
        tried: &BTreeSet<TargetId>,
        now: Instant,
    ) -> Option<&'a Target> {
        let entrance = |target: &Target| match self.room(target, now) {
            None => Entrance::Free,
            Some(0) => Entrance::Closed,
            Some(_) => Entrance::Limited,
        };
        allowance::pick(balancer, targets, entrance, zone, tried, now).target
    }

    /// Takes one request of this host, which holds the lease of `term`, just before it is sent;
    /// returns whether it may be sent.
    fn admit(&self, target: &Target, term: Option<Term>, now: Instant) -> bool {
        let mut table = self.lock();
        let start = allowance::start(target);
        let is_admitted = match table.bounds.bound(target, now) {
            Bound::Free => true,
            Bound::Warm => {
                table.division.record_own(&start, now);
                true
            }
            Bound::Limited { limit, factor } => {
                // A leader that was frozen may have lost its lease without having noticed it.
                term.is_some()
                    && term == table.term
                    && table.division.admit_own(&start, limit, factor, now)
            }
        };
        if !is_admitted {
            metrics::counter!("catkinlatch_store_cold_not_sent").increment(1);
        } else if table.bounds.count_sent(target).is_some() {
            metrics::counter!("catkinlatch_store_limited_sent").increment(1);
        }
        is_admitted
    }
}

/// Updates the limits of the services if the configuration has changed.
pub fn update_limits(host: &Host) {
    let Some(settings) = host.allowance.settings else { return };
    let version = host.configuration_version().borrow().to_owned();
    if std::mem::replace(&mut host.allowance.lock().version, version) == version {
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
            let mut table = host.allowance.lock();
            table.bounds.set_limits(limits.collect());
        }
        Err(error) => warn!(error:% = error; "targets: cannot decode the limits of cold targets"),
    }
}

/// Sends a request to a target unless that is limited and this host has no allowance for it. Another
/// host may relay the connection.
///
/// Sends nothing while another host may have led for a while, and have ended the work: a host that was
/// paused resumes its tasks before it learns that. It then waits to be cancelled, or to lead again.
///
/// # Errors
///
/// Returns why the request was not sent or got no response.
pub async fn send(
    host: &Host,
    target: &Target,
    request: Request<Body>,
) -> Result<Exchange, SendError> {
    let sent = send_with(host, &host.work_client, target, request, || true).await;
    let is_unsent = matches!(sent, Err(SendError::Failed(Failure::NotSent(_))));
    if !is_unsent || host.replica.is_acting_leader() {
        return sent;
    }
    while !host.replica.is_acting_leader() {
        time::sleep(LEADER_POLL).await;
    }
    Err(SendError::Withheld)
}

/// Like [`send`], but only over a connection of this host, and only if `may_send` allows it once the
/// connection is open.
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
    send_with(host, &host.client, target, request, may_send).await
}

async fn send_with(
    host: &Host,
    client: &Client,
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
        is_withheld = !host.allowance.admit(target, host.replica.fencing_token(), now);
        sent = Some(now);
        !is_withheld
    };
    match client.send_if(&target.address, request, may_send).await {
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
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        if let Some(sent) = sent {
            host.allowance.lock().division.refund_own(&allowance::start(target), sent);
        }
        return;
    }
    let rate = header::limit(response.headers());
    if rate.is_some() || response.status().is_success() {
        let now = host.clock.now();
        let change =
            host.allowance.lock().bounds.observe_rate(target, rate, sent.unwrap_or(now), now);
        publish_change(host, &allowance::start(target), change);
    }
    let left = Duration::from_millis(header::cold_ms(response.headers()).unwrap_or(0));
    observe(host, target, left);
}

/// Passes on that a target limits what it takes, or no longer does.
fn publish_change(host: &Host, start: &Start, change: Change) {
    log_change(start, change);
    if change != Change::Unchanged {
        host.soft_state().revision += 1;
        host.publish_soon();
    }
}

/// Logs that a target limits what it takes, or no longer does.
fn log_change((target, born_ms): &Start, change: Change) {
    match change {
        Change::Unchanged => {}
        Change::Limited(rate) => info!(
            target_id:% = target, born_ms = born_ms, per_second:% = rate;
            "targets: a target limits what it takes"
        ),
        Change::Lifted { sent } => info!(
            target_id:% = target, born_ms = born_ms, sent = sent;
            "targets: a target no longer limits what it takes"
        ),
    }
}

/// Records how long a target states to be cold, and passes it on if it has turned cold.
pub fn observe(host: &Host, target: &Target, left: Duration) {
    if host.allowance.observe(target, left, host.clock.now()) {
        host.soft_state().revision += 1;
        host.publish_soon();
    }
}
