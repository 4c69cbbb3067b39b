//! Nodes whose targets' connections behave in ways that an HTTP library would not show.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use bytes::Bytes;
use catkinlatch_node::{Server, Settings, entry::REQUEST_ID};
use catkinlatch_route::{Announcement, target::Role};
use catkinlatch_standin::{
    announce,
    client::Client,
    service::boot_id,
    site::raw::{self, Manner, Seen},
};
use catkinlatch_state::config::{Change, Edit, Key, Kind, Route, Secret, Team};
use http::{Method, Response, StatusCode};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use test_case::test_case;
use tokio::{task::JoinHandle, time};

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

/// One node with one target.
struct Setup {
    server: Server,
    caller: Client,
    seen: Arc<Seen>,
    announcing: JoinHandle<()>,
}

impl Setup {
    async fn start(manner: Manner, is_idempotent: bool) -> Self {
        let server = Server::start(Settings::loopback(id("host-1"), id("zone-1"))).await.unwrap();
        let secret = Secret::generate_insecure(id("key-1"), &mut fastrand::Rng::with_seed(1));
        let edits = vec![
            Edit::PutTeam(Team::new(id("surveyors"))),
            Edit::PutKey(Key::new(id("surveyors"), &secret)),
            Edit::PutRoute(Route::new(id("survey"), Kind::Service).with_idempotent(is_idempotent)),
        ];
        let change = Change { request: id("setup"), base: None, edits };
        let operator = Client::new(server.operator_address());
        let changed = async {
            while !operator
                .post("/v1/config/changes", &change)
                .await
                .is_ok_and(|answer| answer.status().is_success())
            {
                time::sleep(Duration::from_millis(50)).await;
            }
        };
        time::timeout(Duration::from_secs(30), changed).await.unwrap();
        let (address, seen) = raw::start(manner, REQUEST_ID).await.unwrap();
        let announcement = Announcement {
            id: id("survey-raw"),
            boot: boot_id(),
            role: Role::Service { route: id("survey") },
            zone: id("zone-1"),
            address: address.to_string(),
            slots: 8,
            price_class: "full".to_owned(),
            checks_fencing: false,
        };
        let nodes = [server.address()];
        announce::announce(&nodes, &announcement).await;
        let announcing = tokio::spawn(async move {
            loop {
                time::sleep(announce::INTERVAL).await;
                announce::announce(&nodes, &announcement).await;
            }
        });
        let caller = Client::new(server.address()).with_key(secret.reveal());
        Self { server, caller, seen, announcing }
    }

    async fn send(&self, request: &str, body: &str) -> Response<Bytes> {
        let (path, headers) = ("/v1/services/survey/records/7", [(REQUEST_ID, request)]);
        let body = Bytes::copy_from_slice(body.as_bytes());
        let sent = self.caller.send(Method::POST, path, &headers, body);
        time::timeout(Duration::from_secs(30), sent).await.unwrap().unwrap()
    }

    async fn stop(self) {
        self.announcing.abort();
        self.server.stop().await.unwrap();
    }
}

#[test_case(Manner::ExtraAnswer)]
#[test_case(Manner::LateExtraAnswer)]
#[test_case(Manner::LateCopy)]
#[test_case(Manner::NoLength)]
#[test_case(Manner::DropsIdle)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_get_their_own_whole_answers_beside_a_target_that(manner: Manner) {
    let setup = Setup::start(manner, true).await;
    let mut served = 0;
    for number in 0..40 {
        let (id, body) = (format!("own-{number}"), format!("body {number}"));
        let answer = setup.send(&id, &body).await;
        if answer.status() == StatusCode::OK {
            served += 1;
            assert_eq!(answer.body(), &format!("answer to {id} {body}"));
        }
    }
    assert!(served >= 20, "{served}");
    assert_eq!(setup.seen.malformed.load(Ordering::Relaxed), 0);
    setup.stop().await;
}

/// Guards against callers who chose the same id and get each other's answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_copy_of_an_answer_is_not_the_answer_to_another_request_of_the_same_id() {
    let setup = Setup::start(Manner::LateCopy, false).await;
    for number in 0..10 {
        let body = format!("body {number}");
        let answer = setup.send("same", &body).await;
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(answer.body(), &format!("answer to same {body}"));
    }
    setup.stop().await;
}

/// Guards against a request that takes the place of the unread rest of another one's body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_rest_of_a_body_that_was_refused_early_is_not_replaced_by_another_request() {
    let setup = Setup::start(Manner::EarlyRefusal, false).await;
    let long = "x".repeat(500_000);
    for number in 0..10 {
        setup.send(&format!("long-{number}"), &long).await;
        let (id, body) = (format!("short-{number}"), format!("body {number}"));
        let answer = setup.send(&id, &body).await;
        assert_eq!(answer.body(), &format!("answer to {id} {body}"));
    }
    assert!(setup.seen.refusals.load(Ordering::Relaxed) > 0);
    assert_eq!(setup.seen.malformed.load(Ordering::Relaxed), 0);
    setup.stop().await;
}
