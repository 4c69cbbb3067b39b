//! The state and connections that all tasks of this host's process share.

use crate::{
    allowance::Allowance,
    backlog::Budget,
    builds,
    duty::{Rule, Turn},
    handler, observation,
    places::Places,
    relay,
    soft_state::SoftState,
    suspect,
    view::{self, EncodedView},
};
use bytes::Bytes;
use catkinlatch_base::{BootId, HostId, TargetId, Term};
use catkinlatch_ledger::{Target, build::Origins, suspect::Change};
use catkinlatch_platform::header;
use catkinlatch_runtime::{
    Answer, CallError, Clock, LeaderClient, Message, Peers, Replica, Reply, Settings,
    http::{Client, Dialer, Limits, dialer::Connect},
};
use catkinlatch_state::suspect::Reply as SuspectReply;
use catkinlatch_wire as wire;
use http::{Response, StatusCode};
use log::info;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{Notify, watch},
    time::{self, Instant},
};

/// Delay between two attempts while no other leader is known and this host holds no valid lease.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Timeout of a call that this host passes on to the leader; it is then passed on again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// How long changes of the soft state are gathered before they are published.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// This host: the settings, state and connections that all tasks share.
pub struct Host {
    /// The settings of this process.
    pub settings: Settings,
    /// The monotonic clock and the wall clock.
    pub clock: Clock,
    /// The sessions with other processes.
    pub peers: Arc<Peers>,
    /// The replicated state.
    pub replica: Replica,
    /// Finds the leader and sends messages to it.
    pub leader_client: LeaderClient,
    /// HTTP connections that only this host may open: orders to targets, and the platform.
    pub client: Client,
    /// HTTP connections to targets that other hosts may relay.
    pub work_client: Client,
    /// Opens the connections of `work_client`, and those that this host relays.
    pub dialer: Arc<Dialer>,
    /// The requests that may crash targets.
    pub suspects: suspect::Shared,
    /// What this host may send to limited targets.
    pub allowance: Allowance,
    /// The bound on the memory of jobs while this host leads.
    pub backlog: Budget,
    /// The bound on the memory of replies that are being sent.
    pub replies: Budget,
    /// The division of services' places among hosts while this one leads.
    pub places: Places,
    /// What senders observe of targets.
    pub observations: observation::Shared,
    /// The last time this host may have acted as the holder of the duties; `None` if it never has.
    last_turn: Mutex<Option<Turn>>,
    origins: Mutex<Origins>,
    soft_state: Arc<Mutex<SoftState>>,
    revision: watch::Sender<u64>,
    /// Version of the configuration as applied on this host.
    configuration_version: watch::Sender<Option<u64>>,
    /// Notified when a change of the soft state may be published a little later.
    gathered: Notify,
    encoded_view: Mutex<EncodedView>,
}

impl Host {
    /// Creates the shared state of a process that starts.
    pub fn new(
        settings: Settings,
        clock: Clock,
        peers: Arc<Peers>,
        replica: Replica,
        leader_client: LeaderClient,
        limits: Limits,
        connect: Connect,
    ) -> Self {
        // An earlier process on this host may have acted until just now.
        let earlier = Turn { term: None, at: clock.now() };
        let last_turn = Mutex::new((!settings.is_first_start).then_some(earlier));
        let contact = settings.times.waits().contact;
        let earlier = settings.data_folder.as_deref().map(builds::load).unwrap_or_default();
        let soft_state = SoftState::default().with_follower_timeout(contact);
        let soft_state = soft_state.with_earlier_builds(earlier);
        let soft_state = Arc::new(Mutex::new(soft_state));
        let client = Client::new().with_reset_on_close().with_limits(limits);
        let dialer = relay::dialer(&settings, clock, &peers, connect, &soft_state);
        let dialer = Arc::new(dialer);
        let work_client = Client::new().with_id_header(header::REQUEST_ID);
        let work_client = work_client.with_limits(limits).with_dialer(dialer.clone());
        let permission = replica.clone();
        let work_client =
            work_client.with_permission(Arc::new(move || permission.is_acting_leader()));
        let revision = watch::channel(0).0;
        let configuration_version = watch::channel(None).0;
        let allowance = Allowance::new(settings.cold);
        let memory_mb = settings.resources.memory_mb;
        let (backlog, replies) = (Budget::for_jobs(memory_mb), Budget::for_replies(memory_mb));
        let (gathered, encoded_view) = (Notify::new(), Mutex::default());
        let observations = observation::Shared::new(settings.host.clone());
        Self {
            settings,
            clock,
            peers,
            replica,
            leader_client,
            client,
            work_client,
            dialer,
            suspects: suspect::Shared::default(),
            allowance,
            backlog,
            replies,
            places: Places::default(),
            observations,
            last_turn,
            origins: Mutex::default(),
            soft_state,
            revision,
            configuration_version,
            gathered,
            encoded_view,
        }
    }

    /// Applies a change of the suspects, and publishes it as soon as it is of use to other hosts.
    pub fn change_suspects(&self, change: &Change) -> SuspectReply {
        let now = self.clock.now();
        let (reply, urgency) = self.suspects.lock().apply(change, now, self.clock.wall_ms());
        self.suspects.publish(urgency);
        reply
    }

    /// Retracts the crashes of targets that are still announced; returns their starts.
    pub fn update_suspects(&self) -> Vec<BootId> {
        let starts = || -> BTreeMap<BootId, _> { self.soft_state().registry.starts().collect() };
        let (now, wall_ms) = (self.clock.now(), self.clock.wall_ms());
        let (survivors, urgency) = self.suspects.lock().update(now, wall_ms, starts);
        self.suspects.publish(urgency);
        survivors
    }

    /// Records that this host acts now as the leader of `term`: when a call begins, and when it
    /// ends, by which time another term may have begun.
    pub fn record_action(&self, term: Term) {
        let turn = Turn { term: Some(term), at: self.clock.now() };
        *self.last_turn.lock().unwrap_or_else(PoisonError::into_inner) = Some(turn);
    }

    /// Waits until this host may act under its current term, by calls with this timeout.
    pub async fn await_turn(&self, call_timeout: Duration) {
        let times = &self.settings.times;
        let rule = Rule { lease: times.lease(), checks_fences: times.checks_fences, call_timeout };
        let last = *self.last_turn.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let elected_at = self.replica.leading_since().unwrap_or(now);
        let at = rule.may_act_at(last, self.replica.term(), elected_at);
        if at > now {
            time::sleep_until(self.clock.timer(at)).await;
        }
    }

    /// Locks the records of which builds began streams; the guard must not be held across an await.
    pub fn origins(&self) -> MutexGuard<'_, Origins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the hosts that hold the replicated state, this one included, each once: a leader that
    /// followed another one before is among its own followers.
    pub fn stores(&self) -> BTreeSet<HostId> {
        let soft = self.soft_state();
        let others = soft.stores().map(|(host, _)| host.clone());
        others.chain([self.settings.host.clone()]).collect()
    }

    /// Locks the soft state; the guard must not be held across an await, and is taken before that of
    /// the load balancer.
    pub fn soft_state(&self) -> MutexGuard<'_, SoftState> {
        self.soft_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what a target's response says about whether it leaves.
    ///
    /// A misdirected request was answered by another target, whose start is not known.
    pub fn record_response<B>(&self, target: &Target, response: &Response<B>) {
        let is_other = response.status() == StatusCode::MISDIRECTED_REQUEST;
        if !is_other && header::is_leaving(response.headers()) {
            self.record_leaving(&target.id, target.born_ms);
        }
    }

    /// Records that a target said that it leaves, so that it gets nothing new from any host.
    pub fn record_leaving(&self, id: &TargetId, born_ms: u64) {
        let is_new = {
            let mut soft = self.soft_state();
            let is_new = soft.registry.record_leaving(id, born_ms, self.clock.now());
            soft.revision += u64::from(is_new);
            is_new
        };
        if is_new {
            info!(target_id:% = id, born_ms = born_ms; "targets: says that it leaves");
            self.publish_revision();
        }
    }

    /// Wakes the tasks that wait for a new revision of the soft state.
    pub fn publish_revision(&self) {
        let revision = self.soft_state().revision;
        self.revision.send_replace(revision);
    }

    /// Publishes the revision of the soft state soon, together with the changes until then.
    pub fn publish_soon(&self) {
        self.gathered.notify_one();
    }

    /// Publishes gathered changes; never returns.
    ///
    /// Each publication reaches all followers, so changes that come in quick succession, as when
    /// hundreds of processes start or time out, share one.
    pub async fn publish_gathered(&self) {
        loop {
            self.gathered.notified().await;
            time::sleep(GATHER_TIME).await;
            self.publish_revision();
        }
    }

    /// Returns the encoded answer with the current view for followers that lack this version of it,
    /// encoded once for all of them.
    pub fn encoded_view(&self, key: view::Key) -> Bytes {
        let mut encoded = self.encoded_view.lock().unwrap_or_else(PoisonError::into_inner);
        encoded.get(key, || view::create(self, key))
    }

    /// Wakes the tasks that wait for another version of the configuration, if there is one.
    pub fn publish_configuration_version(&self) {
        let version = self
            .replica
            .read(|state| state.document.as_ref().map(|document| document.configuration.version));
        self.configuration_version.send_if_modified(|held| {
            let is_new = *held != version;
            *held = version;
            is_new
        });
    }

    /// Returns a receiver of the version of the configuration as applied on this host.
    pub fn configuration_version(&self) -> watch::Receiver<Option<u64>> {
        self.configuration_version.subscribe()
    }

    /// Returns a receiver of the soft state's revision.
    pub fn revision(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Returns the leader, if it is known and is another host.
    pub fn other_leader(&self) -> Option<HostId> {
        let leader = self.replica.status().borrow().leader.clone();
        leader.filter(|leader| *leader != self.settings.host)
    }

    /// Sends a message to the leader, which may be this host, and retries until it answers or the
    /// timeout has elapsed.
    ///
    /// The message must be idempotent.
    pub async fn ask_leader(self: &Arc<Self>, mut message: Message, timeout: Duration) -> Answer {
        let until = Instant::now() + timeout;
        let mut may_be_done = false;
        loop {
            // A leader that is cut off from the others can neither commit a change nor refuse it.
            match time::timeout_at(until, handler::handle(self, message.clone())).await {
                Ok(Reply::NotLeader(_)) => {}
                Ok(Reply::Unknown) | Err(_) => return Answer::Unknown,
                Ok(reply) => return Answer::Reply(reply),
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return if may_be_done { Answer::Unknown } else { Answer::NotDone };
            }
            let Some(leader) = self.other_leader() else {
                // A host whose disk failed hears no leader, but the others may have one.
                if self.replica.has_failed() {
                    message = message.for_earlier_release().unwrap_or(message);
                    return self.leader_client.call(&message, Duration::ZERO, left).await;
                }
                time::sleep(RETRY_INTERVAL.min(left)).await;
                continue;
            };
            let reply = tokio::select! {
                reply = self.peers.call(&leader, &message, ANSWER_TIMEOUT.min(left)) => reply,
                // The one that was asked may be frozen, and would answer in vain.
                () = self.await_other_leader_than(&leader) => {
                    may_be_done = true;
                    continue;
                }
            };
            match reply {
                Ok(Reply::NotLeader(_)) => time::sleep(RETRY_INTERVAL.min(left)).await,
                Ok(Reply::Unknown) => return Answer::Unknown,
                Ok(reply) => return Answer::Reply(reply),
                Err(CallError::NotSent { .. }) => {}
                Err(CallError::Unknown { reason, .. }) => {
                    may_be_done = true;
                    if let wire::Error::Protocol { .. } = reason {
                        message = message.for_earlier_release().unwrap_or(message);
                    }
                }
            }
        }
    }

    /// Waits until another host than `leader` leads, which may be this one.
    async fn await_other_leader_than(&self, leader: &HostId) {
        let is_other = |other: &HostId| other != leader;
        let mut status = self.replica.status();
        let _ = status.wait_for(|status| status.leader.as_ref().is_some_and(is_other)).await;
    }
}
