//! Tests of the weight roll-out.

use catkinlatch_base::{Instant, Ratio, TargetId, Version};
use catkinlatch_rollout::weights::{Engine, Limits, Load, Outcome, Rollout, Source};
use std::time::Duration;

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the id is valid")
}

fn engines(reported: &[u64]) -> Vec<Engine> {
    let engine = |(index, version): (usize, &u64)| Engine {
        id: id(&format!("engine-{index}")),
        zone: id(&format!("zone-{}", index % 3)),
        reported: Version::new(*version),
    };
    reported.iter().enumerate().map(engine).collect()
}

fn limits() -> Limits {
    Limits { store_loads: 2, peer_loads: 1, least_serving: Ratio::new(0.5), ..Limits::default() }
}

fn next(rollout: &mut Rollout, now: Instant, engines: &[Engine]) -> Vec<Load> {
    rollout.next(now, Version::new(5), Version::new(3), engines)
}

#[test]
fn the_store_serves_no_more_loads_than_its_limit() {
    let mut rollout = Rollout::new(limits());
    let wave = next(&mut rollout, Instant::ZERO, &engines(&[4; 9]));
    assert_eq!(wave.iter().filter(|load| load.source == Source::Store).count(), 2);
    assert_eq!(wave.len(), 2);
    assert!(next(&mut rollout, Instant::ZERO, &engines(&[4; 9])).is_empty());
}

#[test]
fn engines_that_report_the_version_are_sources() {
    let mut rollout = Rollout::new(Limits { store_loads: 0, ..limits() });
    let wave = next(&mut rollout, Instant::ZERO, &engines(&[5, 4, 4, 4, 4, 4]));
    let source = Source::Peer(id("engine-0"));
    assert_eq!(wave.iter().map(|load| &load.source).collect::<Vec<_>>(), [&source]);
    assert_eq!(wave[0].engine, id::<TargetId>("engine-3"), "an engine of the source's zone");
}

#[test]
fn enough_engines_keep_serving_within_the_bound() {
    let mut rollout = Rollout::new(Limits { store_loads: 100, ..limits() });
    assert_eq!(next(&mut rollout, Instant::ZERO, &engines(&[4; 9])).len(), 4);
}

#[test]
fn engines_below_the_bound_load_first_and_at_once() {
    let mut rollout = Rollout::new(Limits { store_loads: 100, ..limits() });
    let wave = next(&mut rollout, Instant::ZERO, &engines(&[4, 2, 4, 2, 2, 2]));
    let loaded: Vec<&str> = wave.iter().map(|load| load.engine.as_str()).collect();
    assert_eq!(loaded, ["engine-3", "engine-1", "engine-5", "engine-4"], "zone by zone");
}

#[test]
fn a_single_engine_may_load() {
    let mut rollout = Rollout::new(limits());
    assert_eq!(next(&mut rollout, Instant::ZERO, &engines(&[4])).len(), 1);
}

#[test]
fn a_failed_load_leaves_the_engine_at_its_reported_version() {
    let mut rollout = Rollout::new(limits());
    let seen = engines(&[4]);
    next(&mut rollout, Instant::ZERO, &seen);
    rollout.record_outcome(&seen[0].id, Outcome::Failed, Instant::ZERO);
    assert!(next(&mut rollout, Instant::ZERO, &seen).is_empty(), "the engine is in backoff");
    let later = Instant::from_millis(600);
    assert_eq!(next(&mut rollout, later, &seen).len(), 1, "it is still at the old version");
    rollout.record_outcome(&seen[0].id, Outcome::Loaded, later);
    assert_eq!(next(&mut rollout, later, &seen).len(), 1, "its report counts, not the order");
}

#[test]
fn a_load_ends_when_the_engine_reports_the_version() {
    let mut rollout = Rollout::new(limits());
    next(&mut rollout, Instant::ZERO, &engines(&[4]));
    assert_eq!(rollout.loading(), 1);
    assert!(next(&mut rollout, Instant::from_millis(100), &engines(&[5])).is_empty());
    assert_eq!(rollout.loading(), 0);
}

#[test]
fn an_unconfirmed_load_ends_at_its_timeout() {
    let mut rollout = Rollout::new(limits());
    let seen = engines(&[4]);
    next(&mut rollout, Instant::ZERO, &seen);
    rollout.record_outcome(&seen[0].id, Outcome::Unknown, Instant::ZERO);
    assert!(next(&mut rollout, Instant::from_millis(59_000), &seen).is_empty());
    let timed_out = Instant::ZERO + limits().load_timeout;
    assert!(next(&mut rollout, timed_out, &seen).is_empty(), "the engine is in backoff");
    assert_eq!(next(&mut rollout, timed_out + Duration::from_millis(600), &seen).len(), 1);
}
