//! Targets whose connections behave in ways that an HTTP library would not show.

use super::{Setup, ok, wait_until};
use catkinlatch_standin::site::{
    Target,
    raw::{self, Manner, Seen},
};
use http::StatusCode;
use std::sync::{Arc, atomic::Ordering};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

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

/// Guards against a success without its body, from a target that stopped in the head of its answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_whose_head_ends_early_is_no_success() {
    let setup = Setup::start().await;
    let seen = start(&setup, Manner::CutHead).await;
    wait_until("the target is used", || async {
        setup.request(0, "POST", "/survey/1", "first", "").await;
        seen.answers.load(Ordering::Relaxed) > 0
    })
    .await;
    let (mut served, mut failed) = (0, 0);
    for number in 0..40 {
        let id = format!("once-{number}");
        let answer = setup.request(number % 2, "POST", "/file/1", &id, "").await.unwrap();
        match answer.status() {
            StatusCode::OK => {
                assert_eq!(answer.body(), &format!("answer to {id}"));
                served += 1;
            }
            status => {
                assert_eq!((status, seen.runs(&id)), (StatusCode::BAD_GATEWAY, 1), "{id}");
                failed += 1;
            }
        }
        assert!(setup.service.runs(&id) + seen.runs(&id) as usize == 1, "{id} ran twice");
        let id = format!("again-{number}");
        let answer = setup.request(number % 2, "POST", "/survey/1", &id, "").await.unwrap();
        assert_eq!(answer.body(), &format!("answer to {id}"));
    }
    assert!(served > 0 && failed > 0, "{served} served, {failed} failed");
}

/// Guards against a length for an answer that ends with its connection, which may have been cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_ends_with_its_connection_is_passed_on_as_one() {
    let setup = Setup::start().await;
    let seen = start(&setup, Manner::NoLength).await;
    let address = setup.site.entries()[0].address(setup.site.ports.callers);
    let (mut ended, mut number) = (0, 0);
    while ended < 5 {
        number += 1;
        let id = format!("raw-{number}");
        let mut caller = TcpStream::connect(&address).await.unwrap();
        let request = format!(
            "POST /survey/1 HTTP/1.1\r\nhost: site.example\r\nx-api-key: key-of-the-team\r\n\
             attempt-id: {id}\r\ndeadline-ms: 2000\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
        );
        caller.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        caller.read_to_string(&mut answer).await.unwrap();
        assert!(answer.ends_with(&format!("answer to {id} ")) || seen.runs(&id) == 0, "{answer}");
        if seen.runs(&id) > 0 {
            ended += 1;
            let head = answer.split("\r\n\r\n").next().unwrap().to_lowercase();
            assert!(!head.contains("content-length"), "{answer}");
            assert!(!head.contains("transfer-encoding"), "{answer}");
        }
        assert!(number < 500, "the target is not used");
    }
}
