//! Messages are sent only once the state that they depend on is synced, and votes survive a
//! restart.

use crate::net::{Journal, peer, settings};
use catkinlatch_base::{Incarnation, Instant, Term};
use catkinlatch_log::{
    Action, Append, AppendReply, Chunk, Core, Echo, Entry, Frame, Grant, HardState, Index, Input,
    Membership, Message, Payload, Peer, Restored, Snapshot, Token, Vote,
};
use std::{sync::Arc, time::Duration};

type Actions = Vec<Action<u64, u64>>;

/// Time by which the voter's election timeout has certainly passed.
const ELECTED_AT: Instant = Instant::from_millis(2_500);

const VOTE_REPLY: Message<u64> = Message::VoteReply { granted: true };

/// Creates voter 0 of three, with a log of one entry of term 1 and optionally a vote.
fn voter(vote: Option<HardState>) -> Core<Journal> {
    let hard_state = vote.unwrap_or(HardState { term: Term::new(1), vote: None });
    let random = fastrand::Rng::with_seed(1);
    Core::new(settings(3, 3), member(0), Some(restored(hard_state)), random, Instant::ZERO)
}

fn restored(hard_state: HardState) -> Restored<u64> {
    let voters = (0..3).map(member).collect();
    let payload = Payload::Members(Membership::new(voters));
    let entry = Entry { index: Index::new(1), term: Term::new(1), payload };
    Restored { hard_state, snapshot: None, entries: vec![Arc::new(entry)] }
}

fn member(number: usize) -> Peer {
    peer(number, number as u128 + 1, true)
}

fn receive(from: usize, term: u64, message: Message<u64>) -> Input<u64> {
    Input::Receive(Frame {
        cluster: settings(3, 3).cluster,
        group: Default::default(),
        term: Term::new(term),
        from: member(from),
        to: Some(Incarnation::new(1)),
        message,
    })
}

fn vote(from: usize, term: u64) -> Input<u64> {
    let (term, last) = (Term::new(term), Index::new(1));
    let vote = Vote { term, last_index: last, last_term: Term::new(1) };
    receive(from, term.get(), Message::Vote(vote))
}

fn granted(actions: &Actions) -> usize {
    let grants = |action: &&Action<u64, u64>| {
        matches!(action, Action::Send { frame, .. }
            if matches!(frame.message, Message::VoteReply { granted: true }))
    };
    actions.iter().filter(grants).count()
}

/// Creates voter 0 as the leader of term 3, with an uncommitted entry of term 2.
fn leader() -> Core<Journal> {
    let mut restored = restored(HardState { term: Term::new(2), vote: None });
    let payload = Payload::Command(7);
    let entry = Entry { index: Index::new(2), term: Term::new(2), payload };
    restored.entries.push(Arc::new(entry));
    let random = fastrand::Rng::with_seed(1);
    let mut core = Core::new(settings(3, 3), member(0), Some(restored), random, Instant::ZERO);
    core.step(ELECTED_AT, Input::Tick);
    let granted = Message::PreVoteReply { term: Term::new(3), granted: true };
    let through = write(&core.step(ELECTED_AT, receive(1, 2, granted))).unwrap();
    core.step(ELECTED_AT, Input::Persisted { through });
    let through = write(&core.step(ELECTED_AT, receive(1, 3, VOTE_REPLY))).unwrap();
    core.step(ELECTED_AT, Input::Persisted { through });
    assert_eq!(core.last_index(), Index::new(3));
    core
}

fn acknowledge(term: u64, index: u64) -> Input<u64> {
    let reply = AppendReply {
        sent_at: ELECTED_AT,
        matches: true,
        index: Index::new(index),
        applied: Index::ZERO,
        echo: Echo { run: 1, at: Instant::ZERO },
    };
    receive(1, term, Message::AppendReply(reply))
}

fn heartbeat(grant: Option<Grant>) -> Input<u64> {
    let append = Append {
        sent_at: Instant::ZERO,
        previous_index: Index::new(1),
        previous_term: Term::new(1),
        entries: Vec::new(),
        commit: Index::new(1),
        grant,
    };
    receive(1, 1, Message::Append(append))
}

/// Returns the number of the last write that the actions request.
fn write(actions: &Actions) -> Option<u64> {
    let numbers = actions.iter().filter_map(|action| match action {
        Action::Persist(write) => Some(write.number),
        _ => None,
    });
    numbers.last()
}

#[test]
fn a_vote_is_sent_only_once_it_is_synced() {
    let mut core = voter(None);
    let actions = core.step(Instant::from_millis(1_500), vote(1, 2));
    assert_eq!(granted(&actions), 0);
    let through = write(&actions).unwrap();
    let actions = core.step(Instant::from_millis(1_501), Input::Persisted { through });
    assert_eq!(granted(&actions), 1);
}

#[test]
fn a_vote_survives_a_restart() {
    let hard_state = HardState { term: Term::new(2), vote: Some(Incarnation::new(2)) };
    let mut core = voter(Some(hard_state));
    assert_eq!(granted(&core.step(Instant::from_millis(1_500), vote(2, 2))), 0);
    let actions = core.step(Instant::from_millis(1_500), vote(1, 2));
    let through = write(&actions).unwrap_or_default();
    let later = core.step(Instant::from_millis(1_501), Input::Persisted { through });
    assert_eq!(granted(&actions) + granted(&later), 1);
}

#[test]
fn a_restarted_voter_refuses_votes_for_one_election_timeout() {
    let mut core = voter(None);
    let actions = core.step(Instant::from_millis(900), vote(1, 2));
    assert!(write(&actions).is_none());
    assert_eq!(core.term(), Term::new(1));
}

#[test]
fn a_candidate_counts_its_own_vote_only_once_it_is_synced() {
    let mut core = voter(None);
    let mut now = Instant::from_millis(2_500);
    core.step(now, Input::Tick);
    let granted = Message::PreVoteReply { term: Term::new(2), granted: true };
    let actions = core.step(now, receive(1, 1, granted));
    let through = write(&actions).unwrap();
    assert_eq!(core.term(), Term::new(2));
    core.step(now, receive(1, 2, Message::VoteReply { granted: true }));
    assert!(core.leading_since().is_none());
    now = Instant::from_millis(2_501);
    core.step(now, Input::Persisted { through });
    assert!(core.leading_since().is_some());
}

#[test]
fn entries_are_acknowledged_only_once_they_are_synced() {
    let mut core = voter(None);
    let payload = Payload::Command(7);
    let entry = Entry { index: Index::new(2), term: Term::new(2), payload };
    let append = Append {
        sent_at: Instant::ZERO,
        previous_index: Index::new(1),
        previous_term: Term::new(1),
        entries: vec![Arc::new(entry)],
        commit: Index::ZERO,
        grant: None,
    };
    let replies = |actions: &Actions| {
        let is_reply = |action: &&Action<u64, u64>| matches!(action, Action::Send { .. });
        actions.iter().filter(is_reply).count()
    };
    let now = Instant::from_millis(100);
    let actions = core.step(now, receive(1, 2, Message::Append(append)));
    assert_eq!(replies(&actions), 0);
    let through = write(&actions).unwrap();
    assert_eq!(replies(&core.step(now, Input::Persisted { through })), 1);
}

#[test]
fn a_single_voter_commits_only_what_is_synced() {
    let random = fastrand::Rng::with_seed(1);
    let mut core: Core<Journal> = Core::new(settings(1, 1), member(0), None, random, Instant::ZERO);
    let through = write(&core.step(Instant::ZERO, Input::Tick)).unwrap();
    let through = write(&core.step(Instant::ZERO, Input::Persisted { through })).unwrap();
    core.step(Instant::ZERO, Input::Persisted { through });
    let proposal = Input::Propose { token: Token::new(1), command: 7 };
    let through = write(&core.step(Instant::ZERO, proposal)).unwrap();
    assert!(core.machine().commands.is_empty());
    core.step(Instant::ZERO, Input::Persisted { through });
    assert_eq!(core.machine().commands, [7]);
}

#[test]
fn an_entry_of_an_older_term_is_committed_only_with_one_of_the_current_term() {
    let mut core = leader();
    core.step(ELECTED_AT, acknowledge(3, 2));
    assert_eq!(core.commit(), Index::ZERO);
    core.step(ELECTED_AT, acknowledge(3, 3));
    assert_eq!(core.commit(), Index::new(3));
}

#[test]
fn a_leader_that_steps_down_does_not_vote_while_its_lease_would_last() {
    let mut core = leader();
    core.step(ELECTED_AT, acknowledge(3, 3));
    assert!(core.lease(ELECTED_AT).is_some());
    core.step(ELECTED_AT, acknowledge(4, 3));
    assert!(core.leading_since().is_none());
    let (last_index, last_term) = (Index::new(9), Term::new(4));
    let ask = |term| {
        let vote = Vote { term: Term::new(term), last_index, last_term };
        receive(2, term, Message::Vote(vote))
    };
    core.step(Instant::from_millis(3_300), ask(5));
    assert_eq!(core.term(), Term::new(4));
    core.step(Instant::from_millis(3_600), ask(5));
    assert_eq!(core.term(), Term::new(5));
}

#[test]
fn a_configuration_lease_of_an_earlier_run_is_ignored() {
    let mut core = voter(None);
    let now = Instant::from_millis(100);
    let actions = core.step(now, heartbeat(None));
    let reply = actions.into_iter().find_map(|action| match action {
        Action::Send { frame, .. } => Some(frame.message),
        _ => None,
    });
    let Some(Message::AppendReply(AppendReply { echo, .. })) = reply else { panic!("no reply") };
    let length = Duration::from_secs(5);
    let earlier = Echo { run: echo.run.wrapping_add(1), at: echo.at };
    core.step(now, heartbeat(Some(Grant { echo: earlier, length })));
    assert_eq!(core.configuration_lease(now), None);
    core.step(now, heartbeat(Some(Grant { echo, length })));
    assert_eq!(core.configuration_lease(now), Some(now + length));
}

#[test]
fn entries_replaced_by_a_snapshot_are_dropped_on_restart() {
    let data = bincode::serde::encode_to_vec(Journal::default(), bincode::config::standard());
    let snapshot = Snapshot {
        index: Index::new(2),
        term: Term::new(3),
        membership: Membership::EMPTY,
        data: data.unwrap().into(),
    };
    for (term, last) in [(3, 4), (2, 2)] {
        let mut restored = restored(HardState { term: Term::new(3), vote: None });
        let entry = |index| Entry {
            index: Index::new(index),
            term: Term::new(term),
            payload: Payload::Command(7),
        };
        restored.entries.extend((2..=4).map(|index| Arc::new(entry(index))));
        restored.snapshot = Some(Arc::new(snapshot.clone()));
        let random = fastrand::Rng::with_seed(1);
        let core: Core<Journal> =
            Core::new(settings(3, 3), member(0), Some(restored), random, Instant::ZERO);
        assert_eq!(core.last_index(), Index::new(last));
    }
}

#[test]
fn a_late_snapshot_drops_no_acknowledged_entry() {
    let mut core = voter(None);
    let now = Instant::from_millis(100);
    let entry = |index| Entry {
        index: Index::new(index),
        term: Term::new(1),
        payload: Payload::Command(index),
    };
    let append = Append {
        sent_at: Instant::ZERO,
        previous_index: Index::new(1),
        previous_term: Term::new(1),
        entries: vec![Arc::new(entry(2)), Arc::new(entry(3))],
        commit: Index::ZERO,
        grant: None,
    };
    core.step(now, receive(1, 1, Message::Append(append)));
    let data = bincode::serde::encode_to_vec(Journal::default(), bincode::config::standard());
    let data = data.unwrap();
    let chunk = Chunk {
        sent_at: Instant::ZERO,
        index: Index::new(2),
        term: Term::new(1),
        membership: Membership::EMPTY,
        offset: 0,
        total: data.len() as u64,
        data: data.into(),
    };
    core.step(now, receive(1, 1, Message::Chunk(chunk)));
    assert_eq!((core.last_index(), core.commit()), (Index::new(3), Index::new(2)));
}

#[test]
fn repeated_rejections_of_entries_cause_one_resend() {
    let mut core = leader();
    let refusal = || {
        let reply = AppendReply {
            sent_at: Instant::from_millis(2_400),
            matches: false,
            index: Index::new(1),
            applied: Index::ZERO,
            echo: Echo { run: 1, at: Instant::ZERO },
        };
        receive(1, 3, Message::AppendReply(reply))
    };
    let to_peer = |action: &Action<u64, u64>| {
        matches!(action, Action::Send { frame, .. }
            if frame.to == Some(Incarnation::new(2)))
    };
    let sent: usize = (0..5)
        .map(|_| core.step(ELECTED_AT, refusal()).iter().filter(|action| to_peer(action)).count())
        .sum();
    assert_eq!(sent, 1);
}
