//! Callers' requests through a real node to stand-in targets that fail.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use bytes::Bytes;
use catkinlatch_base::{KeyId, ModelId, RequestId};
use catkinlatch_node::{Server, Settings};
use catkinlatch_standin::{
    client::Client,
    engine::{Engine, Fault, Options},
    service::Service,
};
use catkinlatch_state::config::{Change, Edit, Key, Kind, Model, Reply, Route, Secret, Team};
use http::{Method, Response, StatusCode};
use serde_json::{Value, json};
use std::{
    net::{Ipv4Addr, SocketAddr},
    str::FromStr,
    time::Duration,
};

fn id<T: FromStr>(text: &str) -> T {
    let Ok(id) = text.parse() else { panic!("invalid id {text:?}") };
    id
}

/// A node with engines, a plain service, and clients for a caller and an operator.
struct Setup {
    server: Server,
    engines: Vec<Engine>,
    service: Service,
    caller: Client,
    operator: Client,
}

impl Setup {
    /// Starts a node, a plain service and one engine for each of `options`; `idempotent` is the
    /// setting of the engines' route.
    async fn start(idempotent: bool, options: Vec<Options>) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::start(Settings::loopback(id("host-1"), id("zone-a"))).await.unwrap();
        let nodes = vec![server.address()];
        let mut engines = Vec::new();
        for (number, options) in options.into_iter().enumerate() {
            let (name, nodes) = (id(&format!("engine-{number}")), nodes.clone());
            let engine = Engine::start(name, id("draft"), id("zone-a"), options, any_port, nodes);
            engines.push(engine.await.unwrap());
        }
        let survey = (id("survey-1"), id("survey"));
        let service = Service::start(survey.0, survey.1, id("zone-a"), any_port, nodes);
        let service = service.await.unwrap();
        let operator = Client::new(server.operator_address());
        let secret = Secret::generate_insecure(id("key-1"), &mut fastrand::Rng::new());
        let caller = Client::new(server.address()).with_key(secret.reveal());
        let setup = Self { server, engines, service, caller, operator };
        let model = Kind::Model(id::<ModelId>("draft"));
        setup
            .change(vec![
                Edit::PutTeam(Team::new(id("surveyors"))),
                Edit::PutKey(Key::new(id("surveyors"), &secret)),
                Edit::PutModel(Model::new(id("draft"))),
                Edit::PutRoute(Route::new(id("draft"), model).with_idempotent(idempotent)),
                Edit::PutRoute(Route::new(id("survey"), Kind::Service)),
            ])
            .await;
        setup
    }

    async fn change(&self, edits: Vec<Edit>) {
        let request: RequestId = id(&format!("change-{}", fastrand::u64(..)));
        let change = Change { request, base: None, edits };
        let response = self.operator.post("/v1/config/changes", &change).await.unwrap();
        let reply: Reply = serde_json::from_slice(response.body()).unwrap();
        assert!(matches!(reply, Reply::Accepted { .. }), "{reply:?}");
    }

    /// Posts a body to the plain service.
    async fn post_record(&self, headers: &[(&str, &str)], body: &'static str) -> Response<Bytes> {
        let path = "/v1/services/survey/records/7";
        self.caller.send(Method::POST, path, headers, Bytes::from(body)).await.unwrap()
    }

    async fn complete(&self, prompt: &str) -> Response<Bytes> {
        let body = json!({ "model": "draft", "prompt": prompt, "max_tokens": 8 });
        self.caller.post("/v1/completions", &body).await.unwrap()
    }

    async fn stream(&self, prompt: &str) -> Result<Response<Bytes>, String> {
        let body = json!({ "model": "draft", "prompt": prompt, "max_tokens": 8, "stream": true });
        self.caller.post("/v1/completions", &body).await
    }

    /// Returns the number of engines that have crashed.
    fn crashed_engines(&self) -> usize {
        self.engines.iter().filter(|engine| engine.has_crashed()).count()
    }

    async fn stop(self) {
        self.server.stop().await.unwrap();
        for engine in self.engines {
            engine.stop().await.unwrap();
        }
        self.service.stop().await.unwrap();
    }
}

/// Returns the options of an engine with a fault that prompts with "bad" trigger.
fn faulty(fault: Fault) -> Options {
    Options { faults: vec![("bad".to_owned(), fault)], ..Options::default() }
}

/// Returns the fields `code` and `ran` of a refusal.
fn refusal(response: &Response<Bytes>) -> (String, String) {
    let body: Value = serde_json::from_slice(response.body()).unwrap();
    let field = |name: &str| body[name].as_str().unwrap_or("none").to_owned();
    (field("code"), field("ran"))
}

fn expect(code: &str, ran: &str) -> (String, String) {
    (code.to_owned(), ran.to_owned())
}

#[tokio::test]
async fn resends_of_a_keyed_request_run_once() {
    let setup = Setup::start(true, Vec::new()).await;
    let keyed = [("idempotency-key", "record-7")];
    let body = "{\"delay_ms\":200,\"parapet\":\"cracked\"}";
    let resends = (0..5).map(|_| setup.post_record(&keyed, body));
    for response in futures::future::join_all(resends).await {
        assert_eq!((response.status(), response.body()), (StatusCode::OK, &Bytes::from(body)));
    }
    let later = setup.post_record(&keyed, body).await;
    assert_eq!((later.status(), later.body()), (StatusCode::OK, &Bytes::from(body)));
    assert_eq!(setup.service.runs().len(), 1);
    let reused = setup.post_record(&keyed, "{}").await;
    assert_eq!(refusal(&reused), expect("key_reused", "no"));
    let old = [("idempotency-key", "record-8"), ("idempotency-time", "soon")];
    assert_eq!(refusal(&setup.post_record(&old, "{}").await), expect("bad_request", "no"));
    assert_eq!(setup.service.runs().len(), 1);
    setup.stop().await;
}

#[tokio::test]
async fn a_non_idempotent_request_is_dispatched_once() {
    let fault = Fault::Break { after_tokens: 2 };
    let setup = Setup::start(false, vec![faulty(fault), Options::default()]).await;
    assert_eq!(refusal(&setup.complete("bad").await), expect("target_failed", "maybe"));
    assert!(setup.engines[1].records().is_empty());
    let body = Bytes::from(json!({ "model": "draft", "prompt": "bad bad" }).to_string());
    let keyed = [("idempotency-key", "letter-1")];
    for expected in ["target_failed", "outcome_unknown", "outcome_unknown"] {
        let sent = setup.caller.send(Method::POST, "/v1/completions", &keyed, body.clone()).await;
        assert_eq!(refusal(&sent.unwrap()), expect(expected, "maybe"));
    }
    assert!(setup.engines[1].records().is_empty());
    setup.stop().await;
}

#[tokio::test]
async fn a_broken_stream_resumes_at_another_engine() {
    let fault = Fault::Break { after_tokens: 3 };
    let setup = Setup::start(true, vec![faulty(fault), Options::default()]).await;
    let response = setup.stream("bad").await.unwrap();
    let text = String::from_utf8(response.body().to_vec()).unwrap();
    let data = text.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let events: Vec<Value> = data.filter_map(|data| serde_json::from_str(data).ok()).collect();
    let tokens: Vec<&str> =
        events.iter().filter_map(|event| event["choices"][0]["text"].as_str()).collect();
    assert_eq!(tokens.concat(), "t0 t1 t2 t3 t4 t5 t6 t7 ");
    assert_eq!(events.last().unwrap()["usage"]["completion_tokens"], 8);
    assert!(text.ends_with("data: [DONE]\n\n"));
    assert!(setup.engines[0].records().is_empty());
    setup.stop().await;
}

#[tokio::test]
async fn a_stream_that_no_engine_resumes_ends_with_an_error() {
    let fault = Fault::Break { after_tokens: 3 };
    let no_resume = Options { resumes: false, ..Options::default() };
    let setup = Setup::start(true, vec![faulty(fault), no_resume]).await;
    assert!(setup.stream("bad").await.is_err(), "the connection is cut");
    setup.stop().await;
}

#[tokio::test]
async fn one_bad_request_crashes_two_engines() {
    let engines = (0..5).map(|_| faulty(Fault::Crash)).collect();
    let setup = Setup::start(true, engines).await;
    let others = async {
        let others = (0..4).map(|number| {
            let (setup, prompt) = (&setup, format!("fellow {number}"));
            async move { setup.complete(&prompt).await.status() }
        });
        futures::future::join_all(others).await
    };
    let bad = async {
        let mut codes = Vec::new();
        for _ in 0..6 {
            codes.push(refusal(&setup.complete("bad").await).0);
        }
        codes
    };
    let (others, bad) = tokio::join!(others, bad);
    assert_eq!(setup.crashed_engines(), 2, "{bad:?}");
    assert_eq!(bad.last().unwrap(), "suspect", "{bad:?}");
    assert_eq!(setup.complete("good").await.status(), StatusCode::OK);
    assert_eq!(setup.crashed_engines(), 2);
    assert_eq!(others, [StatusCode::OK; 4]);
    setup.stop().await;
}

#[tokio::test]
async fn a_target_that_only_broke_a_connection_clears_the_request() {
    let setup = Setup::start(false, vec![faulty(Fault::Break { after_tokens: 1 })]).await;
    setup.complete("bad").await;
    assert_eq!(setup.server.node().control.state().suspects().list().len(), 1);
    let mut changes = setup.server.node().control.changes();
    while !setup.server.node().control.state().suspects().list().is_empty() {
        changes.changed().await.unwrap();
    }
    setup.stop().await;
}

#[tokio::test]
async fn a_crossed_answer_is_never_passed_on() {
    let setup = Setup::start(true, vec![faulty(Fault::WrongId), Options::default()]).await;
    for _ in 0..10 {
        setup.complete("warm").await;
    }
    let response = setup.complete("bad").await;
    assert_eq!(response.status(), StatusCode::OK);
    setup.stop().await;
    let setup = Setup::start(false, vec![faulty(Fault::WrongId)]).await;
    assert_eq!(refusal(&setup.complete("bad").await), expect("target_failed", "maybe"));
    setup.stop().await;
}

#[tokio::test]
async fn a_stream_ends_after_its_key_is_withdrawn() {
    let slow = Options { token_time: Duration::from_secs(3), ..Options::default() };
    let setup = Setup::start(true, vec![slow]).await;
    let withdraw = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        setup.change(vec![Edit::WithdrawKey(id::<KeyId>("key-1"))]).await;
    };
    let (streamed, ()) = tokio::join!(setup.stream("long"), withdraw);
    assert!(streamed.is_err(), "the stream is cut");
    assert_eq!(refusal(&setup.complete("more").await), expect("unauthorized", "no"));
    setup.stop().await;
}

#[tokio::test]
async fn without_targets_nothing_runs() {
    let setup = Setup::start(true, Vec::new()).await;
    assert_eq!(refusal(&setup.complete("any").await), expect("no_target", "no"));
    setup.stop().await;
}

/// Guards against requests that reach an evacuated zone, and against callers that are not told that
/// nothing was run.
#[tokio::test]
async fn an_evacuated_zone_gets_nothing_until_it_is_restored() {
    let setup = Setup::start(true, vec![Options::default()]).await;
    assert_eq!(setup.post_record(&[], "{}").await.status(), StatusCode::OK);
    let decide = async |ends: bool| {
        let decision = json!({ "zone": "zone-a", "ends": ends });
        let response = setup.operator.post("/v1/evacuation", &decision).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
    };
    decide(false).await;
    let before = setup.service.runs().len();
    for response in [setup.post_record(&[], "{}").await, setup.complete("parapet").await] {
        assert!(!response.status().is_success());
        assert_eq!(refusal(&response).1, "no");
    }
    assert_eq!(setup.service.runs().len(), before);
    decide(true).await;
    // The node's admission counts the slots of the zone again a moment later.
    let serves = async {
        while !setup.post_record(&[], "{}").await.status().is_success()
            || !setup.complete("parapet").await.status().is_success()
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), serves).await.expect("the zone is used again");
    setup.stop().await;
}
