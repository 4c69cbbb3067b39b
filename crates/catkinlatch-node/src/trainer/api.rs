//! HTTP endpoints for trainers.

use super::{
    Batch,
    assignment::Assignment,
    batch, group,
    remote::{self, Message, Reply},
};
use crate::{Node, entry};
use catkinlatch_base::{BatchNumber, HostId, TrainerId, Version, derive_schema, event};
use catkinlatch_rollout::pool::Group;
use catkinlatch_state::{Command, batch::Change, config::Trainer};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, ClientErrorStatusCode, HttpError, HttpResponseOk,
    HttpResponseUpdatedNoContent, Path, RequestContext, TypedBody, endpoint,
};
use log::info;
use schemars::JsonSchema;
use serde::Deserialize;
use std::{sync::Arc, time::Duration};

type Context = RequestContext<Arc<Node>>;

/// How long a request for a batch is held open while the batch is incomplete.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a posted group waits for the trainer to have a coordinator.
const COORDINATOR_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a request waits before it looks up the coordinator again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// How long a request waits before it asks a remote coordinator again for an incomplete batch.
const REMOTE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How long a coordinator's host must be disconnected before this node takes over.
const TAKEOVER_DELAY: Duration = Duration::from_secs(3);

/// Registers the endpoints for trainers.
pub fn register(api: &mut ApiDescription<Arc<Node>>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(post_group)?;
    api.register(post_version)?;
    api.register(get_batch)?;
    Ok(())
}

#[derive(Deserialize, JsonSchema)]
struct TrainerPath {
    trainer: TrainerId,
}

#[derive(Deserialize, JsonSchema)]
struct BatchPath {
    trainer: TrainerId,
    number: u64,
}

derive_schema! {
    /// A weight version that a trainer wrote to the weight store.
    pub struct Publication {
        /// The version number; versions only increase.
        pub version: Version,
    }
}

/// Adds a group of samples. Idempotent by the id of the group.
#[endpoint { method = POST, path = "/v1/trainers/{trainer}/groups" }]
async fn post_group(
    context: Context,
    path: Path<TrainerPath>,
    body: TypedBody<Group>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let node = context.context();
    let trainer = authorize(&context, &path.into_inner().trainer)?;
    let group = body.into_inner();
    if group.prompts.is_empty() {
        let message = "a group needs at least one prompt";
        return Err(HttpError::for_bad_request(None, message.to_owned()));
    }
    let deadline = tokio::time::Instant::now() + COORDINATOR_TIMEOUT;
    let mut unreachable_since = None;
    loop {
        let outcome = match resolve_coordinator(node, &trainer.id, &mut unreachable_since).await? {
            None => group::admit(node, &trainer, group.clone()).await,
            Some(host) => {
                let (trainer, group) = (trainer.id.clone(), group.clone());
                match remote::call(node, &host, Message::Group { trainer, group }).await {
                    Some(Reply::Group(outcome)) => outcome,
                    Some(_) | None => group::Outcome::Moved,
                }
            }
        };
        match outcome {
            group::Outcome::Admitted => return Ok(HttpResponseUpdatedNoContent()),
            group::Outcome::SizeMismatch => {
                let message = "a group of this id and another size was posted before";
                return Err(conflict("group_differs", message));
            }
            group::Outcome::Full => {
                let message = "too many groups are open; take batches and post the group again";
                return Err(refusal(ClientErrorStatusCode::TOO_MANY_REQUESTS, "full", message));
            }
            group::Outcome::Moved => pause(deadline).await?,
        }
    }
}

/// Publishes a weight version, which the engines of the model then load.
#[endpoint { method = POST, path = "/v1/trainers/{trainer}/versions" }]
async fn post_version(
    context: Context,
    path: Path<TrainerPath>,
    body: TypedBody<Publication>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let node = context.context();
    let trainer = authorize(&context, &path.into_inner().trainer)?;
    let version = body.into_inner().version;
    let change = Change::Publish { trainer: trainer.id.clone(), version };
    let proposed = node.control.propose(Command::Batch(change)).await;
    proposed.map_err(|error| HttpError::for_unavail(None, error.to_string()))?;
    node.record(event::Kind::VersionPublished { trainer: trainer.id.clone(), version });
    info!("rollout: trainer {} published version {version}", trainer.id);
    node.trainers.progress.notify_waiters();
    Ok(HttpResponseUpdatedNoContent())
}

/// Returns a batch of samples. The same number always returns the same samples.
#[endpoint { method = GET, path = "/v1/trainers/{trainer}/batches/{number}" }]
async fn get_batch(
    context: Context,
    path: Path<BatchPath>,
) -> Result<HttpResponseOk<Batch>, HttpError> {
    let node = context.context();
    let BatchPath { trainer, number } = path.into_inner();
    let trainer = authorize(&context, &trainer)?;
    let deadline = tokio::time::Instant::now() + LONG_POLL_TIMEOUT;
    let number = BatchNumber::new(number);
    let mut unreachable_since = None;
    loop {
        let host = resolve_coordinator(node, &trainer.id, &mut unreachable_since).await?;
        let progress = node.trainers.progress.notified();
        let outcome = match &host {
            None => batch::get(node, &trainer, number).await,
            Some(host) => {
                let trainer = trainer.id.clone();
                match remote::call(node, host, Message::Batch { trainer, number }).await {
                    Some(Reply::Batch(outcome)) => outcome,
                    Some(_) | None => batch::Outcome::Moved,
                }
            }
        };
        match outcome {
            batch::Outcome::Ready(batch) => return Ok(HttpResponseOk(batch)),
            batch::Outcome::Wait if host.is_some() && tokio::time::Instant::now() < deadline => {
                tokio::time::sleep(REMOTE_POLL_INTERVAL).await;
            }
            batch::Outcome::Wait => {
                if tokio::time::timeout_at(deadline, progress).await.is_err() {
                    let message = "the batch is not whole yet; ask again";
                    return Err(refusal(
                        ClientErrorStatusCode::REQUEST_TIMEOUT,
                        "not_whole",
                        message,
                    ));
                }
            }
            batch::Outcome::WrongNumber { next } => {
                let message = format!("batch {number} is acknowledged or not due; take {next}");
                return Err(conflict("wrong_number", &message));
            }
            batch::Outcome::Lost => {
                let message = "the batch is lost; take the next one, and post groups again that you \
                    have not read";
                return Err(refusal(ClientErrorStatusCode::GONE, "batch_lost", message));
            }
            batch::Outcome::Missing(groups) => {
                let groups: Vec<&str> = groups.iter().map(|group| group.as_str()).collect();
                let message = format!("post these groups again: {}", groups.join(", "));
                return Err(conflict("groups_lost", &message));
            }
            batch::Outcome::Unreachable => {
                let message = format!(
                    "it is not known yet whether batch {number} is lost, since a host that holds \
                     it does not answer; ask again"
                );
                return Err(HttpError::for_unavail(Some("not_known_yet".to_owned()), message));
            }
            batch::Outcome::Moved => pause(deadline).await?,
        }
    }
}

/// Ensures that the trainer has a coordinator, and returns its host, or `None` if it is this node.
///
/// Takes over a trainer that is unassigned, or whose coordinator's host has been disconnected for
/// [`TAKEOVER_DELAY`]. `unreachable_since` holds the start of the disconnection between calls.
/// Fails with status 503 if the takeover fails.
async fn resolve_coordinator(
    node: &Node,
    trainer: &TrainerId,
    unreachable_since: &mut Option<tokio::time::Instant>,
) -> Result<Option<HostId>, HttpError> {
    let after = match Assignment::find(node, trainer) {
        Assignment::Local(_) => return Ok(None),
        Assignment::Unassigned(after) => after,
        Assignment::Remote(coordinator) if node.peers.is_connected(&coordinator.host) => {
            *unreachable_since = None;
            return Ok(Some(coordinator.host));
        }
        Assignment::Remote(coordinator) => {
            let since = *unreachable_since.get_or_insert_with(tokio::time::Instant::now);
            if since.elapsed() < TAKEOVER_DELAY {
                return Ok(Some(coordinator.host));
            }
            coordinator.epoch
        }
    };
    let taken = remote::take_over(node, trainer, after).await;
    taken.map(|()| None).map_err(|error| HttpError::for_unavail(None, error))
}

/// Waits before the next attempt, or fails with status 503 once the deadline has passed.
async fn pause(deadline: tokio::time::Instant) -> Result<(), HttpError> {
    if tokio::time::Instant::now() >= deadline {
        let message = "the trainer has no coordinator now; ask again".to_owned();
        return Err(HttpError::for_unavail(None, message));
    }
    tokio::time::sleep(RETRY_INTERVAL).await;
    Ok(())
}

/// Returns the trainer if the presented API key belongs to its team; fails with status 401 if not.
fn authorize(context: &Context, trainer: &TrainerId) -> Result<Trainer, HttpError> {
    let state = context.context().control.state();
    let config = state.config();
    let key = entry::presented_key(context.request.headers());
    let team = key.and_then(|key| config.authenticate(key)).map(|(_, team)| team);
    let found = config.trainers().get(trainer);
    match found.filter(|trainer| Some(&trainer.team) == team) {
        Some(trainer) => Ok(trainer.clone()),
        None => Err(refusal(
            ClientErrorStatusCode::UNAUTHORIZED,
            "unauthorized",
            "the key is not one of this trainer's team; send a key of the team",
        )),
    }
}

fn conflict(code: &str, message: &str) -> HttpError {
    refusal(ClientErrorStatusCode::CONFLICT, code, message)
}

fn refusal(status: ClientErrorStatusCode, code: &str, message: &str) -> HttpError {
    HttpError::for_client_error(Some(code.to_owned()), status, message.to_owned())
}
