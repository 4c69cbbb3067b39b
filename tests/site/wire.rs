//! Targets whose connections behave in ways that an HTTP library would not show.

use super::{Setup, ok, wait_until};
use catkinlatch_standin::site::{
    Target,
    raw::{self, Manner, Seen},
};
use http::StatusCode;
use std::sync::{Arc, atomic::Ordering};
use test_case::test_case;

/// Starts a target with a manner and announces it.
async fn start(setup: &Setup, manner: Manner) -> Arc<Seen> {
    let (address, seen) = raw::start(manner, "attempt-id").await.unwrap();
    let controls: Vec<String> =
        setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect();
    let target = Target::new("survey-raw", "survey", address, 6);
    tokio::spawn(target.announce(controls, || serde_json::json!([])));
    seen
}

#[test_case(Manner::ExtraAnswer)]
#[test_case(Manner::LateExtraAnswer)]
#[test_case(Manner::LateCopy)]
#[test_case(Manner::NoLength)]
#[test_case(Manner::ResetWithoutLength)]
#[test_case(Manner::DropsIdle)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_get_their_own_whole_answers_beside_a_target_that(manner: Manner) {
    let setup = Setup::start().await;
    let seen = start(&setup, manner).await;
    wait_until("the target is used", || async {
        setup.request(0, "POST", "/survey/1", "first", "").await;
        seen.answers.load(Ordering::Relaxed) > 0
    })
    .await;
    for number in 0..60 {
        let (id, body) = (format!("own-{number}"), format!("body {number}"));
        let answer = setup.request(number % 2, "POST", "/survey/1", &id, &body).await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK, "{id}");
        let text = String::from_utf8_lossy(answer.body());
        assert!(
            [format!("answer to {id}"), format!("answer to {id} {body}")].contains(&text.into())
        );
        assert_eq!(answer.headers()["server-seal"], format!("seal-of-{id}"));
    }
    assert_eq!(seen.malformed.load(Ordering::Relaxed), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_rest_of_a_body_that_was_refused_early_is_not_replaced_by_another_request() {
    let setup = Setup::start().await;
    let seen = start(&setup, Manner::EarlyRefusal).await;
    let long = "x".repeat(900_000);
    wait_until("the target refused a long body", || async {
        let answer = setup.request(0, "POST", "/survey/1", "long", &long).await;
        assert!(answer.is_some_and(ok), "the other target serves it");
        seen.refusals.load(Ordering::Relaxed) > 2
    })
    .await;
    for number in 0..40 {
        let (id, body) = (format!("short-{number}"), format!("body {number}"));
        assert!(setup.request(0, "POST", "/survey/1", &id, &body).await.is_some_and(ok));
    }
    assert!(seen.answers.load(Ordering::Relaxed) > 0);
    assert_eq!(seen.malformed.load(Ordering::Relaxed), 0);
}

/// Guards against a request that is said not to have run, or runs again, since a copy of its refusal
/// came after it was sent once more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_copy_of_a_refusal_is_not_the_answer_to_the_next_try() {
    let setup = Setup::start().await;
    setup.service.is_full.store(true, Ordering::Relaxed);
    let seen = start(&setup, Manner::LateCopyOfRefusal).await;
    wait_until("the target is used", || async {
        setup.request(0, "POST", "/survey/1", "first", "").await;
        seen.answers.load(Ordering::Relaxed) > 0
    })
    .await;
    let mut served = 0;
    for number in 0..20 {
        let id = format!("once-{number}");
        let answer = setup.request(number % 2, "POST", "/file/1", &id, "").await.unwrap();
        let is_served = answer.status() == StatusCode::OK;
        served += u32::from(is_served);
        assert_eq!(seen.runs(&id), u32::from(is_served), "{id}: {}", answer.status());
    }
    assert!(served > 0);
}
