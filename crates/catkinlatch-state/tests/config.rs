//! Tests of configuration changes.

use catkinlatch_base::{RequestId, Revision};
use catkinlatch_state::config::{
    Change, Config, Edit, Key, Kind, MAX_REPLIES, Model, Reply, Route, Secret, Team, Trainer, Zone,
};
use std::str::FromStr;
use test_case::test_case;

fn id<T: FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("the id {text:?} is valid"))
}

fn change(request: &str, base: Option<u64>, edits: Vec<Edit>) -> Change {
    Change { request: id(request), base: base.map(Revision::new), edits }
}

fn team(name: &str) -> Edit {
    Edit::PutTeam(Team::new(id(name)))
}

fn key(name: &str, owner: &str, byte: u8) -> Edit {
    Edit::PutKey(Key::new(id(owner), &Secret::from_bytes(id(name), [byte; 32])))
}

fn accepted(revision: u64) -> Reply {
    Reply::Accepted { revision: Revision::new(revision) }
}

/// Returns a configuration at revision 1 with a team, a key, a model, two routes and a trainer.
fn filled() -> Config {
    let mut config = Config::default();
    let edits = vec![
        team("harbour"),
        key("k1", "harbour", 1),
        Edit::PutModel(Model::new(id("draft")).with_trainer(id("t1"))),
        Edit::PutRoute(Route::new(id("draft"), Kind::Model(id("draft")))),
        Edit::PutRoute(Route::new(id("lookup"), Kind::Service)),
        Edit::PutTrainer(Trainer::new(id("t1"), id("harbour"), id("draft"), 8)),
    ];
    let reply = config.apply(&change("first", None, edits), Revision::new(1));
    assert_eq!(reply, accepted(1));
    config
}

#[test_case(key("k2", "nobody", 2), "key k2", "team"; "key of an unknown team")]
#[test_case(key("k1", "harbour", 2), "key k1", "id"; "key id in force with another secret")]
#[test_case(Edit::WithdrawKey(id("k9")), "key k9", "id"; "withdrawal of an unknown key")]
#[test_case(Edit::DropTeam(id("harbour")), "trainer t1", "team"; "team of a trainer dropped")]
#[test_case(Edit::DropModel(id("draft")), "route draft", "model"; "model of a route dropped")]
#[test_case(Edit::PutModel(Model::new(id("m")).with_trainer(id("t1"))), "model m", "trainer"; "two models of a trainer")]
#[test_case(Edit::PutModel(Model::new(id("m")).with_zones(vec![id("z")])), "model m", "zones"; "unknown zone")]
#[test_case(Edit::PutTrainer(Trainer::new(id("t2"), id("harbour"), id("draft"), 0)), "trainer t2", "batch_samples"; "empty batches")]
#[test_case(Edit::PutTrainer(Trainer { scorer: Some(id("draft")), ..Trainer::new(id("t2"), id("harbour"), id("draft"), 8) }), "trainer t2", "scorer"; "scorer that is a model")]
#[test_case(Edit::PutRoute(Route::new(id("r"), Kind::Service).with_deadline_ms(0)), "route r", "deadline_ms"; "no time")]
fn faulty_change_changes_nothing(edit: Edit, subject: &str, field: &str) {
    let mut config = filled();
    let before = config.tables().clone();
    let edits = vec![team("other"), edit];
    let Reply::Invalid { faults } = config.apply(&change("r2", None, edits), Revision::new(2))
    else {
        panic!("the change is faulty");
    };
    let found = faults.iter().any(|f| f.subject.to_string() == subject && f.field == field);
    assert!(found, "{faults:#?}");
    assert_eq!((config.revision(), config.tables()), (Revision::new(1), &before));
}

#[test]
fn all_faults_are_reported_together() {
    let edits = vec![key("a", "x", 1), key("b", "y", 1), key("b", "y", 1)];
    let reply = Config::default().apply(&change("r", None, edits), Revision::new(1));
    let Reply::Invalid { faults } = reply else { panic!("the change is faulty") };
    assert_eq!(faults.len(), 3, "{faults:#?}");
}

#[test]
fn conflict_names_the_winner_and_is_repeated_on_resend() {
    let mut config = filled();
    let (one, two) =
        (change("one", Some(1), vec![team("a")]), change("two", Some(1), vec![team("b")]));
    assert_eq!(config.apply(&one, Revision::new(2)), accepted(2));
    let conflict = Reply::Conflict { winner: Some(id("one")), revision: Revision::new(2) };
    assert_eq!(config.apply(&two, Revision::new(3)), conflict);
    assert_eq!(config.apply(&change("three", Some(2), vec![]), Revision::new(4)), accepted(4));
    assert_eq!(config.apply(&one, Revision::new(5)), accepted(2));
    assert_eq!(config.apply(&two, Revision::new(6)), conflict);
    assert_eq!(config.revision(), Revision::new(4));
}

#[test]
fn reused_request_id_changes_nothing() {
    let mut config = filled();
    let reply = config.apply(&change("first", None, vec![team("a")]), Revision::new(2));
    assert_eq!(reply, Reply::RequestReused { request: id("first") });
    assert_eq!(config.revision(), Revision::new(1));
}

#[test]
fn resent_change_does_not_restore_a_withdrawn_key() {
    let mut config = filled();
    let new_key = change("new", None, vec![key("k2", "harbour", 2)]);
    let withdraw = change("withdraw", None, vec![Edit::WithdrawKey(id("k2"))]);
    assert_eq!(config.apply(&new_key, Revision::new(2)), accepted(2));
    assert_eq!(config.apply(&withdraw, Revision::new(3)), accepted(3));
    assert_eq!(config.apply(&new_key, Revision::new(4)), accepted(2));
    let secret = Secret::from_bytes(id("k2"), [2; 32]);
    assert_eq!(config.authenticate(&secret.reveal()), None);
}

#[test]
fn replies_are_retained_up_to_the_maximum() {
    let mut config = filled();
    let empty = |n: usize| change(&format!("r{n}"), None, vec![]);
    for n in 0..MAX_REPLIES {
        config.apply(&empty(n), Revision::new(n as u64 + 2));
    }
    let next = Revision::new(9_999);
    assert_eq!(config.apply(&empty(0), next), accepted(2));
    assert_eq!(config.apply(&change("first", None, vec![]), next), accepted(9_999));
    let request: RequestId = id("r0");
    assert_eq!(config.apply(&change(request.as_str(), None, vec![]), next), accepted(9_999));
}

#[test]
fn zones_of_a_model_are_those_in_use() {
    let mut config = filled();
    let edits = vec![
        Edit::PutZone(Zone::new(id("z1"))),
        Edit::PutZone(Zone::new(id("z2")).with_in_use(false)),
    ];
    let model = Model::new(id("m"));
    assert_eq!(config.tables().zones_of(&model), None);
    config.apply(&change("zones", None, edits), Revision::new(2));
    assert_eq!(config.tables().zones_of(&model), Some(vec![&id("z1")]));
    let only_z2 = model.with_zones(vec![id("z2")]);
    assert_eq!(config.tables().zones_of(&only_z2), Some(vec![]));
}

#[test]
fn key_id_with_another_secret_is_refused() {
    let config = filled();
    let own = Secret::from_bytes(id("k1"), [1; 32]);
    let other = Secret::from_bytes(id("k1"), [2; 32]);
    assert_eq!(config.authenticate(&own.reveal()), Some((&id("k1"), &id("harbour"))));
    assert_eq!(config.authenticate(&other.reveal()), None);
}
