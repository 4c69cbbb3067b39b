//! Seeded simulations of the queue by rank against first come, first served and against polling of
//! full targets every 15 ms. They check what callers get.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

mod world;

use catkinlatch_base::Instant;
use catkinlatch_route::admission::rank::Queue;
use std::time::Duration;
use test_case::test_case;
use world::{Got, LONGEST_WAIT_MS, Load, Outcome, Policy, Source, World};

/// Offers 1.5 times what 3 targets with 6 slots run: 40 requests a second of rank 0, and of rank 2
/// 120 of one team and 20 of another.
fn overload() -> Load {
    let source = |rank, team, rate| Source { rank, team, rate };
    Load {
        hosts: 4,
        targets: 3,
        slots: 6,
        run_ms: 150,
        sources: vec![source(0, 0, 40.0), source(2, 1, 120.0), source(2, 2, 20.0)],
        duration_ms: 20_000,
        fault_at_ms: None,
    }
}

fn print(name: &str, policy: Policy, outcome: &Outcome) {
    let in_time: Vec<String> =
        outcome.got.iter().map(|got| format!("{:.3}", got.share_in_time())).collect();
    let served: u32 = outcome.got.iter().map(|got| got.served).sum();
    let (attempts, wait) = (outcome.attempts, outcome.longest_wait_ms);
    eprintln!(
        "{name} {policy:?}: in time {in_time:?}, served {served}, {attempts} tries, {wait} ms"
    );
}

fn run(name: &str, load: &Load, policy: Policy, seed: u64) -> Outcome {
    let outcome = World::run(load, policy, seed);
    print(name, policy, &outcome);
    outcome
}

fn total(outcome: &Outcome, count: impl Fn(&Got) -> u32) -> u32 {
    outcome.got.iter().map(count).sum()
}

/// Guards against a queue that does not follow ranks: with polling, rank 0 is refused as often as
/// the others at 1.5 times the capacity. Turns alone would give it a third.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn the_highest_rank_is_served_in_time_under_overload(seed: u64) {
    let mut load = overload();
    load.hosts = 1;
    let source = |rank, team, rate| Source { rank, team, rate };
    load.sources = vec![source(0, 0, 70.0), source(2, 1, 55.0), source(2, 2, 55.0)];
    let ranked = run("overload", &load, Policy::Ranked, seed);
    let polling = run("overload", &load, Policy::Polling, seed);
    let first_come = run("overload", &load, Policy::FirstCome, seed);
    let share = |outcome: &Outcome| outcome.got[0].share_in_time();
    assert!(share(&ranked) >= 0.9, "{}", share(&ranked));
    assert!(share(&ranked) >= share(&polling) + 0.4, "{}", share(&polling));
    assert!(share(&ranked) >= share(&first_come) + 0.4, "{}", share(&first_come));
    let served = |outcome| f64::from(total(outcome, |got| got.served));
    assert!(served(&ranked) >= 0.94 * served(&polling), "the order must not cost throughput");
}

/// Guards against an order that is lost where slots are shared by hosts: at 4 hosts, the first in
/// order on one host competes with those on others, and floors count on each.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn ranks_hold_across_hosts_that_share_the_slots(seed: u64) {
    let ranked = run("hosts", &overload(), Policy::Ranked, seed);
    let polling = run("hosts", &overload(), Policy::Polling, seed);
    let share = |outcome: &Outcome| outcome.got[0].share_in_time();
    assert!(share(&ranked) >= share(&polling) + 0.4, "{} {}", share(&ranked), share(&polling));
    let served = |outcome| f64::from(total(outcome, |got| got.served));
    assert!(served(&ranked) >= 0.97 * served(&polling), "the order must not cost throughput");
}

/// Guards against a team that takes the slots of its rank because it asks more often: one host, of
/// whose 120 requests a second a team of 40 can get all, and its floor alone is 24.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_small_team_is_not_crowded_out_by_a_large_one_of_its_rank(seed: u64) {
    let mut load = overload();
    load.hosts = 1;
    let source = |team, rate| Source { rank: 2, team, rate };
    load.sources = vec![source(1, 140.0), source(2, 40.0)];
    let ranked = run("teams", &load, Policy::Ranked, seed);
    let polling = run("teams", &load, Policy::Polling, seed);
    let small = |outcome: &Outcome| outcome.got[1].share_in_time();
    assert!(small(&ranked) >= 0.75, "{}", small(&ranked));
    assert!(small(&polling) < 0.75, "polling must fail this check: {}", small(&polling));
    let worst = ranked.got.iter().map(Got::share_in_time).fold(1.0, f64::min);
    assert!(worst > 0.1, "worst team: {worst}");
}

/// Guards against callers that are refused at the same moment and return together.
#[test]
fn returns_of_equal_refusals_are_spread() {
    let (queue, mut random) = (Queue::default(), fastrand::Rng::with_seed(1));
    for (most, least_spread) in [(500, 80), (60, 20)] {
        let delays: Vec<u128> = (0..100)
            .map(|_| {
                let most = Duration::from_millis(most);
                queue.retry_after(1, most, Instant::ZERO, &mut random).as_millis()
            })
            .collect();
        let (first, last) = (delays.iter().min().unwrap(), delays.iter().max().unwrap());
        assert!(*last <= u128::from(most) && last - first >= least_spread, "{first} to {last} ms");
    }
}

/// Guards against starvation: rank 0 alone offers twice the capacity, and rank 2 still gets its
/// floor, a fifth of what runs, as long as it waits for it.
#[test_case(1)]
#[test_case(2)]
fn a_low_rank_keeps_its_floor_while_a_high_one_takes_all(seed: u64) {
    let mut load = overload();
    load.hosts = 1;
    load.sources[0].rate = 240.0;
    load.sources.truncate(2);
    let ranked = run("floor", &load, Policy::Ranked, seed);
    let share = f64::from(ranked.got[1].served) / f64::from(total(&ranked, |got| got.served));
    assert!((0.17..0.3).contains(&share), "{share}");
}

/// Guards against callers that wait longer than they may, and against callers that return together
/// after a refusal: polling sends them all back after the same time.
#[test_case(1)]
#[test_case(2)]
fn refusals_come_at_once_and_returns_are_spread(seed: u64) {
    let ranked = run("returns", &overload(), Policy::Ranked, seed);
    assert!(ranked.longest_wait_ms <= LONGEST_WAIT_MS + 1, "{} ms", ranked.longest_wait_ms);
    let delays: Vec<u64> = ranked.returns.iter().map(|(at, until)| until - at).collect();
    assert!(delays.iter().all(|delay| *delay <= 500), "at most a third of the caller's 1,500 ms");
    let polling = run("returns", &overload(), Policy::Polling, seed);
    let most = |outcome: &Outcome| {
        let mut counts = std::collections::BTreeMap::<u64, usize>::new();
        outcome
            .returns
            .iter()
            .for_each(|(at, until)| *counts.entry((until - at) / 20).or_default() += 1);
        *counts.values().max().unwrap() as f64 / outcome.returns.len() as f64
    };
    assert!(most(&ranked) < 0.5, "{} of the delays are within 20 ms", most(&ranked));
    assert!(most(&polling) > 0.9, "polling must fail this check");
}

/// Guards against callers that are refused again and again while newcomers are served: 1.1 times the
/// capacity, of one team.
#[test_case(1)]
#[test_case(2)]
fn a_caller_that_returns_is_refused_less_often_than_a_newcomer(seed: u64) {
    let mut load = overload();
    load.hosts = 1;
    load.sources = vec![Source { rank: 2, team: 1, rate: 130.0 }];
    let share_again = |policy| {
        let outcome = run("again", &load, policy, seed);
        let got = &outcome.got[0];
        let first = f64::from(got.first_refusals);
        (first / f64::from(got.asked), f64::from(got.second_refusals) / first)
    };
    let (first, again) = share_again(Policy::Ranked);
    assert!(again < 0.6 * first, "newcomers refused: {first}, refused again: {again}");
    let (first, again) = share_again(Policy::Polling);
    assert!(again > 0.6 * first, "polling must fail this check: {first}, {again}");
}

/// Guards against a queue that slows callers down while targets have room, or sends more than
/// polling: 51 hosts, 12 requests a second, one of three targets lost for 5 s.
#[test_case(1)]
#[test_case(2)]
fn nothing_changes_while_targets_have_room(seed: u64) {
    let source = |rank, team, rate| Source { rank, team, rate };
    let load = Load {
        hosts: 51,
        targets: 3,
        slots: 6,
        run_ms: 150,
        sources: vec![source(0, 0, 4.0), source(2, 1, 8.0)],
        duration_ms: 60_000,
        fault_at_ms: Some(20_000),
    };
    let ranked = run("room", &load, Policy::Ranked, seed);
    let polling = run("room", &load, Policy::Polling, seed);
    for (ranked, polling) in ranked.got.iter().zip(&polling.got) {
        assert_eq!(ranked.refusals, 0);
        assert_eq!(ranked.in_time, polling.in_time);
    }
    assert_eq!(ranked.attempts, polling.attempts);
}
