//! Runs trainers' samples on engines.

use crate::{
    Node,
    entry::{self, Ticket, Usage},
};
use bytes::Bytes;
use catkinlatch_base::{RouteId, Tokens, TrainerId, Version};
use catkinlatch_rollout::pool::{Evidence, Task};
use catkinlatch_state::config::{Kind, Route, Trainer};
use log::warn;
use serde::Deserialize;
use serde_json::json;
use std::{sync::Arc, time::Duration};

/// How long a sample may take.
const SAMPLE_DEADLINE: Duration = Duration::from_secs(600);

/// How long a trainer's samples rest after one failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// The part of an engine's answer that a sample needs.
#[derive(Deserialize)]
struct Completion {
    choices: Vec<Choice>,
    usage: Usage,
    weight_spans: Vec<Span>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

/// Tokens that one version produced.
#[derive(Deserialize)]
struct Span {
    version: Version,
}

/// Starts samples whenever there are any.
pub async fn run_samples(node: Arc<Node>) {
    loop {
        let woken = node.trainers.progress.notified();
        let trainers = node.control.state().config().trainers().clone();
        for trainer in trainers.values() {
            while let Some(task) = next_task(&node, &trainer.id) {
                tokio::spawn(run_sample(node.clone(), trainer.clone(), task));
            }
        }
        woken.await;
    }
}

fn next_task(node: &Node, trainer: &TrainerId) -> Option<Task> {
    node.trainers.lock().get_mut(trainer)?.pool.next_task()
}

/// Runs one sample and records what came of it.
async fn run_sample(node: Arc<Node>, trainer: Trainer, task: Task) {
    match complete(&node, &trainer, &task).await {
        Ok((text, evidence)) => {
            let mut trainers = node.trainers.lock();
            if let Some(coordinator) = trainers.get_mut(&trainer.id) {
                coordinator.pool.finish(&task.sample, text, evidence);
            }
        }
        Err(reason) => {
            warn!("rollout: sample {} failed: {reason}", task.sample);
            tokio::time::sleep(FAILURE_PAUSE).await;
            if let Some(coordinator) = node.trainers.lock().get_mut(&trainer.id) {
                coordinator.pool.fail(&task.sample);
            }
        }
    }
    node.trainers.progress.notify_waiters();
}

async fn complete(
    node: &Arc<Node>,
    trainer: &Trainer,
    task: &Task,
) -> Result<(String, Evidence), String> {
    let body = json!({
        "model": trainer.model,
        "prompt": task.prompt,
        "max_tokens": task.max_tokens,
    });
    let call = entry::engine_call("/v1/completions", Bytes::from(body.to_string()));
    let reply =
        entry::run_whole(node, &ticket(node, trainer, task), &call).await.map_err(|r| r.message)?;
    if !reply.head.status.is_success() {
        return Err(format!("the engine answered with status {}", reply.head.status));
    }
    let completion: Completion =
        serde_json::from_slice(&reply.body).map_err(|error| error.to_string())?;
    let Some(choice) = completion.choices.into_iter().next() else {
        return Err("the answer has no choice".to_owned());
    };
    let evidence = Evidence {
        versions: completion.weight_spans.iter().map(|span| span.version).collect(),
        prompt_tokens: Tokens::new(completion.usage.prompt_tokens),
        completion_tokens: Tokens::new(completion.usage.completion_tokens),
    };
    Ok((choice.text, evidence))
}

/// Makes the ticket under which a sample runs.
fn ticket(node: &Node, trainer: &Trainer, task: &Task) -> Ticket {
    let id: RouteId = trainer.model.as_str().parse().expect("a model id is valid as a route id");
    Ticket {
        request: task.sample.as_str().parse().expect("a sample id is valid as a request id"),
        team: trainer.team.clone(),
        route: Route::new(id, Kind::Model(trainer.model.clone())),
        deadline: node.clock.now() + SAMPLE_DEADLINE,
    }
}
