//! Items whose runs break off, or are slow.

use super::{Setup, check, check_events};
use catkinlatch_standin::site::Engine;
use http::StatusCode;
use serde_json::{Value, json};
use std::{ops::RangeInclusive, time::Duration};
use test_case::test_case;

/// Guards against items that are never completed, since each run of them is given up as late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_are_completed_when_all_engines_are_slow() {
    let setup = Setup::start().await;
    for engine in &setup.engines {
        let mut state = engine.state();
        (state.events, state.event_time) = (2, Duration::from_millis(2_000));
    }
    setup.submit("job-1", 1, 4).await;
    check_events(&setup.results(0, "job-1", 4).await, &[1], 2);
}

/// Guards against an item that is run again although it can never be done, and against others that
/// fail with it.
#[test_case(StatusCode::UNPROCESSABLE_ENTITY, 1..=1; "never possible")]
#[test_case(StatusCode::INTERNAL_SERVER_ERROR, 2..=5; "failed")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_item_that_fails_for_good_is_lost_and_the_others_complete(
    status: StatusCode,
    expected: RangeInclusive<usize>,
) {
    let setup = Setup::start().await;
    let failing = "job-1-1";
    for engine in &setup.engines {
        engine.state().statuses.insert(failing.to_owned(), status);
    }
    setup.submit("job-1", 1, 4).await;
    let results = setup.results(0, "job-1", 4).await;
    let (lost, completed): (Vec<Value>, Vec<Value>) =
        results.into_iter().partition(|result| result["id"] == failing);
    check(&completed, &[1]);
    assert_eq!((completed.len(), &lost[0]["state"]), (3, &json!("lost")));
    let runs = |engine: &Engine| engine.state().runs.get(failing).map_or(0, Vec::len);
    let runs: usize = setup.engines.iter().map(runs).sum();
    assert!(expected.contains(&runs), "{runs} runs");
}
