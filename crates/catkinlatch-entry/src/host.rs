//! State that the tasks of an entry host share.

use crate::{
    admission::Admission, allowance::Allowance, arrival, contact::Contact, second, suspect,
    usage::Usage, view::View,
};
use catkinlatch_base::{TeamId, WindowId};
use catkinlatch_ledger::{
    Balancer,
    build::{Builds, Origins},
    observation::Guide,
    registry::Leaving,
};
use catkinlatch_route::{Budget, Ramp};
use catkinlatch_runtime::{Clock, LeaderClient, Peers, Settings, http::Client};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::watch, time};

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
    contact: Mutex<Contact>,
    builds: Mutex<Builds>,
    origins: Mutex<Origins>,
    pulse: Mutex<arrival::Pulse>,
    draining: watch::Sender<bool>,
}

impl Host {
    /// Creates the state of a host that is not draining; `view` is what it knows of the cluster.
    pub fn new(
        settings: Settings,
        clock: Clock,
        peers: Arc<Peers>,
        leader_client: LeaderClient,
        client: Client,
        view: Arc<Mutex<View>>,
    ) -> Self {
        let allowance = Allowance::new(settings.cold);
        let second_budget = Mutex::new(Budget::new(second::SHARE, clock.now()));
        Self {
            settings,
            clock,
            peers,
            leader_client,
            client,
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
            contact: Mutex::default(),
            builds: Mutex::default(),
            origins: Mutex::default(),
            pulse: Mutex::default(),
            draining: watch::channel(false).0,
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
        loop {
            lock(&self.pulse).beat(self.clock.now());
            time::sleep(arrival::INTERVAL).await;
        }
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

    /// Starts draining: the host reports itself as not ready from now on.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Returns a receiver that holds whether the host is draining.
    pub fn watch_draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Returns whether callers may be directed here: a configuration is known and the host is not
    /// draining.
    pub fn is_ready(&self) -> bool {
        !*self.draining.borrow() && lock(&self.view).configuration.is_some()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
