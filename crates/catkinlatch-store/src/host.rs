//! What all tasks of the process share.

use crate::{handler, soft::Soft};
use catkinlatch_base::HostId;
use catkinlatch_runtime::{
    Answer, Clock, Guide, Message, Peers, Replica, Reply, Settings, http::Client,
};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

/// How long to rest between two tries while this host seems to lead but is not sure.
const PAUSE: Duration = Duration::from_millis(40);

/// What all tasks of the process share.
pub struct Host {
    /// The settings.
    pub settings: Settings,
    /// The clocks.
    pub clock: Clock,
    /// The sessions with other processes.
    pub peers: Arc<Peers>,
    /// The replicated state.
    pub replica: Replica,
    /// The way to the leader.
    pub guide: Guide,
    /// Connections to targets and the platform.
    pub client: Client,
    soft: Mutex<Soft>,
    revision: watch::Sender<u64>,
}

impl Host {
    /// Creates what the tasks share.
    pub fn new(
        settings: Settings,
        clock: Clock,
        peers: Arc<Peers>,
        replica: Replica,
        guide: Guide,
        client: Client,
    ) -> Self {
        let soft = Mutex::new(Soft::default());
        let revision = watch::channel(0).0;
        Self { settings, clock, peers, replica, guide, client, soft, revision }
    }

    /// Locks what is known without being replicated; never held while waiting.
    pub fn soft(&self) -> MutexGuard<'_, Soft> {
        self.soft.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells all that wait that what is known has changed.
    pub fn announce(&self) {
        let revision = self.soft().revision;
        self.revision.send_replace(revision);
    }

    /// Returns what counts the changes of what is known.
    pub fn revision(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Returns the leader's host, if it is known and another.
    pub fn other_leader(&self) -> Option<HostId> {
        let leader = self.replica.status().borrow().leader.clone();
        leader.filter(|leader| *leader != self.settings.host)
    }

    /// Asks the leader, which may be this process, until it answers or the time is up.
    pub async fn ask(self: &Arc<Self>, message: Message, limit: Duration) -> Answer {
        let until = Instant::now() + limit;
        loop {
            match handler::handle(self, message.clone()).await {
                Reply::NotLeader(_) => {}
                Reply::Unknown => return Answer::Unknown,
                reply => return Answer::Reply(reply),
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Answer::NotDone;
            }
            let Some(leader) = self.other_leader() else {
                time::sleep(PAUSE.min(left)).await;
                continue;
            };
            self.guide.hint(Some(&leader));
            match self.guide.ask(&message, Duration::ZERO, left).await {
                Answer::NotDone => {}
                answer => return answer,
            }
        }
    }
}
