//! Targets are ordered by their starts, and nothing late revives one that has ended.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::{Instant, TargetId};
use catkinlatch_ledger::{
    Registry, Target,
    registry::{Change, Phase},
};
use std::{collections::BTreeMap, time::Duration};

fn id(name: &str) -> TargetId {
    name.parse().unwrap()
}

fn target(name: &str, born_ms: u64, sequence: u64) -> Target {
    Target {
        id: id(name),
        born_ms,
        sequence,
        service: "drafts".parse().unwrap(),
        address: format!("10.0.0.1:{}", 8000 + name.len()),
        zone: "zone-a".parse().unwrap(),
        slots: 8,
        phase: Phase::Ready,
        cold_ms: 0,
        is_spot: false,
        models: BTreeMap::new(),
    }
}

#[test]
fn a_late_heartbeat_does_not_undo_a_newer_one() {
    let mut registry = Registry::default();
    let leaving = Target { phase: Phase::Draining, ..target("t", 100, 5) };
    assert_eq!(registry.register(leaving, Instant::ZERO), Change::Changed);
    assert_eq!(registry.register(target("t", 100, 4), Instant::ZERO), Change::Outdated);
    assert!(!registry.target(&id("t")).unwrap().is_ready());
}

#[test]
fn a_withdrawn_start_never_comes_back_but_a_new_one_does() {
    let mut registry = Registry::default();
    registry.register(target("t", 100, 1), Instant::ZERO);
    registry.withdraw(&id("t"), 500, Instant::ZERO);
    assert_eq!(registry.register(target("t", 100, 9), Instant::ZERO), Change::Outdated);
    assert_eq!(registry.register(target("t", 101, 1), Instant::ZERO), Change::Changed);
}

#[test]
fn the_end_of_an_unknown_target_holds_for_all_earlier_starts() {
    let mut registry = Registry::default();
    registry.withdraw(&id("t"), 500, Instant::ZERO);
    assert_eq!(registry.register(target("t", 499, 1), Instant::ZERO), Change::Outdated);
    assert_eq!(registry.register(target("t", 501, 1), Instant::ZERO), Change::Changed);
}

#[test]
fn an_address_belongs_to_its_newest_start() {
    let mut registry = Registry::default();
    let address = "10.0.0.9:80".to_owned();
    let old = Target { address: address.clone(), ..target("old", 100, 1) };
    let new = Target { address, ..target("new", 200, 1) };
    registry.register(old.clone(), Instant::ZERO);
    registry.register(new, Instant::ZERO);
    assert!(registry.target(&id("old")).is_none());
    let late = Target { sequence: 7, ..old };
    assert_eq!(registry.register(late, Instant::ZERO), Change::Outdated);
}

#[test]
fn a_new_leader_gives_targets_time_to_speak() {
    let (silence, late) = (Duration::from_secs(10), Instant::from_millis(15_000));
    let mut registry = Registry::default();
    registry.register(target("t", 100, 1), Instant::ZERO);
    registry.refresh(late);
    assert!(registry.expire(silence, late).is_empty());
    assert_eq!(registry.expire(silence, late + silence).len(), 1);
}

#[test]
fn silent_targets_are_dropped_and_may_return() {
    let mut registry = Registry::default();
    registry.register(target("t", 100, 1), Instant::ZERO);
    let silence = Duration::from_secs(10);
    assert!(registry.expire(silence, Instant::from_millis(9_999)).is_empty());
    assert_eq!(registry.expire(silence, Instant::from_millis(10_000)).len(), 1);
    let again = registry.register(target("t", 100, 2), Instant::from_millis(11_000));
    assert_eq!(again, Change::Changed);
}

#[test]
fn a_new_leader_knows_who_has_ended() {
    let mut registry = Registry::default();
    registry.register(target("t", 100, 1), Instant::ZERO);
    registry.register(target("other", 100, 1), Instant::ZERO);
    registry.withdraw(&id("t"), 500, Instant::ZERO);
    let targets = registry.targets().cloned().collect();
    let gone = registry.gone().collect();
    let mut copy = Registry::new(targets, gone, Instant::ZERO);
    assert_eq!(copy.register(target("t", 100, 2), Instant::ZERO), Change::Outdated);
    assert!(copy.target(&id("other")).is_some());
}
