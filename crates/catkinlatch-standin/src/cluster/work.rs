//! Callers of a cluster, and the outcomes of their requests.

use super::Cluster;
use crate::client::Client;
use bytes::Bytes;
use catkinlatch_base::RequestId;
use catkinlatch_state::config::Secret;
use http::{Method, Response, StatusCode};
use serde_json::{Value, json};
use std::{collections::BTreeMap, time::Duration};
use tokio::time;

/// How long a caller waits for a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The outcomes of callers' requests.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Requests that got their own complete answer.
    pub answered: Vec<RequestId>,
    /// Requests that were refused as not run.
    pub not_run: Vec<RequestId>,
    /// Requests for which the caller can't tell whether they ran.
    pub unknown: Vec<RequestId>,
    /// Requests that got another request's answer or an incomplete one.
    pub wrong: Vec<RequestId>,
}

impl Outcomes {
    /// Returns the number of requests.
    pub fn total(&self) -> usize {
        self.answered.len() + self.not_run.len() + self.unknown.len() + self.wrong.len()
    }

    /// Adds the outcomes of another caller.
    pub fn add(&mut self, other: Self) {
        self.answered.extend(other.answered);
        self.not_run.extend(other.not_run);
        self.unknown.extend(other.unknown);
        self.wrong.extend(other.wrong);
    }

    /// Returns a description of each broken guarantee: a request ran more than once, an answered
    /// one never ran, one refused as not run did run, or an answer was wrong.
    ///
    /// `runs` has the request id of every run at a target, with repetitions.
    pub fn violations(&self, runs: &[RequestId]) -> Vec<String> {
        let mut counts = BTreeMap::<&RequestId, usize>::new();
        for run in runs {
            *counts.entry(run).or_default() += 1;
        }
        let count = |id: &RequestId| counts.get(id).copied().unwrap_or_default();
        let mut violations = Vec::new();
        for (id, runs) in counts.iter().filter(|(_, runs)| **runs > 1) {
            violations.push(format!("request {id} ran {runs} times"));
        }
        for id in self.answered.iter().filter(|id| count(id) == 0) {
            violations.push(format!("request {id} was answered, but never ran"));
        }
        for id in self.not_run.iter().filter(|id| count(id) > 0) {
            violations.push(format!("request {id} was refused as not run, but ran"));
        }
        for id in &self.wrong {
            violations
                .push(format!("request {id} got another request's answer or an incomplete one"));
        }
        violations
    }
}

/// A caller that sends non-idempotent requests through the hosts of a cluster.
#[derive(Debug)]
pub struct Caller {
    clients: Vec<Client>,
    name: String,
    sent: usize,
}

impl Caller {
    /// Creates a caller with an API key; `name` is the prefix of its request ids.
    pub fn new(cluster: &Cluster, secret: &Secret, name: &str) -> Self {
        let client = |address| Client::new(address).with_key(secret.reveal());
        let clients = cluster.addresses().into_iter().map(client).collect();
        Self { clients, name: name.to_owned(), sent: 0 }
    }

    /// Sends one request through a host and records its outcome in `outcomes`.
    pub async fn send_request(&mut self, host: usize, outcomes: &mut Outcomes) {
        self.sent += 1;
        let id = format!("{}-{}", self.name, self.sent);
        let body = json!({ "record": id }).to_string();
        let headers = [("catkinlatch-request-id", id.as_str())];
        let path = "/v1/services/survey/records";
        let response =
            self.clients[host].send(Method::POST, path, &headers, Bytes::from(body.clone()));
        let request: RequestId = id.parse().expect("the id is valid");
        match time::timeout(CALL_TIMEOUT, response).await {
            Ok(Ok(response)) => record_outcome(request, &response, &body, outcomes),
            Ok(Err(_)) | Err(_) => outcomes.unknown.push(request),
        }
    }

    /// Sends a chat request through a host and returns the status of the response, or `None` on an
    /// error or timeout.
    pub async fn chat(&self, host: usize) -> Option<StatusCode> {
        let body = json!({ "model": "draft", "max_tokens": 4,
            "messages": [{ "role": "user", "content": "describe" }] });
        let answer = self.clients[host].post("/v1/chat/completions", &body);
        time::timeout(CALL_TIMEOUT, answer).await.ok()?.ok().map(|answer| answer.status())
    }
}

fn record_outcome(id: RequestId, response: &Response<Bytes>, body: &str, outcomes: &mut Outcomes) {
    if response.status() == StatusCode::OK {
        let is_own = response.body() == body.as_bytes();
        let list = if is_own { &mut outcomes.answered } else { &mut outcomes.wrong };
        return list.push(id);
    }
    let refusal: Value = serde_json::from_slice(response.body()).unwrap_or_default();
    if refusal["ran"] == "no" { outcomes.not_run.push(id) } else { outcomes.unknown.push(id) }
}
