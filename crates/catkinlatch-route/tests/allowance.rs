//! Tests of the bounds on cold targets: the window, the ramp, and the division under faults.

#[path = "allowance/world.rs"]
mod world;

use catkinlatch_base::{Instant, Rate};
use catkinlatch_route::allowance::{
    Asked, Change, Division, Holder, Limit, Phases, SPAN, Stage, Statement, Statements, Window,
};
use std::time::Duration;
use test_case::test_case;
use world::{LIMIT, PLANNED, World, most_in, most_in_a_second};

const LEASE: Duration = Duration::from_millis(1_500);

fn asked(number: u64, wanted: u32) -> Asked {
    Asked { number, wanted, used: 0, idle: Duration::ZERO }
}

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("the rate is valid")
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Guards against windows that restart each second, which admit twice the limit at their boundary.
#[test]
fn a_window_admits_at_most_the_limit_in_any_span_of_a_second() {
    let (mut window, mut random) = (Window::default(), fastrand::Rng::with_seed(1));
    let mut sent = Vec::new();
    let mut now = 0;
    while now < 60_000 {
        now += random.u64(0..120);
        if window.admit(PLANNED, SPAN, at(now)) {
            sent.push(now);
        }
    }
    assert_eq!(most_in_a_second(&sent), PLANNED as usize);
}

/// Guards against a misdirected request (421), which does not count, taking up allowance.
#[test]
fn a_refunded_request_leaves_its_place_to_another() {
    let mut window = Window::default();
    assert!(window.admit(1, SPAN, at(0)) && !window.admit(1, SPAN, at(5)));
    window.refund(at(0));
    assert!(window.admit(1, SPAN, at(5)));
}

/// Guards against work that waited for a target flooding it as soon as it is warm, against a bound
/// that never ends, and against a late statement that ends a phase early.
#[test]
fn the_bound_doubles_every_half_second_after_the_phase_until_it_ends() {
    let mut phases = Phases::default();
    assert!(phases.observe(&"a", Duration::from_millis(3_000), at(0)));
    assert!(!phases.observe(&"a", Duration::from_millis(2_000), at(500)));
    let factor = |now: u64, phases: &Phases<&str>| match phases.stage(&"a", PLANNED, 6, at(now)) {
        Stage::Limited { factor } => Some(factor),
        Stage::Warm => None,
    };
    let seen: Vec<_> = [2_999, 3_499, 3_500, 4_000, 4_500].map(|now| factor(now, &phases)).into();
    assert_eq!(seen, [Some(1), Some(1), Some(2), Some(4), None]);
    assert!(phases.observe(&"a", Duration::from_millis(100), at(4_500)), "it is cold again");
    assert_eq!(factor(4_501, &phases), Some(1));
}

/// Guards against idle hosts that hold shares, and against a single host that cannot use what all
/// others leave.
#[test]
fn one_busy_host_among_idle_ones_gets_most_of_the_allowance() {
    let mut world = World::new(3, 70);
    world.is_faulty = false;
    world.hosts.iter_mut().for_each(|host| host.waiting = 1);
    world.hosts[0].rate = 20.0;
    world.run(15_000);
    let rate = world.sends.iter().filter(|(sent, _)| *sent >= 10_000).count() as f64 / 5.0;
    assert!(rate >= 10.0, "{rate} requests a second");
}

/// Guards against a late report that ends or replaces shares which were granted after it.
#[test]
fn a_late_report_changes_nothing() {
    let mut division: Division<&str, u8> = Division::new(None, at(0));
    assert_eq!(division.grant(&"a", &1, asked(2, 4), (LIMIT, 1), LEASE, at(1)), 4);
    assert_eq!(division.grant(&"a", &1, asked(1, 0), (LIMIT, 1), LEASE, at(10)), 0);
    assert_eq!(division.reserved(&"a", at(10)), 4);
    division.grant(&"a", &1, asked(3, 0), (LIMIT, 1), LEASE, at(20));
    assert_eq!(division.reserved(&"a", at(20)), 0);
}

/// Guards against a share that is granted again while the last requests under it count.
#[test]
fn a_share_that_was_given_back_is_free_one_second_after_its_last_request() {
    let mut division: Division<&str, u8> = Division::new(None, at(0));
    division.grant(&"a", &1, asked(1, 6), (LIMIT, 1), LEASE, at(1));
    let idle = Duration::from_millis(300);
    let returned = Asked { number: 2, wanted: 0, used: 2, idle };
    division.grant(&"a", &1, returned, (LIMIT, 1), LEASE, at(500));
    let reserved = [500, 1_200, 1_201].map(|now| division.reserved(&"a", at(now)));
    assert_eq!(reserved, [2, 2, 0]);
}

/// Guards against a host that came first and keeps everything from those that come later.
#[test]
fn a_host_that_comes_later_gets_a_part() {
    let mut division: Division<&str, u8> = Division::new(None, at(0));
    let mut later = 0;
    for now in (0..8_000).step_by(500) {
        division.grant(&"a", &1, asked(now, 100), (LIMIT, 1), LEASE, at(now));
        if now >= 3_000 {
            later = division.grant(&"a", &2, asked(now, 100), (LIMIT, 1), LEASE, at(now + 1));
        }
    }
    assert!(later >= 3, "{later}");
}

/// Guards against a leader whose own requests fill the span, so that the first request of a host
/// waits for a second, and against a share that ignores what the leader has sent.
#[test]
fn a_host_that_asks_first_gets_a_share_beside_a_busy_leader() {
    let mut division: Division<&str, u8> = Division::new(None, at(0));
    let own = (0..500).filter(|now| division.admit_own(&"a", LIMIT, 1, at(*now))).count();
    assert_eq!(own, 12);
    let share = division.grant(&"a", &1, asked(1, 100), (LIMIT, 1), LEASE, at(500));
    assert!((1..=2).contains(&share), "{share}");
}

/// Guards against a leader with endless work of its own that leaves nothing for callers, and
/// against hosts that leave nothing for the leader.
#[test]
fn a_busy_leader_and_many_hosts_both_get_their_part() {
    let mut world = World::new(4, 70);
    world.is_faulty = false;
    world.leader_rate = 100.0;
    world.hosts.iter_mut().for_each(|host| host.rate = 0.17);
    world.run(12_000);
    let by_hosts = world.sends.iter().filter(|(_, by_leader)| !by_leader).count() as f64 / 12.0;
    let by_leader = world.sends.len() as f64 / 12.0 - by_hosts;
    assert!(by_hosts >= 6.0 && by_leader >= 5.0, "hosts {by_hosts}, leader {by_leader} a second");
}

/// Guards against a new leader that grants what holders of its predecessor's shares still use.
#[test]
fn a_new_leader_grants_nothing_before_the_last_leases_are_over() {
    let mut division: Division<&str, u8> = Division::new(Some(LEASE), at(1_000));
    let grant = |division: &mut Division<_, _>, now| {
        division.grant(&"a", &1, asked(now, 4), (LIMIT, 1), LEASE, at(now))
    };
    assert_eq!(grant(&mut division, 2_500), 0);
    assert!(!division.admit_own(&"a", LIMIT, 1, at(3_500)));
    assert_eq!(grant(&mut division, 3_501), 4);
}

/// Guards against a host that goes on after its lease, and against one that sends without a share.
#[test]
fn a_share_ends_with_its_lease() {
    let mut holder = Holder::default();
    assert!(!holder.admit(&"a", 1, at(0)));
    holder.accept(&"a", 3, SPAN, at(1_500));
    assert!(holder.admit(&"a", 1, at(1_499)));
    assert!(!holder.admit(&"a", 1, at(1_500)));
}

/// Guards against any sequence of faults in which all senders together exceed the planned limit:
/// hosts that join, die, freeze and are cut off, messages that are lost, late and duplicated, and
/// leaders that change while the last one is frozen.
#[test]
fn the_sum_of_sends_keeps_the_limit_under_faults() {
    let mut total = 0;
    for seed in 0..200 {
        let mut world = World::new(seed, 8);
        world.leader_rate = 10.0;
        world.hosts.iter_mut().for_each(|host| host.rate = 6.0);
        world.run(12_000);
        let mut times: Vec<u64> = world.sends.iter().map(|(sent, _)| *sent).collect();
        times.sort_unstable();
        let most = most_in_a_second(&times);
        assert!(most <= PLANNED as usize, "seed {seed}: {most} in one second");
        total += times.len();
    }
    assert!(total > 200 * 12 * 3, "only {total} requests were sent, the test shows nothing");
}

/// Guards against senders that each keep to a stated rate, but not all together, under the same
/// faults, and against an allowance that is hardly used.
#[test_case(0.0; "next to nothing")]
#[test_case(1.3; "less than a request for each host")]
#[test_case(3.4; "few requests")]
#[test_case(20.0; "many requests")]
fn the_sum_of_sends_keeps_a_stated_rate_under_faults(per_second: f64) {
    let limit = Limit::of_rate(rate(per_second));
    let (seeds, seconds) = (100, 20);
    let mut total = 0;
    for seed in 0..seeds {
        let mut world = World::new(seed, 6);
        (world.limit, world.leader_rate) = (limit, 10.0);
        world.hosts.iter_mut().for_each(|host| host.rate = 4.0);
        world.run(seconds * 1_000);
        let mut times: Vec<u64> = world.sends.iter().map(|(sent, _)| *sent).collect();
        times.sort_unstable();
        let most = most_in(limit.span.as_millis() as u64, &times);
        assert!(most <= limit.planned as usize, "seed {seed}: {most} in {:?}", limit.span);
        total += times.len();
    }
    let used = total as f64 / (seeds * seconds) as f64;
    assert!(used >= 0.2 * limit.per_second(), "{used} requests a second of {per_second}");
}

/// Guards against an answer that was overtaken and ends a limit, and against an old statement of
/// another host that brings it back.
#[test]
fn a_limit_ends_only_with_an_answer_that_is_newer_than_it() {
    let (named, mut statements) = (Some(rate(2.0)), Statements::default());
    assert_eq!(statements.observe(&"a", None, at(5), at(10)), Change::Unchanged);
    assert_eq!(statements.observe(&"a", named, at(10), at(100)), Change::Limited(rate(2.0)));
    assert_eq!(statements.observe(&"a", None, at(99), at(200)), Change::Unchanged);
    assert_eq!(statements.observe(&"a", named, at(150), at(250)), Change::Unchanged);
    assert_eq!(statements.count_sent(&"a"), named);
    assert_eq!(statements.observe(&"a", None, at(251), at(300)), Change::Lifted { sent: 1 });
    let old = Statement { rate: named, at: at(240) };
    assert_eq!(statements.adopt(&"a", old), Change::Unchanged);
    assert_eq!(statements.rate(&"a"), None);
    assert_eq!(statements.observe(&"a", named, at(260), at(310)), Change::Limited(rate(2.0)));
    statements.retain(|_| true, at(3_600_000));
    assert_eq!(statements.rate(&"a"), named, "a target that gets nothing states nothing");
    statements.retain(|_| false, at(3_600_000));
    assert!(statements.is_empty());
}

/// Guards against hosts that all send at once when they lose the leader together.
#[test]
fn hosts_without_a_leader_keep_to_half_of_the_limit() {
    let (limit, hosts, seconds) = (Limit::of_rate(rate(1.3)), 70, 600);
    let (pause, mut random) = (limit.pause_without_leader(hosts), fastrand::Rng::with_seed(2));
    let mut holders = vec![Holder::default(); hosts as usize];
    let mut sent = Vec::new();
    for now in (0..seconds * 1_000).step_by(10) {
        for holder in &mut holders {
            if holder.admit_without_leader(&"a", pause, random.f64(), at(now)) {
                sent.push(now);
            }
        }
    }
    let (half, most) = ((0.65 * seconds as f64) as usize, most_in(4_000, &sent));
    let expected = half - hosts as usize..=half + hosts as usize;
    assert!(expected.contains(&sent.len()), "{} requests of {half}", sent.len());
    assert!(most <= (1.3 * 4.0 * 1.5 + 5.0) as usize, "{most} in 4 s");
}
