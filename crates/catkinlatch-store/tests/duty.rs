//! Random runs of hosts that lead in turn and call a platform which does not check fencing tokens:
//! it must see no older token after a newer one, and no two hosts that alternate within the lease.

use catkinlatch_base::{Instant, Term};
use catkinlatch_store::duty::{Rule, Turn};
use std::time::Duration;

const HOSTS: usize = 3;
const ELECTION_MS: u64 = 500;
const LEADER_LEASE_MS: u64 = 450;
const RUNS: u64 = 200;
const CHANGES: usize = 60;

const RULE: Rule = Rule {
    lease: Duration::from_secs(3),
    checks_fences: false,
    call_timeout: Duration::from_millis(1_500),
};

/// A call as the platform receives it.
#[derive(Clone, Copy, Debug)]
struct Call {
    arrives_ms: u64,
    host: usize,
    term: u64,
}

/// Plays leaders that last for random times, cut off before others are elected, and calls that take
/// up to their timeout on their way.
fn play(rule: Rule, seed: u64) -> Vec<Call> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut turns: [Option<Turn>; HOSTS] = [None; HOSTS];
    let mut calls = Vec::new();
    let (mut elected_ms, mut leader) = (1_000, 0);
    for term in 1..=CHANGES as u64 {
        let ends_ms = elected_ms + random.u64(100..6_000);
        let elected = Instant::from_millis(elected_ms);
        let at = rule.may_act_at(turns[leader], Term::new(term), elected);
        let mut now_ms = at.as_millis().max(elected_ms);
        // The last call begins under the lease, which outlasts the last contact with a quorum.
        while now_ms < ends_ms + LEADER_LEASE_MS {
            let takes_ms = match random.u8(..4) {
                0 => rule.call_timeout.as_millis() as u64,
                _ => random.u64(1..50),
            };
            let arrives_ms = now_ms + random.u64(..=takes_ms);
            calls.push(Call { arrives_ms, host: leader, term });
            now_ms += takes_ms;
            let ended = Instant::from_millis(now_ms);
            turns[leader] = Some(Turn { term: Some(Term::new(term)), at: ended });
            now_ms += random.u64(50..700);
        }
        if random.u8(..10) == 0 {
            // The process starts anew, and does not know when the one before it acted last.
            let at = Instant::from_millis(ends_ms + LEADER_LEASE_MS);
            turns[leader] =
                Some(Turn { term: None, at: turns[leader].map_or(at, |t| t.at.max(at)) });
        }
        elected_ms = ends_ms + ELECTION_MS + random.u64(..300);
        leader = random.usize(..HOSTS);
    }
    calls.sort_by_key(|call| call.arrives_ms);
    calls
}

/// Returns what the platform would object to. Where it checks tokens it refuses older ones, which
/// then have no effect.
fn faults(calls: &[Call], rule: Rule) -> Vec<String> {
    let lease_ms = rule.lease.as_millis() as u64;
    let (mut faults, mut effective) = (Vec::new(), Vec::<Call>::new());
    for call in calls {
        let newest = effective.last().map_or(0, |last| last.term);
        if call.term < newest && rule.checks_fences {
            continue;
        }
        if call.term < newest {
            faults.push(format!("token {} after {newest}: {call:?}", call.term));
        }
        let recent = effective.iter().rev();
        let recent = recent.take_while(|before| before.arrives_ms + lease_ms >= call.arrives_ms);
        let others = recent.skip_while(|before| before.host == call.host);
        if others.into_iter().any(|before| before.host == call.host) {
            faults.push(format!("host {} acts again within the lease: {call:?}", call.host));
        }
        effective.push(*call);
    }
    faults
}

#[test]
fn holders_keep_the_order_of_their_terms_and_do_not_alternate() {
    for rule in [RULE, Rule { checks_fences: true, ..RULE }] {
        let mut calls = 0;
        for seed in 0..RUNS {
            let played = play(rule, seed);
            calls += played.len();
            assert_eq!(faults(&played, rule), Vec::<String>::new(), "seed {seed}");
        }
        assert!(calls > 10_000, "{calls}");
    }
}

#[test]
fn each_wait_is_needed() {
    let count = |played: Rule, rule: Rule| {
        (0..RUNS).filter(|seed| !faults(&play(played, *seed), rule).is_empty()).count()
    };
    let checked = Rule { checks_fences: true, ..RULE };
    let without_call_wait = count(checked, RULE);
    assert!(without_call_wait > 50, "{without_call_wait}");
    let without_lease = count(Rule { lease: Duration::ZERO, ..checked }, checked);
    assert!(without_lease > 50, "{without_lease}");
}

#[test]
fn a_leader_that_has_acted_in_its_term_goes_on_at_once() {
    let now = Instant::from_millis(50_000);
    let term = Term::new(4);
    let turn = Turn { term: Some(term), at: now };
    assert!(RULE.may_act_at(Some(turn), term, now) <= now);
    let checked = Rule { checks_fences: true, ..RULE };
    assert!(checked.may_act_at(None, term, now) <= now, "the receivers refuse old calls");
    assert!(RULE.may_act_at(None, term, now) >= now + RULE.call_timeout);
}
