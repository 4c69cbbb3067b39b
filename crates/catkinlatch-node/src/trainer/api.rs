//! HTTP interface for trainers.

use super::coordinator::Batch;
use crate::{Node, entry};
use catkinlatch_base::{BatchNumber, Epoch, SampleId, TrainerId, Version, derive_schema, event};
use catkinlatch_rollout::pool::{Group, Sample};
use catkinlatch_state::{Command, Reply, batch, config::Trainer};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, ClientErrorStatusCode, HttpError, HttpResponseOk,
    HttpResponseUpdatedNoContent, Path, RequestContext, TypedBody, endpoint,
};
use log::info;
use schemars::JsonSchema;
use serde::Deserialize;
use std::{collections::BTreeSet, sync::Arc, time::Duration};

type Context = RequestContext<Arc<Node>>;

/// How long a request for a batch is held open until the batch is whole.
const LONG_POLL: Duration = Duration::from_secs(30);

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
    coordinate(node, &trainer.id).await?;
    let mut trainers = node.trainers.lock();
    trainers.entry(trainer.id).or_default().pool.add(&body.into_inner());
    node.trainers.progress.notify_waiters();
    Ok(HttpResponseUpdatedNoContent())
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
    let change = batch::Change::Publish { trainer: trainer.id.clone(), version };
    propose(node, Command::Batch(change)).await?;
    node.record(event::Kind::VersionPublished { trainer: trainer.id.clone(), version });
    info!("rollout: trainer {} published version {version}", trainer.id);
    crate::targets::load_version(node, &trainer, version).await;
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
    let number = BatchNumber::new(number);
    let epoch = coordinate(node, &trainer.id).await?;
    let until = tokio::time::Instant::now() + LONG_POLL;
    loop {
        let woken = node.trainers.progress.notified();
        if let Some(batch) = kept(node, &trainer.id, number) {
            return Ok(HttpResponseOk(batch));
        }
        if let Some(batch) = assemble(node, &trainer, number, epoch).await? {
            return Ok(HttpResponseOk(batch));
        }
        if tokio::time::timeout_at(until, woken).await.is_err() {
            return Err(client_error(
                ClientErrorStatusCode::REQUEST_TIMEOUT,
                "the batch is not whole yet; ask again",
            ));
        }
    }
}

/// Commits the make-up of the next batch if enough samples are finished.
async fn assemble(
    node: &Node,
    trainer: &Trainer,
    number: BatchNumber,
    epoch: Epoch,
) -> Result<Option<Batch>, HttpError> {
    let Some(samples) = finished(node, trainer) else { return Ok(None) };
    let change = batch::Change::Commit {
        trainer: trainer.id.clone(),
        epoch,
        max_age_versions: trainer.max_age_versions,
        batch: batch::Batch { number, samples: samples.iter().filter_map(committed).collect() },
    };
    match propose(node, Command::Batch(change)).await? {
        Reply::Batch(batch::Reply::Committed) => {}
        Reply::Batch(batch::Reply::Rejected(_)) => return Ok(None),
        reply => {
            let message = format!("batch {number} cannot be made: {reply:?}");
            return Err(client_error(ClientErrorStatusCode::CONFLICT, &message));
        }
    }
    let batch = Batch { number, samples };
    let taken: BTreeSet<SampleId> =
        batch.samples.iter().map(|sample| sample.task.sample.clone()).collect();
    if let Some(coordinator) = node.trainers.lock().get_mut(&trainer.id) {
        coordinator.pool.take(&taken);
        coordinator.last = Some(batch.clone());
    }
    node.record(event::Kind::BatchCommitted { trainer: trainer.id.clone(), batch: number });
    Ok(Some(batch))
}

/// Returns enough finished samples within the age bound, if there are any.
fn finished(node: &Node, trainer: &Trainer) -> Option<Vec<Sample>> {
    let newest = node.control.state().ledgers().get(&trainer.id)?.newest();
    let floor = Version::new(newest.get().saturating_sub(trainer.max_age_versions));
    let mut trainers = node.trainers.lock();
    let pool = &mut trainers.get_mut(&trainer.id)?.pool;
    pool.expire(floor);
    node.trainers.progress.notify_waiters();
    pool.peek(trainer.batch_samples as usize)
}

/// Returns what is committed about a sample.
fn committed(sample: &Sample) -> Option<batch::Sample> {
    let id = sample.task.sample.clone();
    let (oldest, newest) = (sample.evidence.oldest()?, sample.evidence.newest()?);
    Some(batch::Sample { id, oldest, newest })
}

/// Returns the batch if it was handed out before.
fn kept(node: &Node, trainer: &TrainerId, number: BatchNumber) -> Option<Batch> {
    let trainers = node.trainers.lock();
    trainers.get(trainer)?.last.as_ref().filter(|batch| batch.number == number).cloned()
}

/// Returns the epoch under which this node coordinates the trainer, after taking it if need be.
async fn coordinate(node: &Node, trainer: &TrainerId) -> Result<Epoch, HttpError> {
    let state = node.control.state();
    let held = state.ledgers().get(trainer).and_then(|ledger| ledger.coordinator());
    if let Some(coordinator) = held.filter(|c| c.host == node.settings.host) {
        return Ok(coordinator.epoch);
    }
    let change = batch::Change::Assign {
        trainer: trainer.clone(),
        host: node.settings.host.clone(),
        incarnation: node.incarnation,
    };
    match propose(node, Command::Batch(change)).await? {
        Reply::Batch(batch::Reply::Assigned(epoch)) => Ok(epoch),
        reply => Err(HttpError::for_internal_error(format!("assignment answered {reply:?}"))),
    }
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
        None => Err(client_error(
            ClientErrorStatusCode::UNAUTHORIZED,
            "the key is not one of this trainer's team; send a key of the team",
        )),
    }
}

async fn propose(node: &Node, command: Command) -> Result<Reply, HttpError> {
    node.control
        .propose(command)
        .await
        .map_err(|error| HttpError::for_unavail(None, error.to_string()))
}

fn client_error(status: ClientErrorStatusCode, message: &str) -> HttpError {
    HttpError::for_client_error(None, status, message.to_owned())
}
