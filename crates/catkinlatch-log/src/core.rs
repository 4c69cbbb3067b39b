//! Consensus state machine of one node.

mod compaction;
mod election;
mod entries;
mod follower;
mod formation;
mod leader;
mod leaderless;
mod lease;
mod outbox;
mod redundancy;
mod replication;
mod view;
mod voters;

pub use self::redundancy::Redundancy;

use self::{
    entries::Entries,
    formation::Discovery,
    leader::{Leader, Progress},
    outbox::Outbox,
};
use crate::{
    Action, Entry, Frame, HardState, Index, Input, Machine, Membership, Message, Payload, Peer,
    Refusal, Restored, Role, Settings, Snapshot, Token,
};
use catkinlatch_base::{HostId, Incarnation, Instant, Term, invariant};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Consensus state machine of one node, without I/O.
///
/// ```
/// use catkinlatch_base::{HostId, Incarnation, Instant};
/// use catkinlatch_log::{Action, Core, Index, Input, Machine, Peer, Settings, Token};
///
/// #[derive(Clone, Default, serde::Serialize, serde::Deserialize)]
/// struct Sum(u64);
///
/// impl Machine for Sum {
///     type Command = u64;
///     type Reply = u64;
///
///     fn apply(&mut self, _: Index, command: &u64) -> u64 {
///         self.0 += command;
///         self.0
///     }
/// }
///
/// let host: HostId = "host-1".parse().expect("a valid id");
/// let settings =
///     Settings::new("test".parse().expect("a valid id"), vec![host.clone()], vec![host.clone()]);
/// let peer = Peer {
///     host,
///     incarnation: Incarnation::new(1),
///     zone: "zone-1".parse().expect("a valid id"),
///     has_disk: false,
/// };
/// let mut core: Core<Sum> =
///     Core::new(settings, peer, None, fastrand::Rng::with_seed(1), Instant::ZERO);
///
/// let mut applied = None;
/// for input in [Input::Tick, Input::Propose { token: Token::new(1), command: 5 }] {
///     let mut inputs = vec![input];
///     while !inputs.is_empty() {
///         for action in core.step_batch(Instant::ZERO, inputs.split_off(0)) {
///             match action {
///                 Action::Persist(write) => {
///                     inputs.push(Input::Persisted { through: write.number });
///                 }
///                 Action::Applied { reply, .. } => applied = Some(reply),
///                 _ => {}
///             }
///         }
///     }
/// }
/// assert_eq!(applied, Some(5));
/// ```
#[derive(Clone, Debug)]
pub struct Core<M: Machine> {
    settings: Settings,
    identity: Peer,
    /// Random number that distinguishes this run's clock from those of earlier runs of the same
    /// identity.
    run: u64,
    started: Instant,
    random: fastrand::Rng,
    hard_state: HardState,
    entries: Entries<M::Command>,
    memberships: Vec<(Index, Membership)>,
    machine: M,
    applied: Index,
    /// About how many bytes of entries were applied since the last snapshot.
    applied_bytes: usize,
    /// Value of `applied_bytes` from which the size of the state is looked at again.
    snapshot_check_bytes: usize,
    commit: Index,
    state: State,
    leader: Option<Peer>,
    /// When the node last received a message from a leader. Set to the start time on a restart with
    /// existing state, because messages received before the restart are not recorded.
    leader_contact: Option<Instant>,
    election_at: Instant,
    /// End of the configuration lease granted by a leader; a leading node's own lease is kept in
    /// [`Leader`].
    configuration_until: Option<Instant>,
    discovered: BTreeMap<HostId, Discovery>,
    hello_at: Instant,
    /// Hosts with state, and when this node last heard from them.
    contacts: BTreeMap<HostId, Instant>,
    /// What was observed without a leader; `None` while there is one.
    leaderless: Option<leaderless::Observation>,
    pending: BTreeMap<Index, Proposal>,
    incoming: Option<follower::Transfer>,
    /// Retiring hosts, which are to hold no state and so must not be voters.
    retiring: BTreeSet<HostId>,
    outbox: Outbox<M::Command, M::Reply>,
    announced: Option<(Role, Term, Option<Incarnation>)>,
}

/// Role-specific state.
#[derive(Clone, Debug)]
enum State {
    /// Follows a leader or waits for one.
    Follower,
    /// Requests pre-votes; `granted` holds the identities that would grant a vote.
    PreCandidate { granted: BTreeSet<Incarnation> },
    /// Requests votes; `write` is the number of the write that holds this node's own vote.
    Candidate { granted: BTreeSet<Incarnation>, write: u64 },
    /// Leads the current term.
    Leader(Box<Leader>),
    /// Storage failed.
    Failed,
}

/// A proposal that is not yet committed.
#[derive(Clone, Debug)]
struct Proposal {
    term: Term,
    token: Token,
}

/// Action type of the core of state machine `M`.
type ActionOf<M> = Action<<M as Machine>::Command, <M as Machine>::Reply>;

impl<M: Machine> Core<M> {
    /// Creates the core from the restored storage; `None` if the node has no persistent state.
    pub fn new(
        settings: Settings,
        identity: Peer,
        restored: Option<Restored<M::Command>>,
        mut random: fastrand::Rng,
        now: Instant,
    ) -> Self {
        let restored = restored.unwrap_or_default();
        let has_past = !restored.is_empty();
        let hard_state = restored.hard_state;
        let machine = restored.snapshot.as_ref().map(|snapshot| decode(snapshot));
        let applied = restored.snapshot.as_ref().map_or(Index::ZERO, |snapshot| snapshot.index);
        let entries = Entries::new(restored);
        let run = random.u64(..);
        let mut core = Self {
            identity,
            run,
            started: now,
            random,
            hard_state,
            memberships: entries.memberships(),
            entries,
            machine: machine.unwrap_or_default(),
            applied,
            applied_bytes: 0,
            snapshot_check_bytes: settings.snapshot_bytes,
            settings,
            commit: applied,
            state: State::Follower,
            leader: None,
            leader_contact: has_past.then_some(now),
            election_at: now,
            configuration_until: None,
            discovered: BTreeMap::new(),
            hello_at: now,
            contacts: BTreeMap::new(),
            leaderless: None,
            pending: BTreeMap::new(),
            incoming: None,
            retiring: BTreeSet::new(),
            outbox: Outbox::new(),
            announced: None,
        };
        core.reset_election_timer(now);
        core
    }

    /// Processes one input and returns the actions to perform.
    pub fn step(&mut self, now: Instant, input: Input<M::Command>) -> Vec<ActionOf<M>> {
        self.step_batch(now, [input])
    }

    /// Processes a batch of inputs and returns the actions to perform, with at most one
    /// [`Action::Persist`] for the whole batch.
    pub fn step_batch(
        &mut self,
        now: Instant,
        inputs: impl IntoIterator<Item = Input<M::Command>>,
    ) -> Vec<ActionOf<M>> {
        for input in inputs {
            self.handle(now, input);
        }
        self.tick(now);
        self.advance_commit(now);
        self.replicate(now);
        self.compact();
        self.complete_snapshot_write();
        if let Some(number) = self.outbox.flush() {
            self.entries.record_write(number);
        }
        self.announce();
        // Also after a storage failure: a driver without a next time would wake at once, forever.
        let at = self.next_wake(now);
        self.outbox.push(Action::Wake { at });
        self.outbox.take()
    }

    fn handle(&mut self, now: Instant, input: Input<M::Command>) {
        if matches!(self.state, State::Failed) {
            return self.refuse_failed(input);
        }
        match input {
            Input::Tick => {}
            Input::Receive(frame) => self.receive(now, frame),
            Input::Persisted { through } => {
                self.entries.persisted(through);
                self.outbox.persisted(through);
                self.count_own_vote(now, through);
            }
            Input::StorageFailed => self.fail(),
            Input::Propose { token, command } => self.propose(token, command),
            Input::Read { token } => self.read(now, token),
            Input::Override { token, hosts } => self.override_voters(now, token, &hosts),
        }
    }

    fn refuse_failed(&mut self, input: Input<M::Command>) {
        match input {
            Input::Propose { token, .. }
            | Input::Read { token }
            | Input::Override { token, .. } => {
                self.refuse(token, Refusal::NotLeader { leader: None });
            }
            Input::Tick | Input::Receive(_) | Input::Persisted { .. } | Input::StorageFailed => {}
        }
    }

    fn receive(&mut self, now: Instant, frame: Frame<M::Command>) {
        let is_ours = frame.cluster == self.settings.cluster && frame.group == self.settings.group;
        let is_for_us = frame.to.is_none_or(|to| to == self.identity.incarnation);
        if !is_ours || !is_for_us || frame.from.incarnation == self.identity.incarnation {
            return;
        }
        let Frame { term, from, message, .. } = frame;
        match message {
            Message::Hello(hello) => self.on_hello(now, term, from, hello),
            Message::PreVote(vote) => self.on_pre_vote(now, from, vote),
            Message::PreVoteReply { term: requested_term, granted } => {
                self.on_pre_vote_reply(now, term, from, requested_term, granted);
            }
            Message::Vote(vote) => self.on_vote(now, from, vote),
            Message::VoteReply { granted } => self.on_vote_reply(now, term, from, granted),
            Message::Append(append) => self.on_append(now, term, from, append),
            Message::AppendReply(reply) => self.on_append_reply(now, term, from, reply),
            Message::Chunk(chunk) => self.on_chunk(now, term, from, chunk),
            Message::ChunkReply(reply) => self.on_chunk_reply(now, term, from, reply),
        }
    }

    fn tick(&mut self, now: Instant) {
        match self.state {
            State::Failed => {}
            State::Leader(_) => {
                self.tick_leader(now);
                self.greet_seeds(now);
            }
            State::Follower | State::PreCandidate { .. } | State::Candidate { .. } => {
                self.tick_follower(now);
                self.tick_formation(now);
            }
        }
        self.tick_leaderless(now);
    }

    /// Stops participating in the log after a storage failure. Pending proposals are refused with
    /// [`Refusal::Unknown`], because the failed writes may or may not be on disk.
    fn fail(&mut self) {
        self.state = State::Failed;
        self.leader = None;
        self.configuration_until = None;
        self.outbox.fail();
        for (_, proposal) in std::mem::take(&mut self.pending) {
            self.refuse(proposal.token, Refusal::Unknown);
        }
    }

    fn refuse(&mut self, token: Token, refusal: Refusal) {
        self.outbox.push(Action::Refused { token, refusal });
    }

    /// Returns the newest membership in the log, committed or not.
    fn membership(&self) -> &Membership {
        const EMPTY: &Membership = &Membership::EMPTY;
        self.memberships.last().map_or(EMPTY, |(_, membership)| membership)
    }

    fn is_voter(&self) -> bool {
        self.membership().contains(self.identity.incarnation)
    }

    fn frame(&self, to: Option<Incarnation>, message: Message<M::Command>) -> Frame<M::Command> {
        Frame {
            cluster: self.settings.cluster.clone(),
            group: self.settings.group,
            term: self.hard_state.term,
            from: self.identity.clone(),
            to,
            message,
        }
    }

    /// Sends a message that does not depend on any unsynced write.
    fn send(&mut self, to: &Peer, message: Message<M::Command>) {
        let frame = self.frame(Some(to.incarnation), message);
        self.outbox.send(to.host.clone(), frame);
    }

    /// Sends a message once all writes requested before it are synced.
    fn send_synced(&mut self, to: &Peer, message: Message<M::Command>) {
        let frame = self.frame(Some(to.incarnation), message);
        self.outbox.send_synced(to.host.clone(), frame);
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        invariant!(
            "term_grows",
            hard_state.term >= self.hard_state.term,
            "new term {} is lower than current term {}",
            hard_state.term,
            self.hard_state.term
        );
        self.hard_state = hard_state;
        self.outbox.write.hard_state = Some(hard_state);
    }

    fn append(&mut self, payload: Payload<M::Command>) -> Index {
        let index = self.entries.last_index().next();
        if let Payload::Members(membership) = &payload {
            self.memberships.push((index, membership.clone()));
        }
        let entry = Entry { index, term: self.hard_state.term, payload };
        self.entries.append(Arc::new(entry), &mut self.outbox.write);
        index
    }

    /// Applies all committed entries.
    fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let index = self.applied.next();
            let entry = self.entries.get(index).expect("committed entries are in memory").clone();
            let proposal = self.pending.remove(&index);
            let token = self.resolve_proposal(proposal, entry.term);
            if let Payload::Command(command) = &entry.payload {
                self.applied_bytes = self.applied_bytes.saturating_add(M::command_bytes(command));
                let reply = self.machine.apply(index, command);
                self.outbox.push(Action::Applied { token, index, reply });
            }
            self.applied = index;
        }
    }

    /// Returns the proposal's token if the entry committed at its position has the proposal's term;
    /// otherwise refuses the proposal as lost.
    fn resolve_proposal(&mut self, proposal: Option<Proposal>, term: Term) -> Option<Token> {
        let proposal = proposal?;
        if proposal.term == term {
            return Some(proposal.token);
        }
        self.refuse(proposal.token, Refusal::Lost);
        None
    }

    fn announce(&mut self) {
        let leader = self.leader.as_ref().map(|leader| leader.incarnation);
        let current = Some((self.role(), self.hard_state.term, leader));
        if self.announced == current {
            return;
        }
        self.announced = current;
        let (role, term) = (self.role(), self.hard_state.term);
        self.outbox.push(Action::RoleChanged { role, term, leader: self.leader.clone() });
    }

    fn next_wake(&self, now: Instant) -> Instant {
        let soon = now + self.settings.heartbeat_interval;
        match &self.state {
            State::Leader(leader) => {
                let heartbeats = leader.progress.values().map(|progress| progress.heartbeat_at);
                heartbeats.min().map_or(soon, |at| at.min(soon))
            }
            State::Follower | State::PreCandidate { .. } | State::Candidate { .. } => {
                if self.is_voter() { self.election_at.min(self.hello_at) } else { self.hello_at }
            }
            State::Failed => soon,
        }
    }
}

/// Decodes the state machine of a snapshot whose checksum has been verified.
fn decode<M: Machine>(snapshot: &Snapshot) -> M {
    bincode::serde::decode_from_slice(&snapshot.data, bincode::config::standard())
        .expect("a snapshot that passed its checksum decodes")
        .0
}
