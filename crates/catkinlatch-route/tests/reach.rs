//! What a host concludes about its paths to targets, and which hosts it asks to relay connections.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::{HostId, Instant, ZoneId};
use catkinlatch_route::reach::{Finding, Helper, Helpers, Path, Reach, Setback};
use std::{collections::BTreeMap, time::Duration};
use test_case::test_case;

fn at(ms: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(ms)
}

fn check(reach: &mut Reach, finding: Finding, ms: u64) {
    reach.continue_check();
    reach.end_check(at(ms), finding);
}

fn direct_share(reach: &Reach) -> f64 {
    let direct = (0..100).filter(|n| reach.path(f64::from(*n) / 100.0) == Path::Direct).count();
    direct as f64 / 100.0
}

#[test]
fn one_target_that_refuses_connections_is_no_doubt_while_another_answers() {
    let mut reach = Reach::default();
    reach.record_answer("b", at(1_000));
    reach.record_answer("a", at(1_050));
    reach.record_miss("a");
    assert!(!reach.is_miss_in_doubt("a", at(1_100)));
    // A second target, though connections that were open before still answer.
    reach.record_answer("c", at(1_200));
    reach.record_miss("b");
    assert!(reach.is_miss_in_doubt("b", at(1_250)));
    reach.record_open("c", at(1_300));
    assert!(!reach.is_miss_in_doubt("b", at(1_350)));
}

#[test]
fn the_only_target_that_answered_before_it_refused_a_connection_is_in_doubt() {
    let mut reach = Reach::default();
    reach.record_answer("a", at(1_000));
    reach.record_miss("a");
    assert!(reach.is_miss_in_doubt("a", at(1_100)));
}

#[test]
fn a_host_with_one_request_in_some_seconds_doubts_its_path_at_the_first_miss() {
    let mut reach = Reach::default();
    reach.record_answer("a", at(1_000));
    reach.record_miss("a");
    assert!(reach.is_miss_in_doubt("a", at(4_000)));
}

#[test]
fn a_silent_target_is_no_doubt_while_others_answer() {
    let mut reach = Reach::default();
    reach.record_answer("a", at(1_100));
    assert!(!reach.is_silence_in_doubt(at(1_000), at(1_300)));
    assert!(reach.is_silence_in_doubt(at(1_200), at(1_400)));
}

#[test]
fn checks_that_reach_targets_are_a_second_apart() {
    let mut reach = Reach::default();
    check(&mut reach, Finding::Reached, 1_000);
    assert!(!reach.is_silence_in_doubt(at(1_100), at(1_900)));
    assert!(reach.is_silence_in_doubt(at(1_100), at(2_100)));
}

#[test]
fn a_host_that_is_cut_off_returns_by_degrees() {
    let mut reach = Reach::default();
    assert_eq!(direct_share(&reach), 1.0);
    check(&mut reach, Finding::CutOff, 1_000);
    assert_eq!(direct_share(&reach), 0.0);
    let mut shares = Vec::new();
    for ms in [1_500, 2_000, 2_500] {
        check(&mut reach, Finding::Reached, ms);
        shares.push(direct_share(&reach));
    }
    assert_eq!(shares, [0.25, 0.5, 1.0]);
    assert_eq!(reach.next_check(), None);
}

#[test]
fn a_host_that_returns_is_cut_off_again_at_once() {
    let mut reach = Reach::default();
    check(&mut reach, Finding::CutOff, 1_000);
    check(&mut reach, Finding::Reached, 1_500);
    check(&mut reach, Finding::CutOff, 2_000);
    assert_eq!(direct_share(&reach), 0.0);
}

#[test]
fn connections_are_refused_at_once_while_no_host_reaches_targets() {
    let mut reach = Reach::default();
    check(&mut reach, Finding::Unreached, 1_000);
    assert_eq!(reach.path(0.0), Path::Closed);
    assert!(reach.next_check().is_some());
    check(&mut reach, Finding::Reached, 1_500);
    assert_eq!(reach.path(0.9), Path::Direct);
}

#[test]
fn requests_on_connections_that_live_on_are_not_given_up() {
    let mut reach = Reach::default();
    reach.record_answer("a", at(900));
    check(&mut reach, Finding::CutOff, 1_000);
    assert!(reach.is_silent());
    reach.record_answer("a", at(1_100));
    assert!(!reach.is_silent());
}

#[test]
fn one_check_runs_at_a_time() {
    let mut reach = Reach::default();
    assert!(reach.begin_check());
    assert!(!reach.begin_check());
    assert!(reach.is_unsettled() && !reach.is_direct());
    reach.end_check(at(1_000), Finding::CutOff);
    // The next one follows by itself.
    assert!(!reach.begin_check());
}

fn helper(zone: usize, number: usize) -> Helper {
    let host = format!("10.{zone}.0.{number}").parse().unwrap();
    Helper { host, zone: Some(zone_id(zone)), is_reserve: false }
}

fn zone_id(zone: usize) -> ZoneId {
    format!("zone-{zone}").parse().unwrap()
}

fn fleet(hosts_in_zone: usize) -> Vec<Helper> {
    (0..3).flat_map(|zone| (0..hosts_in_zone).map(move |number| helper(zone, number))).collect()
}

fn first(helpers: &Helpers, own: &Helper, random: f64, now: Instant) -> Option<Helper> {
    let zone = own.zone.clone().unwrap();
    helpers.rank(fleet(8), &own.host, &zone, random, now).into_iter().next()
}

#[test]
fn hosts_of_the_same_zone_relay_first_and_stores_last() {
    let own = helper(0, 0);
    let mut all = fleet(2);
    let store = "10.9.0.1".parse().unwrap();
    all.push(Helper { host: store, zone: None, is_reserve: true });
    let ranked = Helpers::default().rank(all, &own.host, &zone_id(0), 0.9, at(0));
    assert_eq!(ranked.len(), 6, "the host itself does not relay");
    assert!(ranked.last().unwrap().is_reserve);
    let near = ranked.iter().position(|other| other.zone == own.zone).unwrap();
    assert!(near < 2);
}

#[test]
fn hosts_of_other_zones_relay_once_two_of_a_zone_cannot() {
    let own = helper(0, 0);
    let mut helpers = Helpers::default();
    for _ in 0..2 {
        let asked = first(&helpers, &own, 0.0, at(0)).unwrap();
        assert_eq!(asked.zone, own.zone);
        helpers.record_setback(&asked, Setback::Unable, at(0));
    }
    assert_ne!(first(&helpers, &own, 0.0, at(10)).unwrap().zone, own.zone);
    // They are asked again after a while.
    assert_eq!(first(&helpers, &own, 0.0, at(5_000)).unwrap().zone, own.zone);
}

#[test_case(Setback::Busy, 300; "busy")]
#[test_case(Setback::Failed, 1_100; "failed")]
#[test_case(Setback::Unable, 3_100; "unable")]
fn a_host_that_could_not_relay_rests(setback: Setback, until_ms: u64) {
    let own = helper(0, 0);
    let mut helpers = Helpers::default();
    let asked = first(&helpers, &own, 0.0, at(0)).unwrap();
    helpers.record_setback(&asked, setback, at(0));
    assert_ne!(first(&helpers, &own, 0.0, at(until_ms - 250)), Some(asked.clone()));
    assert_eq!(first(&helpers, &own, 0.0, at(until_ms)), Some(asked));
}

#[test]
fn a_host_that_leaves_relayed_requests_without_answers_rests() {
    let own = helper(0, 0);
    let mut helpers = Helpers::default();
    let asked = first(&helpers, &own, 0.0, at(0)).unwrap();
    helpers.record_silence(&asked, at(0));
    helpers.record_success(&asked.host);
    helpers.record_silence(&asked, at(0));
    assert_eq!(first(&helpers, &own, 0.0, at(1)), Some(asked.clone()));
    helpers.record_silence(&asked, at(1));
    assert_ne!(first(&helpers, &own, 0.0, at(2)), Some(asked));
}

#[test]
fn the_hosts_of_a_zone_that_is_cut_off_spread_over_the_others() {
    let mut load: BTreeMap<HostId, usize> = BTreeMap::new();
    for number in 0..8 {
        let own = helper(0, number);
        let mut helpers = Helpers::default();
        for other in (0..8).filter(|other| *other != number) {
            helpers.record_setback(&helper(0, other), Setback::Unable, at(0));
        }
        for n in 0..100 {
            let asked = first(&helpers, &own, f64::from(n) / 100.0, at(1)).unwrap();
            *load.entry(asked.host).or_default() += 1;
        }
    }
    let most = load.values().max().unwrap();
    assert!(load.len() >= 8, "{load:?}");
    assert!(*most <= 200, "more than a quarter of all on one of sixteen: {load:?}");
}
