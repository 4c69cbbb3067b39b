//! Tests the order dispatcher under leader changes, process pauses, and receivers that
//! answer late, more than once or not at all.

use catkinlatch_base::{Instant, OrderId, TargetId, Term};
use catkinlatch_fleet::{
    Lease,
    order::{Denial, Dispatcher, InquiryOutcome, Outcome, Permit, Step, Timing},
};
use catkinlatch_state::order::{Action, Change, Orders, Reply, Stage};
use std::time::Duration;

fn id(text: &str) -> OrderId {
    text.parse().expect("the id is valid")
}

fn stop() -> Action {
    Action::Stop { target: "engine-1".parse::<TargetId>().expect("the id is valid") }
}

fn lease(term: u64, since: Instant, until: Instant) -> Lease {
    Lease { term: Term::new(term), since, until }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Commits changes until the dispatcher returns another kind of step.
fn drive(dispatcher: &mut Dispatcher, held: Lease, orders: &mut Orders, now: Instant) -> Step {
    loop {
        match dispatcher.next(Some(held), orders, now, now.as_millis()) {
            Step::Commit(change) => {
                let applied = orders.apply(&change) == Reply::Done;
                dispatcher.committed(&change, applied, now);
            }
            step => return step,
        }
    }
}

fn first_permit(
    dispatcher: &mut Dispatcher,
    held: Lease,
    orders: &mut Orders,
    now: Instant,
) -> Permit {
    dispatcher.submit(id("a"), stop());
    match drive(dispatcher, held, orders, now) {
        Step::Send(permit) => permit,
        step => panic!("expected a send, got {step:?}"),
    }
}

#[test]
fn intent_is_committed_before_the_order_is_sent() {
    let (mut dispatcher, orders) = (Dispatcher::new(Timing::default()), Orders::default());
    dispatcher.submit(id("a"), stop());
    let held = lease(1, at(0), at(2_000));
    let step = dispatcher.next(Some(held), &orders, at(0), 0);
    assert!(matches!(step, Step::Commit(Change::Intend { .. })));
    assert_eq!(dispatcher.next(Some(held), &orders, at(0), 0), Step::Idle);
}

#[test]
fn order_waits_for_a_lease_that_covers_its_deadline() {
    let (mut dispatcher, mut orders) = (Dispatcher::new(Timing::default()), Orders::default());
    dispatcher.submit(id("a"), stop());
    let step = drive(&mut dispatcher, lease(1, at(0), at(499)), &mut orders, at(0));
    assert!(matches!(step, Step::Wait(_)), "{step:?}");
    let step = drive(&mut dispatcher, lease(1, at(0), at(500)), &mut orders, at(0));
    assert!(matches!(step, Step::Send(_)), "{step:?}");
}

#[test]
fn permit_is_void_after_a_pause_longer_than_the_lease() {
    let (mut dispatcher, mut orders) = (Dispatcher::new(Timing::default()), Orders::default());
    let held = lease(1, at(0), at(2_000));
    let permit = first_permit(&mut dispatcher, held, &mut orders, at(0));
    assert_eq!(permit.check(Some(held), at(10)), Ok(()));
    assert_eq!(permit.check(Some(held), at(500)), Err(Denial::Late));
    assert_eq!(permit.check(Some(held), at(60_000)), Err(Denial::Late));
    assert_eq!(permit.check(None, at(10)), Err(Denial::LeaseLost));
    assert_eq!(permit.check(Some(lease(2, at(0), at(2_000))), at(10)), Err(Denial::LeaseLost));
    assert_eq!(permit.check(Some(lease(1, at(0), at(400))), at(10)), Err(Denial::LeaseShort));
}

#[test]
fn new_leader_is_quiet_until_old_orders_have_timed_out() {
    let (timing, mut orders) = (Timing::default(), Orders::default());
    first_permit(&mut Dispatcher::new(timing), lease(1, at(0), at(2_000)), &mut orders, at(0));
    let mut dispatcher = Dispatcher::new(timing);
    let held = lease(2, at(100), at(60_000));
    let quiet_until = at(100) + timing.longest_lease + timing.deadline;
    assert_eq!(drive(&mut dispatcher, held, &mut orders, at(100)), Step::Wait(quiet_until));
    let before = Instant::from_nanos(quiet_until.as_nanos() - 1);
    assert_eq!(drive(&mut dispatcher, held, &mut orders, before), Step::Wait(quiet_until));
    let step = drive(&mut dispatcher, held, &mut orders, quiet_until);
    assert_eq!(step, Step::Inquire { id: id("a"), action: stop() });
}

#[test]
fn two_leaders_in_turn_within_a_second_send_nothing() {
    let (timing, mut orders) = (Timing::default(), Orders::default());
    first_permit(&mut Dispatcher::new(timing), lease(1, at(0), at(2_000)), &mut orders, at(0));
    for (term, since) in [(2, 300), (3, 900)] {
        let mut dispatcher = Dispatcher::new(timing);
        dispatcher.submit(id("b"), stop());
        let step =
            drive(&mut dispatcher, lease(term, at(since), at(9_000)), &mut orders, at(1_000));
        assert_eq!(step, Step::Wait(at(since) + timing.quiet_period()));
    }
    assert_eq!(orders.list().len(), 1);
}

#[test]
fn absent_order_is_sent_again_under_the_same_id_and_the_new_fence() {
    let (timing, mut orders) = (Timing::default(), Orders::default());
    first_permit(&mut Dispatcher::new(timing), lease(1, at(0), at(2_000)), &mut orders, at(0));
    let mut dispatcher = Dispatcher::new(timing);
    let held = lease(2, at(0), at(60_000));
    drive(&mut dispatcher, held, &mut orders, at(3_000));
    dispatcher.inquired(&id("a"), InquiryOutcome::Absent, at(3_000));
    let Step::Send(permit) = drive(&mut dispatcher, held, &mut orders, at(3_000)) else {
        panic!("the order is sent again")
    };
    assert_eq!((permit.id, permit.fence), (id("a"), Term::new(2)));
    assert_eq!(orders.list()[&id("a")].term, Term::new(2));
}

#[test]
fn order_that_is_never_answered_becomes_unknown_and_not_failed() {
    let (mut dispatcher, mut orders) = (Dispatcher::new(Timing::default()), Orders::default());
    let held = lease(1, at(0), at(600_000));
    let permit = first_permit(&mut dispatcher, held, &mut orders, at(0));
    dispatcher.sent(&permit, Outcome::NoAnswer, at(500));
    let mut now = at(500);
    while orders.list()[&id("a")].stage == Stage::Intended {
        assert!(now < at(60_000), "the order is settled within a minute");
        now += Duration::from_millis(100);
        match drive(&mut dispatcher, held, &mut orders, now) {
            Step::Inquire { id, .. } => dispatcher.inquired(&id, InquiryOutcome::NoAnswer, now),
            Step::Send(permit) => dispatcher.sent(&permit, Outcome::NoAnswer, now),
            Step::Wait(_) | Step::Idle | Step::StandDown | Step::Commit(_) => {}
        }
    }
    assert_eq!(orders.list()[&id("a")].stage, Stage::Unknown);
}

#[test]
fn order_that_never_left_is_failed() {
    let (mut dispatcher, mut orders) = (Dispatcher::new(Timing::default()), Orders::default());
    let held = lease(1, at(0), at(600_000));
    let mut now = at(0);
    dispatcher.submit(id("a"), stop());
    for _ in 0..100 {
        if let Step::Send(permit) = drive(&mut dispatcher, held, &mut orders, now) {
            dispatcher.sent(&permit, Outcome::NotSent, now);
        }
        now += Duration::from_millis(100);
    }
    assert_eq!(orders.list()[&id("a")].stage, Stage::Failed);
}

#[test]
fn second_answer_does_not_change_a_settled_order() {
    let (mut dispatcher, mut orders) = (Dispatcher::new(Timing::default()), Orders::default());
    let held = lease(1, at(0), at(600_000));
    let permit = first_permit(&mut dispatcher, held, &mut orders, at(0));
    dispatcher.sent(&permit, Outcome::Done { target: None }, at(5));
    drive(&mut dispatcher, held, &mut orders, at(5));
    dispatcher.sent(&permit, Outcome::Refused, at(6));
    assert_eq!(drive(&mut dispatcher, held, &mut orders, at(6)), Step::Idle);
    assert_eq!(orders.list()[&id("a")].stage, Stage::Done);
}

#[test]
fn lost_lease_drops_what_was_submitted() {
    let (mut dispatcher, mut orders) = (Dispatcher::new(Timing::default()), Orders::default());
    dispatcher.submit(id("a"), stop());
    assert_eq!(dispatcher.next(None, &orders, at(0), 0), Step::StandDown);
    assert!(!dispatcher.holds(&id("a")));
    assert_eq!(drive(&mut dispatcher, lease(1, at(0), at(2_000)), &mut orders, at(0)), Step::Idle);
}
