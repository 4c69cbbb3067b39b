//! HTTP interface for trainers.

use super::{
    Batch, batch, group,
    remote::{self, Message, Reply},
    seat::Seat,
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

/// How long a request for a batch is held open until the batch is whole.
const LONG_POLL: Duration = Duration::from_secs(30);

/// How long a request waits for its trainer to get a coordinator.
const SEAT_TIMEOUT: Duration = Duration::from_secs(5);

/// How often a request that waits looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How often another node's coordinator is asked for a batch that is not whole.
const REMOTE_POLL: Duration = Duration::from_millis(200);

/// How long a coordinator's host may be away before another takes its place.
const TAKEOVER: Duration = Duration::from_secs(3);

/// Adds the endpoints.
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
    /// Weights that a trainer published to the weight store.
    pub struct Publication {
        /// The version.
        pub version: Version,
    }
}

/// Adds a group of samples; a group that was posted before changes nothing.
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
    let until = tokio::time::Instant::now() + SEAT_TIMEOUT;
    let mut away = None;
    loop {
        let step = match sit(node, &trainer.id, &mut away).await? {
            None => group::admit(node, &trainer, group.clone()).await,
            Some(host) => {
                let (trainer, group) = (trainer.id.clone(), group.clone());
                match remote::call(node, &host, Message::Group { trainer, group }).await {
                    Some(Reply::Group(step)) => step,
                    Some(_) | None => group::Step::Moved,
                }
            }
        };
        match step {
            group::Step::Taken => return Ok(HttpResponseUpdatedNoContent()),
            group::Step::Differs => {
                let message = "a group of this id and another size was posted before";
                return Err(conflict("group_differs", message));
            }
            group::Step::Full => {
                let message = "too many groups are open; take batches and post the group again";
                return Err(refusal(ClientErrorStatusCode::TOO_MANY_REQUESTS, "full", message));
            }
            group::Step::Moved => pause(until).await?,
        }
    }
}

/// Publishes a version and has the engines load it.
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

/// Returns a batch; the same number always gives the same samples.
#[endpoint { method = GET, path = "/v1/trainers/{trainer}/batches/{number}" }]
async fn get_batch(
    context: Context,
    path: Path<BatchPath>,
) -> Result<HttpResponseOk<Batch>, HttpError> {
    let node = context.context();
    let BatchPath { trainer, number } = path.into_inner();
    let trainer = authorize(&context, &trainer)?;
    let until = tokio::time::Instant::now() + LONG_POLL;
    let number = BatchNumber::new(number);
    let mut away = None;
    loop {
        let host = sit(node, &trainer.id, &mut away).await?;
        let woken = node.trainers.progress.notified();
        let step = match &host {
            None => batch::take(node, &trainer, number).await,
            Some(host) => {
                let trainer = trainer.id.clone();
                match remote::call(node, host, Message::Batch { trainer, number }).await {
                    Some(Reply::Batch(step)) => step,
                    Some(_) | None => batch::Step::Moved,
                }
            }
        };
        match step {
            batch::Step::Ready(batch) => return Ok(HttpResponseOk(batch)),
            batch::Step::Wait if host.is_some() && tokio::time::Instant::now() < until => {
                tokio::time::sleep(REMOTE_POLL).await;
            }
            batch::Step::Wait => {
                if tokio::time::timeout_at(until, woken).await.is_err() {
                    let message = "the batch is not whole yet; ask again";
                    return Err(refusal(
                        ClientErrorStatusCode::REQUEST_TIMEOUT,
                        "not_whole",
                        message,
                    ));
                }
            }
            batch::Step::WrongNumber { next } => {
                let message = format!("batch {number} is acknowledged or not due; take {next}");
                return Err(conflict("wrong_number", &message));
            }
            batch::Step::Lost => {
                let message = "the batch is lost; take the next one";
                return Err(refusal(ClientErrorStatusCode::GONE, "batch_lost", message));
            }
            batch::Step::Missing(groups) => {
                let groups: Vec<&str> = groups.iter().map(|group| group.as_str()).collect();
                let message = format!("post these groups again: {}", groups.join(", "));
                return Err(conflict("groups_lost", &message));
            }
            batch::Step::Moved => pause(until).await?,
        }
    }
}

/// Makes sure that the trainer has a coordinator, and returns its host if that is another.
///
/// A coordinator whose host was away for long loses its seat to this node; `away` is since when.
async fn sit(
    node: &Node,
    trainer: &TrainerId,
    away: &mut Option<tokio::time::Instant>,
) -> Result<Option<HostId>, HttpError> {
    let after = match Seat::find(node, trainer) {
        Seat::Here(_) => return Ok(None),
        Seat::Vacant(after) => after,
        Seat::Elsewhere(held) if node.peers.is_connected(&held.host) => {
            *away = None;
            return Ok(Some(held.host));
        }
        Seat::Elsewhere(held) => {
            let since = *away.get_or_insert_with(tokio::time::Instant::now);
            if since.elapsed() < TAKEOVER {
                return Ok(Some(held.host));
            }
            held.epoch
        }
    };
    let taken = remote::take(node, trainer, after).await;
    taken.map(|()| None).map_err(|error| HttpError::for_unavail(None, error))
}

/// Waits a moment, or says that the trainer has no coordinator yet.
async fn pause(until: tokio::time::Instant) -> Result<(), HttpError> {
    if tokio::time::Instant::now() >= until {
        let message = "the trainer has no coordinator now; ask again".to_owned();
        return Err(HttpError::for_unavail(None, message));
    }
    tokio::time::sleep(POLL_INTERVAL).await;
    Ok(())
}

/// Finds the trainer whose team the presented key belongs to.
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
