//! Keys that a new configuration takes away.

use super::{Setup, configuration, evacuation::leader, ok, wait_until};
use catkinlatch_runtime::http::{Client, full};
use catkinlatch_standin::site;
use http::StatusCode;
use std::time::{Duration, Instant};
use tokio::{task::JoinSet, time};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_that_is_taken_away_runs_nothing_once_that_is_acknowledged() {
    let mut setup = Setup::start().await;
    let without = configuration(2).replace("key-of-the-team", "another-key");
    setup.site.control("PUT", "/config", &without).await;
    for number in 0..10 {
        let id = format!("after-{number}");
        let answer = setup.request(number % 2, "POST", "/survey/1", &id, "").await.unwrap();
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED, "{id}");
        assert_eq!(setup.service.runs(&id), 0, "{id}");
    }

    // The stores are killed: a host goes on with what it knows, and the key does not come back.
    let stores = setup.site.stores().len();
    setup.site.hosts[..stores].iter_mut().for_each(|host| host.kill().unwrap());
    for entry in 0..2 {
        let answer = setup.request(entry, "POST", "/survey/1", "cut-off", "").await.unwrap();
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
    }
    setup.site.hosts[..stores].iter_mut().for_each(|host| host.start().unwrap());
    setup.site.control("PUT", "/config", &configuration(3)).await;
    wait_until("the key is back", || async {
        setup.request(0, "POST", "/survey/1", "again", "").await.is_some_and(ok)
    })
    .await;
}

/// Guards against a host that stood still and goes on by what it knew before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_host_runs_nothing_for_a_key_that_was_taken_away_meanwhile() {
    let setup = Setup::start().await;
    let patient = configuration(2).replace("\"timeout_ms\":2000", "\"timeout_ms\":30000");
    setup.site.control("PUT", "/config", &patient).await;
    let paused = &setup.site.entries()[1];
    paused.pause().unwrap();
    let without = configuration(3).replace("key-of-the-team", "another-key");
    setup.site.control("PUT", "/config", &without).await;
    // The sessions with the stores end meanwhile.
    time::sleep(Duration::from_secs(6)).await;
    let address = paused.address(setup.site.ports.callers);
    let mut callers = JoinSet::new();
    for number in 0..8 {
        let (id, address) = (format!("paused-{number}"), address.clone());
        callers.spawn(async move {
            let request = site::request("POST", "/survey/1", &id, Duration::from_secs(30));
            let request = request.body(full("")).unwrap();
            let client = Client::new();
            let answer = client.fetch(&address, request, Duration::from_secs(30), 1 << 10).await;
            (id, answer.map(|answer| answer.status()))
        });
    }
    time::sleep(Duration::from_millis(200)).await;
    paused.resume().unwrap();
    while let Some(called) = callers.join_next().await {
        let (id, status) = called.unwrap();
        assert_eq!(status, Some(StatusCode::UNAUTHORIZED), "{id}");
        assert_eq!(setup.service.runs(&id), 0, "{id}");
    }
}

/// Guards against a restarted host that learns an old configuration from a leader that was paused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_host_runs_nothing_for_a_key_that_a_paused_leader_still_knows() {
    let mut setup = Setup::start().await;
    let entry = setup.site.stores().len() + 1;
    for round in 0..2 {
        let leader = leader(&setup);
        setup.site.hosts[leader].pause().unwrap();
        let without = configuration(2 * round + 2).replace("key-of-the-team", "another-key");
        setup.site.control("PUT", "/config", &without).await;
        setup.site.hosts[entry].kill().unwrap();
        setup.site.hosts[leader].resume().unwrap();
        setup.site.hosts[entry].start().unwrap();
        let end = Instant::now() + Duration::from_secs(3);
        for number in 0.. {
            if Instant::now() > end {
                break;
            }
            let id = format!("restarted-{round}-{number}");
            let answer = setup.request(1, "POST", "/survey/1", &id, "").await;
            assert_eq!(setup.service.runs(&id), 0, "{id}: {answer:?}");
            time::sleep(Duration::from_millis(5)).await;
        }
        setup.site.control("PUT", "/config", &configuration(2 * round + 3)).await;
        wait_until("the key is back", || async {
            setup.request(1, "POST", "/survey/1", "again", "").await.is_some_and(ok)
        })
        .await;
    }
}
