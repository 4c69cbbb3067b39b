//! State that the tasks of an entry host share.

use crate::{
    admission::Admission, allowance::Allowance, arrival, contact::Contact, drain::StreamRecord,
    second, suspect, usage::Usage, view::View,
};
use catkinlatch_base::{Instant, TeamId, WindowId};
use catkinlatch_ledger::{
    Balancer,
    build::{Builds, Origins},
    observation::Guide,
    registry::Leaving,
};
use catkinlatch_route::{Budget, Ramp};
use catkinlatch_runtime::{
    Clock, LeaderClient, Peers, Settings,
    http::{Client, Inbound},
};
use log::info;
use slab::Slab;
use std::{
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{Notify, watch},
    time,
};

/// Timeout for the leader to confirm the view after a long standstill.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout for the leader to answer a poll that a request needs.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(400);

/// Time before a draining host ends in which requests that have not ended are answered.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// State that the tasks of an entry host share.
pub struct Host {
    /// The settings of the process.
    pub settings: Settings,
    /// The monotonic and the wall clock.
    pub clock: Clock,
    /// The sessions with other processes.
    pub peers: Arc<Peers>,
    /// Finds the leader and sends messages to it.
    pub leader_client: LeaderClient,
    /// The HTTP client with its connections to targets.
    pub client: Client,
    /// What callers hold.
    pub inbound: Inbound,
    /// What this host may send to limited targets.
    pub allowance: Allowance,
    /// The queues of live requests for the slots of services.
    pub admission: Admission,
    view: Arc<Mutex<View>>,
    balancer: Mutex<Balancer>,
    guide: Mutex<Guide>,
    second_budget: Mutex<Budget>,
    usage: Mutex<Usage>,
    suspects: Mutex<suspect::Table>,
    leaving: Mutex<Leaving>,
    ramp: Mutex<Ramp>,
    streams: Mutex<Slab<StreamRecord>>,
    contact: Mutex<Contact>,
    builds: Mutex<Builds>,
    origins: Mutex<Origins>,
    pulse: Mutex<arrival::Pulse>,
    /// When the last poll began that the leader answered.
    polled: watch::Sender<Option<Instant>>,
    /// Wakes the task that polls the leader after a long standstill.
    resumed: Notify,
    /// When a request last needed a view newer than itself.
    needed: watch::Sender<Option<Instant>>,
    /// When this host ends; `None` unless it drains.
    end: watch::Sender<Option<Instant>>,
}

impl Host {
    /// Creates the state of a host that is not draining; `view` is what it knows of the cluster.
    pub fn new(
        settings: Settings,
        clock: Clock,
        peers: Arc<Peers>,
        leader_client: LeaderClient,
        client: Client,
        inbound: Inbound,
        view: Arc<Mutex<View>>,
    ) -> Self {
        let allowance = Allowance::new(settings.cold);
        let second_budget = Mutex::new(Budget::new(second::SHARE, clock.now()));
        let builds = Mutex::new(Builds::default().with_first_start(settings.is_first_start));
        Self {
            settings,
            clock,
            peers,
            leader_client,
            client,
            inbound,
            allowance,
            admission: Admission::default(),
            view,
            balancer: Mutex::default(),
            guide: Mutex::default(),
            second_budget,
            usage: Mutex::default(),
            suspects: Mutex::default(),
            leaving: Mutex::default(),
            ramp: Mutex::default(),
            streams: Mutex::default(),
            contact: Mutex::default(),
            builds,
            origins: Mutex::default(),
            pulse: Mutex::default(),
            polled: watch::channel(None).0,
            resumed: Notify::new(),
            needed: watch::channel(None).0,
            end: watch::channel(None).0,
        }
    }

    /// Returns the last view received from the leader.
    pub fn view(&self) -> View {
        lock(&self.view).clone()
    }

    /// Locks the view for an update. The guard must not be held across an `await`.
    pub fn view_mut(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Locks the load balancer. The guard must not be held across an `await`.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    /// Locks what this host and others observed of targets. The guard must not be held across an
    /// `await`; it is taken after that of leaving targets and before that of the load balancer.
    pub fn guide(&self) -> MutexGuard<'_, Guide> {
        lock(&self.guide)
    }

    /// Locks the budget of second sends. The guard must not be held across an `await`.
    pub fn second_budget(&self) -> MutexGuard<'_, Budget> {
        lock(&self.second_budget)
    }

    /// Locks the usage counters. The guard must not be held across an `await`.
    pub fn usage(&self) -> MutexGuard<'_, Usage> {
        lock(&self.usage)
    }

    /// Locks the suspects. The guard must not be held across an `await`.
    pub fn suspects(&self) -> MutexGuard<'_, suspect::Table> {
        lock(&self.suspects)
    }

    /// Locks the targets that said that they leave. The guard must not be held across an `await`.
    pub fn leaving(&self) -> MutexGuard<'_, Leaving> {
        lock(&self.leaving)
    }

    /// Locks the ramps of restored zones. The guard must not be held across an `await`.
    pub fn ramp(&self) -> MutexGuard<'_, Ramp> {
        lock(&self.ramp)
    }

    /// Locks the streams that are open. The guard must not be held across an `await`.
    pub fn streams(&self) -> MutexGuard<'_, Slab<StreamRecord>> {
        lock(&self.streams)
    }

    /// Locks the signs of life of other hosts. The guard must not be held across an `await`.
    pub fn contact(&self) -> MutexGuard<'_, Contact> {
        lock(&self.contact)
    }

    /// Locks the builds of targets' software. The guard must not be held across an `await`.
    pub fn builds(&self) -> MutexGuard<'_, Builds> {
        lock(&self.builds)
    }

    /// Locks the records of which builds began streams. The guard must not be held across an `await`.
    pub fn origins(&self) -> MutexGuard<'_, Origins> {
        lock(&self.origins)
    }

    /// Returns the number of entry hosts while this one hears no leader; `None` while it hears one.
    pub fn hosts_without_leader(&self) -> Option<u32> {
        let is_silent = self.contact().is_leader_silent(self.clock.now());
        is_silent.then(|| lock(&self.view).entries.len().max(1) as u32)
    }

    /// Records regularly that this process runs; never returns.
    pub async fn beat(&self) {
        let mut known = None;
        loop {
            let resumed = {
                let mut pulse = lock(&self.pulse);
                pulse.beat(self.clock.now());
                pulse.resumed(self.clock.now())
            };
            if resumed != mem::replace(&mut known, resumed) {
                info!("entry: stood still; asking the leader for the current view");
                self.resumed.notify_one();
            }
            time::sleep(arrival::INTERVAL).await;
        }
    }

    /// Returns once this process runs again after a long standstill.
    pub async fn resumed(&self) {
        self.resumed.notified().await;
    }

    /// Records that the leader answered a poll that began at `began`.
    pub fn record_poll(&self, began: Instant) {
        self.polled.send_replace(Some(began));
    }

    /// Returns whether the leader has answered a poll that began after the last long standstill, and
    /// after the last request that needed one.
    pub fn is_view_confirmed(&self) -> bool {
        let resumed = lock(&self.pulse).resumed(self.clock.now());
        *self.polled.borrow() >= resumed.max(*self.needed.borrow())
    }

    /// Waits for the leader to confirm the view after a long standstill; goes on with the last view
    /// if that takes too long.
    pub async fn confirm_view(&self) {
        let Some(resumed) = lock(&self.pulse).resumed(self.clock.now()) else { return };
        let mut polled = self.polled.subscribe();
        let confirmed = polled.wait_for(|began| *began >= Some(resumed));
        let until = self.clock.timer(resumed + CONFIRM_TIMEOUT);
        let _ = time::timeout_at(until, confirmed).await;
    }

    /// Polls the leader anew; returns whether it has answered.
    pub async fn refresh_view(&self) -> bool {
        let now = self.clock.now();
        let mut polled = self.polled.subscribe();
        self.needed.send_replace(Some(now));
        let refreshed = polled.wait_for(|began| *began >= Some(now));
        time::timeout(REFRESH_TIMEOUT, refreshed).await.is_ok_and(|refreshed| refreshed.is_ok())
    }

    /// Returns once a request needs a newer view than that of the last poll.
    pub async fn refresh_needed(&self) {
        let polled = self.polled.subscribe();
        let _ = self.needed.subscribe().wait_for(|needed| *needed > *polled.borrow()).await;
    }

    /// Returns the longest time for which a request that is read now may have waited for this
    /// process.
    pub fn waited(&self) -> Duration {
        lock(&self.pulse).waited(self.clock.now())
    }

    /// Counts a request of a team in the usage window of `wall_ms`, in milliseconds since the Unix
    /// epoch.
    pub fn count_request(&self, team: &TeamId, wall_ms: u64) {
        let window = WindowId::new(wall_ms / self.settings.times.report_window_ms());
        self.usage().count(window, team);
    }

    /// Starts draining: the host reports itself as not ready from now on, and ends at `end`.
    pub fn drain(&self, end: Instant) {
        self.end.send_replace(Some(end));
    }

    /// Returns whether the host is draining.
    pub fn is_draining(&self) -> bool {
        self.end.borrow().is_some()
    }

    /// Returns once the host drains.
    pub async fn drain_begun(&self) {
        let _ = self.end.subscribe().wait_for(Option::is_some).await;
    }

    /// Returns the time in which a draining host still answers requests; `None` unless it drains.
    pub fn time_left(&self) -> Option<Duration> {
        let end = *self.end.borrow();
        end.map(|end| (end - self.clock.now()).saturating_sub(ANSWER_TIME))
    }

    /// Returns once this host drains and all requests have to be answered.
    pub async fn last_answers(&self) {
        self.drain_begun().await;
        if let Some(left) = self.time_left() {
            time::sleep(left).await;
        }
    }

    /// Returns whether callers may be directed here: a configuration is known and the host is not
    /// draining.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && lock(&self.view).configuration.is_some()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
