//! Tests of the selection of the target that serves a request.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::{Instant, TargetId, ZoneId};
use catkinlatch_ledger::{Balancer, Target, balancer::Verdict, registry::Phase};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

fn target(name: &str, zone: &str) -> Target {
    Target {
        id: name.parse().unwrap(),
        born_ms: 1,
        sequence: 1,
        service: "survey".parse().unwrap(),
        address: "10.0.0.1:80".to_owned(),
        zone: zone.parse().unwrap(),
        slots: 6,
        phase: Phase::Ready,
        cold_ms: 0,
        build: Default::default(),
        rate: None,
        is_spot: false,
        models: BTreeMap::new(),
    }
}

fn zone() -> ZoneId {
    "zone-a".parse().unwrap()
}

fn pick(balancer: &Balancer, targets: &[Target], now: Instant) -> Option<TargetId> {
    let tried = BTreeSet::new();
    balancer.pick(targets.iter(), &zone(), &tried, now).map(|target| target.id.clone())
}

#[test]
fn target_in_same_zone_is_preferred_at_equal_load() {
    let targets = [target("a", "zone-b"), target("b", "zone-a")];
    assert_eq!(pick(&Balancer::default(), &targets, Instant::ZERO).unwrap().as_str(), "b");
}

#[test]
fn reported_load_counts_while_it_is_fresh() {
    let targets = [target("a", "zone-b"), target("b", "zone-a")];
    let mut balancer = Balancer::default();
    balancer.report(&targets[1].id, 5, 2, Instant::ZERO);
    assert_eq!(pick(&balancer, &targets, Instant::from_millis(100)).unwrap().as_str(), "a");
    assert_eq!(pick(&balancer, &targets, Instant::from_millis(600)).unwrap().as_str(), "b");
}

#[test]
fn backoff_doubles_and_a_sole_target_serves_despite_backoff() {
    let targets = [target("a", "zone-a"), target("b", "zone-b")];
    let mut balancer = Balancer::default();
    for _ in 0..2 {
        balancer.begin(&targets[0].id);
        balancer.end(&targets[0].id, Verdict::Failed, Instant::ZERO);
    }
    assert!(balancer.is_backing_off(&targets[0].id, Instant::from_millis(599)));
    assert!(!balancer.is_backing_off(&targets[0].id, Instant::from_millis(600)));
    assert_eq!(pick(&balancer, &targets, Instant::ZERO).unwrap().as_str(), "b");
    assert_eq!(pick(&balancer, &targets[..1], Instant::ZERO).unwrap().as_str(), "a");
}

#[test]
fn draining_target_gets_no_requests() {
    let draining = Target { phase: Phase::Draining, ..target("a", "zone-a") };
    assert_eq!(pick(&Balancer::default(), &[draining], Instant::ZERO), None);
}

#[test]
fn slowness_is_relative_to_the_median_and_expires() {
    let ids: Vec<TargetId> = ["a", "b", "c"].iter().map(|id| id.parse().unwrap()).collect();
    let mut balancer = Balancer::default();
    for (id, ms) in ids.iter().zip([30, 33, 120]) {
        balancer.record_event_latency(id, Duration::from_millis(ms), Instant::ZERO);
    }
    let slowness = balancer.slowness(&ids, Instant::ZERO);
    assert!(slowness[2] > 3.0 && slowness[0] < 1.0, "{slowness:?}");
    let later = Instant::from_millis(4_000);
    assert_eq!(balancer.slowness(&ids, later), [1.0; 3]);
}
