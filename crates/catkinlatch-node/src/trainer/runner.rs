//! Starts trainers' samples on engines and records what comes of them.

use super::{doubt, sample, seat};
use crate::Node;
use catkinlatch_base::{ModelId, TrainerId};
use catkinlatch_rollout::{
    pool::{Outcome, Task},
    share::{self, Claim},
};
use catkinlatch_route::target::Role;
use catkinlatch_state::config::Trainer;
use log::warn;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// How often the division of slots is looked at again, at least.
const TICK: Duration = Duration::from_millis(100);

/// How long a sample rests after a run of it failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Runs samples for as long as the node runs.
pub async fn run_samples(node: Arc<Node>) {
    let mut changes = node.control.changes();
    loop {
        start_samples(&node);
        tokio::select! {
            () = node.trainers.progress.notified() => {}
            _ = changes.changed() => {}
            () = tokio::time::sleep(TICK) => {}
        }
    }
}

/// Starts samples on the slots that each trainer may use.
fn start_samples(node: &Arc<Node>) {
    let trainers = node.control.state().config().trainers().clone();
    let mut models: BTreeMap<ModelId, Vec<Trainer>> = BTreeMap::new();
    for trainer in trainers.into_values() {
        if seat::refresh(node, &trainer).is_some() {
            models.entry(trainer.model.clone()).or_default().push(trainer);
        }
    }
    for (model, trainers) in models {
        let claims: Vec<Claim> = trainers.iter().map(|trainer| claim(node, trainer)).collect();
        let shares = share::divide(slots(node, &model), &claims);
        for (trainer, share) in trainers.iter().zip(shares) {
            fill(node, trainer, share as usize);
        }
    }
}

/// Returns the slots of all engines of a model.
fn slots(node: &Node, model: &ModelId) -> u32 {
    let table = node.table();
    let serves = |role: &Role| matches!(role, Role::Engine { model: m, .. } if m == model);
    let announcements = table.entries().map(|(_, entry)| &entry.announcement);
    announcements.filter(|a| serves(&a.role)).map(|a| a.slots).sum()
}

fn claim(node: &Node, trainer: &Trainer) -> Claim {
    let trainers = node.trainers.lock();
    let wanted = trainers.get(&trainer.id).map_or(0, |held| held.pool.wanted());
    Claim { trainer: trainer.id.clone(), weight: trainer.weight, wanted }
}

/// Starts samples up to the trainer's share, or takes back the slots beyond it.
fn fill(node: &Arc<Node>, trainer: &Trainer, share: usize) {
    loop {
        let mut trainers = node.trainers.lock();
        let Some(coordinator) = trainers.get_mut(&trainer.id) else { return };
        let excess = coordinator.pool.yield_slots(share);
        coordinator.cancel(&excess);
        if coordinator.pool.running() >= share {
            return;
        }
        let now = node.clock.now();
        let Some(task) = coordinator.pool.next_run(now) else { return };
        let id = task.sample.clone();
        let run = tokio::spawn(run_sample(node.clone(), trainer.clone(), task));
        coordinator.runs.insert(id, run.abort_handle());
    }
}

/// Runs one sample and records what came of it.
async fn run_sample(node: Arc<Node>, trainer: Trainer, task: Task) {
    match sample::complete(&node, &trainer, &task).await {
        Ok((text, report)) => {
            let mut trainers = node.trainers.lock();
            let Some(coordinator) = trainers.get_mut(&trainer.id) else { return };
            coordinator.runs.remove(&task.sample);
            match coordinator.pool.finish(&task.sample, &text, &report) {
                Outcome::Kept { cancel } => coordinator.cancel(&cancel),
                Outcome::Unknown | Outcome::TooOld => {}
                Outcome::Unproven(fault) => {
                    warn!("rollout: sample {} runs again: {fault}", task.sample);
                    tokio::spawn(doubt::set_back(node.clone(), report.boot_at_end));
                }
            }
        }
        Err(reason) => {
            warn!("rollout: sample {} failed: {reason}", task.sample);
            tokio::time::sleep(FAILURE_PAUSE).await;
            end(&node, &trainer.id, &task);
        }
    }
    node.trainers.progress.notify_waiters();
}

fn end(node: &Node, trainer: &TrainerId, task: &Task) {
    if let Some(coordinator) = node.trainers.lock().get_mut(trainer) {
        coordinator.runs.remove(&task.sample);
        coordinator.pool.fail(&task.sample);
    }
}
