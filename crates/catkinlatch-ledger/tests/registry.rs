//! Tests that registrations are ordered by the starts of targets, and that no delayed one restores
//! a withdrawn target.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::{Instant, TargetId};
use catkinlatch_ledger::{
    Registry, Target,
    registry::{Change, Phase},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

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
        build: Default::default(),
        rate: None,
        is_spot: false,
        models: BTreeMap::new(),
    }
}

#[test]
fn delayed_heartbeat_does_not_override_a_newer_one() {
    let mut registry = Registry::default();
    let draining = Target { phase: Phase::Draining, ..target("t", 100, 5) };
    assert_eq!(registry.register(draining, Instant::ZERO), Change::Changed);
    assert_eq!(registry.register(target("t", 100, 4), Instant::ZERO), Change::Outdated);
    assert!(!registry.target(&id("t")).unwrap().is_ready());
}

#[test]
fn withdrawn_start_is_ignored_and_new_start_is_accepted() {
    let mut registry = Registry::default();
    registry.register(target("t", 100, 1), Instant::ZERO);
    registry.withdraw(&id("t"), 500, Instant::ZERO);
    assert_eq!(registry.register(target("t", 100, 9), Instant::ZERO), Change::Outdated);
    assert_eq!(registry.register(target("t", 101, 1), Instant::ZERO), Change::Changed);
}

#[test]
fn withdrawal_of_unknown_target_covers_all_earlier_starts() {
    let mut registry = Registry::default();
    registry.withdraw(&id("t"), 500, Instant::ZERO);
    assert_eq!(registry.register(target("t", 499, 1), Instant::ZERO), Change::Outdated);
    assert_eq!(registry.register(target("t", 501, 1), Instant::ZERO), Change::Changed);
}

#[test]
fn address_belongs_to_its_latest_start() {
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
fn refresh_restarts_the_timeouts_of_targets() {
    let (timeout, late) = (Duration::from_secs(10), Instant::from_millis(15_000));
    let mut registry = Registry::default();
    registry.register(target("t", 100, 1), Instant::ZERO);
    registry.reset_timeouts(late);
    assert!(registry.expire(timeout, late).is_empty());
    assert_eq!(registry.expire(timeout, late + timeout).len(), 1);
}

#[test]
fn expired_targets_are_dropped_and_may_register_again() {
    let mut registry = Registry::default();
    registry.register(target("t", 100, 1), Instant::ZERO);
    let timeout = Duration::from_secs(10);
    assert!(registry.expire(timeout, Instant::from_millis(9_999)).is_empty());
    assert_eq!(registry.expire(timeout, Instant::from_millis(10_000)).len(), 1);
    let again = registry.register(target("t", 100, 2), Instant::from_millis(11_000));
    assert_eq!(again, Change::Changed);
}

#[test]
fn copied_registry_keeps_tombstones() {
    let mut registry = Registry::default();
    registry.register(target("t", 100, 1), Instant::ZERO);
    registry.register(target("other", 100, 1), Instant::ZERO);
    registry.withdraw(&id("t"), 500, Instant::ZERO);
    let targets = registry.targets().cloned().collect();
    let tombstones = registry.tombstones().collect();
    let mut copy = Registry::default();
    copy.adopt(targets, tombstones, Instant::ZERO);
    assert_eq!(copy.register(target("t", 100, 2), Instant::ZERO), Change::Outdated);
    assert!(copy.target(&id("other")).is_some());
}

#[test]
fn a_start_that_says_it_leaves_stays_draining_and_the_next_start_is_ready() {
    let mut registry = Registry::default();
    let now = Instant::ZERO;
    registry.register(target("a", 1, 1), now);
    assert!(registry.record_leaving(&id("a"), 1, now));
    assert!(!registry.record_leaving(&id("a"), 1, now), "it is known already");
    assert_eq!(registry.register(target("a", 1, 2), now), Change::Renewed);
    assert!(!registry.target(&id("a")).unwrap().is_ready());
    let copy: Vec<_> = vec![target("a", 1, 3)];
    registry.adopt(copy, Vec::new(), now);
    assert!(!registry.target(&id("a")).unwrap().is_ready(), "a leader that does not know it");
    registry.register(target("a", 2, 1), now);
    assert!(registry.target(&id("a")).unwrap().is_ready());
    assert!(!registry.record_leaving(&id("a"), 1, now), "a late report of the earlier start");
    assert!(registry.target(&id("a")).unwrap().is_ready());
}

fn zones(names: &[&str]) -> BTreeSet<catkinlatch_base::ZoneId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Guards against targets that stay evacuated on a leader that adopted them so from the last one.
#[test]
fn an_adopted_evacuated_target_is_ready_again_once_its_zone_is_restored() {
    let mut registry = Registry::default();
    let evacuated = Target { phase: Phase::Evacuated, ..target("t", 100, 1) };
    registry.set_evacuated(&zones(&["zone-a"]), Instant::ZERO);
    registry.adopt(vec![evacuated.clone()], Vec::new(), Instant::ZERO);
    assert_eq!(registry.target(&id("t")).unwrap().phase, Phase::Evacuated);
    assert!(registry.set_evacuated(&zones(&[]), Instant::ZERO));
    assert!(registry.target(&id("t")).unwrap().is_ready());
    // The last view of a leader that did not know the end of the evacuation yet.
    registry.adopt(vec![evacuated], Vec::new(), Instant::ZERO);
    assert!(registry.target(&id("t")).unwrap().is_ready());
}

/// Guards against requests to a target that registers, restarts, or is adopted as ready, in a zone
/// that is evacuated already.
#[test]
fn ready_targets_that_become_known_in_an_evacuated_zone_are_not_ready() {
    let mut registry = Registry::default();
    assert!(!registry.set_evacuated(&zones(&["zone-a", "other"]), Instant::ZERO));
    for start in [target("t", 100, 1), target("t", 100, 2), target("t", 200, 1)] {
        registry.register(start, Instant::ZERO);
        assert_eq!(registry.target(&id("t")).unwrap().phase, Phase::Evacuated);
    }
    registry.adopt(vec![target("t", 200, 1)], Vec::new(), Instant::ZERO);
    assert_eq!(registry.target(&id("t")).unwrap().phase, Phase::Evacuated);
}

/// Guards against requests to a target that drains or leaves, after the evacuation of its zone.
#[test]
fn a_target_that_drains_stays_draining_when_its_zone_is_restored() {
    let mut registry = Registry::default();
    registry.register(Target { phase: Phase::Draining, ..target("t", 100, 1) }, Instant::ZERO);
    registry.register(target("left", 100, 1), Instant::ZERO);
    registry.set_evacuated(&zones(&["zone-a"]), Instant::ZERO);
    assert!(registry.record_leaving(&id("left"), 100, Instant::ZERO), "followers must learn it");
    registry.set_evacuated(&zones(&[]), Instant::ZERO);
    assert!(registry.targets().all(|target| target.phase == Phase::Draining));
}
