//! Attempts at one request: how many, with which deadline, and for how long.

use super::{Setup, wait_until};
use catkinlatch_standin::site::{self, Flaw, Service};
use std::{sync::atomic::Ordering, time::Duration};
use tokio::time;

/// `max_attempts` of the route.
const MAX_ATTEMPTS: usize = 4;

/// `timeout_ms` of the route.
const TIMEOUT_MS: u64 = 2_000;

async fn start_services(setup: &Setup, count: usize) -> Vec<Service> {
    let mut services = vec![setup.service.clone()];
    for number in 2..=count {
        let controls =
            setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect();
        let id = format!("survey-{number}");
        services.push(Service::start(&id, "survey", controls).await.unwrap());
    }
    for entry in 0..2 {
        let id = format!("warm-up-{entry}");
        wait_until("all targets serve", || async {
            setup.request(entry, "POST", "/survey/1", &id, "").await;
            services.iter().all(|service| service.runs(&id) > 0)
        })
        .await;
    }
    services
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_all_targets_fail_reaches_as_many_as_its_route_allows() {
    let setup = Setup::start().await;
    let services = start_services(&setup, 6).await;
    services.iter().for_each(|service| service.spoil(Flaw::Failure, 10));
    setup.request(0, "POST", "/survey/1", "failing", "").await.unwrap();
    let runs: usize = services.iter().map(|service| service.runs("failing")).sum();
    assert_eq!(runs, MAX_ATTEMPTS);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_attempt_is_given_the_time_that_is_left() {
    let setup = Setup::start().await;
    let services = start_services(&setup, 3).await;
    for service in &services {
        *service.run_time.lock().unwrap() = Duration::from_millis(300);
        service.spoil(Flaw::Failure, 10);
    }
    setup.request(0, "POST", "/survey/1", "timed", "").await.unwrap();
    let deadline = |headers: &site::Headers| headers["deadline-ms"].parse::<u64>().unwrap();
    let mut deadlines: Vec<u64> = services
        .iter()
        .flat_map(|service| service.headers_of_runs.lock().unwrap()["timed"].clone())
        .map(|headers| deadline(&headers))
        .collect();
    deadlines.sort_unstable();
    deadlines.reverse();
    assert_eq!(deadlines.len(), 3);
    for (attempt, deadline) in deadlines.into_iter().enumerate() {
        let left = TIMEOUT_MS - 300 * attempt as u64;
        assert!((1..=left).contains(&deadline), "attempt {attempt}: {deadline} of {left} ms");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_stops_work_on_a_request_whose_caller_has_left() {
    let setup = Setup::start().await;
    let services = start_services(&setup, 2).await;
    for service in &services {
        *service.run_time.lock().unwrap() = Duration::from_millis(1_500);
    }
    let request = setup.request(0, "POST", "/survey/1", "left", "");
    assert!(time::timeout(Duration::from_millis(200), request).await.is_err());
    let abandoned = |service: &Service| service.abandoned.load(Ordering::Relaxed);
    time::timeout(Duration::from_millis(500), async {
        while services.iter().map(abandoned).sum::<u32>() == 0 {
            time::sleep(Duration::from_millis(10)).await;
        }
    })
    .await
    .expect("the target still works on the request half a second later");
    assert_eq!(services.iter().map(|service| service.runs("left")).sum::<usize>(), 0);
}
