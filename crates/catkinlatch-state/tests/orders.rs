//! Tests of orders in the replicated state: fencing tokens, settlement and bounds.

use catkinlatch_base::{OrderId, Term, Version};
use catkinlatch_state::order::{
    Action, Change, MAX_OPEN_ORDERS, MAX_SETTLED_ORDERS, Orders, Reply, Stage,
};

fn id(number: usize) -> OrderId {
    format!("order-{number}").parse().expect("the id is valid")
}

fn intend(number: usize, term: u64) -> Change {
    let action = Action::Stop { target: "engine-1".parse().expect("the id is valid") };
    Change::Intend { id: id(number), action, term: Term::new(term), at_ms: 0 }
}

fn settle(number: usize, stage: Stage) -> Change {
    Change::Settle { id: id(number), stage, target: None, at_ms: 1 }
}

#[test]
fn older_leader_commits_no_intent() {
    let mut orders = Orders::default();
    assert_eq!(orders.apply(&intend(1, 5)), Reply::Done);
    assert_eq!(orders.apply(&intend(2, 4)), Reply::Superseded);
    let adopt = Change::Adopt { id: id(1), term: Term::new(4) };
    assert_eq!(orders.apply(&adopt), Reply::Superseded);
    assert_eq!(orders.list().len(), 1);
}

#[test]
fn settled_order_is_final_unless_its_outcome_is_unknown() {
    let mut orders = Orders::default();
    orders.apply(&intend(1, 1));
    assert_eq!(orders.apply(&settle(1, Stage::Unknown)), Reply::Done);
    assert_eq!(orders.apply(&settle(1, Stage::Done)), Reply::Done);
    assert!(matches!(orders.apply(&settle(1, Stage::Failed)), Reply::Exists(_)));
    assert_eq!(orders.list()[&id(1)].stage, Stage::Done);
}

#[test]
fn open_and_settled_orders_are_bounded() {
    let mut orders = Orders::default();
    for number in 0..MAX_SETTLED_ORDERS + 10 {
        orders.apply(&intend(number, 1));
        orders.apply(&settle(number, Stage::Done));
    }
    assert_eq!(orders.list().len(), MAX_SETTLED_ORDERS);
    assert!(!orders.list().contains_key(&id(9)));
    let first = MAX_SETTLED_ORDERS + 10;
    for number in first..first + MAX_OPEN_ORDERS {
        assert_eq!(orders.apply(&intend(number, 1)), Reply::Done);
    }
    assert_eq!(orders.apply(&intend(first + MAX_OPEN_ORDERS, 1)), Reply::Full);
}

fn load(number: usize, version: u64) -> Change {
    let action = Action::LoadVersion {
        target: "engine-1".parse().expect("the id is valid"),
        model: "draft".parse().expect("the id is valid"),
        version: Version::new(version),
        source: None,
    };
    Change::Intend { id: id(number), action, term: Term::new(1), at_ms: 7 }
}

#[test]
fn newer_load_settles_an_open_one_so_that_no_leader_resends_it() {
    let mut orders = Orders::default();
    orders.apply(&load(1, 4));
    orders.apply(&intend(2, 1));
    orders.apply(&load(3, 5));
    let open: Vec<&OrderId> = orders.open().map(|(id, _)| id).collect();
    assert_eq!(open, [&id(2), &id(3)]);
    assert_eq!(orders.list()[&id(1)].stage, Stage::Unknown);
    assert_eq!(orders.apply(&settle(1, Stage::Done)), Reply::Done);
}
