//! Opens tunnels to targets through other hosts.

use super::{Answer, Request};
use crate::Clock;
use catkinlatch_base::HostId;
use catkinlatch_route::reach::{Helper, Helpers, Setback};
use catkinlatch_wire::{
    Error as Refused, Frame, Hello, Secret, Session, Tunnel, codec, connect_for_tunnels,
};
use derive_more::{Debug, Display};
use log::info;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    net::lookup_host,
    task::{self, AbortHandle},
    time,
};

/// Timeout of one host for opening a tunnel, including its connection to the target.
const OPEN_TIMEOUT: Duration = Duration::from_millis(350);

/// Number of hosts that are asked for one tunnel, and of those in reserve that are asked then.
const MAX_HELPERS: usize = 4;
const MAX_RESERVES: usize = 2;

/// Number of hosts that cannot connect to a target, after which only those in reserve are asked.
const MAX_UNREACHABLE: usize = 2;

/// How long a session without tunnels is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why no tunnel was opened; nothing was sent to the target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// Another host could not connect to the target either.
    #[display("other hosts cannot connect to the target")]
    Unreachable,
    /// No other host relays connections at present.
    #[display("no other host relays connections")]
    NoHelper,
}

/// Returns the hosts that may relay, with the addresses at which they accept sessions.
type Candidates = Box<dyn Fn() -> Vec<(Helper, String)> + Send + Sync>;

/// A session with a host that relays connections, with the task that drives it.
#[derive(Debug)]
struct Open {
    #[debug(skip)]
    session: Session,
    driver: AbortHandle,
    last_used: time::Instant,
}

impl Open {
    /// Returns the session, which is kept for longer.
    fn renew(&mut self) -> Session {
        self.last_used = time::Instant::now();
        self.session.clone()
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens tunnels to targets through other hosts, over sessions that carry nothing else.
#[derive(Debug)]
pub struct Client {
    local: Hello,
    secret: Secret,
    clock: Clock,
    #[debug(skip)]
    candidates: Candidates,
    helpers: Mutex<Helpers>,
    sessions: Mutex<BTreeMap<HostId, Open>>,
}

impl Client {
    /// Creates a client; `candidates` returns the hosts that may relay, with the addresses at which
    /// they accept sessions.
    pub fn new(
        local: Hello,
        secret: Secret,
        clock: Clock,
        candidates: impl Fn() -> Vec<(Helper, String)> + Send + Sync + 'static,
    ) -> Self {
        let candidates = Box::new(candidates);
        let (helpers, sessions) = (Mutex::default(), Mutex::default());
        Self { local, secret, clock, candidates, helpers, sessions }
    }

    /// Opens a tunnel to the target at `address`, and returns it with the host that relays it.
    ///
    /// # Errors
    ///
    /// Returns an error if no host opened the tunnel within `limit`.
    pub async fn open(
        self: &Arc<Self>,
        address: &str,
        limit: Duration,
    ) -> Result<(Tunnel, Helper), Error> {
        let candidates = (self.candidates)();
        let addresses: BTreeMap<HostId, String> =
            candidates.iter().map(|(helper, at)| (helper.host.clone(), at.clone())).collect();
        let hosts = candidates.into_iter().map(|(helper, _)| helper).collect();
        let (own, zone) = (&self.local.host, &self.local.zone);
        let ranked = self.helpers().rank(hosts, own, zone, fastrand::f64(), self.clock.now());
        let mut unreachable = 0;
        let asking = async {
            let (reserves, others): (Vec<_>, Vec<_>) =
                ranked.into_iter().partition(|helper| helper.is_reserve);
            let others = others.into_iter().take(MAX_HELPERS);
            for helper in others.chain(reserves.into_iter().take(MAX_RESERVES)) {
                if unreachable >= MAX_UNREACHABLE && !helper.is_reserve {
                    continue;
                }
                let Some(at) = addresses.get(&helper.host) else { continue };
                let asked = time::timeout(OPEN_TIMEOUT, self.ask(&helper.host, at, address)).await;
                let (reason, setback) = match asked {
                    Ok(Ok((Answer::Opened, tunnel))) => return Some((tunnel, helper)),
                    Ok(Ok((answer, _))) => {
                        if answer == Answer::Unreachable {
                            unreachable += 1;
                            self.record_silence(&helper);
                        }
                        (answer.to_string(), answer.setback())
                    }
                    Ok(Err(error)) => (error.to_string(), Some(Setback::Failed)),
                    Err(_) => ("it did not answer in time".to_owned(), Some(Setback::Failed)),
                };
                metrics::counter!("catkinlatch_relay_refused").increment(1);
                info!(
                    host:% = helper.host, address = address, reason = reason.as_str();
                    "relay: another host did not open a tunnel"
                );
                if let Some(setback) = setback {
                    self.helpers().record_setback(&helper, setback, self.clock.now());
                }
            }
            None
        };
        let opened = time::timeout(limit, asking).await.ok().flatten();
        opened.ok_or(if unreachable > 0 { Error::Unreachable } else { Error::NoHelper })
    }

    /// Records that a relayed request was answered.
    pub fn record_success(&self, helper: &Helper) {
        self.helpers().record_success(&helper.host);
    }

    /// Records that a host did not reach a target, or left a relayed request without an answer.
    pub fn record_silence(&self, helper: &Helper) {
        self.helpers().record_silence(helper, self.clock.now());
    }

    /// Records that a tunnel was lost, and closes the session with its host.
    pub fn record_loss(&self, helper: &Helper) {
        self.helpers().record_setback(helper, Setback::Failed, self.clock.now());
        self.sessions().remove(&helper.host);
    }

    async fn ask(
        self: &Arc<Self>,
        host: &HostId,
        at: &str,
        address: &str,
    ) -> Result<(Answer, Tunnel), Refused> {
        let session = self.session(host, at).await?;
        let request = Request { address: address.to_owned() };
        let (answer, tunnel) = session.open_tunnel(&Frame::new(codec::encode(&request))).await?;
        let answer =
            codec::decode(&answer.payload).map_err(|error| Refused::protocol(error.to_string()))?;
        Ok((answer, tunnel))
    }

    /// Returns the session with a host; opens it if there is none.
    async fn session(self: &Arc<Self>, host: &HostId, at: &str) -> Result<Session, Refused> {
        if let Some(session) = self.open_session(host) {
            return Ok(session);
        }
        let resolved = lookup_host(at).await?.next();
        let resolved = resolved.ok_or_else(|| Refused::protocol("the address has no host"))?;
        let (session, driver) = connect_for_tunnels(resolved, &self.local, &self.secret).await?;
        if session.remote().host != *host {
            return Err(Refused::protocol("another host answered"));
        }
        // Another request may have opened one meanwhile, which may carry tunnels.
        let mut sessions = self.sessions();
        if let Some(open) = sessions.get_mut(host) {
            return Ok(open.renew());
        }
        let (client, driven) = (Arc::downgrade(self), host.clone());
        let task = tokio::spawn(async move {
            let error = driver.await;
            info!(host:% = driven, reason:% = error; "relay: a session ended");
            if let Some(client) = client.upgrade() {
                client.remove_session(&driven, task::id());
            }
        });
        let last_used = time::Instant::now();
        let open = Open { session: session.clone(), driver: task.abort_handle(), last_used };
        sessions.insert(host.clone(), open);
        Ok(session)
    }

    /// Removes the session with a host that the given task drives.
    fn remove_session(&self, host: &HostId, driver: task::Id) {
        let mut sessions = self.sessions();
        if sessions.get(host).is_some_and(|open| open.driver.id() == driver) {
            sessions.remove(host);
        }
    }

    fn open_session(&self, host: &HostId) -> Option<Session> {
        self.sessions().get_mut(host).map(Open::renew)
    }

    /// Closes the sessions over which no tunnel was opened for a while.
    pub fn prune(&self) {
        let now = time::Instant::now();
        self.sessions().retain(|_, open| now < open.last_used + IDLE_TIMEOUT);
    }

    fn helpers(&self) -> MutexGuard<'_, Helpers> {
        self.helpers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sessions(&self) -> MutexGuard<'_, BTreeMap<HostId, Open>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
