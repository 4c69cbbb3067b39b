//! Requests that crash the targets which run them.

use super::{Setup, check, job, ok, wait_until};
use catkinlatch_standin::site::{CRASHING_BODY, SILENCING_BODY, Service};
use http::{StatusCode, header};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::{task::JoinSet, time};

/// The number of targets that a request may crash before it is refused, as the platform has it.
const MAX_CRASHES: usize = 3;

/// The number of engines that an item may crash before it is run only every three seconds.
const MAX_ITEM_CRASHES: usize = 4;

/// The shortest pause between later runs of such an item, in seconds.
const ITEM_PAUSE_S: usize = 3;

/// Number of engines that crash by chance under a sound item.
const CHANCE_CRASHES: usize = 6;

/// The time in which an item is completed once engines have stopped crashing: it is at no engine for
/// less than 5 s, and runs for two.
const OWED_WITHIN: Duration = Duration::from_secs(9);

/// [`CRASHING_BODY`] in base64.
const ENCODED_CRASHING_BODY: &str = "Y3Jhc2g=";

/// Pause between two calls, in which the entry hosts learn what the other has seen.
const PAUSE: Duration = Duration::from_millis(150);

/// Starts further targets beside that of the setup, and waits until all of them serve.
async fn start_services(setup: &Setup) -> Vec<Service> {
    let controls = || -> Vec<String> {
        setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect()
    };
    let mut services = vec![setup.service.clone()];
    for id in ["survey-2", "survey-3"] {
        services.push(Service::start(id, "survey", controls()).await.unwrap());
    }
    wait_until("all targets serve", || async {
        setup.request(0, "POST", "/survey/1", "warm-up", "").await;
        setup.request(1, "POST", "/survey/1", "warm-up", "").await;
        services.iter().all(|service| service.runs("warm-up") > 0)
    })
    .await;
    services
}

fn crashes(services: &[Service]) -> usize {
    services.iter().map(|service| service.crashes().len()).sum()
}

/// Sends a crashing request `count` times to the entry hosts in turn; returns the last answer.
async fn send_crashing(
    setup: &Setup,
    count: usize,
    body: &str,
) -> Option<http::Response<bytes::Bytes>> {
    let mut last = None;
    for number in 0..count {
        let id = format!("{body}-{number}");
        last = setup.request(number % 2, "POST", "/survey/1", &id, body).await;
        time::sleep(PAUSE).await;
    }
    last
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashed_its_targets_is_refused_on_all_hosts() {
    let setup = Setup::start().await;
    let services = start_services(&setup).await;
    let last = send_crashing(&setup, 30, CRASHING_BODY).await.unwrap();
    assert!(crashes(&services) <= MAX_CRASHES, "{} targets crashed", crashes(&services));
    assert_eq!(last.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(last.headers().contains_key(header::RETRY_AFTER));
    for entry in 0..2 {
        wait_until("other requests are served", || async {
            setup.request(entry, "POST", "/survey/1", "other", "other").await.is_some_and(ok)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashed_its_targets_stays_refused_after_all_stores_are_killed() {
    let mut setup = Setup::start().await;
    let services = start_services(&setup).await;
    send_crashing(&setup, 6, CRASHING_BODY).await;
    let stores = setup.site.stores().len();
    setup.site.hosts[..stores].iter_mut().for_each(|host| host.kill().unwrap());
    setup.site.hosts[..stores].iter_mut().for_each(|host| host.start().unwrap());
    setup.site.hosts[stores].kill().unwrap();
    setup.site.hosts[stores].start().unwrap();
    for entry in 0..2 {
        wait_until("requests are served again", || async {
            setup.request(entry, "POST", "/survey/1", "again", "").await.is_some_and(ok)
        })
        .await;
    }
    send_crashing(&setup, 12, CRASHING_BODY).await;
    assert!(crashes(&services) <= MAX_CRASHES, "{} targets crashed", crashes(&services));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_beside_one_that_crashes_targets_are_served() {
    let setup = Setup::start().await;
    let services = start_services(&setup).await;
    for service in &services {
        *service.run_time.lock().unwrap() = Duration::from_millis(120);
    }
    let setup = std::sync::Arc::new(setup);
    let mut callers = JoinSet::new();
    for number in 0..12 {
        let setup = setup.clone();
        callers.spawn(async move {
            let (id, body) = (format!("beside-{number}"), format!("body {number}"));
            setup.request(number % 2, "POST", "/survey/1", &id, &body).await
        });
    }
    time::sleep(Duration::from_millis(40)).await;
    send_crashing(&setup, 1, CRASHING_BODY).await;
    while let Some(answer) = callers.join_next().await {
        assert_eq!(answer.unwrap().map(|answer| answer.status()), Some(StatusCode::OK));
    }
    assert!(crashes(&services) > 0);
}

/// Submits a job until it is accepted.
async fn submit(setup: &Setup, id: &str, job: &Value) {
    wait_until("the job is accepted", || async {
        let path = format!("/drafts/{id}");
        let answer = setup.request(0, "POST", &path, id, &job.to_string()).await;
        answer.is_some_and(|answer| answer.status() == StatusCode::ACCEPTED)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_item_that_crashes_engines_is_held_back_and_the_others_complete() {
    let setup = Setup::start().await;
    let began = Instant::now();
    for id in ["job-1", "job-2"] {
        let mut job: Value = serde_json::from_str(&job(id, 1, 8)).unwrap();
        job["items"][2]["body"] = json!(ENCODED_CRASHING_BODY);
        job["items"][2]["path"] = json!("/drafts/crash");
        submit(&setup, id, &job).await;
        check(&setup.results(1, id, 7).await, &[1]);
    }
    time::sleep(Duration::from_secs(12)).await;
    let crashes: usize = setup.engines.iter().map(|engine| engine.crashes().len()).sum();
    let max = MAX_ITEM_CRASHES + began.elapsed().as_secs() as usize / ITEM_PAUSE_S;
    assert!((2..=max).contains(&crashes), "{crashes} engines crashed, {max} may");
}

/// Guards against a sound item that is never run again since engines crashed under it by chance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_item_under_which_engines_crashed_in_a_burst_is_completed_afterwards() {
    let setup = Setup::start().await;
    setup.engines.iter().for_each(|engine| engine.state().event_time = Duration::from_millis(400));
    setup.submit("job-1", 1, 1).await;
    let runs = || setup.engines.iter().map(|engine| engine.total_runs()).sum::<usize>();
    for crashes in 0..CHANCE_CRASHES {
        wait_until("the item runs", || async { runs() > crashes }).await;
        setup.engines.iter().for_each(|engine| engine.restart());
    }
    let calm = setup.results(0, "job-1", 1);
    check(&time::timeout(OWED_WITHIN, calm).await.unwrap(), &[1]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_scoring_call_that_crashes_services_is_held_back_and_the_others_complete() {
    let setup = Setup::start().await;
    let services = start_services(&setup).await;
    let mut job: Value = serde_json::from_str(&job("job-1", 1, 8)).unwrap();
    job["items"][2]["scorer"]["body"] = json!(ENCODED_CRASHING_BODY);
    submit(&setup, "job-1", &job).await;
    check(&setup.results(1, "job-1", 7).await, &[1]);
    time::sleep(Duration::from_secs(5)).await;
    let crashes = crashes(&services);
    assert!((1..=MAX_CRASHES).contains(&crashes), "{crashes} services crashed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_under_which_targets_fall_silent_and_end_is_refused_at_last() {
    let setup = Setup::start().await;
    let services = start_services(&setup).await;
    let last = send_crashing(&setup, 14, SILENCING_BODY).await.unwrap();
    assert_eq!(last.status(), StatusCode::SERVICE_UNAVAILABLE);
    let before = crashes(&services);
    let last = send_crashing(&setup, 10, SILENCING_BODY).await.unwrap();
    assert_eq!(last.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(crashes(&services), before);
}
