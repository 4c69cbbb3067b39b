//! A single run of a sample on an engine.

use crate::{
    Node,
    entry::{self, AuthorizedRequest, Usage},
};
use bytes::Bytes;
use catkinlatch_base::{BootId, RouteId, Tokens, Version};
use catkinlatch_rollout::{
    evidence::{Report, Span},
    pool::Task,
};
use catkinlatch_state::config::{Kind, Route, Trainer};
use serde::Deserialize;
use serde_json::json;
use std::{sync::Arc, time::Duration};

/// How long a run may take, retries included.
const SAMPLE_DEADLINE: Duration = Duration::from_secs(600);

/// The fields of an engine's completion response that a sample needs.
#[derive(Deserialize)]
struct Completion {
    choices: Vec<Choice>,
    usage: Usage,
    weight_start: Option<Version>,
    weight_end: Option<Version>,
    boot: Option<BootId>,
    #[serde(default)]
    weight_spans: Vec<Span>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

/// Runs a sample to completion and returns the generated text and the engine's report on it.
///
/// Fails with the reason if no engine returns a usable completion before the deadline.
pub async fn run(
    node: &Arc<Node>,
    trainer: &Trainer,
    task: &Task,
) -> Result<(String, Report), String> {
    let body = json!({
        "model": trainer.model,
        "prompt": task.prompt,
        "max_tokens": task.max_tokens,
    });
    let call = entry::engine_call("/v1/completions", Bytes::from(body.to_string()));
    let reply = entry::run_sample(node, &authorized_request(node, trainer, task), &call)
        .await
        .map_err(|r| r.message)?;
    if !reply.head.status.is_success() {
        return Err(format!("engine responded with status {}", reply.head.status));
    }
    let completion: Completion =
        serde_json::from_slice(&reply.body).map_err(|error| error.to_string())?;
    let Some(choice) = completion.choices.into_iter().next() else {
        return Err("engine response contains no choices".to_owned());
    };
    let report = Report {
        start: completion.weight_start,
        end: completion.weight_end,
        boot_at_start: completion.boot.clone(),
        boot_at_end: completion.boot,
        spans: completion.weight_spans,
        prompt_tokens: Tokens::new(completion.usage.prompt_tokens),
        completion_tokens: Tokens::new(completion.usage.completion_tokens),
    };
    Ok((choice.text, report))
}

/// Creates the authorized request of a run; its request id is the sample id.
fn authorized_request(node: &Node, trainer: &Trainer, task: &Task) -> AuthorizedRequest {
    let id: RouteId = trainer.model.as_str().parse().expect("a model id is valid as a route id");
    AuthorizedRequest {
        request: task.sample.as_str().parse().expect("a sample id is valid as a request id"),
        team: trainer.team.clone(),
        route: Route::new(id, Kind::Model(trainer.model.clone())),
        deadline: node.clock.now() + SAMPLE_DEADLINE,
    }
}
