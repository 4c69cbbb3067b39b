//! Tests of usage windows: each is frozen once, and no usage is lost or counted twice.

use catkinlatch_base::{HostId, Incarnation, Term, Tokens, WindowId};
use catkinlatch_state::window::{
    Change, Count, Figure, MAX_GONE_SOURCES, MAX_UNCONFIRMED_WINDOWS, MAX_WINDOWS, NodeUsage,
    Reply, Windows,
};

fn host(number: u128) -> HostId {
    format!("host-{number}").parse().expect("the id is valid")
}

fn figure(tokens: u64) -> Figure {
    let (team, model) = ("harbour".parse(), "draft".parse());
    let zero = Figure::zero(team.expect("the id is valid"), model.expect("the id is valid"));
    Figure { requests: 1, completion_tokens: Tokens::new(tokens), ..zero }
}

fn count(window: u64, tokens: u64) -> Count {
    Count { window: WindowId::new(window), figures: vec![figure(tokens)] }
}

fn usage(number: u128, spoken_by: Option<u128>, counts: Vec<Count>) -> NodeUsage {
    let (incarnation, spoken_by) = (Incarnation::new(number), spoken_by.map(host));
    NodeUsage { host: host(number), incarnation, spoken_by, counts }
}

fn freeze(window: u64, term: u64, usages: Vec<NodeUsage>) -> Change {
    let (id, term) = (WindowId::new(window), Term::new(term));
    Change::Freeze { id, usages, term, host: host(9) }
}

fn enroll(number: u128, from: u64) -> Change {
    let incarnation = Incarnation::new(number);
    Change::Enroll { host: host(number), incarnation, from: WindowId::new(from) }
}

fn tokens(windows: &Windows) -> u64 {
    let of = |figures: &[Figure]| figures.iter().map(|f| f.completion_tokens.get()).sum::<u64>();
    let windows = windows.list().values();
    windows
        .map(|w| of(&w.figures) + w.corrections.iter().map(|c| of(&c.figures)).sum::<u64>())
        .sum()
}

#[test]
fn window_waits_for_every_enrolled_node() {
    let mut windows = Windows::default();
    windows.apply(&enroll(1, 5));
    windows.apply(&enroll(2, 5));
    let reply = windows.apply(&freeze(5, 1, vec![usage(1, None, vec![])]));
    assert_eq!(reply, Reply::Missing(vec![Incarnation::new(2)]));
    let both = vec![usage(1, None, vec![]), usage(2, None, vec![count(5, 3)])];
    assert_eq!(windows.apply(&freeze(5, 1, both)), Reply::Done);
    assert_eq!(windows.next(), Some(WindowId::new(6)));
}

#[test]
fn frozen_window_keeps_its_figures() {
    let mut windows = Windows::default();
    windows.apply(&enroll(1, 5));
    windows.apply(&freeze(5, 1, vec![usage(1, None, vec![count(5, 3)])]));
    let before = windows.list()[&WindowId::new(5)].clone();
    let reply = windows.apply(&freeze(5, 2, vec![usage(1, None, vec![count(5, 4)])]));
    assert_eq!(reply, Reply::Frozen(before.clone()));
    assert_eq!(windows.list()[&WindowId::new(5)], before);
}

#[test]
fn older_leader_freezes_nothing() {
    let mut windows = Windows::default();
    windows.apply(&freeze(5, 3, vec![]));
    assert_eq!(windows.apply(&freeze(6, 2, vec![])), Reply::Superseded);
    assert_eq!(windows.apply(&freeze(4, 3, vec![])), Reply::Passed);
}

#[test]
fn node_that_returns_after_two_windows_is_corrected_exactly() {
    let mut windows = Windows::default();
    windows.apply(&enroll(1, 5));
    windows.apply(&freeze(5, 1, vec![usage(1, Some(2), vec![count(5, 3)])]));
    windows.apply(&freeze(6, 1, vec![]));
    let back = vec![count(5, 10), count(6, 20), count(7, 30)];
    windows.apply(&freeze(7, 1, vec![usage(1, None, back.clone())]));
    assert_eq!(tokens(&windows), 60);
    let corrections = &windows.list()[&WindowId::new(7)].corrections;
    let of: Vec<u64> = corrections.iter().map(|c| c.window.get()).collect();
    assert_eq!(of, [5, 6]);
    windows.apply(&freeze(8, 1, vec![usage(1, None, back)]));
    assert_eq!(tokens(&windows), 60);
}

#[test]
fn usage_reported_by_two_hosts_counts_once() {
    let mut windows = Windows::default();
    windows.apply(&enroll(1, 5));
    windows.apply(&freeze(5, 1, vec![usage(1, Some(2), vec![count(5, 3)])]));
    windows.apply(&freeze(6, 1, vec![usage(1, Some(3), vec![count(5, 5)])]));
    windows.apply(&freeze(7, 1, vec![usage(1, Some(2), vec![count(5, 3)])]));
    assert_eq!(tokens(&windows), 5);
}

#[test]
fn gone_node_is_required_again_once_it_enrols() {
    let mut windows = Windows::default();
    windows.apply(&enroll(1, 5));
    windows.apply(&enroll(2, 5));
    let gone = vec![usage(1, Some(2), vec![]), usage(2, None, vec![])];
    windows.apply(&freeze(5, 1, gone));
    let alone = || vec![usage(2, None, vec![])];
    assert_eq!(windows.apply(&freeze(6, 1, alone())), Reply::Done);
    windows.apply(&enroll(1, 6));
    let reply = windows.apply(&freeze(7, 1, alone()));
    assert_eq!(reply, Reply::Missing(vec![Incarnation::new(1)]));
}

#[test]
fn evicted_node_is_not_counted_again() {
    let mut windows = Windows::default();
    let first = |n: u128| usage(n, Some(0), vec![count(5, 1)]);
    let all = (1..=MAX_GONE_SOURCES as u128 + 1).map(first).collect();
    windows.apply(&freeze(5, 1, all));
    assert_eq!(windows.sources().len(), MAX_GONE_SOURCES);
    let before = tokens(&windows);
    let evicted = (1..).find(|n| !windows.sources().contains_key(&Incarnation::new(*n)));
    let again = usage(evicted.expect("one is evicted"), Some(0), vec![count(5, 1)]);
    windows.apply(&freeze(6, 1, vec![again]));
    assert_eq!((tokens(&windows), windows.rejected_usages()), (before, 1));
}

#[test]
fn windows_are_bounded_and_unconfirmed_ones_stay() {
    let mut windows = Windows::default();
    for id in 0..MAX_UNCONFIRMED_WINDOWS as u64 {
        assert_eq!(windows.apply(&freeze(id, 1, vec![])), Reply::Done);
    }
    assert_eq!(windows.apply(&freeze(9_999, 1, vec![])), Reply::Full);
    for id in 0..2 * MAX_WINDOWS as u64 {
        windows.apply(&freeze(id, 1, vec![]));
        windows.apply(&Change::Confirm { id: WindowId::new(id) });
    }
    assert_eq!(windows.list().len(), MAX_WINDOWS);
}
