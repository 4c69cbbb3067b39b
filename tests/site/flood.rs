//! Targets that answer with bytes without end, fast or as a slow drip.

use super::{Setup, check, wait_until};
use catkinlatch_standin::site::{self, Flood, Pace, Place};
use http::{Request, StatusCode};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use test_case::test_case;
use tokio::time;

/// The memory of an entry host, which ends beyond it, in bytes.
const MEMORY: u64 = 120_000_000;

/// The memory of a store host, in bytes.
const STORE_MEMORY: u64 = 280_000_000;

/// All faults of responses to live requests.
const PLACES: [Place; 7] = [
    Place::Head,
    Place::Interim,
    Place::Body,
    Place::ChunkSize,
    Place::Extension,
    Place::Trailers,
    Place::Rest,
];

fn controls(setup: &Setup) -> Vec<String> {
    setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect()
}

/// Starts `count` targets of the plain service.
async fn start(setup: &Setup, count: usize) -> Vec<Flood> {
    let mut floods = Vec::new();
    for number in 0..count {
        let id = format!("survey-flood-{number}");
        floods.push(Flood::start(&id, "survey", controls(setup), json!([])).await.unwrap());
    }
    let entry = std::sync::atomic::AtomicUsize::new(0);
    wait_until("all targets are used by both hosts", || async {
        let entry = entry.fetch_add(1, std::sync::atomic::Ordering::Relaxed) % 2;
        setup.request(entry, "POST", "/survey/1", "warm", "").await;
        floods.iter().all(|flood| flood.requests() > 2)
    })
    .await;
    floods
}

/// Sends a live request to the first entry host; returns its status and the time that it took.
async fn send(setup: &Setup, path: &str, id: &str) -> (u16, Duration) {
    let began = Instant::now();
    let answer = setup.request(0, "POST", path, id, "").await;
    (answer.map_or(0, |answer| answer.status().as_u16()), began.elapsed())
}

/// What an entry host used while something ran.
struct Used {
    peak: u64,
    processor: Duration,
}

fn used(setup: &Setup, before: Duration) -> Used {
    let host = &setup.site.entries()[0];
    Used { peak: host.peak_memory(), processor: host.processor_time() - before }
}

#[test_case(Pace::Fast)]
#[test_case(Pace::Drip)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_live_request_has_its_answer_in_time_where_all_targets_flood(pace: Pace) {
    let setup = Setup::start().await;
    let floods = start(&setup, 2).await;
    setup.service.is_full.store(true, std::sync::atomic::Ordering::Relaxed);
    for place in PLACES {
        let before = setup.site.entries()[0].processor_time();
        floods.iter().for_each(|flood| flood.set_fault(Some((place, pace))));
        let received = || floods.iter().map(Flood::requests).sum::<u64>();
        let (first, id) = (received(), format!("flooded-{place:?}"));
        let (status, took) = send(&setup, "/survey/1", &id).await;
        let used = used(&setup, before);
        eprintln!(
            "{place:?} {pace:?}: status {status} after {took:?}, peak {} MB, processor {:?}",
            used.peak / 1_000_000,
            used.processor
        );
        let is_valid = place == Place::Rest;
        let expected: &[u16] = if is_valid { &[200] } else { &[502, 504] };
        assert!(expected.contains(&status), "{place:?}: {status}");
        assert!(took < Duration::from_millis(2_500), "{place:?}: {took:?}");
        assert!(used.peak < MEMORY, "{place:?}: {} bytes", used.peak);
        assert!(received() - first <= 4, "{place:?}: more requests than the route's attempts");
        wait_until("the connections are closed", || async {
            floods.iter().all(|flood| flood.open() == 0)
        })
        .await;
        floods.iter().for_each(|flood| flood.set_fault(None));
        wait_until("the targets are used again", || async {
            send(&setup, "/survey/1", "again").await.0 == 200
        })
        .await;
    }
    let log: String = setup.site.hosts.iter().map(|host| host.log()).collect();
    assert!(!log.contains("the connection broke under a request"), "counted as a crash: {log}");
}

#[test_case(Pace::Fast)]
#[test_case(Pace::Drip)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_and_their_scores_get_past_targets_that_flood(pace: Pace) {
    let setup = Setup::start().await;
    let floods = start(&setup, 1).await;
    let models = json!([{"name": "model", "version": 1, "adapters": []}]);
    let engine = Flood::start("engine-flood", "drafts", controls(&setup), models).await.unwrap();
    setup.submit("warm", 1, 30).await;
    setup.results(0, "warm", 30).await;
    for (place, of_service) in [
        (Place::Event, Place::Body),
        (Place::Head, Place::Extension),
        (Place::ChunkSize, Place::Interim),
    ] {
        engine.set_fault(Some((place, pace)));
        floods[0].set_fault(Some((of_service, pace)));
        let (began, id) = (Instant::now(), format!("job-{place:?}"));
        setup.submit(&id, 1, 20).await;
        let results: Vec<Value> = setup.results(0, &id, 20).await;
        let peaks = setup.site.stores().iter().map(|host| host.peak_memory());
        let peak = peaks.max().unwrap_or_default();
        eprintln!("{place:?} {pace:?}: {:?}, peak {} MB", began.elapsed(), peak / 1_000_000);
        check(&results, &[1]);
        assert!(peak < STORE_MEMORY, "{place:?}: {peak} bytes");
    }
    assert!(engine.requests() > 0 && floods[0].requests() > 0);

    // Reports and orders to the engine have no end either; the other engines are loaded.
    engine.set_fault(Some((Place::Body, pace)));
    setup.site.control("POST", "/version-put", r#"{"model":"model","version":2}"#).await;
    setup.site.control("POST", "/version-put", r#"{"model":"model","version":3}"#).await;
    setup.submit("job-3", 3, 4).await;
    check(&setup.results(0, "job-3", 4).await, &[3]);
    wait_until("a report or order is ended", || async {
        engine.reports() > 0 && engine.open() == 0
    })
    .await;
    // A label of the end of each run: a flood is no disconnect, which would count as a crash.
    let log: String = setup.site.stores().iter().map(|host| host.log()).collect();
    assert!(!log.contains("the connection broke under"), "counted as a crash");
}

#[test_case(Pace::Fast)]
#[test_case(Pace::Drip)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_elsewhere_after_its_last_whole_event(pace: Pace) {
    let setup = Setup::start().await;
    let engine = Flood::start("engine-flood", "drafts", controls(&setup), json!([])).await.unwrap();
    engine.set_fault(Some((Place::Event, pace)));
    let mut longest = Duration::ZERO;
    let before = setup.site.entries()[0].processor_time();
    for number in 0..12 {
        let began = Instant::now();
        let mut stream = super::Stream::open(&setup, "/chat/1", &format!("talk-{number}")).await;
        while stream.read().await.unwrap() {}
        assert_eq!(stream.events(), [1, 2, 3, 4, 5]);
        longest = longest.max(began.elapsed());
    }
    let used = used(&setup, before);
    eprintln!(
        "Event {pace:?}: longest {longest:?}, peak {} MB, processor {:?}",
        used.peak / 1_000_000,
        used.processor
    );
    assert!(engine.requests() > 0);
    assert!(longest < Duration::from_millis(1_800), "{longest:?}");
    assert!(used.peak < MEMORY);
    wait_until("the connections are closed", || async { engine.open() == 0 }).await;
}

#[test_case(Place::Body)]
#[test_case(Place::Head)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_of_one_service_are_served_while_all_targets_of_another_flood(place: Place) {
    /// Number of callers of the service that floods.
    const CALLERS: usize = 40;
    let setup = Setup::start().await;
    let floods = start(&setup, 3).await;
    setup.service.is_full.store(true, std::sync::atomic::Ordering::Relaxed);
    floods.iter().for_each(|flood| flood.set_fault(Some((place, Pace::Fast))));
    let before = setup.site.entries()[0].processor_time();
    let flooded = async {
        let callers = (0..CALLERS).map(|caller| {
            let setup = &setup;
            async move {
                for number in 0..20 {
                    send(setup, "/survey/1", &format!("flooded-{caller}-{number}")).await;
                }
            }
        });
        futures::future::join_all(callers).await;
    };
    let valid = async {
        let (mut served, mut longest) = (0, Duration::ZERO);
        for number in 0..25 {
            let began = Instant::now();
            let id = format!("talk-{number}");
            let opened =
                time::timeout(Duration::from_secs(3), super::Stream::open(&setup, "/chat/1", &id));
            let Ok(mut stream) = opened.await else { continue };
            while stream.read().await.unwrap_or(false) {}
            served += u32::from(stream.events() == [1, 2, 3, 4, 5]);
            longest = longest.max(began.elapsed());
        }
        (served, longest)
    };
    let (_, (served, longest)) =
        time::timeout(Duration::from_secs(60), async { tokio::join!(flooded, valid) })
            .await
            .expect("the requests end");
    let used = used(&setup, before);
    eprintln!(
        "{place:?}: {served} of 25 streams served, longest {longest:?}, peak {} MB, processor {:?}",
        used.peak / 1_000_000,
        used.processor
    );
    assert_eq!(served, 25, "of 25 valid streams");
    assert!(longest < Duration::from_millis(1_500), "{longest:?}");
    assert!(used.peak < MEMORY, "{} bytes", used.peak);
}

/// Bodies of control calls are whole in memory, and once more as the decoded configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_large_control_bodies_at_once_do_not_end_a_store() {
    let setup = Setup::start().await;
    let put = async |body: String| {
        let request = Request::put("/config").header("host", "control").body(body.into_bytes());
        let address = setup.site.stores()[0].address(setup.site.ports.control);
        setup.site.call(&address, request.unwrap()).await.map(|answer| answer.status())
    };
    let too_long = put(" ".repeat(9_000_000)).await;
    assert!(too_long.is_none_or(|status| status == StatusCode::PAYLOAD_TOO_LARGE), "{too_long:?}");

    let padded = |version| format!("{}{}", " ".repeat(8_500_000), super::configuration(version));
    let (first, second) = tokio::join!(put(padded(2)), put(padded(3)));
    let peaks = setup.site.stores().iter().map(|host| host.peak_memory());
    let peak = peaks.max().unwrap_or_default();
    eprintln!("two bodies of 8.5 MB: {first:?}, {second:?}, peak {} MB", peak / 1_000_000);
    assert!(peak < STORE_MEMORY, "{peak} bytes");

    let route = |number: usize| {
        json!({"name": format!("route-{number}"), "host": format!("host-{number}.example"),
               "path_prefix": "/", "kind": "idempotent", "timeout_ms": 2000, "service": "survey"})
    };
    let routes: Vec<Value> = (0..5_000).map(route).collect();
    setup.site.control("PUT", "/config", &site::configuration(9, &routes)).await;
    let in_force: Value =
        serde_json::from_slice(&setup.site.control("GET", "/config", "").await).unwrap();
    assert_eq!(in_force["routes"].as_array().unwrap().len(), 5_000);
}
