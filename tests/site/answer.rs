//! Answers of targets that are not the request's own whole answer.

use super::{Setup, wait_until};
use catkinlatch_standin::site::{Flaw, Service};
use http::StatusCode;
use test_case::test_case;

/// How many answers are spoiled: more than there are attempts at a request.
const MANY: u32 = 100;

#[test_case(Flaw::OfAnotherRequest, StatusCode::BAD_GATEWAY)]
#[test_case(Flaw::Unsigned, StatusCode::BAD_GATEWAY)]
#[test_case(Flaw::CutShort, StatusCode::BAD_GATEWAY)]
#[test_case(Flaw::Anonymous, StatusCode::BAD_GATEWAY)]
#[test_case(Flaw::Failure, StatusCode::INTERNAL_SERVER_ERROR)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_spoiled_answer_is_never_passed_on_as_a_success(flaw: Flaw, status: StatusCode) {
    let setup = Setup::start().await;
    setup.service.spoil(flaw, MANY);
    let answer = setup.request(0, "POST", "/survey/1", "spoiled", "one").await.unwrap();
    assert_eq!(answer.status(), status);
    assert!(setup.service.runs("spoiled") > 0);

    // Another target gives the request its own whole answer.
    let controls =
        setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect();
    let _second = Service::start("survey-2", "survey", controls).await.unwrap();
    wait_until("the request is answered by the other target", || async {
        let answer = setup.request(1, "POST", "/survey/1", "whole", "two").await;
        answer.is_some_and(|answer| {
            let is_own = answer.body() == "answer to whole"
                && answer.headers()["server-seal"] == "seal-of-whole";
            assert!(is_own || answer.status() != StatusCode::OK, "{answer:?}");
            answer.status() == StatusCode::OK
        })
    })
    .await;
}
