//! Driver of the control log: passes inputs to its core and executes the actions that it returns.

use super::{
    Member, Outcome, Replica, Request, Shared, Status,
    request::ProposeError,
    storage::{OpenedStorage, Storage},
};
use crate::{
    Clock, Settings,
    peer::{Message, Peers},
};
use catkinlatch_base::{Instant, Revision, random};
use catkinlatch_fleet::Lease;
use catkinlatch_log::{
    self as log_core, Action, Core, Index, Input, Peer, Refusal, Report, Role, Token,
};
use catkinlatch_state::{Command, Reply};
use log::{info, warn};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

/// The most inputs of one step of the core, whose entries share one write.
const MAX_BATCH_INPUTS: usize = 1024;

/// The sender for the answer to a request that the core has not answered yet.
enum PendingAnswer {
    Proposal(oneshot::Sender<Result<Outcome, ProposeError>>),
    Override(oneshot::Sender<Result<(), ProposeError>>),
}

/// A request that is answered once a change is in force.
struct Watcher {
    revision: Revision,
    answer: oneshot::Sender<Result<(), ProposeError>>,
}

/// Passes inputs to the core and executes its actions.
pub struct Driver {
    core: Core<Replica>,
    clock: Clock,
    peers: Arc<Peers>,
    shared: Arc<Shared>,
    storage: Storage,
    requests: mpsc::Receiver<Request>,
    completions: mpsc::UnboundedReceiver<Input<Command>>,
    pending: BTreeMap<Token, PendingAnswer>,
    watchers: Vec<Watcher>,
    next_token: u64,
    wake_at: Instant,
}

impl Driver {
    /// Creates the driver and publishes the state that was restored from `storage`.
    pub fn new(
        settings: &Settings,
        clock: Clock,
        peers: Arc<Peers>,
        shared: Arc<Shared>,
        storage: OpenedStorage,
        requests: mpsc::Receiver<Request>,
    ) -> Self {
        let identity = Peer {
            host: settings.host.clone(),
            incarnation: storage.identity,
            zone: settings.zone.clone(),
            has_disk: storage.disk.is_some(),
        };
        let (completion_sender, completions) = mpsc::unbounded_channel();
        let now = clock.now();
        let random = random::generator();
        let core: Core<Replica> =
            Core::new(log_settings(settings), identity, storage.restored, random, now);
        shared.publish(core.machine().state());
        Self {
            core,
            clock,
            peers,
            shared,
            storage: Storage::start(storage.disk, completion_sender),
            requests,
            completions,
            pending: BTreeMap::new(),
            watchers: Vec::new(),
            next_token: 0,
            wake_at: now,
        }
    }

    /// Runs until the handle is dropped.
    pub async fn run(mut self) {
        while let Some(inputs) = self.next_inputs().await {
            let now = self.clock.now();
            let actions = self.core.step_batch(now, inputs);
            self.execute(actions);
            self.confirm_overrides();
            self.answer_watchers(now);
            self.publish(now);
        }
    }

    /// Waits for an input and returns it with all others that are ready; `None` once the handle is
    /// dropped.
    async fn next_inputs(&mut self) -> Option<Vec<Input<Command>>> {
        let mut inputs = self.storage.take_completions();
        if inputs.is_empty() {
            let wake = self.clock.timer(self.wake_at);
            tokio::select! {
                biased;
                completion = self.completions.recv(), if !self.completions.is_closed() => {
                    inputs.extend(completion);
                }
                request = self.requests.recv() => inputs.extend(self.accept(request?)),
                () = time::sleep_until(wake) => inputs.push(Input::Tick),
            }
        }
        while let Ok(completion) = self.completions.try_recv() {
            inputs.push(completion);
        }
        while inputs.len() < MAX_BATCH_INPUTS
            && let Ok(request) = self.requests.try_recv()
        {
            inputs.extend(self.accept(request));
        }
        Some(inputs)
    }

    /// Converts a request into an input of the core, or stores it if the driver answers it itself.
    fn accept(&mut self, request: Request) -> Option<Input<Command>> {
        match request {
            Request::Receive(frame) => Some(Input::Receive(*frame)),
            Request::Propose { command, answer } => {
                let token = self.add_pending(PendingAnswer::Proposal(answer));
                Some(Input::Propose { token, command: *command })
            }
            Request::Override { hosts, answer } => {
                let token = self.add_pending(PendingAnswer::Override(answer));
                Some(Input::Override { token, hosts })
            }
            Request::InForce { revision, answer } => {
                self.watchers.push(Watcher { revision, answer });
                None
            }
        }
    }

    fn add_pending(&mut self, pending: PendingAnswer) -> Token {
        self.next_token += 1;
        let token = Token::new(self.next_token);
        self.pending.insert(token, pending);
        token
    }

    fn execute(&mut self, actions: Vec<Action<Command, Reply>>) {
        let mut is_stale = false;
        for action in actions {
            match action {
                Action::Persist(write) => self.storage.write(write),
                Action::Applied { token, index, reply } => {
                    is_stale = true;
                    self.answer_proposal(token, index, reply);
                }
                Action::Restored { index } => {
                    is_stale = true;
                    info!(
                        "control: restored revision {} from a snapshot of the leader",
                        index.get()
                    );
                }
                Action::Send { to, frame } => {
                    if std::mem::take(&mut is_stale) {
                        self.shared.publish(self.core.machine().state());
                    }
                    self.peers.send(&to, &Message::Control(Box::new(frame)));
                }
                Action::ReadReady { .. } => {}
                Action::Refused { token, refusal } => self.refuse(token, &refusal),
                Action::RoleChanged { role, term, leader } => {
                    let leader = leader.map_or("unknown".to_owned(), |leader| leader.to_string());
                    info!("control: {role} in term {term}, the leader is {leader}");
                }
                Action::Report(report) => log_report(&report),
                Action::Wake { at } => self.wake_at = at,
            }
        }
        if is_stale {
            self.shared.publish(self.core.machine().state());
        }
    }

    fn answer_proposal(&mut self, token: Option<Token>, index: Index, reply: Reply) {
        let pending = token.and_then(|token| self.pending.remove(&token));
        if let Some(PendingAnswer::Proposal(answer)) = pending {
            let revision = Revision::new(index.get());
            let _ = answer.send(Ok(Outcome { reply, revision }));
        }
    }

    fn refuse(&mut self, token: Token, refusal: &Refusal) {
        let error = match refusal {
            Refusal::NotLeader { .. }
            | Refusal::Overloaded
            | Refusal::Lost
            | Refusal::Unreachable { .. } => ProposeError::NoLeader,
            Refusal::Unknown => ProposeError::Unknown,
        };
        match self.pending.remove(&token) {
            Some(PendingAnswer::Proposal(answer)) => {
                let _ = answer.send(Err(error));
            }
            Some(PendingAnswer::Override(answer)) => {
                warn!("control: refused the override of the voters: {refusal}");
                let _ = answer.send(Err(error));
            }
            None => {}
        }
    }

    /// Confirms the overrides that the core did not refuse in the step just made.
    fn confirm_overrides(&mut self) {
        let is_override =
            |_: &Token, pending: &mut PendingAnswer| matches!(pending, PendingAnswer::Override(_));
        for (_, pending) in self.pending.extract_if(.., is_override) {
            if let PendingAnswer::Override(answer) = pending {
                let _ = answer.send(Ok(()));
            }
        }
    }

    /// Answers the watchers whose change is in force, or all of them with an error if this node
    /// does not lead.
    fn answer_watchers(&mut self, now: Instant) {
        let is_leader = self.core.role() == Role::Leader;
        let core = &self.core;
        let answered = self.watchers.extract_if(.., |watcher| {
            let index = Index::new(watcher.revision.get());
            !is_leader || watcher.answer.is_closed() || core.in_force(index, now)
        });
        for watcher in answered {
            let answer = if is_leader { Ok(()) } else { Err(ProposeError::NoLeader) };
            let _ = watcher.answer.send(answer);
        }
    }

    fn publish(&mut self, now: Instant) {
        let lease = self.core.lease(now).zip(self.core.leading_since());
        let status = Status {
            role: Some(self.core.role()),
            term: self.core.term(),
            leader: self.core.leader().map(|leader| leader.host.clone()),
            lease: lease.map(|(until, since)| Lease { term: self.core.term(), since, until }),
            configuration_until: self.core.configuration_lease(now),
            commit: Revision::new(self.core.commit().get()),
            voters: self.core.voters().iter().map(|voter| voter.host.clone()).collect(),
            members: self.members(),
        };
        self.shared.status.send_replace(status);
    }

    fn members(&self) -> Vec<Member> {
        if self.core.role() != Role::Leader {
            return Vec::new();
        }
        let own = self.core.identity().incarnation;
        let applied = |peer: &Peer| {
            if peer.incarnation == own {
                return self.core.applied();
            }
            self.core.applied_by(peer.incarnation).unwrap_or(Index::ZERO)
        };
        let member = |peer: &Peer, votes: bool| Member {
            host: peer.host.clone(),
            identity: peer.incarnation,
            zone: peer.zone.clone(),
            votes,
            has_disk: peer.has_disk,
            revision: Revision::new(applied(peer).get()),
        };
        let voters = self.core.voters().iter().map(|peer| member(peer, true));
        let learners = self.core.learners().into_iter().map(|peer| member(peer, false));
        voters.chain(learners).collect()
    }
}

/// Derives the settings of the log from those of the node.
fn log_settings(settings: &Settings) -> log_core::Settings {
    let mut hosts: Vec<_> = settings.peers.iter().map(|peer| peer.host.clone()).collect();
    if !hosts.contains(&settings.host) {
        hosts.push(settings.host.clone());
    }
    let mut voters = settings.initial_voters.clone();
    if voters.is_empty() && settings.peers.is_empty() {
        voters.push(settings.host.clone());
    }
    let margin = settings.drift_margin_ms as f64 / settings.lease_ms as f64;
    log_core::Settings {
        heartbeat_interval: Duration::from_millis(settings.beat_ms),
        election_timeout: Duration::from_millis(settings.lease_ms),
        max_clock_drift: margin / (2.0 - margin),
        configuration_lease: Duration::from_millis(settings.configuration_lease_ms),
        voter_timeout: Duration::from_millis(settings.repair_after_ms),
        ..log_core::Settings::new(settings.cluster.clone(), hosts, voters)
    }
}

fn log_report(report: &Report) {
    match report {
        Report::Members { .. } => info!("control: {report}"),
        Report::DiskQuorumLost { .. } | Report::NoReplacement { .. } | Report::Leaderless(_) => {
            warn!("control: {report}")
        }
    }
}
