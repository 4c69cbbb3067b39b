//! Rollouts through a node and stand-in engines.

use bytes::Bytes;
use catkinlatch_base::{TeamId, TrainerId, Version};
use catkinlatch_node::{Server, Settings};
use catkinlatch_rollout::{
    evidence::Span,
    pool::{Group, Sample},
};
use catkinlatch_standin::{
    client::Client,
    engine::{Engine, Fault, Options, Swap},
};
use catkinlatch_state::config::{Change, Edit, Key, Kind, Model, Route, Secret, Team, Trainer};
use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

/// How long a test waits for an answer or an expected state.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The part of a batch that the tests read.
#[derive(Deserialize)]
struct Batch {
    samples: Vec<Sample>,
}

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the id is valid")
}

/// A node with stand-in engines and a trainer's client.
struct Fixture {
    _server: Server,
    engines: Vec<Engine>,
    trainer: Client,
}

impl Fixture {
    async fn start(engines: Vec<Options>) -> Self {
        let server = Server::start(Settings::loopback(id("host-1"), id("zone-a"))).await;
        let server = server.expect("the node starts");
        let secret = Secret::generate_insecure(id("surveyors-1"), &mut fastrand::Rng::with_seed(1));
        let mut started = Vec::new();
        for (place, options) in engines.into_iter().enumerate() {
            let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let name = id(&format!("engine-{place}"));
            let nodes = vec![server.address()];
            let engine = Engine::start(name, id("draft"), id("zone-a"), options, listen, nodes);
            started.push(engine.await.expect("the engine starts"));
        }
        let (team, trainer): (TeamId, TrainerId) = (id("surveyors"), id("defects"));
        let model = Model::new(id("draft")).with_trainer(trainer.clone());
        let route = Route::new(id("draft"), Kind::Model(id("draft")));
        let edits = vec![
            Edit::PutTeam(Team::new(team.clone())),
            Edit::PutKey(Key::new(team.clone(), &secret)),
            Edit::PutModel(model),
            Edit::PutRoute(route),
            Edit::PutTrainer(Trainer::new(trainer, team, id("draft"), 2)),
        ];
        let change = Change { request: id("setup"), base: None, edits };
        let operator = Client::new(server.operator_address());
        let changed = operator.post("/v1/config/changes", &change).await.expect("an answer comes");
        assert!(changed.status().is_success(), "{changed:?}");
        let trainer = Client::new(server.address()).with_key(secret.reveal());
        Self { _server: server, engines: started, trainer }
    }

    async fn publish(&self, version: u64) {
        let body = json!({ "version": version });
        let answer = self.trainer.post("/v1/trainers/defects/versions", &body).await;
        assert!(answer.expect("an answer comes").status().is_success());
    }

    async fn post(&self, name: &str, max_tokens: u32) -> StatusCode {
        self.post_prompts(name, vec!["describe the crack".to_owned(); 2], max_tokens).await
    }

    async fn post_prompts(&self, name: &str, prompts: Vec<String>, max_tokens: u32) -> StatusCode {
        let group = Group { id: id(name), prompts, max_tokens };
        let answer = self.trainer.post("/v1/trainers/defects/groups", &group).await;
        answer.expect("an answer comes").status()
    }

    async fn take(&self, number: u64) -> (StatusCode, Bytes) {
        let path = format!("/v1/trainers/defects/batches/{number}");
        let asked = self.trainer.send(Method::GET, &path, &[], Bytes::new());
        let answer =
            tokio::time::timeout(TEST_TIMEOUT, asked).await.expect("the answer arrives in time");
        let answer = answer.expect("an answer comes");
        (answer.status(), answer.into_body())
    }

    async fn samples(&self, number: u64) -> Vec<Sample> {
        let (status, body) = self.take(number).await;
        assert_eq!(status, StatusCode::OK, "{body:?}");
        serde_json::from_slice::<Batch>(&body).expect("the answer is a batch").samples
    }

    /// Returns the versions that the engine that ran a sample recorded for it.
    fn recorded(&self, sample: &Sample) -> Vec<Version> {
        let of_sample = |record: &catkinlatch_standin::engine::Record| {
            record.request.as_str() == sample.task.sample.as_str()
        };
        let mut records = self.engines.iter().flat_map(Engine::records);
        records.find(of_sample).map(|record| record.versions).unwrap_or_default()
    }

    /// Waits until all engines have loaded a version.
    async fn wait_until_loaded(&self, version: u64) {
        let waits = async {
            while self.engines.iter().any(|engine| engine.version().get() != version) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, waits).await.expect("the engines load the version");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_requested_again_has_the_same_bytes() {
    let fixture = Fixture::start(vec![Options::default()]).await;
    assert!(fixture.post("group-1", 4).await.is_success());
    assert!(fixture.post("group-2", 4).await.is_success());
    let first = fixture.take(1).await;
    assert_eq!(first.0, StatusCode::OK);
    assert_eq!(fixture.take(1).await, first);
    assert_eq!(fixture.take(2).await.0, StatusCode::OK);
    assert_eq!(
        fixture.take(1).await.0,
        StatusCode::CONFLICT,
        "fetching batch 2 acknowledges batch 1"
    );
    assert_eq!(fixture.take(4).await.0, StatusCode::CONFLICT, "batch 4 is not the next one");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_posted_again_runs_once() {
    let fixture = Fixture::start(vec![Options::default()]).await;
    assert!(fixture.post("group-1", 4).await.is_success());
    assert!(fixture.post("group-1", 4).await.is_success());
    let first = fixture.samples(1).await;
    assert!(fixture.post("group-1", 4).await.is_success());
    assert!(fixture.post("group-2", 4).await.is_success());
    let second = fixture.samples(2).await;
    assert!(first.iter().all(|sample| sample.task.group.as_str() == "group-1"));
    assert!(second.iter().all(|sample| sample.task.group.as_str() == "group-2"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_swap_during_a_sample_reports_both_versions() {
    let options = Options { token_time: Duration::from_millis(10), ..Options::default() };
    let fixture = Fixture::start(vec![options]).await;
    assert!(fixture.post("group-1", 100).await.is_success());
    tokio::time::sleep(Duration::from_millis(200)).await;
    fixture.publish(1).await;
    let samples = fixture.samples(1).await;
    let both = [Version::new(0), Version::new(1)];
    for sample in &samples {
        let seen: Vec<Version> = sample.evidence.versions().collect();
        assert_eq!(
            seen,
            fixture.recorded(sample),
            "the evidence must equal the engine's own record"
        );
        assert_eq!(seen, both);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_swap_keeps_the_version_that_the_engine_reports() {
    let swap = Swap { failures: u32::MAX, ..Swap::default() };
    let fixture = Fixture::start(vec![Options { swap, ..Options::default() }]).await;
    fixture.publish(1).await;
    assert!(fixture.post("group-1", 4).await.is_success());
    for sample in fixture.samples(1).await {
        assert_eq!(
            sample.evidence.spans.iter().map(|span: &Span| span.version.get()).max(),
            Some(0)
        );
        assert_eq!(fixture.recorded(&sample), [Version::new(0)]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_engines_load_each_version_in_waves() {
    let swap = Swap { time: Duration::from_millis(50), ..Swap::default() };
    let options = Options { swap, ..Options::default() };
    let fixture = Fixture::start(vec![options; 4]).await;
    fixture.publish(1).await;
    fixture.wait_until_loaded(1).await;
    fixture.publish(2).await;
    fixture.wait_until_loaded(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_reports_nonsense_delivers_nothing() {
    let swap = Swap { reports_unpublished_version: true, ..Swap::default() };
    let faulty = Options { swap, ..Options::default() };
    let fixture = Fixture::start(vec![faulty, Options::default()]).await;
    assert!(fixture.post("group-1", 4).await.is_success());
    for sample in fixture.samples(1).await {
        let correct = fixture.engines[1].records();
        assert!(correct.iter().any(|r| r.request.as_str() == sample.task.sample.as_str()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sample_that_crashes_engines_ends_two_of_them_and_other_groups_are_delivered() {
    let faults = vec![("bad".to_owned(), Fault::Crash)];
    let options = Options { faults, ..Options::default() };
    let fixture = Fixture::start(vec![options; 5]).await;
    assert!(fixture.post_prompts("group-bad", vec!["bad".to_owned()], 16).await.is_success());
    for number in 1..=3 {
        assert!(fixture.post(&format!("group-{number}"), 4).await.is_success());
        let samples = fixture.samples(number).await;
        assert!(samples.iter().all(|sample| sample.task.group.as_str() != "group-bad"));
    }
    // Longer than the backoff between the runs of a sample.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let crashed = fixture.engines.iter().filter(|engine| engine.has_crashed()).count();
    assert_eq!(crashed, 2);
}
