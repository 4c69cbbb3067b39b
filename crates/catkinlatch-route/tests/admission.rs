//! Tests of admission and retries, among them a randomized run in which every request must get
//! exactly one outcome within the limits and slots.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::{Instant, Ratio, RouteId, TeamId, Tokens};
use catkinlatch_route::{
    Gate,
    admission::{Bucket, Class, Decision, Denial, Outcome, Permit, Rates, Request, Waiter},
    retry::{Budget, Effect, Plan, Step},
};
use std::{collections::BTreeMap, time::Duration};
use test_case::test_case;

fn route() -> RouteId {
    "draft".parse().unwrap()
}

fn team(number: usize) -> TeamId {
    format!("team-{number}").parse().unwrap()
}

fn request(number: usize, cost: u64, deadline: Instant) -> Request {
    Request {
        route: route(),
        team: team(number),
        weight: 1,
        class: Class::Live,
        cost: Tokens::new(cost),
        deadline,
    }
}

/// Number of steps of a randomized run; `CATKINLATCH_STEPS` overrides the default.
fn steps() -> usize {
    std::env::var("CATKINLATCH_STEPS").ok().and_then(|text| text.parse().ok()).unwrap_or(20_000)
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn every_request_gets_one_outcome(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let (slots, teams, allowed) = (8, 5, 3);
    let mut gate = Gate::new(Ratio::new(0.2));
    gate.set_slots(&route(), slots);
    let mut now = Instant::ZERO;
    for number in 0..teams {
        gate.set_concurrency(&team(number), Some(allowed), now);
    }
    let mut waiting: BTreeMap<Waiter, usize> = BTreeMap::new();
    let mut running: Vec<(usize, Permit)> = Vec::new();
    let (mut asked, mut settled) = (0, 0);
    for _ in 0..steps() {
        now += Duration::from_millis(random.u64(0..20));
        match random.u32(0..10) {
            0..5 => {
                let number = random.usize(0..teams);
                let deadline = now + Duration::from_millis(random.u64(100..5000));
                let mut admission_request = request(number, random.u64(1..2000), deadline);
                admission_request.class = random.choice([Class::Live, Class::Rollout]).unwrap();
                asked += 1;
                match gate.admit(&admission_request, now) {
                    Decision::Run(permit) => running.push((number, permit)),
                    Decision::Wait { waiter, .. } => {
                        assert!(waiting.insert(waiter, number).is_none());
                    }
                    Decision::Refuse(_) => settled += 1,
                }
            }
            5..8 if !running.is_empty() => {
                let (_, permit) = running.swap_remove(random.usize(0..running.len()));
                settled += 1;
                if random.bool() {
                    gate.finish(permit, Some(Tokens::new(random.u64(1..3000))), now);
                } else {
                    gate.cancel(permit);
                }
            }
            8 if !waiting.is_empty() => {
                let waiter = *waiting.keys().nth(random.usize(0..waiting.len())).unwrap();
                waiting.remove(&waiter);
                gate.abandon(waiter);
                settled += 1;
            }
            _ => {}
        }
        for outcome in gate.poll(&route(), now) {
            match outcome {
                Outcome::Run(waiter, permit) => {
                    running.push((waiting.remove(&waiter).unwrap(), permit));
                }
                Outcome::Refuse(waiter, _) => {
                    assert!(waiting.remove(&waiter).is_some());
                    settled += 1;
                }
            }
        }
        assert_eq!(asked, settled + waiting.len() + running.len());
        assert_eq!(gate.queued(), waiting.len());
        assert_eq!(gate.running(&route()) as usize, running.len());
        for number in 0..teams {
            let of_team = running.iter().filter(|(of, _)| *of == number).count();
            assert!(of_team <= allowed as usize);
        }
        let blocked = |n: &usize| running.iter().filter(|(of, _)| of == n).count() == 3;
        let idle = running.len() < slots as usize;
        assert!(!idle || waiting.values().all(blocked), "requests wait although a slot is free");
    }
}

/// Runs one slot under a constant backlog and returns the tokens that each team was served.
fn served(weights: &[f64], true_costs: &[u64]) -> Vec<u64> {
    let mut gate = Gate::new(Ratio::new(0.0));
    gate.set_slots(&route(), 1);
    let mut owners = BTreeMap::new();
    let mut served = vec![0; weights.len()];
    let end = Instant::from_millis(10_000_000);
    let mut running = None;
    for (number, weight) in weights.iter().enumerate() {
        gate.set_weight(&route(), &team(number), *weight);
        for _ in 0..5 {
            match gate.admit(&request(number, 100, end), Instant::ZERO) {
                Decision::Run(permit) => running = Some((number, permit)),
                Decision::Wait { waiter, .. } => drop(owners.insert(waiter, number)),
                Decision::Refuse(denial) => panic!("refused: {denial}"),
            }
        }
    }
    for _ in 0..6000 {
        let (number, permit) = running.take().unwrap();
        served[number] += true_costs[number];
        gate.finish(permit, Some(Tokens::new(true_costs[number])), Instant::ZERO);
        match gate.admit(&request(number, 100, end), Instant::ZERO) {
            Decision::Wait { waiter, .. } => drop(owners.insert(waiter, number)),
            other => panic!("a request behind a backlog must wait: {other:?}"),
        }
        for outcome in gate.poll(&route(), Instant::ZERO) {
            match outcome {
                Outcome::Run(waiter, permit) => running = Some((owners[&waiter], permit)),
                Outcome::Refuse(..) => panic!("no deadline is near"),
            }
        }
    }
    served
}

#[test]
fn shares_follow_weights() {
    let served = served(&[1.0, 1.0, 2.0], &[100, 100, 100]);
    let total: u64 = served.iter().sum();
    for (share, expected) in served.iter().zip([0.25, 0.25, 0.5]) {
        let share = *share as f64 / total as f64;
        assert!(
            (share / expected - 1.0).abs() < 0.05,
            "expected a share of {expected}, got {share}"
        );
    }
}

#[test]
fn shares_are_corrected_by_true_cost() {
    let served = served(&[1.0, 1.0], &[50, 500]);
    let share = served[0] as f64 / (served[0] + served[1]) as f64;
    assert!((share - 0.5).abs() < 0.025, "the share of the team with cheaper requests is {share}");
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_early() {
    let mut gate = Gate::new(Ratio::new(0.0));
    gate.set_slots(&route(), 1);
    let far = Instant::from_millis(1_000_000);
    let Decision::Run(permit) = gate.admit(&request(0, 100, far), Instant::ZERO) else {
        panic!("the slot is free");
    };
    gate.finish(permit, None, Instant::from_millis(1000));
    let now = Instant::from_millis(1000);
    let soon = now + Duration::from_millis(500);
    let refused = gate.admit(&request(0, 100, soon), now);
    assert!(matches!(refused, Decision::Refuse(Denial::TooLate { .. })), "{refused:?}");
}

#[test]
fn a_queue_is_bounded() {
    let mut gate = Gate::new(Ratio::new(0.0));
    gate.set_slots(&route(), 1);
    let far = Instant::from_millis(1_000_000);
    let first_refused = (0..300).find(|_| {
        let decision = gate.admit(&request(0, 1, far), Instant::ZERO);
        matches!(decision, Decision::Refuse(Denial::QueueFull { .. }))
    });
    assert_eq!(first_refused, Some(257));
}

#[test]
fn live_requests_go_first_but_rollouts_keep_their_floor() {
    let mut gate = Gate::new(Ratio::new(0.2));
    gate.set_slots(&route(), 1);
    let far = Instant::from_millis(1_000_000);
    let mut classes = BTreeMap::new();
    let mut running = None;
    for class in [Class::Live, Class::Rollout] {
        for _ in 0..200 {
            let admission_request = Request { class, ..request(0, 10, far) };
            match gate.admit(&admission_request, Instant::ZERO) {
                Decision::Run(permit) => running = Some(permit),
                Decision::Wait { waiter, .. } => drop(classes.insert(waiter, class)),
                Decision::Refuse(denial) => panic!("refused: {denial}"),
            }
        }
    }
    let mut rollouts = 0;
    for _ in 0..200 {
        gate.finish(running.take().unwrap(), None, Instant::ZERO);
        for outcome in gate.poll(&route(), Instant::ZERO) {
            let Outcome::Run(waiter, permit) = outcome else { panic!("no deadline is near") };
            rollouts += usize::from(classes[&waiter] == Class::Rollout);
            running = Some(permit);
        }
    }
    assert!((36..=44).contains(&rollouts), "{rollouts} of 200 starts were rollouts");
}

#[test]
fn rate_limits_apply_and_refill() {
    let mut gate = Gate::new(Ratio::new(0.0));
    gate.set_slots(&route(), 100);
    let rates = Rates { requests_per_minute: Some(60), tokens_per_minute: None };
    gate.set_rates(&team(0), rates, Ratio::new(1.0), Instant::ZERO);
    let far = Instant::from_millis(1_000_000);
    let mut admitted = 0;
    for second in 0..60 {
        for _ in 0..10 {
            match gate.admit(&request(0, 1, far), Instant::from_millis(second * 1000)) {
                Decision::Run(permit) => {
                    admitted += 1;
                    gate.finish(permit, None, Instant::from_millis(second * 1000));
                }
                Decision::Refuse(Denial::Requests { retry_after }) => {
                    assert!(retry_after <= Duration::from_secs(1));
                }
                other => panic!("only the rate limit applies: {other:?}"),
            }
        }
    }
    assert_eq!(admitted, 6 + 59);
}

#[test]
fn a_bucket_in_deficit_refills_first() {
    let mut bucket = Bucket::new(600.0, Instant::ZERO);
    bucket.take(10.0, Instant::ZERO).unwrap();
    bucket.correct(100.0);
    assert_eq!(bucket.take(10.0, Instant::ZERO), Err(Duration::from_secs(6)));
}

#[test]
fn retries_stay_within_the_budget() {
    let mut budget = Budget::new(Ratio::new(0.2), Instant::ZERO);
    let mut random = fastrand::Rng::with_seed(7);
    let mut retries = 0;
    for request in 0..10_000 {
        let now = Instant::from_millis(request);
        budget.earn(now);
        let mut plan = Plan::new(true, now + Duration::from_secs(60));
        while let Step::Retry(_) =
            plan.after_failure(Effect::MayHaveRun, &mut budget, now, &mut random)
        {
            retries += 1;
        }
    }
    let reserve = 5 + 5;
    assert!((1500..=2000 + reserve).contains(&retries), "{retries} retries of 10,000 first tries");
}

#[test_case(false, &[Effect::MayHaveRun], false)]
#[test_case(false, &[Effect::Unsent], true)]
#[test_case(false, &[Effect::MayHaveRun, Effect::Unsent], false)]
#[test_case(true, &[Effect::MayHaveRun], true)]
fn only_requests_safe_to_repeat_are_retried(idempotent: bool, effects: &[Effect], retried: bool) {
    let mut budget = Budget::new(Ratio::new(50.0), Instant::ZERO);
    let mut random = fastrand::Rng::with_seed(7);
    let mut plan = Plan::new(idempotent, Instant::from_millis(10_000));
    let last =
        effects.iter().map(|e| plan.after_failure(*e, &mut budget, Instant::ZERO, &mut random));
    assert_eq!(matches!(last.last(), Some(Step::Retry(_))), retried);
}
