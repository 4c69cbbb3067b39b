//! Opens connections to targets: directly, or through another host while this one reaches none.

use crate::{Clock, relay};
use catkinlatch_base::Instant;
use catkinlatch_route::reach::{Finding, Helper, Path, Reach};
use derive_more::Debug;
use futures::future::BoxFuture;
use log::{info, warn};
use std::{
    future::Future,
    io,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    sync::watch,
    task::JoinSet,
    time,
};

/// Timeout of opening a connection; to a live target this takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a connection may take to open until the path is in doubt.
const CONNECT_DOUBT: Duration = Duration::from_millis(120);

/// How long a request may remain without an answer of any target until the path is in doubt.
const ANSWER_DOUBT: Duration = Duration::from_millis(200);

/// Timeout of the direct connections that a check opens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which a check tries further targets beside the first one.
const PROBE_PAUSE: Duration = Duration::from_millis(40);

/// Number of targets to which a check opens direct connections.
const MAX_PROBES: usize = 3;

/// Timeout of the connections that a check, or a request, opens through other hosts.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a request waits for a check in progress before it takes the path to be direct.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection's bytes in both directions.
pub trait Io: AsyncRead + AsyncWrite + Send + Unpin + std::fmt::Debug {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin + std::fmt::Debug> Io for T {}

/// Opens a direct connection to an address given as `host:port`.
pub type Connect = Arc<dyn Fn(String) -> BoxFuture<'static, io::Result<Box<dyn Io>>> + Send + Sync>;

/// Returns a function that opens TCP connections. With `resets_on_close`, closing one drops what a
/// cut or slow link has not yet taken.
pub fn tcp(resets_on_close: bool) -> Connect {
    Arc::new(move |address| {
        Box::pin(async move {
            let socket = TcpStream::connect(address).await?;
            let _ = socket.set_nodelay(true);
            if resets_on_close {
                let _ = socket.set_zero_linger();
            }
            Ok(Box::new(socket) as Box<dyn Io>)
        })
    })
}

/// Opens a direct connection within a second.
///
/// # Errors
///
/// Returns the cause as text.
pub async fn open_direct(connect: &Connect, address: &str) -> Result<Box<dyn Io>, String> {
    match time::timeout(CONNECT_TIMEOUT, connect(address.to_owned())).await {
        Ok(opened) => opened.map_err(|error| error.to_string()),
        Err(_) => Err("no connection in time".to_owned()),
    }
}

/// Opens connections to targets, and finds out whether this host reaches them itself.
#[derive(Debug)]
pub struct Dialer {
    #[debug(skip)]
    connect: Connect,
    clock: Clock,
    /// The relay through other hosts.
    pub relay: Arc<relay::Client>,
    /// Returns the addresses of targets that a check may connect to.
    #[debug(skip)]
    targets: Box<dyn Fn() -> Vec<String> + Send + Sync>,
    reach: Mutex<Reach>,
    /// Number of checks that have ended.
    checks: watch::Sender<u64>,
}

impl Dialer {
    /// Creates a dialer that takes targets to be reached directly until it finds otherwise.
    pub fn new(
        connect: Connect,
        clock: Clock,
        relay: relay::Client,
        targets: impl Fn() -> Vec<String> + Send + Sync + 'static,
    ) -> Self {
        Self {
            connect,
            clock,
            relay: Arc::new(relay),
            targets: Box::new(targets),
            reach: Mutex::default(),
            checks: watch::channel(0).0,
        }
    }

    /// Returns how to open the next connection, once a check in progress has ended.
    pub async fn path(&self) -> Path {
        let mut checks = self.checks.subscribe();
        if self.reach().is_unsettled() {
            let _ = time::timeout(SETTLE_TIMEOUT, checks.changed()).await;
        }
        self.reach().path(fastrand::f64())
    }

    /// Returns whether a connection that cannot be opened shows that its target failed.
    pub fn is_direct(&self) -> bool {
        self.reach().is_direct()
    }

    /// Returns the function that opens direct connections.
    pub fn connect(&self) -> &Connect {
        &self.connect
    }

    /// Returns how often this host has been cut off. Connections from before may be dead.
    pub fn cuts(&self) -> u64 {
        self.reach().cuts()
    }

    /// Returns whether this host reached no target when it checked last.
    pub fn is_cut_off(&self) -> bool {
        self.reach().is_cut_off()
    }

    /// Records that the target at `address` sent something on a direct connection.
    pub fn record_answer(&self, address: &str) {
        self.reach().record_answer(address, self.clock.now());
    }

    /// Opens a connection to a target on the given path; returns the host that relays it, if one
    /// does.
    ///
    /// # Errors
    ///
    /// Returns the cause as text if no connection could be opened; nothing was sent.
    pub async fn open(
        self: &Arc<Self>,
        address: &str,
        path: Path,
    ) -> Result<(Box<dyn Io>, Option<Helper>), String> {
        match path {
            Path::Direct => {}
            Path::Closed => return Err(Finding::Unreached.to_string()),
            Path::Relayed => {
                return self.open_relayed(address).await.map_err(|error| error.to_string());
            }
        }
        let mut direct = pin!(open_direct(&self.connect, address));
        let opened = match time::timeout(CONNECT_DOUBT, &mut direct).await {
            Ok(opened) => opened,
            Err(_) => tokio::select! {
                opened = &mut direct => opened,
                finding = self.check(address) => match finding {
                    Some(Finding::Reached) => direct.await,
                    Some(finding) => Err(finding.to_string()),
                    None => Err("no connection in time".to_owned()),
                },
            },
        };
        let error = match opened {
            Ok(stream) => {
                self.reach().record_open(address, self.clock.now());
                return Ok((stream, None));
            }
            Err(error) => error,
        };
        if self.is_miss_in_doubt(address) {
            self.check(address).await;
        }
        if self.reach().path(1.0) != Path::Relayed {
            return Err(error);
        }
        self.open_relayed(address).await.map_err(|error| error.to_string())
    }

    /// Opens a direct connection that is relayed for another host; `None` if that takes longer than
    /// `limit` or fails, which is then checked so that the next request is answered at once.
    pub async fn open_for_other(
        self: &Arc<Self>,
        address: &str,
        limit: Duration,
    ) -> Option<Box<dyn Io>> {
        if let Ok(Ok(stream)) = time::timeout(limit, (self.connect)(address.to_owned())).await {
            self.reach().record_open(address, self.clock.now());
            return Some(stream);
        }
        if self.is_miss_in_doubt(address) {
            self.begin_check(address);
        }
        None
    }

    /// Records that no direct connection to a target could be opened; returns whether that calls for
    /// a check.
    fn is_miss_in_doubt(&self, address: &str) -> bool {
        let mut reach = self.reach();
        reach.record_miss(address);
        reach.is_miss_in_doubt(address, self.clock.now())
    }

    async fn open_relayed(
        &self,
        address: &str,
    ) -> Result<(Box<dyn Io>, Option<Helper>), relay::Error> {
        let (tunnel, helper) = self.relay.open(address, RELAY_TIMEOUT).await?;
        metrics::counter!("catkinlatch_relay_connections").increment(1);
        self.reach().record_relayed(self.clock.now());
        Ok((Box::new(tunnel), Some(helper)))
    }

    /// Waits for something that a target sends on a direct connection; begins a check if nothing
    /// comes for a while.
    ///
    /// Returns `None` if this host turns out to be cut off and `is_repeatable`: the caller may then
    /// send its request again on another path.
    pub async fn wait<F: Future>(
        self: &Arc<Self>,
        address: &str,
        is_repeatable: bool,
        answer: F,
    ) -> Option<F::Output> {
        let since = self.clock.now();
        let mut checks = self.checks.subscribe();
        let mut answer = pin!(answer);
        loop {
            let doubt = async {
                tokio::select! {
                    () = time::sleep(ANSWER_DOUBT) => {}
                    _ = checks.changed() => {}
                }
            };
            tokio::select! {
                biased;
                output = &mut answer => return Some(output),
                () = doubt => {}
            }
            let now = self.clock.now();
            if is_repeatable && now >= since + ANSWER_DOUBT && self.reach().is_silent() {
                return None;
            }
            if now >= since + ANSWER_DOUBT && self.reach().is_silence_in_doubt(since, now) {
                self.begin_check(address);
            }
        }
    }

    /// Checks whether targets are reached, or waits for the check in progress; returns its finding,
    /// or `None` if targets were not reached a moment ago.
    async fn check(self: &Arc<Self>, address: &str) -> Option<Finding> {
        let mut checks = self.checks.subscribe();
        self.begin_check(address);
        if !self.reach().is_unsettled() {
            return None;
        }
        let _ = checks.changed().await;
        self.reach().finding()
    }

    /// Begins a check, unless one is in progress. It goes on if the request that caused it ends.
    fn begin_check(self: &Arc<Self>, address: &str) {
        if self.reach().begin_check() {
            let (dialer, address) = (self.clone(), address.to_owned());
            tokio::spawn(async move { dialer.run_checks(address).await });
        }
    }

    /// Checks the path, and again until targets are reached directly.
    async fn run_checks(self: &Arc<Self>, address: String) {
        loop {
            let began = self.clock.now();
            self.reach().continue_check();
            let finding = self.find(&address).await;
            let pause = self.end_check(began, finding);
            let Some(pause) = pause else { return };
            time::sleep(pause).await;
        }
    }

    fn end_check(&self, began: Instant, finding: Finding) -> Option<Duration> {
        let (has_changed, pause) = {
            let mut reach = self.reach();
            let has_changed = reach.end_check(began, finding);
            (has_changed, reach.next_check())
        };
        metrics::counter!("catkinlatch_reach_checks", "finding" => finding.to_string())
            .increment(1);
        let is_reached = if finding == Finding::Reached { 1.0 } else { 0.0 };
        metrics::gauge!("catkinlatch_reach_direct").set(is_reached);
        if has_changed && finding != Finding::Reached {
            warn!(finding:% = finding; "reach: checked the path to targets");
        } else {
            info!(finding:% = finding, has_changed = has_changed; "reach: checked the path to targets");
        }
        self.checks.send_modify(|checks| *checks += 1);
        pause
    }

    /// Opens direct connections to some targets, and then one through another host.
    async fn find(&self, address: &str) -> Finding {
        let mut others = (self.targets)();
        others.retain(|other| other != address);
        fastrand::shuffle(&mut others);
        let mut addresses = vec![address.to_owned()];
        addresses.extend(others.into_iter().take(MAX_PROBES - 1));
        let mut probes = JoinSet::new();
        for (position, address) in addresses.iter().cloned().enumerate() {
            let connect = self.connect.clone();
            probes.spawn(async move {
                if position > 0 {
                    time::sleep(PROBE_PAUSE).await;
                }
                matches!(time::timeout(PROBE_TIMEOUT, connect(address)).await, Ok(Ok(_)))
            });
        }
        while let Some(probed) = probes.join_next().await {
            if probed.unwrap_or_default() {
                return Finding::Reached;
            }
        }
        if self.reach().is_relay_confirmed(self.clock.now()) {
            return Finding::CutOff;
        }
        let mut tunnels = JoinSet::new();
        for address in addresses {
            let relay = self.relay.clone();
            tunnels.spawn(async move { relay.open(&address, RELAY_TIMEOUT).await.is_ok() });
        }
        while let Some(opened) = tunnels.join_next().await {
            if opened.unwrap_or_default() {
                self.reach().record_relayed(self.clock.now());
                return Finding::CutOff;
            }
        }
        Finding::Unreached
    }

    fn reach(&self) -> MutexGuard<'_, Reach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
