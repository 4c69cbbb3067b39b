//! The queue of this host's live requests for the slots of each service.
//!
//! `catkinlatch_route::admission::rank` decides who goes next. This module wakes that request, and
//! asks the leader for a place where the service's places are divided among hosts.

mod line;
mod refusal;

pub use self::refusal::{Refusal, most_retry_after};

use self::line::{Line, Wake};
use crate::{front::InboundRequest, host::Host};
use catkinlatch_base::{Instant, Ratio, ServiceId, TeamId, Term};
use catkinlatch_ledger::config::Route;
use catkinlatch_route::{
    admission::rank::{Arrival, Reason, Returns, Step, Ticket},
    places::Share,
    retry::Budget,
};
use catkinlatch_runtime::{
    Message, Reply,
    message::{Demand, Guidance},
};
use catkinlatch_state::suspect::Fingerprint;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{Mutex as AsyncMutex, Notify, oneshot},
    time,
};

/// How long the leader may take to answer a request for a place: a tenth of a second would be most
/// of the time for which a request waits.
const PLACE_TIMEOUT: Duration = Duration::from_millis(60);

/// Pause before the leader is asked for a place again after it had none.
const PLACE_PAUSE: Duration = Duration::from_millis(30);

/// Share of retries in the first attempts of a route.
const RETRY_SHARE: f64 = 0.2;

/// Rate at which the reserve of a route refills on one host. The reserve of five lets isolated
/// failures be retried on hosts that see a request in six seconds. In an outage, 51 hosts together
/// add 2.6 retries a second, which is a fifth of their 12 requests a second.
const RESERVE_RETRIES_PER_SECOND: f64 = 0.05;

/// What identifies a caller that returns after a refusal: its key and its request.
type Caller = (Option<String>, Fingerprint);

/// The reports that this host has sent so far.
#[derive(Default)]
pub struct Progress {
    /// The number of the last report.
    pub sequence: u64,
    /// The highest term of the leaders that answered.
    pub newest: Term,
}

/// The queues of all services, and what else limits the attempts of this host.
#[derive(Default)]
pub struct Admission {
    lines: Mutex<BTreeMap<ServiceId, Line>>,
    returns: Mutex<Returns<Caller>>,
    budgets: Mutex<BTreeMap<String, Budget>>,
    /// Held while a message that changes this host's shares is under way: the leader must get them
    /// in order.
    pub exchange: AsyncMutex<Progress>,
    /// Notified when this host holds a place that it does not need.
    pub surplus: Notify,
}

/// A request in the queue of a service, until dropped.
pub struct Place {
    host: Arc<Host>,
    service: ServiceId,
    ticket: Ticket,
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.host.clock.now();
        let has_surplus = update(&self.host, &self.service, |line| {
            line.end(self.ticket, now);
            line.has_surplus(now)
        });
        // A place that is not needed is of use to another host at once.
        if has_surplus {
            self.host.admission.surplus.notify_one();
        }
    }
}

impl Place {
    /// Returns the service whose slot the request waits for or uses.
    pub fn service(&self) -> &ServiceId {
        &self.service
    }
}

/// Waits until a request that has not been sent may try the targets of a service.
///
/// Returns at once while no request waits that goes before it, and the host has a share.
///
/// # Errors
///
/// Returns the refusal if the request cannot run within its time.
pub async fn enter(
    host: &Arc<Host>,
    inbound: &InboundRequest,
    service: &ServiceId,
    arrived: Instant,
    give_up_at: Instant,
) -> Result<Place, Refusal> {
    let now = host.clock.now();
    let is_return = host.admission.is_return(inbound, now);
    let (rank, team) = (inbound.priority, inbound.team.clone());
    let arrival = Arrival { rank, team, is_return, give_up_at };
    let (sender, receiver) = oneshot::channel();
    let (ticket, step) = update(host, service, |line| line.enter(arrival, sender, now));
    let place = Place { host: host.clone(), service: service.clone(), ticket };
    match step {
        Step::Run => Ok(place),
        Step::Wait => wait(host, inbound, &place, receiver, arrived).await.map(|()| place),
        Step::Refuse(reason) => Err(refuse(host, inbound, service, arrived, reason)),
    }
}

/// Waits until a request that all targets refused may try them again.
///
/// # Errors
///
/// Returns the refusal if the request cannot run within its time.
pub async fn wait_again(
    host: &Arc<Host>,
    inbound: &InboundRequest,
    place: &Place,
    arrived: Instant,
) -> Result<(), Refusal> {
    let now = host.clock.now();
    let (sender, receiver) = oneshot::channel();
    update(host, &place.service, |line| line.requeue(place.ticket, sender, now));
    wait(host, inbound, place, receiver, arrived).await
}

async fn wait(
    host: &Arc<Host>,
    inbound: &InboundRequest,
    place: &Place,
    receiver: oneshot::Receiver<Wake>,
    arrived: Instant,
) -> Result<(), Refusal> {
    match receiver.await.unwrap_or(Err(Reason::TimeOver)) {
        Ok(()) => Ok(()),
        Err(reason) => Err(refuse(host, inbound, &place.service, arrived, reason)),
    }
}

/// Refuses a request that has not run, and remembers its caller.
fn refuse(
    host: &Host,
    inbound: &InboundRequest,
    service: &ServiceId,
    arrived: Instant,
    reason: Reason,
) -> Refusal {
    let now = host.clock.now();
    let most = refusal::most_retry_after(inbound);
    let mut random = fastrand::Rng::new();
    let (waiting, after) = {
        let mut lines = lock(&host.admission.lines);
        let queue = &lines.entry(service.clone()).or_default().queue;
        (queue.waiting(), queue.retry_after(inbound.priority, most, now, &mut random))
    };
    let refusal = Refusal { reason, after, waiting, waited: now - arrived };
    refusal.log(inbound, service);
    lock(&host.admission.returns).remember(caller(inbound), after, now);
    refusal
}

/// Changes the line of a service, and wakes whoever may go then.
fn update<T>(host: &Arc<Host>, service: &ServiceId, change: impl FnOnce(&mut Line) -> T) -> T {
    let now = host.clock.now();
    let mut lines = lock(&host.admission.lines);
    let line = lines.entry(service.clone()).or_default();
    line.apply_share(now);
    let result = change(line);
    line.apply_share(now);
    line.wake(now);
    line.record_metrics(service, now);
    if let Some(at) = line.timer(now) {
        tokio::spawn(wake_at(host.clone(), service.clone(), at));
    }
    if line.asks_for_place(now) {
        tokio::spawn(ask_for_place(host.clone(), service.clone()));
    }
    result
}

/// Wakes requests at a time.
async fn wake_at(host: Arc<Host>, service: ServiceId, at: Instant) {
    time::sleep_until(host.clock.timer(at)).await;
    update(&host, &service, |line| line.end_timer(at));
}

/// Asks the leader for places as long as requests wait for one.
async fn ask_for_place(host: Arc<Host>, service: ServiceId) {
    loop {
        let is_over = match time::timeout(PLACE_TIMEOUT, host.admission.exchange.lock()).await {
            Ok(_turn) => {
                // After an unanswered message the leader may not have this host's latest report.
                let is_silent = update(&host, &service, |line| line.is_silent());
                let granted = if is_silent { None } else { request_place(&host, &service).await };
                update(&host, &service, |line| line.end_request(granted))
            }
            Err(_) => update(&host, &service, |line| line.end_request(None)),
        };
        if is_over {
            return;
        }
        time::sleep(PLACE_PAUSE).await;
    }
}

/// Returns whether the leader grants a place; `None` if no leader answers.
async fn request_place(host: &Host, service: &ServiceId) -> Option<bool> {
    let leader = host.leader_client.leader()?;
    let (own, service) = (host.settings.host.clone(), service.clone());
    let message = Message::RequestPlace { host: own, service };
    match host.peers.call::<Reply>(&leader, &message, PLACE_TIMEOUT).await {
        Ok(Reply::Place(granted)) => Some(granted),
        Ok(_) | Err(_) => None,
    }
}

/// Records that the leader did not answer a report.
pub fn record_silence(host: &Arc<Host>) {
    let services: Vec<ServiceId> = lock(&host.admission.lines).keys().cloned().collect();
    for service in services {
        update(host, &service, Line::record_silence);
    }
}

/// Adopts the shares in guidance whose report was sent at `sent_at`.
pub fn adopt(host: &Arc<Host>, guidance: &Guidance, sent_at: Instant) {
    let lease = Duration::from_millis(guidance.lease_ms.into());
    let named = guidance.places.iter().map(|places| places.service.clone());
    let held: Vec<ServiceId> = lock(&host.admission.lines).keys().cloned().collect();
    let services: BTreeSet<ServiceId> = named.chain(held).collect();
    for service in services {
        let places = guidance.places.iter().find(|places| places.service == service);
        let share = places.map(|places| Share::new(places.share, places.fallback, sent_at, lease));
        update(host, &service, |line| line.set_share(share, sent_at));
    }
}

impl Admission {
    /// Returns whether this host has a share of the places of a service.
    pub fn is_divided(&self) -> bool {
        lock(&self.lines).values().any(Line::is_divided)
    }

    /// Returns this host's requests by service, after it gave up the places that it does not need.
    pub fn demands(&self, now: Instant) -> Vec<Demand> {
        let mut lines = lock(&self.lines);
        let demands = lines.iter_mut().filter_map(|(service, line)| line.demand(service, now));
        demands.collect()
    }

    /// Records the first attempt of a request, which earns its route retries.
    pub fn earn_retry(&self, route: &Route, now: Instant) {
        self.budget(route, now, |budget| budget.earn(now));
    }

    /// Takes a retry from the budget of a route; returns `false` if none is left.
    pub fn take_retry(&self, route: &Route, now: Instant) -> bool {
        self.budget(route, now, |budget| budget.take(now))
    }

    fn budget<T>(&self, route: &Route, now: Instant, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        let new =
            || Budget::new(Ratio::new(RETRY_SHARE), now).with_refill(RESERVE_RETRIES_PER_SECOND);
        change(budgets.entry(route.name.clone()).or_insert_with(new))
    }

    /// Returns whether a request comes from a caller that was refused before.
    fn is_return(&self, inbound: &InboundRequest, now: Instant) -> bool {
        let returns = lock(&self.returns);
        // Without a refusal nothing is remembered, and no request pays for its fingerprint.
        !returns.is_empty() && returns.contains(&caller(inbound), now)
    }
}

fn caller(inbound: &InboundRequest) -> Caller {
    let key = inbound.key().map(str::to_owned);
    let key = key.or_else(|| inbound.team.as_ref().map(TeamId::to_string));
    (key, inbound.fingerprint())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
