//! Targets that leave: those that say so in their heartbeats, and those that say so in an answer
//! while their heartbeats say that they are ready.

use super::{Setup, ok, stream::Stream, wait_until};
use catkinlatch_standin::site::Service;
use http::StatusCode;
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use test_case::test_case;
use tokio::time;

/// Longest time until a target gets one of many requests.
const SEEN_TIME: Duration = Duration::from_secs(120);

/// Starts a second service beside that of the setup, and waits until both entry hosts use it.
async fn start_second(setup: &Setup) -> Service {
    let controls =
        setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect();
    let second = Service::start("survey-2", "survey", controls).await.unwrap();
    for entry in 0..2 {
        let id = format!("warm-up-{entry}");
        wait_until("the second target serves", || async {
            setup.request(entry, "POST", "/survey/1", &id, "").await;
            second.runs(&id) > 0
        })
        .await;
    }
    second
}

/// Sends requests to an entry host until one of them has run on `service`.
async fn see_leaving(setup: &Setup, entry: usize, service: &Service) {
    let start = Instant::now();
    for number in 0.. {
        let id = format!("see-{entry}-{number}");
        let answer = setup.request(entry, "POST", "/survey/1", &id, "").await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        if service.runs(&id) > 0 {
            assert_eq!(answer.headers()["server-leaving"], "1");
            return;
        }
        let log = || setup.site.entries()[entry].log();
        assert!(start.elapsed() < SEEN_TIME, "the target got none of {number} requests: {}", log());
    }
}

/// Sends requests to an entry host; all are answered, and none runs on `service`.
async fn expect_avoided(setup: &Setup, entry: usize, service: &Service, name: &str) {
    for number in 0..20 {
        let id = format!("{name}-{entry}-{number}");
        let answer = setup.request(entry, "POST", "/survey/1", &id, "").await;
        assert!(answer.is_some_and(ok), "{id}");
        assert_eq!(service.runs(&id), 0, "{id}");
    }
}

#[test_case(false; "with a leader")]
#[test_case(true; "cut from all stores")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_says_it_leaves_gets_nothing_more_from_a_host_that_heard_it(is_cut: bool) {
    let mut setup = Setup::start().await;
    let second = start_second(&setup).await;
    if is_cut {
        let stores = setup.site.stores().len();
        setup.site.hosts[..stores].iter_mut().for_each(|host| host.kill().unwrap());
    }
    second.target.says_leaving.store(true, Ordering::Relaxed);
    see_leaving(&setup, 0, &second).await;
    expect_avoided(&setup, 0, &second, "at-once").await;
    // Later answers lack the header, and heartbeats still say that the target is ready.
    second.target.says_leaving.store(false, Ordering::Relaxed);
    time::sleep(Duration::from_secs(2)).await;
    expect_avoided(&setup, 0, &second, "later").await;
    if !is_cut {
        expect_avoided(&setup, 1, &second, "told-by-the-leader").await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_target_is_left_by_all_hosts_after_the_leader_is_killed() {
    let mut setup = Setup::start().await;
    let second = start_second(&setup).await;
    second.target.says_leaving.store(true, Ordering::Relaxed);
    see_leaving(&setup, 0, &second).await;
    second.target.says_leaving.store(false, Ordering::Relaxed);
    wait_until("the stores know", || async {
        let knows = |log: String| log.contains("\"event\":\"says that it leaves\"");
        setup.site.stores().iter().any(|host| knows(host.log()))
    })
    .await;
    time::sleep(Duration::from_millis(300)).await;
    let leader = setup.site.stores().iter().position(|host| {
        let log = host.log();
        log.matches("took over the duties").count() > log.matches("gave up the duties").count()
    });
    setup.site.hosts[leader.unwrap()].kill().unwrap();
    time::sleep(Duration::from_secs(4)).await;
    for entry in 0..2 {
        expect_avoided(&setup, entry, &second, "next-leader").await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_next_start_of_a_leaving_target_gets_requests() {
    let setup = Setup::start().await;
    let second = start_second(&setup).await;
    second.target.says_leaving.store(true, Ordering::Relaxed);
    see_leaving(&setup, 0, &second).await;
    second.restart();
    for entry in 0..2 {
        let id = format!("after-restart-{entry}");
        wait_until("the next start serves at the same address", || async {
            setup.request(entry, "POST", "/survey/1", &id, "").await;
            second.runs(&id) > 0
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_target_that_says_it_leaves_gets_nothing_more() {
    let setup = Setup::start().await;
    let second = start_second(&setup).await;
    second.target.says_leaving.store(true, Ordering::Relaxed);
    second.is_full.store(true, Ordering::Relaxed);
    wait_until("the full target was asked", || async {
        setup.request(0, "POST", "/survey/1", "ask", "").await;
        second.refusals.load(Ordering::Relaxed) > 0
    })
    .await;
    let refusals = second.refusals.load(Ordering::Relaxed);
    second.is_full.store(false, Ordering::Relaxed);
    expect_avoided(&setup, 0, &second, "after-refusal").await;
    assert_eq!(second.refusals.load(Ordering::Relaxed), refusals);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_told_that_nothing_ran_once_all_targets_leave() {
    let setup = Setup::start().await;
    setup.service.target.says_leaving.store(true, Ordering::Relaxed);
    see_leaving(&setup, 0, &setup.service).await;
    let answer = setup.request(0, "POST", "/survey/1", "none-left", "").await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(setup.service.runs("none-left"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_ends_at_the_engine_that_leaves_and_the_next_goes_elsewhere() {
    let setup = Setup::start().await;
    for engine in &setup.engines {
        engine.state().events = 20;
        engine.target.says_leaving.store(true, Ordering::Relaxed);
    }
    let mut stream = Stream::open(&setup, "/chat/1", "under-way").await;
    setup.engines.iter().for_each(|e| e.target.says_leaving.store(false, Ordering::Relaxed));
    let ran = |id: &str| setup.engines.iter().position(|e| e.state().runs.contains_key(id));
    let leaving = ran("under-way").unwrap();
    for number in 0..6 {
        let id = format!("next-{number}");
        let mut next = Stream::open(&setup, "/chat/1", &id).await;
        while next.read().await.unwrap() {}
        assert_ne!(ran(&id), Some(leaving));
    }
    while stream.read().await.unwrap() {}
    assert_eq!(stream.events().len(), 20);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_says_it_leaves_runs_no_further_items() {
    let setup = Setup::start().await;
    setup.engines[0].target.says_leaving.store(true, Ordering::Relaxed);
    setup.submit("job-1", 1, 8).await;
    setup.results(0, "job-1", 8).await;
    setup.engines[0].target.says_leaving.store(false, Ordering::Relaxed);
    let runs = |number: usize| setup.engines[number].state().runs.len();
    let before = runs(0);
    assert!(before > 0, "the engine that leaves had run nothing");
    setup.submit("job-2", 1, 20).await;
    setup.results(0, "job-2", 20).await;
    assert_eq!(runs(0), before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_target_gets_no_requests_once_its_draining_is_acknowledged() {
    let setup = Setup::start().await;
    let second = Service::start(
        "survey-2",
        "survey",
        setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect(),
    )
    .await
    .unwrap();
    wait_until("the second target serves", || async {
        setup.request(0, "POST", "/survey/1", "again", "").await;
        second.runs("again") > 0
    })
    .await;
    second.target.is_draining.store(true, Ordering::Relaxed);
    wait_until("its draining is acknowledged", || async {
        second.target.acknowledged.load(Ordering::Relaxed) > 0
    })
    .await;
    for number in 0..20 {
        let id = format!("late-{number}");
        let answer = setup.request(number % 2, "POST", "/survey/1", &id, "").await;
        assert!(answer.is_some_and(ok));
        assert_eq!(second.runs(&id), 0);
    }
}

/// Announces a target that sends no heartbeats itself.
async fn announce(setup: &Setup, target: &Service, state: &str, sequence: u64) {
    let body = serde_json::json!({
        "service": "survey", "address": target.target.address, "zone": "zone-0", "version": "v1",
        "slots": 6, "state": state, "cold_left_ms": 0, "stage": "both", "models": [],
        "seq": sequence, "born": 1_700_000_000_000_u64,
    });
    let path = format!("/instances/{}", target.target.id);
    setup.site.control("PUT", &path, &body.to_string()).await;
}

#[test_case(false; "that drains")]
#[test_case(true; "that has withdrawn")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_heartbeat_after_all_stores_restarted_brings_back_no_target(is_withdrawn: bool) {
    let mut setup = Setup::start().await;
    let nowhere = vec!["127.0.0.1:1".to_owned()];
    let second = Service::start("survey-2", "survey", nowhere).await.unwrap();
    for entry in 0..2 {
        let id = format!("warm-up-{entry}");
        wait_until("the second target serves", || async {
            announce(&setup, &second, "ready", 1).await;
            setup.request(entry, "POST", "/survey/1", &id, "").await;
            second.runs(&id) > 0
        })
        .await;
    }
    announce(&setup, &second, "draining", 3).await;
    if is_withdrawn {
        setup.site.control("DELETE", "/instances/survey-2", "").await;
    }
    let stores = setup.site.stores().len();
    setup.site.hosts[..stores].iter_mut().for_each(|host| host.kill().unwrap());
    setup.site.hosts[..stores].iter_mut().for_each(|host| host.start().unwrap());
    announce(&setup, &second, "ready", 2).await;
    for number in 0..40 {
        let id = format!("restarted-{number}");
        setup.request(number % 2, "POST", "/survey/1", &id, "").await;
        assert_eq!(second.runs(&id), 0, "{id}");
        time::sleep(Duration::from_millis(50)).await;
    }
    for entry in 0..2 {
        expect_avoided(&setup, entry, &second, "restarted").await;
    }
}
