//! Full targets: the order of waiting requests, refusals, and the budget of retries.

use super::{Setup, configuration, ok, wait_until};
use catkinlatch_standin::site::{Flaw, HOST, Service};
use http::{Request, Response, StatusCode};
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use test_case::test_case;
use tokio::time;

/// `target_latency_ms` of the routes, and the part of it after which a request is refused.
const LONGEST_WAIT: Duration = Duration::from_millis(96);

/// Time for the way of a request and its refusal through processes that share the machine's cores
/// with other work.
const SLACK: Duration = Duration::from_millis(150);

/// Deadline that callers of the tests send.
const CALLER_TIME: Duration = Duration::from_millis(600);

impl Setup {
    /// Sends a request of rank 1, or without a key of rank 2.
    async fn ask(&self, id: &str, has_key: bool) -> Option<Response<bytes::Bytes>> {
        self.ask_at(0, if has_key { "/survey/1" } else { "/score/1" }, id, has_key).await
    }

    async fn ask_at(
        &self,
        entry: usize,
        path: &str,
        id: &str,
        has_key: bool,
    ) -> Option<Response<bytes::Bytes>> {
        let request = Request::post(path).header("host", HOST).header("attempt-id", id);
        let request = request.header("deadline-ms", CALLER_TIME.as_millis().to_string());
        let key = has_key.then_some("key-of-the-team");
        let request =
            key.into_iter().fold(request, |request, key| request.header("x-api-key", key));
        let address = self.site.entries()[entry].address(self.site.ports.callers);
        self.site.call(&address, request.body(Vec::new()).unwrap()).await
    }

    fn kill_leader(&mut self) {
        let leader = self.site.stores().iter().position(|host| {
            let log = host.log();
            log.matches("took over the duties").count() > log.matches("gave up the duties").count()
        });
        self.site.hosts[leader.unwrap()].kill().unwrap();
    }
}

/// Returns the time after which a refused caller should return, in whole milliseconds.
fn retry_after_ms(answer: &Response<bytes::Bytes>) -> u64 {
    let seconds: f64 = answer.headers()["retry-after"].to_str().unwrap().parse().unwrap();
    (seconds * 1_000.0).round() as u64
}

/// Guards against callers that wait in vain, that are told to return too late or together, and
/// against a refusal of a request that has run. Load: 12 requests at once, all targets full; with a
/// leader, and just after it was killed.
#[test_case(false; "with a leader")]
#[test_case(true; "after the leader was killed")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_for_full_targets_are_refused_in_time(is_killed: bool) {
    let mut setup = Setup::start().await;
    setup.service.is_full.store(true, Ordering::Relaxed);
    if is_killed {
        setup.kill_leader();
    }
    let mut delays = Vec::new();
    for number in 0..12 {
        let id = format!("full-{number}");
        let began = Instant::now();
        let answer = setup.ask(&id, true).await.unwrap();
        let elapsed = began.elapsed();
        assert!(elapsed < LONGEST_WAIT + SLACK, "refused after {elapsed:?}");
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(setup.service.runs(&id), 0);
        let after_ms = retry_after_ms(&answer);
        assert!(after_ms <= CALLER_TIME.as_millis() as u64 / 3, "return after {after_ms} ms");
        delays.push(after_ms);
    }
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 6, "returns are not spread: {delays:?}");
    let log = setup.site.entries()[0].log();
    let line =
        log.lines().find(|line| line.contains("full-3") && line.contains("not run")).unwrap();
    for field in ["\"queue\":", "\"rank\":1", "\"waited_ms\":", "\"after_ms\":"] {
        assert!(line.contains(field), "{field} is missing in {line}");
    }
}

/// Guards against a time to return that callers do not wait for, where no target is left: they come
/// back at a third of their time at the latest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_without_targets_names_a_time_that_callers_wait_for() {
    let setup = Setup::start().await;
    setup.site.control("POST", "/evacuate/zone-0", "").await;
    let answer = setup.ask("no-target", true).await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let after_ms = retry_after_ms(&answer);
    assert!(after_ms <= CALLER_TIME.as_millis() as u64 / 3, "return after {after_ms} ms");
    assert_eq!(setup.service.runs("no-target"), 0);
}

/// Guards against a request that is not woken when a slot becomes free. Load: one request, targets
/// that are full for another 40 ms.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_waiting_request_runs_when_targets_have_room_again() {
    let setup = Setup::start().await;
    for number in 0..5 {
        setup.service.is_full.store(true, Ordering::Relaxed);
        let id = format!("wait-{number}");
        let free = async {
            time::sleep(Duration::from_millis(40)).await;
            setup.service.is_full.store(false, Ordering::Relaxed);
        };
        let (answer, ()) = tokio::join!(setup.ask(&id, true), free);
        assert!(answer.is_some_and(ok), "{id}");
    }
}

/// Guards against an order by wake-ups, in which a low rank takes the slots. Load: one slot, 8
/// requests of rank 2 that wait when 2 of rank 1 arrive; 3 can run within the longest wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_higher_rank_goes_first() {
    let setup = Setup::start().await;
    setup.service.room.store(1, Ordering::Relaxed);
    *setup.service.run_time.lock().unwrap() = Duration::from_millis(25);
    let mut served = [0, 0];
    for round in 0..6 {
        let ask_low = (0..8).map(|number| {
            let id = format!("low-{round}-{number}");
            let setup = &setup;
            async move { setup.ask(&id, false).await.is_some_and(ok) }
        });
        let ask_high = (0..2).map(|number| {
            let id = format!("high-{round}-{number}");
            let setup = &setup;
            async move {
                time::sleep(Duration::from_millis(10)).await;
                setup.ask(&id, true).await.is_some_and(ok)
            }
        });
        let (low, high) = tokio::join!(join_all(ask_low), join_all(ask_high));
        served[0] += high.into_iter().filter(|is_served| *is_served).count();
        served[1] += low.into_iter().filter(|is_served| *is_served).count();
        time::sleep(Duration::from_millis(150)).await;
    }
    assert!(served[0] >= 9, "of 12 of rank 1 and 48 of rank 2: {served:?}");
}

/// Runs futures at once and returns their outputs in order.
async fn join_all<F: Future<Output = bool>>(futures: impl Iterator<Item = F>) -> Vec<bool> {
    let mut pending: Vec<_> = futures.map(Box::pin).collect();
    let mut outputs = vec![None; pending.len()];
    std::future::poll_fn(|context| {
        for (output, future) in outputs.iter_mut().zip(&mut pending) {
            if output.is_none()
                && let std::task::Poll::Ready(value) = future.as_mut().poll(context)
            {
                *output = Some(value);
            }
        }
        let all: Option<Vec<bool>> = outputs.iter().copied().collect();
        all.map_or(std::task::Poll::Pending, std::task::Poll::Ready)
    })
    .await
}

/// Guards against an outage that multiplies the load, and against a refusal as not run of a request
/// that has run. Load: 30 requests, each of whose 4 attempts is lost by the target that ran it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_in_an_outage_are_bounded_and_answered_truthfully() {
    let setup = Setup::start().await;
    let controls: Vec<String> =
        setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect();
    let mut services = vec![setup.service.clone()];
    for number in 2..=4 {
        let id = format!("survey-{number}");
        let start = Service::start(&id, "survey", controls.clone());
        services.push(start.await.unwrap());
    }
    wait_until("all targets serve", || async {
        setup.ask("warm-up", true).await;
        services.iter().all(|service| service.runs("warm-up") > 0)
    })
    .await;
    services.iter().for_each(|service| service.spoil(Flaw::Unsigned, 1_000));
    let mut runs = 0;
    for number in 0..30 {
        let id = format!("lost-{number}");
        let answer = setup.ask(&id, true).await.unwrap();
        let own: usize = services.iter().map(|service| service.runs(&id)).sum();
        assert!(own == 0 || answer.status() == StatusCode::BAD_GATEWAY, "{}", answer.status());
        runs += own;
    }
    // A fifth of the first attempts, the reserve of 5, and one that it has gained meanwhile.
    assert!(runs <= 30 + 6 + 6, "{runs} runs of 30 requests");
    assert!(runs >= 30 + 3, "the reserve must allow the first failures to be retried: {runs}");
}

/// Sends requests to both entry hosts at once for a while, one at a time each; returns how many were
/// served and how many refused.
async fn ask_both(setup: &Setup, name: &str, duration: Duration) -> [usize; 2] {
    let ask = |entry: usize| async move {
        let (mut counts, began) = ([0, 0], Instant::now());
        for number in 0.. {
            if began.elapsed() > duration {
                break;
            }
            let id = format!("{name}-{entry}-{number}");
            let answer = setup.ask_at(entry, "/narrow/1", &id, true).await;
            counts[usize::from(!answer.is_some_and(ok))] += 1;
            time::sleep(Duration::from_millis(40)).await;
        }
        counts
    };
    let (first, second) = tokio::join!(ask(0), ask(1));
    [first[0] + second[0], first[1] + second[1]]
}

/// Guards against hosts that together send a service more than it has places, against places that
/// stay with a host that does not need them, and against an outage while no leader divides them.
/// Load: two entry hosts, one place, two callers; then the leader is killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_place_is_shared_by_all_hosts() {
    let mut setup = Setup::start().await;
    let controls =
        setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect();
    let narrow = Service::start_with_slots("narrow-1", "narrow", controls, 1).await.unwrap();
    narrow.room.store(1, Ordering::Relaxed);
    let mut document: serde_json::Value = serde_json::from_str(&configuration(2)).unwrap();
    document["services"]
        .as_array_mut()
        .unwrap()
        .push(serde_json::json!({"name": "narrow", "health_path": "/health", "max_conns": 96}));
    document["routes"].as_array_mut().unwrap().push(serde_json::json!(
        {"name": "narrow", "host": HOST, "path_prefix": "/narrow/", "kind": "idempotent",
         "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2, "service": "narrow",
         "max_attempts": 4, "public": false}
    ));
    setup.site.control("PUT", "/config", &document.to_string()).await;
    wait_until("both hosts use the service", || async {
        let first = setup.ask_at(0, "/narrow/1", "first", true).await;
        let second = setup.ask_at(1, "/narrow/1", "second", true).await;
        first.is_some_and(ok) && second.is_some_and(ok)
    })
    .await;
    wait_until("the service is divided", || async {
        let is_divided = |log: String| log.contains("the service is divided");
        setup.site.stores().iter().any(|host| is_divided(host.log()))
    })
    .await;
    // Hosts report each 5 s until they know that a service is divided.
    time::sleep(Duration::from_secs(6)).await;
    let refusals = || narrow.refusals.load(Ordering::Relaxed);
    let before = refusals();
    let [served, refused] = ask_both(&setup, "divided", Duration::from_secs(5)).await;
    assert_eq!(refusals(), before, "hosts sent more than the service has places");
    assert!(served > 20 * refused && served > 50, "{served} served, {refused} refused");

    setup.kill_leader();
    let [served, refused] = ask_both(&setup, "no-leader", Duration::from_secs(4)).await;
    assert!(served > 5 * refused && served > 40, "{served} served, {refused} refused");
    time::sleep(Duration::from_secs(4)).await;
    let before = refusals();
    let [served, refused] = ask_both(&setup, "next-leader", Duration::from_secs(4)).await;
    assert_eq!(refusals(), before, "hosts sent more than the service has places");
    assert!(served > 20 * refused && served > 40, "{served} served, {refused} refused");
}
