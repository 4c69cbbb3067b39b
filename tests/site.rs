//! End-to-end tests of a deployment with the platform's interfaces: five processes of the real
//! program, and stand-ins for engines, services and the platform.
//!
//! The tests poll for an expected state instead of sleeping for a fixed time, except where noted;
//! a state that is not reached within a minute fails the test.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

#[path = "site/admission.rs"]
mod admission;
#[path = "site/answer.rs"]
mod answer;
#[path = "site/attempt.rs"]
mod attempt;
#[path = "site/build.rs"]
mod build;
#[path = "site/cold.rs"]
mod cold;
#[path = "site/directory.rs"]
mod directory;
#[path = "site/disk.rs"]
mod disk;
#[path = "site/drain.rs"]
mod drain;
#[path = "site/evacuation.rs"]
mod evacuation;
#[path = "site/flood.rs"]
mod flood;
#[path = "site/item.rs"]
mod item;
#[path = "site/key.rs"]
mod key;
#[path = "site/leaving.rs"]
mod leaving;
#[path = "site/limit.rs"]
mod limit;
#[path = "site/observations.rs"]
mod observations;
#[path = "site/odd.rs"]
mod odd;
#[path = "site/reach.rs"]
mod reach;
#[path = "site/resumed.rs"]
mod resumed;
#[path = "site/retire.rs"]
mod retire;
#[path = "site/seeds.rs"]
mod seeds;
#[path = "site/stale.rs"]
mod stale;
#[path = "site/status.rs"]
mod status;
#[path = "site/stream.rs"]
mod stream;
#[path = "site/suspect.rs"]
mod suspect;
#[path = "site/upgrade.rs"]
mod upgrade;
#[path = "site/usage.rs"]
mod usage;
#[path = "site/weights.rs"]
mod weights;
#[path = "site/wire.rs"]
mod wire;
#[path = "site/withdrawal.rs"]
mod withdrawal;

use bytes::Bytes;
use catkinlatch_standin::site::{self, Engine, Service, Site, Soak};
use http::{Request, Response, StatusCode};
use serde_json::{Value, json};
use std::{future::Future, path::PathBuf, time::Duration};
use stream::Stream;
use tempfile::TempDir;
use tokio::time;

/// Part of the log line that a store host writes once it has started.
const STARTED: &str = "\"event\":\"started\"";

/// A running deployment with its targets and a configuration in force.
struct Setup {
    site: Site,
    engines: Vec<Engine>,
    service: Service,
    _folder: TempDir,
}

impl Setup {
    async fn start() -> Self {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_catkinlatch"));
        Self::start_program(program, tempfile::tempdir().unwrap()).await
    }

    async fn start_program(program: PathBuf, folder: TempDir) -> Self {
        let site = Site::start(&program, folder.path()).await.unwrap();
        Self::with_site(site, folder).await
    }

    async fn with_site(site: Site, folder: TempDir) -> Self {
        let controls: Vec<String> =
            site.stores().iter().map(|host| host.address(site.ports.control)).collect();
        let mut engines = Vec::new();
        for id in ["engine-1", "engine-2"] {
            engines.push(Engine::start(id, "drafts", controls.clone()).await.unwrap());
        }
        let service = Service::start("survey-1", "survey", controls).await.unwrap();
        site.control("PUT", "/config", &configuration(1)).await;
        let setup = Self { site, engines, service, _folder: folder };
        for entry in 0..setup.site.entries().len() {
            wait_until("an entry host serves requests", || async {
                setup.request(entry, "POST", "/survey/1", "first", "").await.is_some_and(ok)
            })
            .await;
        }
        setup
    }

    /// Sends a request with the team's API key to an entry host; returns nothing if the call fails.
    async fn request(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        id: &str,
        body: &str,
    ) -> Option<Response<Bytes>> {
        let request = site::request(method, path, id, Duration::from_secs(3));
        let request = request.header("wait-ms", "200");
        let address = self.site.entries()[entry].address(self.site.ports.callers);
        self.site.call(&address, request.body(body.as_bytes().to_vec()).unwrap()).await
    }

    /// Submits a job to the first entry host until it is accepted.
    async fn submit(&self, id: &str, min_version: u64, items: usize) {
        let body = job(id, min_version, items);
        wait_until("the job is accepted", || async {
            let path = format!("/drafts/{id}");
            let answer = self.request(0, "POST", &path, id, &body).await;
            answer.is_some_and(|answer| answer.status() == StatusCode::ACCEPTED)
        })
        .await;
    }

    /// Waits until a job has `count` results and returns them.
    async fn results(&self, entry: usize, id: &str, count: usize) -> Vec<Value> {
        let mut results = Vec::new();
        wait_until("all results are listed", || async {
            let answer = self.request(entry, "GET", &format!("/lots/{id}?after=0"), "", "").await;
            answer.is_some_and(|answer| list(&answer).len() == count)
        })
        .await;
        if let Some(answer) =
            self.request(entry, "GET", &format!("/lots/{id}?after=0"), "", "").await
        {
            results = list(&answer);
        }
        results
    }
}

fn ok(answer: Response<Bytes>) -> bool {
    answer.status() == StatusCode::OK
}

fn list(answer: &Response<Bytes>) -> Vec<Value> {
    let body: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    body["results"].as_array().cloned().unwrap_or_default()
}

async fn wait_until<F: Future<Output = bool>>(what: &str, state: impl Fn() -> F) {
    let wait = async {
        while !state().await {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(time::timeout(Duration::from_secs(60), wait).await.is_ok(), "timed out: {what}");
}

fn configuration(version: u64) -> String {
    let routes = json!([
        {"name": "survey", "host": "site.example", "path_prefix": "/survey/",
         "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2,
         "service": "survey", "max_attempts": 4, "public": false},
        {"name": "score", "host": "site.example", "path_prefix": "/score/",
         "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2,
         "service": "survey", "max_attempts": 4, "public": true},
        {"name": "file", "host": "site.example", "path_prefix": "/file/",
         "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2,
         "service": "survey", "max_attempts": 4, "public": false},
        {"name": "chat", "host": "site.example", "path_prefix": "/chat/", "kind": "stream",
         "timeout_ms": 2000, "target_latency_ms": 400, "priority": 1, "service": "drafts",
         "max_attempts": 3, "public": false, "resumable": true},
        {"name": "once", "host": "site.example", "path_prefix": "/once/", "kind": "stream",
         "timeout_ms": 2000, "target_latency_ms": 400, "priority": 1, "service": "drafts",
         "max_attempts": 3, "public": false},
        {"name": "drafts", "host": "site.example", "path_prefix": "/drafts/",
         "kind": "rollout", "target_latency_ms": 400, "priority": 1, "service": "drafts",
         "max_attempts": 3, "public": false, "due_ms": 7500, "max_wait_s": 40},
    ]);
    site::configuration(version, routes.as_array().unwrap())
}

fn job(id: &str, min_version: u64, items: usize) -> String {
    let item = |number: usize| {
        json!({"id": format!("{id}-{number}"), "path": format!("/drafts/{number}"),
               "headers": {"Model": "model", "Token-Count": "10,50"}, "body": "Ym9keQ==",
               "tokens": 60, "group": format!("g{}", number / 2),
               "scorer": {"id": format!("{id}-{number}-score"), "host": "site.example",
                          "path": "/score/1", "body": "c2NvcmU="}})
    };
    let items: Vec<Value> = (0..items).map(item).collect();
    json!({"step": 1, "model": "model", "min_version": min_version, "group_count": 1,
           "items": items})
    .to_string()
}

/// Checks that each result is complete, is generated by the given versions only, and has the score
/// of its own scoring request.
fn check(results: &[Value], versions: &[u64]) {
    check_events(results, versions, 5);
}

fn check_events(results: &[Value], versions: &[u64], events: u64) {
    for result in results {
        let id = result["id"].as_str().unwrap();
        let text: Vec<String> = (1..=events).map(|event| format!("{id} event {event}")).collect();
        assert_eq!(result["text"], text.join("\n"), "{result}");
        assert_eq!(result["state"], "completed");
        assert_eq!(result["score"], format!("seal-of-{id}-score"));
        let generated_by: Vec<u64> =
            result["versions"].as_array().unwrap().iter().filter_map(Value::as_u64).collect();
        assert!(generated_by.iter().all(|version| versions.contains(version)), "{result}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_jobs_versions_usage_and_shutdown_work() {
    let mut setup = Setup::start().await;

    // A live request is answered completely, with the target's signature, and the caller's API key
    // is not passed on.
    let answer = setup.request(0, "POST", "/survey/9", "live", "body").await.unwrap();
    assert_eq!(answer.headers()["server-seal"], "seal-of-live");
    assert_eq!(answer.body(), "answer to live");
    let headers = setup.service.headers_of_runs.lock().unwrap()["live"][0].clone();
    assert_eq!((headers["tenant"].as_str(), headers.contains_key("x-api-key")), ("team", false));
    assert_eq!(headers["expect-instance"], "survey-1");

    // A batch job in which one run on each engine is interrupted and resumed after its last event.
    setup.engines[0].state().runs_to_break = 1;
    setup.engines[1].state().runs_to_break = 1;
    setup.submit("job-1", 1, 6).await;
    check(&setup.results(1, "job-1", 6).await, &[1]);
    let resumed: Vec<u64> = setup
        .engines
        .iter()
        .flat_map(|engine| engine.state().runs.values().flatten().copied().collect::<Vec<_>>())
        .filter(|last| *last > 0)
        .collect();
    assert_eq!(resumed, [2, 2], "two runs must be resumed after their second event");

    // Published versions are loaded by the engines, and a job can require one as its minimum.
    setup.site.control("POST", "/version-put", r#"{"model":"model","version":2}"#).await;
    setup.site.control("POST", "/version-put", r#"{"model":"model","version":3}"#).await;
    setup.submit("job-2", 3, 4).await;
    check(&setup.results(0, "job-2", 4).await, &[3]);

    // An ended job keeps its results.
    let ended = setup.request(1, "DELETE", "/lots/job-2", "", "").await.unwrap();
    assert_eq!(ended.status(), StatusCode::OK);
    assert_eq!(setup.results(0, "job-2", 4).await.len(), 4);

    // Usage is reported, and no window is reported twice with different contents.
    wait_until("the live requests are reported", || async {
        setup.site.platform.requests("team") >= 3
    })
    .await;
    assert!(setup.site.platform.reports().values().all(|report| !report.is_contradicted));

    // All processes exit with code 0 on request.
    for host in &mut setup.site.hosts {
        assert_eq!(host.stop().unwrap(), Some(0), "{}: {}", host.name, host.log());
        let log = host.log();
        assert!(log.trim_end().lines().last().unwrap().contains("\"event\":\"ends\""), "{log}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_input_is_refused_with_its_status_and_has_no_effect() {
    let setup = Setup::start().await;
    let status = |answer: Option<Response<Bytes>>| answer.map(|answer| answer.status());

    let unknown = setup.request(0, "POST", "/none/1", "a", "").await;
    assert_eq!(status(unknown), Some(StatusCode::NOT_FOUND));
    let no_job = setup.request(0, "GET", "/lots/none?after=0", "b", "").await;
    assert_eq!(status(no_job), Some(StatusCode::NOT_FOUND));
    let unreadable = setup.request(0, "POST", "/drafts/x", "c", "{\"items\":").await;
    assert_eq!(status(unreadable), Some(StatusCode::BAD_REQUEST));
    let long = "x".repeat(1_048_577);
    let too_long = setup.request(0, "POST", "/survey/1", "d", &long).await;
    assert_eq!(status(too_long), Some(StatusCode::PAYLOAD_TOO_LARGE));

    let entry = setup.site.entries()[0].address(setup.site.ports.callers);
    let keyless = Request::post("/survey/1").header("host", "site.example");
    let keyless = keyless.header("attempt-id", "e").body(Vec::new()).unwrap();
    let answer = setup.site.call(&entry, keyless).await;
    assert_eq!(status(answer), Some(StatusCode::UNAUTHORIZED));
    assert_eq!(setup.service.runs("e"), 0);

    let control = setup.site.stores()[0].address(setup.site.ports.control);
    let invalid = configuration(9).replace("\"timeout_ms\":2000", "\"timeout_ms\":0");
    for (path, body) in [
        ("/config", invalid.as_str()),
        ("/config", &configuration(9)[..100]),
        ("/instances/survey-9", "{\"service\":3}"),
    ] {
        let request = Request::put(path).header("host", "control");
        let request = request.body(body.as_bytes().to_vec()).unwrap();
        let answer = setup.site.call(&control, request).await;
        assert_eq!(status(answer), Some(StatusCode::BAD_REQUEST), "{path} {body}");
    }
    let in_force: Value =
        serde_json::from_slice(&setup.site.control("GET", "/config", "").await).unwrap();
    assert_eq!(in_force["version"], 1);
    let served = setup.request(0, "POST", "/survey/1", "f", "").await;
    assert_eq!(status(served), Some(StatusCode::OK));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn acknowledged_data_survives_wiping_the_disks_one_after_the_other() {
    let mut setup = Setup::start().await;
    setup.submit("job-1", 1, 4).await;
    let before = setup.results(0, "job-1", 4).await;
    setup.site.control("PUT", "/config", &configuration(5)).await;
    for store in 0..setup.site.stores().len() {
        let starts = |log: &str| log.matches(STARTED).count();
        let before = starts(&setup.site.hosts[store].log());
        setup.site.hosts[store].wipe().unwrap();
        setup.site.hosts[store].start().unwrap();
        wait_until("the wiped host is a voter again", || async {
            let log = setup.site.hosts[store].log();
            let since = log.rsplit(STARTED).next().unwrap_or_default();
            let role = since.lines().rev().find(|line| line.contains("\"event\":\"role\""));
            let votes = role.is_some_and(|line| {
                ["follower", "candidate", "\"role\":\"leader\""]
                    .iter()
                    .any(|role| line.contains(role))
            });
            starts(&log) > before && votes
        })
        .await;
    }
    assert_eq!(setup.results(1, "job-1", 4).await, before);
    let in_force: Value =
        serde_json::from_slice(&setup.site.control("GET", "/config", "").await).unwrap();
    assert_eq!(in_force["version"], 5);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_leader_takes_no_live_host_for_silent() {
    let mut setup = Setup::start().await;
    let takeovers = |log: &str| log.matches("took over the duties").count();
    let leader = || {
        setup.site.stores().iter().position(|host| {
            let log = host.log();
            takeovers(&log) > log.matches("gave up the duties").count()
        })
    };
    wait_until("a host is the leader", || async { leader().is_some() }).await;
    let leader = leader().unwrap();
    // After this time, heartbeats of the entry hosts that the other hosts may have received before
    // are older than the timeout of unresponsive hosts.
    time::sleep(Duration::from_secs(3)).await;
    setup.site.hosts[leader].kill().unwrap();
    let others: Vec<usize> = (0..setup.site.stores().len()).filter(|at| *at != leader).collect();
    wait_until("another host is the leader", || async {
        others.iter().any(|other| takeovers(&setup.site.hosts[*other].log()) > 0)
    })
    .await;
    // Unresponsive hosts are checked for twice a second.
    time::sleep(Duration::from_secs(1)).await;
    let entries = setup.site.entries().iter().map(|entry| entry.address(0).replace(":0", ""));
    for entry in entries {
        let is_report = |line: &str| line.contains("a process is silent") && line.contains(&entry);
        let logs = others.iter().map(|other| setup.site.hosts[*other].log());
        assert!(
            !logs
                .flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>())
                .any(|line| is_report(&line)),
            "{entry} was reported as unresponsive"
        );
    }
}

/// Duration of the fault injection in the test; `soak --site` runs for longer.
const FAILURES: Duration = Duration::from_secs(12);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn random_failures_violate_no_invariant() {
    let folder = tempfile::tempdir().unwrap();
    let program = PathBuf::from(env!("CARGO_BIN_EXE_catkinlatch"));
    let folder_path = folder.path().into();
    let soak = Soak { program, folder: folder_path, duration: FAILURES, seed: 7, has_cuts: false };
    let report = soak.run().await.unwrap();
    assert!(report.violations.is_empty(), "{report}\n{:#?}", report.faults);
    for name in ["served", "streams", "results", "configurations", "evacuations", "windows"] {
        assert!(report.counts[name] > 0, "no {name}: {report}");
    }
}
