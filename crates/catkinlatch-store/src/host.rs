//! What all tasks of the process share.

use crate::{handler, soft::Soft};
use catkinlatch_base::{self as base, HostId, Term};
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

/// How much longer than the lease of duties a machine rests before it acts again.
const TURN_MARGIN: Duration = Duration::from_millis(300);

/// When this machine last acted as the one in charge.
#[derive(Clone, Copy, Debug)]
struct Acted {
    /// The term in which it did; none where a process before this one may have.
    term: Option<Term>,
    /// The time on this process's clock.
    at: base::Instant,
}

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
    /// When this machine may have acted last, if it may have acted at all.
    acted: Mutex<Option<Acted>>,
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
        // A process before this one may have acted until just now.
        let before = Acted { term: None, at: clock.now() };
        let acted = Mutex::new((!settings.is_first_start).then_some(before));
        let soft = Mutex::new(Soft::default());
        let revision = watch::channel(0).0;
        Self { settings, clock, peers, replica, guide, client, acted, soft, revision }
    }

    /// Notes that this machine acts as the one in charge.
    pub fn acts(&self) {
        let acted = Acted { term: Some(self.replica.term()), at: self.clock.now() };
        *self.acted.lock().unwrap_or_else(PoisonError::into_inner) = Some(acted);
    }

    /// Waits until this machine may act again after another one may have: two machines must not
    /// alternate within the lease of duties.
    pub async fn await_turn(&self) {
        let acted = *self.acted.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(acted) = acted else { return };
        if acted.term != Some(self.replica.term()) {
            let turn = acted.at + self.settings.times.lease() + TURN_MARGIN;
            time::sleep_until(self.clock.timer(turn)).await;
        }
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
