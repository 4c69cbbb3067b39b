//! Tests of the selection of targets where some are cold.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::Instant;
use catkinlatch_ledger::{
    Balancer, Bounds, Target,
    allowance::{Bound, Entrance, Pick, pick},
    balancer::Verdict,
    registry::Phase,
};
use catkinlatch_route::allowance::{Limit, SPAN};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const NOW: Instant = Instant::from_millis(10_000);

fn target(name: &str, cold_ms: u64) -> Target {
    Target {
        id: name.parse().unwrap(),
        born_ms: 1,
        sequence: 1,
        service: "survey".parse().unwrap(),
        address: "10.0.0.1:80".to_owned(),
        zone: "zone-a".parse().unwrap(),
        slots: 6,
        phase: Phase::Ready,
        cold_ms,
        build: Default::default(),
        rate: None,
        is_spot: false,
        models: BTreeMap::new(),
    }
}

/// Returns the ids of the picked target and of the one to ask for; targets named `open` have
/// allowance.
fn picked(balancer: &Balancer, targets: &[Target]) -> (Option<String>, Option<String>) {
    let entrance = |target: &Target| match (target.cold_ms, target.id.as_str()) {
        (0, _) => Entrance::Free,
        (_, "open") => Entrance::Limited,
        _ => Entrance::Closed,
    };
    let zone = "zone-a".parse().unwrap();
    let pick = pick(balancer, targets.iter(), entrance, &zone, &BTreeSet::new(), NOW);
    let id = |target: &Target| target.id.to_string();
    (pick.target.map(id), pick.closed.map(id))
}

/// Guards against cold targets that are used while a warm one has room, against a warm target
/// without room that keeps a cold one idle, and against use without allowance.
#[test]
fn a_cold_target_is_picked_only_if_no_warm_one_has_room() {
    let (warm, open, closed) = (target("warm", 0), target("open", 900), target("closed", 900));
    let targets = [closed.clone(), open, warm.clone()];
    let mut balancer = Balancer::default();
    assert_eq!(picked(&balancer, &targets), (Some("warm".to_owned()), None));
    (0..6).for_each(|_| balancer.begin(&warm.id));
    assert_eq!(picked(&balancer, &targets), (Some("open".to_owned()), None));
    let without_open = [closed.clone(), warm.clone()];
    let expected = (Some("warm".to_owned()), Some("closed".to_owned()));
    assert_eq!(picked(&balancer, &without_open), expected);
    (0..6).for_each(|_| balancer.end(&warm.id, Verdict::Unknown, NOW));
    assert_eq!(picked(&balancer, &without_open), (Some("warm".to_owned()), None));
    assert_eq!(picked(&balancer, &[closed]), (None, Some("closed".to_owned())));
}

/// Guards against shares of a stated rate that hosts hold and do not use.
#[test]
fn a_share_of_a_stated_rate_is_wanted_only_if_no_target_is_left() {
    let (free, closed) = (target("free", 0), target("closed", 900));
    for (other, is_stated, expected) in [
        (Some(&free), true, None),
        (Some(&free), false, Some(&closed)),
        (None, true, Some(&closed)),
        (None, false, Some(&closed)),
    ] {
        let pick = Pick { target: other, closed: Some(&closed) };
        assert_eq!(pick.wanted(|_| is_stated), expected);
    }
}

/// Guards against services without a limit being limited, against cold targets that are flooded
/// before the limits are known, and against a later start that inherits the phase of an earlier one.
#[test]
fn only_starts_that_are_cold_of_services_with_a_limit_are_limited() {
    let mut cold = Bounds::default();
    let (a, later) = (target("a", 3_000), Target { born_ms: 2, ..target("a", 0) });
    let other = Target { service: "other".parse().unwrap(), ..target("b", 3_000) };
    cold.observe_all([&a, &other].into_iter(), NOW);
    assert_eq!(
        cold.bound(&a, NOW),
        Bound::Limited { limit: Limit { planned: 1, span: SPAN }, factor: 1 }
    );
    let limit = Limit::new(14.0, 1.5, 5.0).unwrap();
    assert_eq!(limit, Limit { planned: 14, span: SPAN });
    cold.set_limits(BTreeMap::from([(a.service.clone(), limit)]));
    assert_eq!(cold.bound(&a, NOW), Bound::Limited { limit, factor: 1 });
    assert_eq!(cold.bound(&later, NOW), Bound::Warm);
    assert_eq!(cold.bound(&other, NOW), Bound::Free);
    assert!(!cold.observe(&a, Duration::from_millis(2_000), NOW), "it is cold already");
    assert!(cold.observe(&later, Duration::from_millis(2_000), NOW), "it has turned cold");
}
