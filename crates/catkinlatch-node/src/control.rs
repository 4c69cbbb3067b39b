//! A node's handle on the replicated state.

mod driver;
mod member;
mod replica;
mod request;
mod status;
mod storage;

pub use self::{
    member::Member,
    request::{ProposeError, Proposed},
    status::Status,
    storage::{OpenedStorage, open},
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

/// How many requests may wait for the driver.
const QUEUE_REQUESTS: usize = 65_536;

/// How long a proposal may take before its outcome counts as unknown.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a proposal rests after it met no leader.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a proposer waits until its own node has applied what was committed.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a change may take until it is in force, before the question is given up.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);

/// Proposes commands and reads the state that they make.
#[derive(Debug)]
pub struct Control {
    host: HostId,
    clock: Clock,
    peers: Arc<Peers>,
    shared: Arc<Shared>,
    requests: mpsc::Sender<Request>,
}

/// What the driver publishes.
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
    /// Starts this node's part in the control log.
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
        let (requests, waiting) = mpsc::channel(QUEUE_REQUESTS);
        let driver = Driver::new(settings, clock, peers.clone(), shared.clone(), storage, waiting);
        tasks.spawn(driver.run());
        Self { host: settings.host.clone(), clock, peers, shared, requests }
    }

    /// Commits a command and returns what applying it answered.
    ///
    /// The state of this node holds the command when it returns, but for a node that lags far.
    ///
    /// # Errors
    ///
    /// Returns whether the command may be committed all the same.
    pub async fn propose(&self, command: Command) -> Result<Reply, ProposeError> {
        let until = time::Instant::now() + PROPOSE_TIMEOUT;
        loop {
            match self.try_propose(&command).await {
                Ok(proposed) => {
                    self.applied(proposed.revision).await;
                    return Ok(proposed.reply);
                }
                Err(ProposeError::NoLeader) if time::Instant::now() < until => {
                    time::sleep(RETRY_PAUSE).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Returns the newest state that this node knows.
    pub fn state(&self) -> Arc<State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns a receiver that wakes when the state changes.
    pub fn changes(&self) -> watch::Receiver<Revision> {
        self.shared.revision.subscribe()
    }

    /// Returns this node's place in the control log.
    pub fn status(&self) -> Status {
        self.shared.status.borrow().clone()
    }

    /// Returns the lease of this node, if it leads and its lease holds now.
    pub fn lease(&self) -> Option<Lease> {
        let now = self.clock.now();
        self.shared.status.borrow().lease.filter(|lease| now < lease.until)
    }

    /// Returns the term that this node leads, if it leads and its lease holds now.
    pub fn leading(&self) -> Option<Term> {
        self.lease().map(|lease| lease.term)
    }

    /// Returns until when this node may serve with the configuration that it has, if it may.
    pub fn serving_until(&self) -> Option<Instant> {
        let now = self.clock.now();
        self.shared.status.borrow().configuration_until.filter(|until| now < *until)
    }

    /// Returns once this node may serve.
    pub async fn ready(&self) {
        let mut status = self.shared.status.subscribe();
        let _ = status.wait_for(|status| status.configuration_until.is_some()).await;
    }

    /// Returns once a change is in force on every node that takes work.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not known to be in force after a while.
    pub async fn in_force(&self, revision: Revision) -> Result<(), ProposeError> {
        let until = time::Instant::now() + IN_FORCE_TIMEOUT;
        while time::Instant::now() < until {
            if self.ask_in_force(revision).await {
                return Ok(());
            }
            time::sleep(RETRY_PAUSE).await;
        }
        Err(ProposeError::Unknown)
    }

    /// Returns what the leader knows of the nodes, or nothing without a leader.
    pub async fn members(&self) -> Vec<Member> {
        let Some(leader) = self.status().leader else { return Vec::new() };
        if leader == self.host {
            return self.members_here();
        }
        match self.peers.call(&leader, &Message::Members, APPLY_TIMEOUT).await {
            Ok(peer::Reply::Members(members)) => members,
            Ok(_) | Err(_) => Vec::new(),
        }
    }

    /// Makes these hosts the voters by an operator's hand.
    ///
    /// # Errors
    ///
    /// Returns why nothing was done.
    pub async fn override_voters(&self, hosts: Vec<HostId>) -> Result<(), ProposeError> {
        self.ask(|answer| Request::Override { hosts, answer }).await?
    }

    /// Takes a frame of the control log.
    pub(crate) async fn receive(&self, frame: Frame<Command>) {
        let _ = self.requests.send(Request::Receive(Box::new(frame))).await;
    }

    /// Commits a command if this node leads.
    pub(crate) async fn propose_here(&self, command: Command) -> Result<Proposed, ProposeError> {
        self.ask(|answer| Request::Propose { command: Box::new(command), answer }).await?
    }

    /// Returns once a change is in force, if this node leads.
    pub(crate) async fn in_force_here(&self, revision: Revision) -> Result<(), ProposeError> {
        self.ask(|answer| Request::InForce { revision, answer }).await?
    }

    /// Returns what this node knows of the nodes; it knows them only while it leads.
    pub(crate) fn members_here(&self) -> Vec<Member> {
        self.shared.status.borrow().members.clone()
    }

    async fn try_propose(&self, command: &Command) -> Result<Proposed, ProposeError> {
        let leader = self.status().leader.ok_or(ProposeError::NoLeader)?;
        if leader == self.host {
            return self.propose_here(command.clone()).await;
        }
        let message = Message::Propose(command.clone());
        match self.peers.call(&leader, &message, PROPOSE_TIMEOUT).await {
            Ok(peer::Reply::Proposed(proposed)) => proposed,
            Ok(_) | Err(CallError::Unknown { .. }) => Err(ProposeError::Unknown),
            Err(CallError::NotSent { .. }) => Err(ProposeError::NoLeader),
        }
    }

    async fn ask_in_force(&self, revision: Revision) -> bool {
        let Some(leader) = self.status().leader else { return false };
        if leader == self.host {
            return self.in_force_here(revision).await.is_ok();
        }
        let message = Message::InForce(revision);
        let reply = self.peers.call(&leader, &message, IN_FORCE_TIMEOUT).await;
        matches!(reply, Ok(peer::Reply::InForce(true)))
    }

    /// Hands a request to the driver and waits for the answer.
    async fn ask<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> Request,
    ) -> Result<T, ProposeError> {
        let (answer, answered) = oneshot::channel();
        if self.requests.try_send(request(answer)).is_err() {
            return Err(ProposeError::NoLeader);
        }
        match time::timeout(IN_FORCE_TIMEOUT, answered).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => Err(ProposeError::Unknown),
        }
    }

    /// Waits until this node has applied a revision.
    async fn applied(&self, revision: Revision) {
        let mut changes = self.changes();
        let reached = changes.wait_for(|applied| *applied >= revision);
        let _ = time::timeout(APPLY_TIMEOUT, reached).await;
    }
}
