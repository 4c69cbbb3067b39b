//! What all tasks of the process share.

use crate::{usage::Usage, view::View};
use catkinlatch_base::{TeamId, WindowId};
use catkinlatch_ledger::Choice;
use catkinlatch_runtime::{Clock, Guide, Peers, Settings, http::Client};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// What all tasks of the process share.
pub struct Host {
    /// The settings.
    pub settings: Settings,
    /// The clocks.
    pub clock: Clock,
    /// The sessions with other processes.
    pub peers: Arc<Peers>,
    /// The way to the leader.
    pub guide: Guide,
    /// Connections to targets.
    pub client: Client,
    view: Mutex<View>,
    choice: Mutex<Choice>,
    usage: Mutex<Usage>,
    draining: watch::Sender<bool>,
}

impl Host {
    /// Creates what the tasks share.
    pub fn new(
        settings: Settings,
        clock: Clock,
        peers: Arc<Peers>,
        guide: Guide,
        client: Client,
    ) -> Self {
        Self {
            settings,
            clock,
            peers,
            guide,
            client,
            view: Mutex::default(),
            choice: Mutex::default(),
            usage: Mutex::default(),
            draining: watch::channel(false).0,
        }
    }

    /// Returns what the leader said.
    pub fn view(&self) -> View {
        lock(&self.view).clone()
    }

    /// Locks what the leader said, to change it; never held while waiting.
    pub fn view_mut(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Locks what is known of targets; never held while waiting.
    pub fn choice(&self) -> MutexGuard<'_, Choice> {
        lock(&self.choice)
    }

    /// Locks what was used here; never held while waiting.
    pub fn usage(&self) -> MutexGuard<'_, Usage> {
        lock(&self.usage)
    }

    /// Counts a request that began to run at this time of day.
    pub fn count_request(&self, team: &TeamId, wall_ms: u64) {
        let window = WindowId::new(wall_ms / self.settings.times.report_window_ms());
        self.usage().count(window, team);
    }

    /// Takes no new callers from now on.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Returns whether the host takes no new callers.
    pub fn watch_draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !*self.draining.borrow() && lock(&self.view).configuration.is_some()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
