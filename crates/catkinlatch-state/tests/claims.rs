//! Tests of claims, including a randomized simulation of nodes that crash, resend and answer late.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use bytes::Bytes;
use catkinlatch_base::Incarnation;
use catkinlatch_state::claim::{
    Answer, Change, Claim, Claims, Key, MAX_ANSWER_BYTES, MAX_CLAIMS, MAX_TOTAL_ANSWER_BYTES,
    OVERDUE_GRACE_MS, Owner, RETENTION_MS, Reply, Stage,
};
use std::collections::BTreeMap;
use test_case::test_case;

fn name(number: usize) -> Key {
    Key { team: "harbour".parse().unwrap(), key: format!("key-{number}") }
}

fn owner(node: u128, attempt: u64) -> Owner {
    Owner { node: Incarnation::new(node), attempt }
}

fn open(number: usize, owner: Owner, now_ms: u64, sent_ms: u64) -> Change {
    let deadline_ms = now_ms + 60_000;
    let (digest, stage) = ([0; 32], Stage::Running);
    let claim = Claim { digest, owner, opened_ms: now_ms, deadline_ms, stage };
    Change::Open { name: name(number), claim, sent_ms }
}

fn answer(bytes: usize) -> Stage {
    let body = Bytes::from(vec![b'x'; bytes]);
    Stage::Answered(Answer { status: 200, content_type: "text/plain".to_owned(), body })
}

fn finish(number: usize, owner: Owner, stage: Stage) -> Change {
    Change::Finish { name: name(number), owner, stage }
}

/// Returns the number of steps of a randomized run, which `CATKINLATCH_STEPS` overrides.
fn steps() -> usize {
    std::env::var("CATKINLATCH_STEPS").ok().and_then(|text| text.parse().ok()).unwrap_or(20_000)
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_request_is_dispatched_at_most_once(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut claims = Claims::default();
    let mut now_ms = 1_000_000;
    let mut held: Vec<(usize, Owner)> = Vec::new();
    let mut dispatched: BTreeMap<usize, Owner> = BTreeMap::new();
    let mut first_sent: BTreeMap<usize, u64> = BTreeMap::new();
    let mut earlier: Vec<Change> = Vec::new();
    for step in 0..steps() {
        now_ms += random.u64(0..30_000);
        let number = random.usize(0..step / 40 + 2);
        match random.u32(0..12) {
            0..4 => {
                let sent_ms = *first_sent.entry(number).or_insert(now_ms);
                let owner = owner(random.u128(1..4), step as u64);
                let change = open(number, owner, now_ms, sent_ms);
                if claims.apply(&change) == Reply::Opened {
                    assert!(
                        !dispatched.contains_key(&number),
                        "request {number} would be dispatched twice"
                    );
                    held.push((number, owner));
                }
                earlier.push(change);
            }
            4..6 if !held.is_empty() => {
                let (number, owner) = held.swap_remove(random.usize(0..held.len()));
                let change = Change::Release { name: name(number), owner };
                claims.apply(&change);
                earlier.push(change);
            }
            6..9 if !held.is_empty() => {
                let (number, owner) = held.swap_remove(random.usize(0..held.len()));
                assert!(
                    dispatched.insert(number, owner).is_none(),
                    "request {number} is dispatched twice"
                );
                let stage =
                    if random.bool() { answer(random.usize(0..100)) } else { Stage::Unknown };
                if random.u32(0..3) > 0 {
                    let change = finish(number, owner, stage);
                    claims.apply(&change);
                    earlier.push(change);
                }
            }
            9 => {
                let node = Incarnation::new(random.u128(1..4));
                held.retain(|(_, owner)| owner.node != node);
                claims.apply(&Change::Orphan { node });
            }
            10 => drop(claims.apply(&Change::Expire { now_ms })),
            11 if !earlier.is_empty() => {
                let again = earlier[random.usize(0..earlier.len())].clone();
                let holds = |o: &Owner| held.iter().any(|(_, held)| held == o);
                match &again {
                    Change::Release { owner, .. } if holds(owner) => {}
                    _ => drop(claims.apply(&again)),
                }
            }
            _ => {}
        }
    }
    assert!(dispatched.len() > 50, "only {} requests ran", dispatched.len());
}

#[test]
fn a_resend_gets_the_retained_answer() {
    let mut claims = Claims::default();
    claims.apply(&open(1, owner(1, 1), 1_000, 1_000));
    assert!(matches!(
        claims.apply(&open(1, owner(2, 1), 2_000, 1_000)),
        Reply::Exists(Claim { stage: Stage::Running, .. })
    ));
    claims.apply(&finish(1, owner(1, 1), answer(3)));
    let Reply::Exists(claim) = claims.apply(&open(1, owner(2, 2), 3_000, 1_000)) else {
        panic!("the claim exists");
    };
    assert_eq!(claim.stage, answer(3));
}

#[test]
fn an_open_applied_twice_keeps_its_owner() {
    let mut claims = Claims::default();
    let change = open(1, owner(1, 1), 1_000, 1_000);
    assert_eq!(claims.apply(&change), Reply::Opened);
    assert_eq!(claims.apply(&change), Reply::Opened);
    assert!(matches!(claims.apply(&open(1, owner(1, 2), 1_000, 1_000)), Reply::Exists(_)));
}

#[test]
fn a_crashed_owner_leaves_the_outcome_unknown() {
    let mut claims = Claims::default();
    claims.apply(&open(1, owner(1, 1), 1_000, 1_000));
    claims.apply(&Change::Orphan { node: Incarnation::new(1) });
    assert_eq!(claims.get(&name(1)).unwrap().stage, Stage::Unknown);
    let release = Change::Release { name: name(1), owner: owner(1, 1) };
    assert_eq!(claims.apply(&release), Reply::NotOwner);
    assert_eq!(claims.apply(&finish(1, owner(1, 1), answer(1))), Reply::Done);
    assert_eq!(claims.get(&name(1)).unwrap().stage, answer(1));
}

#[test]
fn an_overdue_claim_becomes_unknown_and_then_expires() {
    let mut claims = Claims::default();
    claims.apply(&open(1, owner(1, 1), 1_000, 1_000));
    let overdue = 61_000 + OVERDUE_GRACE_MS;
    assert!(!claims.has_due(overdue - 1));
    assert!(claims.has_due(overdue));
    claims.apply(&Change::Expire { now_ms: overdue });
    assert_eq!(claims.get(&name(1)).unwrap().stage, Stage::Unknown);
    claims.apply(&Change::Expire { now_ms: 1_000 + RETENTION_MS });
    assert!(claims.is_empty());
    let resent = open(1, owner(2, 1), 2_000 + RETENTION_MS, 1_000);
    assert_eq!(claims.apply(&resent), Reply::Expired);
    let fresh = open(2, owner(2, 1), 2_000 + RETENTION_MS, 2_000 + RETENTION_MS);
    assert_eq!(claims.apply(&fresh), Reply::Opened);
}

#[test]
fn claims_and_answers_are_bounded() {
    let mut claims = Claims::default();
    for number in 0..MAX_CLAIMS {
        assert_eq!(claims.apply(&open(number, owner(1, 1), 1_000, 1_000)), Reply::Opened);
        let bytes = if number < 300 { MAX_ANSWER_BYTES } else { 0 };
        claims.apply(&finish(number, owner(1, 1), answer(bytes)));
    }
    assert_eq!(claims.apply(&open(MAX_CLAIMS, owner(1, 1), 1_000, 1_000)), Reply::Full);
    assert_eq!(claims.answer_bytes(), MAX_TOTAL_ANSWER_BYTES);
    assert_eq!(claims.get(&name(0)).unwrap().stage, Stage::Dropped);
}
