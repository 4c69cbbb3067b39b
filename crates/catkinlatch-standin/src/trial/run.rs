//! Starts a node and stand-ins, sends one request of each kind, and checks the results.

use super::Checks;
use crate::{
    client::Client,
    engine::{self, Engine},
    platform::Platform,
    service::Service,
};
use bytes::Bytes;
use catkinlatch_base::{BatchNumber, KeyId, ModelId, TeamId, Tokens, TrainerId, Version, ZoneId};
use catkinlatch_node::{Server, Settings};
use catkinlatch_rollout::pool::{Group, Sample};
use catkinlatch_state::config::{
    self, Change, Edit, Key, Kind, Model, Route, Secret, Team, Trainer,
};
use http::{Method, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

/// Length of a usage window.
const WINDOW_MS: u64 = 1_000;

/// Time limit for all engines to load a version, and for usage to be reported.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between polls while the trial waits.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of samples in a batch.
const BATCH_SAMPLES: u32 = 4;

/// A batch as the node returns it to a trainer.
#[derive(Deserialize, PartialEq)]
struct Batch {
    number: BatchNumber,
    samples: Vec<Sample>,
}

/// The node and stand-ins of a running trial, and the results so far.
struct Trial {
    server: Server,
    engines: Vec<Engine>,
    service: Service,
    platform: Platform,
    caller: Client,
    operator: Client,
    checks: Checks,
}

/// Runs the trial and returns the results of its checks.
///
/// # Errors
///
/// Returns an error if a part cannot be started or stopped, or if a request gets no well-formed
/// answer. Failed checks are not errors; see [`Checks::all_passed`].
pub async fn run() -> Result<Checks, String> {
    let mut trial = Trial::start().await?;
    trial.check_live_request().await?;
    trial.check_streamed_request().await?;
    trial.check_service_call().await?;
    trial.check_rollout().await?;
    trial.check_withdrawn_key().await?;
    trial.check_usage().await?;
    trial.check_credentials();
    trial.stop().await
}

impl Trial {
    async fn start() -> Result<Self, String> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = Platform::start(any_port).await?;
        let settings = Settings::loopback(id("host-1"), id("zone-a"))
            .with_platform(platform.address().to_string())
            .with_target_credential("target-credential".to_owned())
            .with_usage_window_ms(WINDOW_MS);
        let server = Server::start(settings).await.map_err(|error| error.to_string())?;
        let nodes = vec![server.address()];
        let mut engines = Vec::new();
        for name in ["engine-1", "engine-2"] {
            let (model, zone): (ModelId, ZoneId) = (id("draft"), id("zone-a"));
            let options = engine::Options::default();
            let started =
                Engine::start(id(name), model, zone, options, any_port, nodes.clone()).await?;
            engines.push(started);
        }
        let service =
            Service::start(id("survey-1"), id("survey"), id("zone-a"), any_port, nodes).await?;
        let operator = Client::new(server.operator_address());
        let secret = Secret::generate_insecure(id("surveyors-1"), &mut fastrand::Rng::new());
        let caller = Client::new(server.address()).with_key(secret.reveal());
        let checks = Checks::default();
        let mut trial = Self { server, engines, service, platform, caller, operator, checks };
        trial.configure(&secret).await?;
        Ok(trial)
    }

    async fn configure(&mut self, secret: &Secret) -> Result<(), String> {
        let (team, model): (TeamId, ModelId) = (id("surveyors"), id("draft"));
        let trainer: TrainerId = id("defects");
        let draft = Route::new(id("draft"), Kind::Model(model.clone())).with_idempotent(true);
        let edits = vec![
            Edit::PutTeam(Team::new(team.clone())),
            Edit::PutKey(Key::new(team.clone(), secret)),
            Edit::PutModel(Model::new(model.clone()).with_trainer(trainer.clone())),
            Edit::PutRoute(draft),
            Edit::PutRoute(Route::new(id("survey"), Kind::Service)),
            Edit::PutTrainer(Trainer::new(trainer, team, model, BATCH_SAMPLES)),
        ];
        self.apply_change("setup", edits).await
    }

    async fn apply_change(&mut self, request: &str, edits: Vec<Edit>) -> Result<(), String> {
        let change = Change { request: id(request), base: None, edits };
        let response = self.operator.post("/v1/config/changes", &change).await?;
        let reply: config::Reply = parse(&response)?;
        let accepted = matches!(reply, config::Reply::Accepted { .. });
        self.checks.add("a configuration change is accepted", accepted, request);
        Ok(())
    }

    async fn check_live_request(&mut self) -> Result<(), String> {
        let response =
            self.caller.post("/v1/chat/completions", &chat("trial-whole", false)).await?;
        let answer: Value = parse(&response)?;
        let tokens = &answer["usage"]["completion_tokens"];
        let is_complete = response.status() == StatusCode::OK && tokens == 8;
        self.checks.add(
            "a live request gets a complete answer",
            is_complete,
            format!("{tokens} tokens"),
        );
        Ok(())
    }

    async fn check_streamed_request(&mut self) -> Result<(), String> {
        let response = self.caller.post("/v1/chat/completions", &chat("trial-sse", true)).await?;
        let text = String::from_utf8_lossy(response.body());
        let chunks = text.matches("\"delta\"").count();
        let is_complete = chunks == 8 && text.trim_end().ends_with("data: [DONE]");
        self.checks.add(
            "a streamed request gets a complete answer",
            is_complete,
            format!("{chunks} chunks"),
        );
        Ok(())
    }

    async fn check_service_call(&mut self) -> Result<(), String> {
        let body = Bytes::from_static(b"{\"parapet\":\"cracked\"}");
        let path = "/v1/services/survey/records/7?api_key=ck_surveyors-1_in-the-query";
        let response = self.caller.send(Method::POST, path, &[], body.clone()).await?;
        let is_echoed = response.status() == StatusCode::OK && *response.body() == body;
        let runs = self.service.runs().len();
        self.checks.add(
            "a plain-service call runs once",
            is_echoed && runs == 1,
            format!("{runs} runs"),
        );
        Ok(())
    }

    async fn check_rollout(&mut self) -> Result<(), String> {
        self.publish(1).await?;
        self.post_group("group-1").await?;
        let first: Batch = self.caller.get("/v1/trainers/defects/batches/1").await?;
        self.publish(2).await?;
        self.post_group("group-2").await?;
        let second: Batch = self.caller.get("/v1/trainers/defects/batches/2").await?;
        let again: Batch = self.caller.get("/v1/trainers/defects/batches/2").await?;
        let same = second == again;
        self.checks.add("a batch requested twice is the same", same, "batch 2");
        let is_complete = first.number.get() == 1 && first.samples.len() == BATCH_SAMPLES as usize;
        self.checks.add(
            "a batch is complete",
            is_complete,
            format!("{} samples", first.samples.len()),
        );
        for (batch, version) in [(&first, 1), (&second, 2)] {
            let versions: Vec<Version> =
                batch.samples.iter().flat_map(|sample| sample.evidence.versions()).collect();
            let is_expected = versions.iter().all(|actual| *actual == Version::new(version));
            let observed = format!("batch {} has version {version}", batch.number);
            let name = "samples name the version that produced them";
            self.checks.add(name, is_expected && self.matches_records(batch), observed);
        }
        Ok(())
    }

    async fn publish(&mut self, version: u64) -> Result<(), String> {
        let publication = json!({ "version": version });
        let response = self.caller.post("/v1/trainers/defects/versions", &publication).await?;
        self.checks.add(
            "a version is published",
            response.status().is_success(),
            version.to_string(),
        );
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        let version = Version::new(version);
        let loaded = |engine: &Engine| engine.version() == version;
        while !self.engines.iter().all(loaded) && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let all = self.engines.iter().all(loaded);
        self.checks.add("all engines load a version", all, version.to_string());
        Ok(())
    }

    async fn post_group(&mut self, name: &str) -> Result<(), String> {
        let prompts = (0..BATCH_SAMPLES).map(|n| format!("describe defect {n}")).collect();
        let group = Group { id: id(name), prompts, max_tokens: 8 };
        let response = self.caller.post("/v1/trainers/defects/groups", &group).await?;
        self.checks.add("a group is accepted", response.status().is_success(), name);
        Ok(())
    }

    /// Returns whether the engines recorded the same versions for all samples of a batch.
    fn matches_records(&self, batch: &Batch) -> bool {
        let records: Vec<engine::Record> = self.engines.iter().flat_map(Engine::records).collect();
        batch.samples.iter().all(|sample| {
            let of_sample =
                |record: &&engine::Record| record.request.as_str() == sample.task.sample.as_str();
            let record = records.iter().find(of_sample);
            record.is_some_and(|record| {
                sample.evidence.versions().eq(record.versions.iter().copied())
            })
        })
    }

    async fn check_withdrawn_key(&mut self) -> Result<(), String> {
        let key: KeyId = id("surveyors-1");
        self.apply_change("withdraw", vec![Edit::WithdrawKey(key)]).await?;
        let response = self.caller.post("/v1/chat/completions", &chat("trial-late", false)).await?;
        let refused = response.status() == StatusCode::UNAUTHORIZED;
        let refusal: Value = parse(&response)?;
        let observed = format!("{}, ran: {}", response.status(), refusal["ran"]);
        self.checks.add("a withdrawn key is refused", refused && refusal["ran"] == "no", observed);
        Ok(())
    }

    async fn check_usage(&mut self) -> Result<(), String> {
        let records: Vec<engine::Record> = self.engines.iter().flat_map(Engine::records).collect();
        let generated: u64 = records.iter().map(|record| record.completion_tokens).sum();
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while self.reported_tokens() < generated && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let reported = self.reported_tokens();
        let observed = format!("{generated} tokens generated, {reported} reported");
        self.checks.add("usage reports agree with the engines", generated == reported, observed);
        let mut windows: Vec<_> = self.platform.reports().iter().map(|r| r.window).collect();
        let reports = windows.len();
        windows.sort();
        windows.dedup();
        let observed = format!("{reports} reports, {} windows", windows.len());
        self.checks.add("each window is reported once", reports == windows.len(), observed);
        Ok(())
    }

    fn reported_tokens(&self) -> u64 {
        let reports = self.platform.reports();
        let figures = reports.iter().flat_map(|report| &report.figures);
        figures.map(|figure| figure.completion_tokens).sum::<Tokens>().get()
    }

    fn check_credentials(&mut self) {
        let records: Vec<engine::Record> = self.engines.iter().flat_map(Engine::records).collect();
        let observed = records.iter().filter(|record| record.saw_caller_key).count()
            + usize::from(self.service.saw_caller_key());
        self.checks.add(
            "no target sees a caller's key",
            observed == 0,
            format!("{observed} of {}", records.len()),
        );
    }

    async fn stop(self) -> Result<Checks, String> {
        for engine in self.engines {
            engine.stop().await?;
        }
        self.service.stop().await?;
        self.server.stop().await?;
        self.platform.stop().await?;
        Ok(self.checks)
    }
}

fn chat(prompt: &str, stream: bool) -> Value {
    json!({ "model": "draft", "stream": stream, "max_tokens": 8,
        "messages": [{ "role": "user", "content": prompt }] })
}

fn parse<T: serde::de::DeserializeOwned>(response: &Response<Bytes>) -> Result<T, String> {
    serde_json::from_slice(response.body()).map_err(|error| {
        format!("{}: {error}: {}", response.status(), String::from_utf8_lossy(response.body()))
    })
}

fn id<T: std::str::FromStr>(text: &str) -> T {
    let Ok(id) = text.parse() else { panic!("the trial's id {text:?} is valid") };
    id
}
