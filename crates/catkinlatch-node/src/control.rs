//! Handle of a node on the control log and on the state that it replicates.

mod driver;
mod member;
mod replica;
mod request;
mod status;
mod storage;

pub use self::{
    member::Member,
    request::{Outcome, ProposeError},
    status::Status,
    storage::{OpenedStorage, open_storage},
};

use self::{driver::Driver, replica::Replica, request::Request};
use crate::{
    Clock, Settings,
    peer::{self, CallError, Message, Peers},
};
use catkinlatch_base::{HostId, Instant, Revision, Term};
use catkinlatch_fleet::Lease;
use catkinlatch_log::Frame;
use catkinlatch_state::{Command, Reply, State};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time,
};

/// The capacity of the queue of requests to the driver.
const MAX_QUEUED_REQUESTS: usize = 65_536;

/// For how long a proposal is retried while there is no leader, and the timeout of a call to a
/// remote leader, after which the outcome of the proposal is unknown.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The delay between two attempts of a proposal, or between two queries whether a change is in
/// force.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a proposer waits until its own node has applied the committed command; also the
/// timeout of a call for the members.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// How long to wait for a change to be in force; also how long the driver may take to answer a
/// request.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);

/// Proposes commands to the control log and reads the replicated state.
#[derive(Debug)]
pub struct Control {
    host: HostId,
    clock: Clock,
    peers: Arc<Peers>,
    shared: Arc<Shared>,
    requests: mpsc::Sender<Request>,
}

/// The state and status that the driver publishes to [`Control`].
#[derive(Debug)]
struct Shared {
    state: Mutex<Arc<State>>,
    revision: watch::Sender<Revision>,
    status: watch::Sender<Status>,
}

impl Shared {
    fn publish(&self, state: &State) {
        let revision = state.revision();
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(state.clone());
        self.revision.send_replace(revision);
    }
}

impl Control {
    /// Starts this node's replica of the control log; its driver runs in `tasks`.
    pub fn start(
        settings: &Settings,
        clock: Clock,
        peers: Arc<Peers>,
        storage: OpenedStorage,
        tasks: &mut JoinSet<()>,
    ) -> Self {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            revision: watch::Sender::default(),
            status: watch::Sender::default(),
        });
        let (requests, receiver) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let driver = Driver::new(settings, clock, peers.clone(), shared.clone(), storage, receiver);
        tasks.spawn(driver.run());
        Self { host: settings.host.clone(), clock, peers, shared, requests }
    }

    /// Commits a command and returns the reply of the state machine.
    ///
    /// On return this node has applied the command, unless it lags the leader by more than
    /// `APPLY_TIMEOUT`.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError::NoLeader`] if the command was not committed, and
    /// [`ProposeError::Unknown`] if it may have been or may still be committed.
    pub async fn propose(&self, command: Command) -> Result<Reply, ProposeError> {
        let deadline = time::Instant::now() + PROPOSE_TIMEOUT;
        loop {
            match self.try_propose(&command).await {
                Ok(outcome) => {
                    self.wait_applied(outcome.revision).await;
                    return Ok(outcome.reply);
                }
                Err(ProposeError::NoLeader) if time::Instant::now() < deadline => {
                    time::sleep(RETRY_DELAY).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Returns the newest state that this node has applied.
    pub fn state(&self) -> Arc<State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns a receiver that is notified of the revision of each published state.
    pub fn changes(&self) -> watch::Receiver<Revision> {
        self.shared.revision.subscribe()
    }

    /// Returns the status of this node in the control log.
    pub fn status(&self) -> Status {
        self.shared.status.borrow().clone()
    }

    /// Returns the leader lease, if this node leads and the lease has not expired.
    pub fn lease(&self) -> Option<Lease> {
        let now = self.clock.now();
        self.shared.status.borrow().lease.filter(|lease| now < lease.until)
    }

    /// Returns the current term, if this node leads and its lease has not expired.
    pub fn leading_term(&self) -> Option<Term> {
        self.lease().map(|lease| lease.term)
    }

    /// Returns the end of this node's configuration lease, or `None` if it holds no valid lease and
    /// must not serve.
    pub fn configuration_lease_end(&self) -> Option<Instant> {
        let now = self.clock.now();
        self.shared.status.borrow().configuration_until.filter(|until| now < *until)
    }

    /// Waits until this node holds a configuration lease and may serve.
    pub async fn wait_ready(&self) {
        let mut status = self.shared.status.subscribe();
        let _ = status.wait_for(|status| status.configuration_until.is_some()).await;
    }

    /// Waits until a change is in force on every node that takes work.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError::Unknown`] if this is not confirmed within `IN_FORCE_TIMEOUT`.
    pub async fn wait_in_force(&self, revision: Revision) -> Result<(), ProposeError> {
        let deadline = time::Instant::now() + IN_FORCE_TIMEOUT;
        while time::Instant::now() < deadline {
            if self.query_in_force(revision).await {
                return Ok(());
            }
            time::sleep(RETRY_DELAY).await;
        }
        Err(ProposeError::Unknown)
    }

    /// Returns the nodes as the leader sees them; empty if there is no leader or no answer.
    pub async fn members(&self) -> Vec<Member> {
        let Some(leader) = self.status().leader else { return Vec::new() };
        if leader == self.host {
            return self.local_members();
        }
        match self.peers.call(&leader, &Message::Members, APPLY_TIMEOUT).await {
            Ok(peer::Reply::Members(members)) => members,
            Ok(_) | Err(_) => Vec::new(),
        }
    }

    /// Makes these hosts the voters without asking a quorum, as an operator has requested.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError::NoLeader`] if the override was refused, and
    /// [`ProposeError::Unknown`] if the driver did not answer.
    pub async fn override_voters(&self, hosts: Vec<HostId>) -> Result<(), ProposeError> {
        self.call_driver(|answer| Request::Override { hosts, answer }).await?
    }

    /// Passes a frame of the control log from another node to the driver.
    pub(crate) async fn receive(&self, frame: Frame<Command>) {
        let _ = self.requests.send(Request::Receive(Box::new(frame))).await;
    }

    /// Commits a command; fails unless this node leads.
    pub(crate) async fn propose_locally(&self, command: Command) -> Result<Outcome, ProposeError> {
        self.call_driver(|answer| Request::Propose { command: Box::new(command), answer }).await?
    }

    /// Waits until a change is in force; fails unless this node leads.
    pub(crate) async fn wait_in_force_locally(
        &self,
        revision: Revision,
    ) -> Result<(), ProposeError> {
        self.call_driver(|answer| Request::InForce { revision, answer }).await?
    }

    /// Returns the nodes as this node sees them; empty unless it leads.
    pub(crate) fn local_members(&self) -> Vec<Member> {
        self.shared.status.borrow().members.clone()
    }

    async fn try_propose(&self, command: &Command) -> Result<Outcome, ProposeError> {
        let leader = self.status().leader.ok_or(ProposeError::NoLeader)?;
        if leader == self.host {
            return self.propose_locally(command.clone()).await;
        }
        let message = Message::Propose(command.clone());
        match self.peers.call(&leader, &message, PROPOSE_TIMEOUT).await {
            Ok(peer::Reply::Proposed(result)) => result,
            Ok(_) | Err(CallError::Unknown { .. }) => Err(ProposeError::Unknown),
            Err(CallError::NotSent { .. }) => Err(ProposeError::NoLeader),
        }
    }

    async fn query_in_force(&self, revision: Revision) -> bool {
        let Some(leader) = self.status().leader else { return false };
        if leader == self.host {
            return self.wait_in_force_locally(revision).await.is_ok();
        }
        let message = Message::InForce(revision);
        let reply = self.peers.call(&leader, &message, IN_FORCE_TIMEOUT).await;
        matches!(reply, Ok(peer::Reply::InForce(true)))
    }

    /// Sends a request to the driver and waits for the answer.
    async fn call_driver<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> Request,
    ) -> Result<T, ProposeError> {
        let (answer, receiver) = oneshot::channel();
        if self.requests.try_send(request(answer)).is_err() {
            return Err(ProposeError::NoLeader);
        }
        match time::timeout(IN_FORCE_TIMEOUT, receiver).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => Err(ProposeError::Unknown),
        }
    }

    /// Waits until this node has applied a revision, for at most `APPLY_TIMEOUT`.
    async fn wait_applied(&self, revision: Revision) {
        let mut changes = self.changes();
        let reached = changes.wait_for(|applied| *applied >= revision);
        let _ = time::timeout(APPLY_TIMEOUT, reached).await;
    }
}
