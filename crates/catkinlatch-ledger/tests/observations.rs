//! Decisions about what senders share of targets: seeded plays of 50 to 70 senders that each send
//! one request in six seconds, and single decisions of the leader and of a sender.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

#[path = "observations/world.rs"]
mod world;

use catkinlatch_base::{HostId, Incarnation, Instant, ServiceId, TargetId, Term};
use catkinlatch_ledger::{
    Balancer, Target,
    observation::{
        Change, Cooldown, Digest, Event, Guide, Hub, Load, MAX_OBSERVATIONS, Observation, Scope,
        Selection, Table, select,
    },
    registry::Phase,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use world::{Play, Policy, Report, play};

const LEASE: Duration = Duration::from_millis(1_500);

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

fn targets(count: usize) -> Vec<Target> {
    (0..count).map(|number| target(&format!("t{number}"), "zone")).collect()
}

fn service() -> ServiceId {
    "survey".parse().unwrap()
}

fn host(number: usize) -> HostId {
    format!("host-{number}").parse().unwrap()
}

fn observation(target: &Target, pace: Option<u32>, answers: u32, failures: u32) -> Observation {
    Observation {
        target: target.id.clone(),
        born_ms: target.born_ms,
        age_ms: 0,
        running: 0,
        waiting: 0,
        pace,
        cold_ms: 0,
        answers,
        refusals: 0,
        failures,
        silences: 0,
        leader_running: 0,
    }
}

/// Plays a load ten times with a policy; returns all that callers got.
fn play_all(load: &Play, policy: Policy) -> Report {
    let mut all = Report::default();
    for seed in 0..10 {
        let one = play(load, policy, seed);
        all.ms.extend(one.ms);
        all.failures += one.failures;
        all.sends += one.sends;
        all.second_sends += one.second_sends;
        all.max_cooling = all.max_cooling.max(one.max_cooling);
        all.max_retries = all.max_retries.max(one.max_retries);
        all.changes.extend(one.changes);
    }
    all
}

/// A leader's hub that knows `targets`, one of which has stated a pace.
fn hub(targets: &[Target]) -> Hub {
    let mut hub = Hub::new(host(99));
    hub.update(targets.iter(), 1, |_| 0, Instant::ZERO);
    report(&mut hub, 98, 1, &[observation(&targets[0], Some(100), 0, 0)], Instant::ZERO);
    hub
}

fn report(hub: &mut Hub, sender: usize, sequence: u64, seen: &[Observation], now: Instant) {
    let source = (&host(sender), Incarnation::new(1), sequence);
    hub.record_report(source, seen, &[], |_| 0, now);
}

/// Load: 60 senders and 60 scoring calls a second; each of 5 targets is 2.5 times slow for 0.6 s at
/// a time, 15% of the time. Guards against requests that wait on a slow machine: without the pace,
/// or without reports before a request, they are as slow as by own observations.
#[test]
fn targets_that_are_slow_for_a_moment_are_avoided() {
    let load = Play { is_slow: true, scoring: 60.0, has_second_sends: false, ..Play::default() };
    let [own, least, shared] =
        [Policy::Own, Policy::LeastLoad, Policy::Shared].map(|policy| play_all(&load, policy));
    let [own, least, shared] =
        [own, least, shared].map(|report| (report.mean(), report.percentile(0.95)));
    assert!(shared.0 < own.0 * 0.94 && shared.1 < own.1 * 4 / 5, "{shared:?} {own:?}");
    assert!(shared.0 < least.0 && shared.1 < least.1, "{shared:?} {least:?}");
}

/// Load: 50 senders, 3 targets, of which one fails half of its requests after 20 ms. Guards against
/// a target that looks idle because it fails fast, and is tried by each sender anew.
#[test]
fn a_target_that_fails_part_of_its_requests_is_left_by_all_senders() {
    let load = Play { senders: 50, targets: 3, failing: 0.5, ..Play::default() };
    let [own, least, shared] =
        [Policy::Own, Policy::LeastLoad, Policy::Shared].map(|policy| play_all(&load, policy));
    let retries = |report: &Report| report.sends - report.second_sends - report.ms.len();
    assert!(retries(&shared) * 2 < retries(&own).min(retries(&least)), "{}", retries(&shared));
    assert_eq!((shared.failures, shared.max_cooling, shared.max_retries), (0, 1, 1));
}

/// Load: 70 senders, 7 targets, of which one is silent from second 10 to 50; with and without
/// scoring calls. Guards against each sender waiting for the silent target itself, and against one
/// that gets nothing any more after it has recovered.
#[test]
fn a_silent_target_is_left_by_all_senders_until_it_answers_again() {
    for scoring in [0.0, 20.0] {
        let silent = Some((10, 50));
        let load = Play { senders: 70, targets: 7, silent, scoring, ..Play::default() };
        let [own, least, shared] =
            [Policy::Own, Policy::LeastLoad, Policy::Shared].map(|policy| play_all(&load, policy));
        assert!(own.percentile(0.95) > 1_200 && least.percentile(0.99) > 1_200);
        assert!(shared.percentile(0.99) < 600, "{}", shared.percentile(0.99));
        assert_eq!((shared.failures, shared.max_cooling, shared.max_retries), (0, 1, 1));
        let ends = shared.changes.iter().filter(|(ms, change)| {
            *ms > 50_000 && matches!(change, Change::Ended { was_retried: true, .. })
        });
        assert!(ends.count() >= 5, "{:?}", shared.changes);
    }
}

/// Load: as before without scoring calls. Guards against a request that waits for a silent target
/// until its attempt times out, and against second sends beyond the budget: 0.05 of the requests
/// beside the reserve of each sender, 5 and one each 2 s.
#[test]
fn a_late_request_is_sent_a_second_time_within_the_budget() {
    let load = Play { silent: Some((10, 50)), scoring: 0.0, ..Play::default() };
    let alone = play_all(&Play { has_second_sends: false, ..load.clone() }, Policy::Shared);
    let shared = play_all(&load, Policy::Shared);
    assert!(shared.percentile(0.99) * 2 < alone.percentile(0.99));
    assert!(shared.second_sends > 0 && shared.second_sends * 10 < shared.ms.len());
}

/// Load: 60 senders, of which one reports twice a second that a target fails, is full and slow.
/// Guards against callers who pay for what one host reports falsely.
#[test]
fn callers_do_not_pay_for_a_host_that_reports_falsely() {
    let load = Play { liars: 1, ..Play::default() };
    let [own, shared] = [Policy::Own, Policy::Shared].map(|policy| play_all(&load, policy));
    assert!(shared.mean() < own.mean() * 1.03 && shared.percentile(0.99) <= 230);
    assert_eq!((shared.failures, shared.max_cooling), (0, 1));
}

/// Load: 60 senders, a silent target and slow ones; the leader is lost at second 5 of 60. Guards
/// against senders that go on with what an earlier leader told, and do worse than by themselves.
#[test]
fn without_a_leader_senders_do_as_well_as_by_themselves() {
    let silent = Some((10, 50));
    let load = Play { leaderless_from: 5, is_slow: true, silent, ..Play::default() };
    let [own, shared] = [Policy::Own, Policy::Shared].map(|policy| play_all(&load, policy));
    assert!(shared.mean() < own.mean() * 1.1, "{} {}", shared.mean(), own.mean());
    assert_eq!(shared.failures, own.failures);
    let never = Play { leaderless_from: 0, ..load };
    let [own, shared] = [Policy::Own, Policy::Shared].map(|policy| play_all(&never, policy));
    assert_eq!((shared.ms, shared.sends), (own.ms, own.sends), "the same decisions");
}

/// Guards against a cooldown on the word of one host: by a single report, by one that arrives
/// twice, or by two while others are answered.
#[test]
fn a_target_goes_into_cooldown_only_by_agreement() {
    let targets = targets(3);
    let failing = [observation(&targets[0], Some(100), 0, 9)];
    let at = Instant::from_millis;
    let mut once = hub(&targets);
    report(&mut once, 1, 1, &failing, at(100));
    report(&mut once, 1, 1, &failing, at(200));
    assert!(!once.is_in_cooldown(&targets[0].id));
    once.update(targets.iter(), 1, |_| 0, at(300));
    let told = |hub: &Hub| hub.digest().observations.iter().map(|seen| seen.failures).max();
    assert_eq!(told(&once), Some(0), "one statement does not keep others from a target either");
    let mut twice = once.clone();
    report(&mut twice, 1, 2, &failing, at(600));
    assert!(twice.is_in_cooldown(&targets[0].id));
    twice.update(targets.iter(), 1, |_| 0, at(700));
    assert!(told(&twice) > Some(0));
    let mut two = once.clone();
    report(&mut two, 2, 1, &failing, at(600));
    assert!(two.is_in_cooldown(&targets[0].id));
    let mut answered = once.clone();
    for sender in 2..6 {
        report(&mut answered, sender, 1, &[observation(&targets[0], None, 1, 0)], at(500));
    }
    report(&mut answered, 1, 2, &failing, at(600));
    assert!(!answered.is_in_cooldown(&targets[0].id));
    let mut late = once;
    report(&mut late, 2, 1, &failing, at(5_000));
    assert!(!late.is_in_cooldown(&targets[0].id));
}

/// Guards against an outage of all targets that leaves none, and against several senders that retry
/// a target at once.
#[test]
fn at_most_a_third_is_in_cooldown_and_one_sender_retries() {
    let targets = targets(7);
    let mut hub = hub(&targets);
    let failing: Vec<Observation> =
        targets.iter().map(|target| observation(target, Some(100), 0, 1)).collect();
    for sender in 1..4 {
        report(&mut hub, sender, 1, &failing, Instant::from_millis(100));
    }
    let cooling: Vec<&Target> =
        targets.iter().filter(|target| hub.is_in_cooldown(&target.id)).collect();
    assert_eq!(cooling.len(), 2);
    let id = &cooling[0].id;
    assert!(!hub.grant_retry(&host(1), id, Instant::from_millis(200)), "still pausing");
    let open = Instant::from_millis(1_200);
    hub.update(targets.iter(), 1, |_| 0, open);
    assert!(hub.grant_retry(&host(1), id, open));
    assert!(!hub.grant_retry(&host(2), id, open));
    let mut unasked = hub.clone();
    unasked.update(targets.iter(), 1, |_| 0, Instant::from_millis(10_300));
    assert!(!unasked.is_in_cooldown(id), "the first sender was lost, and no other asks");
    let later = Instant::from_millis(4_300);
    assert!(hub.grant_retry(&host(2), id, later), "the first sender was lost");
    report(&mut hub, 2, 2, &[observation(cooling[0], None, 1, 0)], later);
    assert!(!hub.is_in_cooldown(id));
}

/// Guards against a change of selection or more reports where nothing calls for it.
#[test]
fn it_is_off_unless_a_target_states_a_pace_or_slots_are_scarce() {
    let targets = targets(2);
    let mut hub = Hub::new(host(99));
    hub.update(targets.iter(), 12, |_| 0, Instant::ZERO);
    report(&mut hub, 1, 1, &[observation(&targets[0], None, 3, 3)], Instant::ZERO);
    hub.update(targets.iter(), 12, |_| 0, Instant::from_millis(300));
    assert!(hub.digest().scopes.is_empty() && hub.digest().observations.is_empty());
    hub.update(targets.iter(), 13, |_| 0, Instant::from_millis(600));
    assert_eq!(hub.digest().scopes.len(), 1, "12 slots for 13 entry hosts");
    hub.update(targets.iter(), 12, |_| 0, Instant::from_millis(900));
    assert!(hub.digest().scopes.is_empty());
    report(&mut hub, 1, 2, &[observation(&targets[0], Some(100), 1, 0)], Instant::from_millis(950));
    hub.update(targets.iter(), 12, |_| 0, Instant::from_millis(1_200));
    assert_eq!(hub.digest().scopes.len(), 1, "a target states a pace");
}

/// Guards against digests that grow with the number of targets, and leave out what changed.
#[test]
fn a_digest_has_the_64_targets_that_changed_most() {
    let ids: Vec<TargetId> = (0..100).map(|n| format!("t{n:02}").parse().unwrap()).collect();
    let mut table = Table::default();
    for (number, id) in ids.iter().enumerate() {
        let load = Load { running: number as u32, waiting: 0, pace: None };
        table.record_load((id, 1), load, 0, Instant::ZERO);
    }
    let digest = table.digest(|_| true, |_| true, Instant::ZERO);
    let named: Vec<&TargetId> = digest.iter().map(|observation| &observation.target).collect();
    let expected: Vec<&TargetId> = ids.iter().rev().take(MAX_OBSERVATIONS).collect();
    assert_eq!(named, expected);
    assert_eq!(table.take_news(Instant::ZERO).len(), MAX_OBSERVATIONS);
    assert!(table.take_news(Instant::ZERO).is_empty(), "nothing is reported twice");
}

/// Guards against a digest that counts for ever, or one of an earlier leader or report that
/// replaces a newer one.
#[test]
fn an_old_digest_counts_less_and_then_nothing() {
    let targets = targets(2);
    let digest = |pace| Digest {
        observations: vec![observation(&targets[0], Some(pace), 0, 0)],
        cooldowns: vec![],
        scopes: vec![Scope { service: service(), late_ms: Some(100) }],
        refresh_ms: 100,
    };
    let (now, mut guide) = (Instant::from_millis(1_000), Guide::default());
    guide.adopt(Term::new(2), (now, LEASE), digest(300), |_| 0, now);
    let pace = |guide: &Guide, ms| {
        guide.table().estimate(&targets[0]).unwrap().pace(Instant::from_millis(ms))
    };
    assert!((pace(&guide, 1_000) - 3.0).abs() < 0.01);
    assert!((pace(&guide, 1_300) - 2.0).abs() < 0.01, "half after 300 ms");
    let early = Instant::from_millis(1_100);
    guide.adopt(Term::new(1), (early, LEASE), digest(100), |_| 0, early);
    assert!(pace(&guide, 1_300) > 1.9, "an earlier leader is ignored");
    let objective = Duration::from_millis(400);
    let late = |ms| guide.late_after(&service(), objective, Instant::from_millis(ms));
    assert_eq!(late(2_499), Some(Duration::from_millis(200)), "half of the objective");
    assert_eq!(late(2_500), None);
    assert!(guide.is_on(&service(), Instant::from_millis(2_499)));
    assert!(!guide.is_on(&service(), Instant::from_millis(2_500)), "the lease is over");
}

/// Guards against a formula that ignores one of its parts, against own requests that count only
/// once they were reported, and against a refusal because all targets are in cooldown.
#[test]
fn the_target_with_the_shortest_expected_time_is_selected() {
    let targets = targets(2);
    let (now, zone, tried) = (Instant::ZERO, "zone".parse().unwrap(), BTreeSet::new());
    let picks = |table: &Table, balancer: &Balancer, cooling: &[&str]| -> BTreeSet<String> {
        let pick = |number: u32| {
            let random = f64::from(number) / 10.0;
            let selection = Selection { table, balancer, zone: &zone, tried: &tried, now, random };
            let target = select(&selection, targets.iter(), |t| cooling.contains(&t.id.as_str()));
            target.unwrap().id.to_string()
        };
        (0..10).map(pick).collect()
    };
    let only = |name: &str| BTreeSet::from([name.to_owned()]);
    let (table, balancer) = (Table::default(), Balancer::default());
    assert_eq!(picks(&table, &balancer, &[]).len(), 2, "equal targets are drawn");
    assert_eq!(picks(&table, &balancer, &["t0"]), only("t1"));
    assert_eq!(picks(&table, &balancer, &["t0", "t1"]).len(), 2);
    let start = (&targets[0].id, 1);
    for (running, pace) in [(6, 100), (0, 250)] {
        let mut table = Table::default();
        table.record_load(start, Load { running, waiting: 0, pace: Some(pace) }, 0, now);
        assert_eq!(picks(&table, &balancer, &[]), only("t1"), "{running} {pace}");
    }
    let mut failed = Table::default();
    failed.record(start, Event::Silent, now);
    assert_eq!(picks(&failed, &balancer, &[]), only("t1"));
    let mut busy = Balancer::default();
    (0..2).for_each(|_| busy.begin(&targets[0].id));
    assert_eq!(picks(&table, &busy, &[]), only("t1"), "own requests count at once");
}

/// Guards against a later start of a target that inherits the cooldown of the last one.
#[test]
fn the_next_start_of_a_target_is_not_in_cooldown() {
    let targets = targets(3);
    let mut guide = Guide::default();
    let cooldown = Cooldown { target: targets[0].id.clone(), born_ms: 1, is_open: true };
    let digest = Digest { cooldowns: vec![cooldown], ..Digest::default() };
    guide.adopt(Term::new(1), (Instant::ZERO, LEASE), digest, |_| 0, Instant::ZERO);
    let next = Target { born_ms: 2, ..targets[0].clone() };
    assert!(guide.is_in_cooldown(&targets[0]) && !guide.is_in_cooldown(&next));
    assert!(guide.open([&next].into_iter()).is_none());
}
