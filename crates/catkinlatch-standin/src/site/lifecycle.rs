//! Starts and crashes of stand-in targets.

use super::{Limit, Target};
use catkinlatch_runtime::http::{Inbound, Server, inbound};
use std::{
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    time::Duration,
};
use tokio::{net::TcpListener, sync::watch, task::AbortHandle, time};

/// The first bytes of the body of a request that crashes each target which runs it.
pub const CRASHING_BODY: &str = "crash";

/// The first bytes of the body of a request under which a target falls silent and ends.
pub const SILENCING_BODY: &str = "silence";

/// How long after a target fell silent its next start runs.
const SILENCE: Duration = Duration::from_millis(1_500);

/// How long a target that crashed is down.
const DOWNTIME: Duration = Duration::from_millis(800);

/// How long connections to a target may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The starts of one target: a crash breaks all its connections, and its next start, with another
/// id, listens at the same address a little later.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    /// The addresses of the control hosts.
    pub controls: Vec<String>,
    state: Arc<Mutex<State>>,
    stop: watch::Receiver<bool>,
    _stop: Arc<watch::Sender<bool>>,
}

#[derive(Debug, Default)]
struct State {
    /// The tasks of the current start; empty while the target is down.
    tasks: Vec<AbortHandle>,
    /// The current or else the last start.
    target: Option<Target>,
    /// The bodies of the requests that crashed a start.
    crashes: Vec<String>,
}

impl Lifecycle {
    /// Creates the lifecycle of a target that announces itself to `controls`.
    pub fn new(controls: Vec<String>) -> Self {
        let (sender, stop) = watch::channel(false);
        Self { controls, state: Arc::default(), stop, _stop: Arc::new(sender) }
    }

    /// Returns the options of the target's server.
    pub fn server(&self) -> Server {
        let limits = inbound::Limits::default().with_idle_time(IDLE_TIMEOUT);
        Server { inbound: Inbound::new(limits), stop: self.stop.clone() }
    }

    /// Runs the tasks of a start of the target until the target crashes.
    pub fn run<S, A>(&self, target: &Target, serving: S, announcing: A)
    where
        S: Future<Output = ()> + Send + 'static,
        A: Future<Output = ()> + Send + 'static,
    {
        let tasks = [tokio::spawn(serving), tokio::spawn(announcing)];
        let mut state = self.lock();
        state.target = Some(target.clone());
        state.tasks = tasks.iter().map(|task| task.abort_handle()).collect();
    }

    /// Lets the target answer and announce nothing from now on, without closing a connection; the
    /// next start listens at another address a little later.
    pub fn fall_silent(
        &self,
        body: &[u8],
        mut target: Target,
        restart: impl FnOnce(Target, TcpListener) + Send + 'static,
    ) {
        if target.is_silent.swap(true, Ordering::Relaxed) {
            return;
        }
        let mut state = self.lock();
        state.tasks.last().into_iter().for_each(AbortHandle::abort);
        state.next_start(body, &mut target);
        tokio::spawn(async move {
            time::sleep(SILENCE).await;
            let any_port = (target.address.ip(), 0);
            let listener = TcpListener::bind(any_port).await.expect("a port is free");
            target.address = listener.local_addr().expect("the listener has an address");
            restart(target, listener);
        });
    }

    /// Ends the target for good.
    pub fn end(&self) {
        std::mem::take(&mut self.lock().tasks).iter().for_each(AbortHandle::abort);
    }

    /// Ends the current start at once, under a request with this body; `restart` runs the next one from its target and listener.
    pub fn crash(
        &self,
        body: &[u8],
        mut target: Target,
        restart: impl FnOnce(Target, TcpListener) + Send + 'static,
    ) {
        let mut state = self.lock();
        let tasks = std::mem::take(&mut state.tasks);
        if tasks.is_empty() {
            // Another request has crashed this start already.
            return;
        }
        state.next_start(body, &mut target);
        tokio::spawn(async move {
            // The request's own task ends with its connection.
            tasks.iter().for_each(AbortHandle::abort);
            time::sleep(DOWNTIME).await;
            let listener = bind_again(target.address).await;
            restart(target, listener);
        });
    }

    /// Returns the current start of the target; `None` while it is down.
    pub fn current(&self) -> Option<Target> {
        let state = self.lock();
        state.target.clone().filter(|_| !state.tasks.is_empty())
    }

    /// Returns the bodies of the requests under which a start of the target crashed.
    pub fn crashes(&self) -> Vec<String> {
        self.lock().crashes.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Records that a start ended under a request with this body, and turns its target into the
    /// next start.
    fn next_start(&mut self, body: &[u8], target: &mut Target) {
        self.crashes.push(String::from_utf8_lossy(body).into_owned());
        let first = target.id.split('.').next().unwrap_or_default().to_owned();
        target.id = format!("{first}.{}", self.crashes.len());
        (target.says_leaving, target.is_draining, target.is_silent) = Default::default();
        target.cold = target.cold.next(DOWNTIME);
        target.limit = Limit::default();
    }
}

/// Listens at the address of an earlier start, once the system has freed it.
async fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => time::sleep(Duration::from_millis(20)).await,
        }
    }
}
