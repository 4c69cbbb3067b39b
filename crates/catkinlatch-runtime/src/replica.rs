//! The replicated state on a host with a disk.

mod driver;
mod storage;

use self::driver::{Driver, Request};
use crate::{Clock, Message, Peers, Settings};
use catkinlatch_base::{HostId, Term};
use catkinlatch_ledger::{Command, Reply, State};
use catkinlatch_log::{self as log_core, Core, Frame, Peer, Role, storage::OpenError};
use derive_more::{Display, Error};
use std::{
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::{mpsc, oneshot, watch};

/// How often the leader speaks to each voter.
const BEAT: Duration = Duration::from_millis(100);

/// How often the leader speaks to each learner, so that it can be made a voter soon.
const LEARNER_BEAT: Duration = Duration::from_millis(300);

/// How long a voter stands by a leader that it has heard.
const ELECTION: Duration = Duration::from_millis(500);

/// The largest error of a clock's rate; clocks of today's machines are far better.
const DRIFT: f64 = 0.05;

/// How long a voter may be silent before it is replaced.
const SILENCE: Duration = Duration::from_millis(1_500);

/// How long the leader keeps a silent learner.
const FORGET: Duration = Duration::from_secs(10);

/// Entries between two snapshots; a job's entry may hold a hundred kilobytes.
const SNAPSHOT_EVERY: u64 = 20_000;

/// Entries kept before a snapshot for hosts that lag a little.
const SNAPSHOT_KEEP: u64 = 1_000;

/// The most entries of one message.
const MAX_ENTRIES: usize = 64;

/// Entries sent ahead to one host: enough for 30,000 a second where a disk syncs in 5 ms, and few
/// enough that hosts with empty disks do not fill the leader's memory.
const MAX_AHEAD: u64 = 256;

/// How many requests may wait for the driver.
const QUEUE_REQUESTS: usize = 8_192;

/// Says why a change was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum ProposeError {
    /// Nothing was done: this host does not lead.
    #[display("this host does not lead")]
    NotLeader,
    /// The change may or may not be made.
    #[display("the outcome of the change is not known")]
    Unknown,
}

/// What this host does in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Its role.
    pub role: Option<Role>,
    /// The newest term that it has seen.
    pub term: Term,
    /// The leader that it last heard.
    pub leader: Option<HostId>,
    /// The voters.
    pub voters: Vec<HostId>,
}

impl Status {
    /// Returns whether this host leads.
    pub fn leads(&self) -> bool {
        self.role == Some(Role::Leader)
    }
}

/// The replicated state on this host.
#[derive(Clone)]
pub struct Replica {
    core: Arc<Mutex<Core<State>>>,
    clock: Clock,
    requests: mpsc::Sender<Request>,
    applied: watch::Receiver<u64>,
    status: watch::Receiver<Status>,
}

/// The storage of a host that starts.
pub use self::storage::Opened;

/// Opens the files of the log.
///
/// # Errors
///
/// Returns why the folder cannot be used.
pub fn open(folder: &Path) -> Result<Opened, OpenError> {
    storage::open(folder)
}

impl Replica {
    /// Starts the log of this host; it runs for as long as the process does.
    pub fn start(settings: &Settings, clock: Clock, peers: Arc<Peers>, opened: Opened) -> Self {
        let identity = Peer {
            host: settings.host.clone(),
            incarnation: opened.identity,
            zone: settings.zone.clone(),
            has_disk: true,
        };
        let now = clock.now();
        let random = fastrand::Rng::new();
        let core: Core<State> =
            Core::new(log_settings(settings), identity, Some(opened.restored), random, now);
        let core = Arc::new(Mutex::new(core));
        let (requests, waiting) = mpsc::channel(QUEUE_REQUESTS);
        let (applied, applied_seen) = watch::channel(0);
        let (status, status_seen) = watch::channel(Status::default());
        let driver = Driver::new(
            core.clone(),
            clock,
            peers,
            opened.disk,
            waiting,
            driver::Published { applied, status },
        );
        tokio::spawn(driver.run());
        Self { core, clock, requests, applied: applied_seen, status: status_seen }
    }

    /// Takes a frame of the log from another host.
    pub async fn receive(&self, frame: Box<Frame<Command>>) {
        let _ = self.requests.send(Request::Receive(frame)).await;
    }

    /// Commits a change and returns what it was answered with once it is applied here.
    ///
    /// # Errors
    ///
    /// Returns whether the change may have been made.
    pub async fn propose(&self, command: Command) -> Result<Reply, ProposeError> {
        let (answer, answered) = oneshot::channel();
        let request = Request::Propose { command: Box::new(command), answer };
        self.requests.send(request).await.map_err(|_| ProposeError::NotLeader)?;
        answered.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Returns the term that this host leads while no other can, which also is the fencing number
    /// of its orders; nothing while that is not sure.
    pub fn fencing(&self) -> Option<Term> {
        self.lock().fencing(self.clock.now())
    }

    /// Returns the newest term that this host has seen.
    pub fn term(&self) -> Term {
        self.lock().term()
    }

    /// Returns for how long this host has led, if it leads.
    pub fn leading_for(&self) -> Option<Duration> {
        let since = self.lock().leading_since()?;
        Some(self.clock.now() - since)
    }

    /// Runs a question on the state as applied here.
    pub fn read<T>(&self, question: impl FnOnce(&State) -> T) -> T {
        question(self.lock().machine())
    }

    /// Returns what counts the changes that were applied here.
    pub fn applied(&self) -> watch::Receiver<u64> {
        self.applied.clone()
    }

    /// Returns what this host does in the log.
    pub fn status(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Core<State>> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Derives the settings of the log.
fn log_settings(settings: &Settings) -> log_core::Settings {
    let seeds = settings.seed_hosts();
    let voters = if settings.is_first_start { seeds.clone() } else { Vec::new() };
    let cluster = crate::settings::CLUSTER.parse().expect("the name is valid");
    log_core::Settings {
        is_open: true,
        beat: BEAT,
        learner_beat: LEARNER_BEAT,
        election: ELECTION,
        drift: DRIFT,
        configuration_lease: ELECTION * 6,
        silence: SILENCE,
        forget: FORGET,
        max_voters: 2 * settings.losses + 1,
        snapshot_every: SNAPSHOT_EVERY,
        snapshot_keep: SNAPSHOT_KEEP,
        max_entries: MAX_ENTRIES,
        max_ahead: MAX_AHEAD,
        feeds_learners: false,
        ..log_core::Settings::new(cluster, seeds, voters)
    }
}

/// Wraps a frame of the log for another host.
fn wrap(frame: Frame<Command>) -> Message {
    Message::Log(Box::new(frame))
}
