//! This host's replica of the replicated state; runs on hosts with a disk.

mod contacts;
mod driver;
mod member;
mod recovery;
mod storage;

use self::{
    driver::{Driver, Request},
    member::Member,
};
use crate::{Clock, Message, Peers, Settings};
use catkinlatch_base::{HostId, Instant, Term};
use catkinlatch_ledger::{Command, Reply, State};
use catkinlatch_log::{
    self as log_core, Core, Frame, Redundancy, Role,
    storage::{Files, OpenError, Trust},
};
use derive_more::{Display, Error};
use log::info;
use std::{
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::{mpsc, oneshot, watch};

/// Interval between heartbeats of the leader to a voter.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between heartbeats of the leader to a learner; short, so that a learner can become a
/// voter soon.
const LEARNER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum election timeout: how long a voter supports a leader after its last message.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Upper bound on the error of a clock's rate, as a fraction; clocks of current machines are far
/// more accurate.
const MAX_CLOCK_DRIFT: f64 = 0.05;

/// Time after which an unresponsive voter is replaced.
const VOTER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which the leader removes an unresponsive learner.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);

/// Entries between two snapshots; the entry of a job may have a hundred kilobytes.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 20_000;

/// Entries before a snapshot that are retained for hosts that lag slightly behind.
const SNAPSHOT_RETAINED_ENTRIES: u64 = 1_000;

/// Maximum number of entries in a message.
const MAX_MESSAGE_ENTRIES: usize = 64;

/// Maximum number of entries in flight to a host: enough for 30,000 per second if a disk syncs in
/// 5 ms, and few enough that hosts with empty disks do not fill the leader's memory.
const MAX_IN_FLIGHT_ENTRIES: u64 = 256;

/// Capacity of the queue of requests to the driver.
const QUEUE_REQUESTS: usize = 8_192;

/// Error of proposing a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum ProposeError {
    /// The change was not made, for example because this host does not lead.
    #[display("this host does not lead")]
    NotLeader,
    /// The change may or may not be committed.
    #[display("the outcome of the change is unknown")]
    Unknown,
}

/// Role of this host in the replicated log, and the term, leader and voters that it last saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// This host's role; `None` before the driver's first step.
    pub role: Option<Role>,
    /// The highest term that this host has seen.
    pub term: Term,
    /// The leader, if this host has received messages from one.
    pub leader: Option<HostId>,
    /// The hosts of the voters.
    pub voters: Vec<HostId>,
}

impl Status {
    /// Returns whether this host is the leader; its lease may have expired.
    pub fn is_leader(&self) -> bool {
        self.role == Some(Role::Leader)
    }
}

/// Handle for this host's replica of the state.
#[derive(Clone)]
pub struct Replica {
    core: Arc<Mutex<Core<State>>>,
    clock: Clock,
    requests: mpsc::Sender<Request>,
    applied: watch::Receiver<u64>,
    status: watch::Receiver<Status>,
}

/// The opened storage of the log.
pub use self::storage::{Opened, open as open_in, reopen as reopen_in};

/// Opens the log's storage in the data folder `folder`.
///
/// A damaged log is moved aside, and the host joins as a new member.
///
/// # Errors
///
/// Returns an error if the storage cannot be opened.
pub fn open(folder: &Path) -> Result<Opened, OpenError> {
    storage::open(&Files::new(), folder)
}

/// Opens the log's storage again after it failed, if the disk works.
///
/// # Errors
///
/// Returns an error if the disk still fails; the attempt may be repeated.
pub fn reopen(folder: &Path, trust: Trust) -> Result<Opened, OpenError> {
    storage::reopen(&Files::new(), folder, trust)
}

impl Replica {
    /// Starts the replica of this host, which runs until all its handles are dropped.
    pub fn start(settings: &Settings, clock: Clock, peers: Arc<Peers>, opened: Opened) -> Self {
        let folder = settings.data_folder.clone().unwrap_or_default();
        let data_folder = folder.clone();
        let mut member = Member::new(log_settings(settings), settings, folder);
        let mut core = member.join(opened.identity, opened.restored, clock.now());
        core.add_contacts(clock.now(), &contacts::load(&member.folder));
        log_opened(&core);
        let core = Arc::new(Mutex::new(core));
        let (requests, queued) = mpsc::channel(QUEUE_REQUESTS);
        let (applied, applied_receiver) = watch::channel(0);
        let (status, status_receiver) = watch::channel(Status::default());
        let driver = Driver::new(
            core.clone(),
            clock,
            peers,
            member,
            opened.disk,
            queued,
            driver::Watches { applied, status },
        );
        tokio::spawn(driver.run());
        let status = status_receiver;
        tokio::spawn(contacts::watch(core.clone(), status.clone(), data_folder));
        Self { core, clock, requests, applied: applied_receiver, status }
    }

    /// Handles a frame of the log from another host, waiting while the request queue is full.
    pub async fn receive(&self, frame: Box<Frame<Command>>) {
        let _ = self.requests.send(Request::Receive(frame)).await;
    }

    /// Replaces the seeds that this host asks for the leader.
    pub async fn set_seeds(&self, seeds: Vec<HostId>) {
        let _ = self.requests.send(Request::SetSeeds(seeds)).await;
    }

    /// Commits a change and returns its reply once it is applied on this host.
    ///
    /// # Errors
    ///
    /// Returns an error that indicates whether the change may have been committed.
    pub async fn propose(&self, command: Command) -> Result<Reply, ProposeError> {
        let (answer, receiver) = oneshot::channel();
        let request = Request::Propose { command: Box::new(command), answer };
        self.requests.send(request).await.map_err(|_| ProposeError::NotLeader)?;
        receiver.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Returns the term that this host leads, which is also the fencing token of its orders.
    ///
    /// Returns `None` unless this host holds a valid leader lease, so that no other host can lead.
    pub fn fencing_token(&self) -> Option<Term> {
        self.lock().fencing_token(self.clock.now())
    }

    /// Returns whether this host leads and has heard from a quorum lately; its lease may have expired.
    ///
    /// Unlike the status, this holds in the first moment after a pause as well.
    pub fn is_acting_leader(&self) -> bool {
        self.lock().is_acting_leader(self.clock.now())
    }

    /// Returns whether this host is out of the log because its storage failed.
    pub fn has_failed(&self) -> bool {
        self.status.borrow().role == Some(Role::Failed)
    }

    /// Returns the highest term that this host has seen.
    pub fn term(&self) -> Term {
        self.lock().term()
    }

    /// Returns when this host was elected, if it leads.
    pub fn leading_since(&self) -> Option<Instant> {
        self.lock().leading_since()
    }

    /// Returns the time since this host was elected, if it leads.
    pub fn time_since_election(&self) -> Option<Duration> {
        Some(self.clock.now() - self.leading_since()?)
    }

    /// Returns how many more voters may be lost, if this host leads.
    pub fn redundancy(&self) -> Option<Redundancy> {
        self.lock().redundancy(self.clock.now())
    }

    /// Runs a query on the state as applied on this host.
    ///
    /// The state is locked meanwhile, so the query must not block.
    pub fn read<T>(&self, query: impl FnOnce(&State) -> T) -> T {
        query(self.lock().machine())
    }

    /// Returns a watch of the number of changes applied on this host since it started.
    pub fn applied(&self) -> watch::Receiver<u64> {
        self.applied.clone()
    }

    /// Returns a watch of this host's status in the log.
    pub fn status(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Core<State>> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Derives the settings of the log from those of the process.
fn log_settings(settings: &Settings) -> log_core::Settings {
    let seeds = settings.seed_hosts();
    let voters = if settings.is_first_start { seeds.clone() } else { Vec::new() };
    let cluster = crate::settings::CLUSTER.parse().expect("the name is valid");
    log_core::Settings {
        allows_unlisted_voters: true,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        learner_heartbeat_interval: LEARNER_HEARTBEAT_INTERVAL,
        election_timeout: ELECTION_TIMEOUT,
        max_clock_drift: MAX_CLOCK_DRIFT,
        configuration_lease: ELECTION_TIMEOUT * 6,
        voter_timeout: VOTER_TIMEOUT,
        learner_timeout: LEARNER_TIMEOUT,
        max_voters: 2 * settings.losses + 1,
        snapshot_every: SNAPSHOT_INTERVAL_ENTRIES,
        snapshot_keep: SNAPSHOT_RETAINED_ENTRIES,
        max_entries: MAX_MESSAGE_ENTRIES,
        max_in_flight_entries: MAX_IN_FLIGHT_ENTRIES,
        replicates_to_all_learners: false,
        ..log_core::Settings::new(cluster, seeds, voters)
    }
}

/// Logs what this host holds as it joins the log.
fn log_opened(core: &Core<State>) {
    let voters: Vec<&str> = core.voters().iter().map(|voter| voter.host.as_str()).collect();
    info!(
        identity:% = core.identity().incarnation, last_index = core.last_index().get(),
        term = core.term().get(), voters = voters.join(",");
        "control: opened the log"
    );
}

/// Wraps a frame of the log in a message to another host.
fn wrap(frame: Frame<Command>) -> Message {
    Message::Log(Box::new(frame))
}
