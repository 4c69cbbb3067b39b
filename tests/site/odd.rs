//! Registrations by another writer that no target would send.

use super::{
    Setup, ok, wait_until,
    withdrawal::{FIRST, SECOND, Target},
};
use http::{Request, StatusCode};
use serde_json::{Value, json};
use std::time::Duration;
use test_case::test_case;
use tokio::time;

/// Longer than entry hosts take to learn of a registration.
const PROPAGATION: Duration = Duration::from_secs(1);

/// Ends before the foreign target counts as silent, which gives its place back.
const UNTIL_SILENCE: Duration = Duration::from_secs(2);

/// Returns bodies of registrations that name no target to use.
fn bodies() -> Vec<String> {
    let usual = json!({
        "service": "survey", "address": "127.0.0.1:9", "zone": "zone-0", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "stage": "both", "models": [], "seq": 1, "born": 1,
    });
    let changes = [
        ("address", json!("127.0.0.1:99999")),
        ("address", json!("127.0.0.1:0")),
        ("address", json!("0.0.0.0:80")),
        ("slots", json!(u32::MAX)),
        ("slots", json!(-1)),
        ("cold_left_ms", json!(1e300)),
        ("cold_left_ms", json!(-5)),
        ("cold_left_ms", json!("none")),
        ("seq", json!(u64::MAX)),
        ("born", json!(u64::MAX)),
        ("version", json!("v".repeat(200_000))),
        ("service", json!("s".repeat(200_000))),
        ("zone", json!({"name": "zone-0"})),
        ("state", json!("asleep")),
        ("models", json!([{"name": "model", "version": u64::MAX}])),
        ("models", json!([{"name": "model", "version": 1e99}])),
    ];
    let changed = changes.into_iter().map(|(name, value)| {
        let mut body = usual.clone();
        body[name] = value;
        body.to_string()
    });
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let nested = usual.to_string().replace("\"models\":[]", &format!("\"models\":{nested}"));
    changed.chain([nested, "\u{0}".to_owned(), "[]".to_owned(), String::new()]).collect()
}

/// Sends a registration to a store; returns the status.
async fn register(setup: &Setup, store: usize, id: &str, body: &str) -> Option<StatusCode> {
    let address = setup.site.stores()[store].address(setup.site.ports.control);
    let request = Request::put(format!("/instances/{id}")).header("host", "control");
    let request = request.body(body.as_bytes().to_vec()).unwrap();
    setup.site.call(&address, request).await.map(|answer| answer.status())
}

/// Sends requests and a job; all are served.
async fn expect_served(setup: &Setup, name: &str) {
    for number in 0..4 {
        let id = format!("{name}-{number}");
        let answer = setup.request(number % 2, "POST", "/survey/1", &id, "").await;
        assert!(answer.is_some_and(ok), "{id}");
    }
    setup.submit(name, 1, 4).await;
    let results = setup.results(1, name, 4).await;
    assert!(results.iter().all(|result| result["state"] == "completed"), "{results:?}");
}

/// Guards against odd registrations that end hosts, stop what they follow, or displace targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_registrations_are_refused_and_stop_nothing() {
    let mut setup = Setup::start().await;
    for (number, body) in bodies().iter().enumerate() {
        // Other writers may use the id of a target as well.
        for id in ["odd", "survey-1", "engine-1"] {
            let status = register(&setup, number % 3, id, body).await;
            assert_eq!(status, Some(StatusCode::BAD_REQUEST), "{:.300}", body);
        }
    }
    expect_served(&setup, "odd").await;
    for host in [0, setup.site.stores().len()] {
        setup.site.hosts[host].kill_started().unwrap();
        setup.site.hosts[host].start().unwrap();
        let name = format!("restarted-{host}");
        wait_until("all hosts serve", || async {
            let first = setup.request(0, "POST", "/survey/1", &name, "").await.is_some_and(ok);
            first && setup.request(1, "POST", "/survey/1", &name, "").await.is_some_and(ok)
        })
        .await;
        expect_served(&setup, &name).await;
    }
    for host in &setup.site.hosts {
        assert!(!host.log().contains("panicked"), "{}: {}", host.name, host.log());
    }
}

/// Guards against odd but readable registrations, such as those of services and zones that nothing names,
/// that end hosts or take requests from targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readable_registrations_of_nothing_known_stop_nothing() {
    let setup = Setup::start().await;
    let entry = setup.site.entries()[0].address(setup.site.ports.callers);
    for (number, (name, value)) in [
        ("service", json!("nobody")),
        ("zone", json!("nowhere")),
        ("slots", json!(100_000)),
        ("cold_left_ms", json!(86_400_000)),
        ("stage", json!("neither")),
    ]
    .into_iter()
    .enumerate()
    {
        let address = if name == "service" { &entry } else { "127.0.0.1:9" };
        let mut body: Value = json!({
            "service": "survey", "address": address, "zone": "zone-0", "version": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "stage": "both", "models": [], "seq": 1, "born": 1,
        });
        body[name] = value;
        let id = format!("odd-{number}");
        assert_eq!(
            register(&setup, number % 3, &id, &body.to_string()).await,
            Some(StatusCode::OK)
        );
        expect_served(&setup, &format!("beside-{name}")).await;
        let request = Request::delete(format!("/instances/{id}")).header("host", "control");
        let control = setup.site.stores()[0].address(setup.site.ports.control);
        setup.site.call(&control, request.body(Vec::new()).unwrap()).await;
    }
    for host in &setup.site.hosts {
        assert!(!host.log().contains("panicked"), "{}: {}", host.name, host.log());
    }
}

/// Guards against a ready target that gets no requests since another writer registered in its place.
#[test_case("survey-2", "service", json!("nobody"), SECOND; "a service that nobody named under its id")]
#[test_case("foreign", "service", json!("nobody"), SECOND; "a service that nobody named at its address")]
#[test_case("survey-2", "service", json!("drafts"), SECOND; "another service under its id")]
#[test_case("survey-2", "address", json!("127.0.0.1:9"), FIRST; "another address for its start")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_foreign_registration_does_not_displace_a_target(
    id: &str,
    name: &str,
    value: Value,
    born: u64,
) {
    let setup = Setup::start().await;
    let target = Target::start().await;
    assert!(target.is_used(&setup, FIRST, "before").await);
    let mut body = json!({
        "service": "survey", "address": target.service.target.address, "zone": "zone-0", "version": "v1",
        "slots": 6, "state": "ready", "cold_left_ms": 0, "stage": "both", "models": [],
        "seq": 1_000, "born": born,
    });
    body[name] = value;
    for store in 0..3 {
        let status = register(&setup, store, id, &body.to_string()).await;
        assert_eq!(status, Some(StatusCode::OK));
    }
    time::sleep(PROPAGATION).await;
    let is_used = target.is_used_within(UNTIL_SILENCE, &setup, FIRST, "after").await;
    assert!(is_used, "the target is not used");
}
