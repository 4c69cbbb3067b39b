//! Runs trainers' samples on engines and records the outcomes.

use super::{assignment, penalty, sample};
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

/// The longest time between two divisions of the engine slots.
const MAX_DIVISION_INTERVAL: Duration = Duration::from_millis(100);

/// How long a sample waits after a failed run before it may run again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Runs samples of the trainers that this node coordinates. Never returns.
pub async fn run_samples(node: Arc<Node>) {
    let mut changes = node.control.changes();
    loop {
        start_samples(&node);
        tokio::select! {
            () = node.trainers.progress.notified() => {}
            _ = changes.changed() => {}
            () = tokio::time::sleep(MAX_DIVISION_INTERVAL) => {}
        }
    }
}

/// Divides the engine slots of each model among its trainers, and starts samples on them.
fn start_samples(node: &Arc<Node>) {
    let trainers = node.control.state().config().trainers().clone();
    let mut models: BTreeMap<ModelId, Vec<Trainer>> = BTreeMap::new();
    for trainer in trainers.into_values() {
        if assignment::sync_coordinator(node, &trainer).is_some() {
            models.entry(trainer.model.clone()).or_default().push(trainer);
        }
    }
    for (model, trainers) in models {
        let claims: Vec<Claim> = trainers.iter().map(|trainer| claim(node, trainer)).collect();
        let shares = share::divide(engine_slots(node, &model), &claims);
        for (trainer, share) in trainers.iter().zip(shares) {
            fill_share(node, trainer, share as usize);
        }
    }
}

/// Returns the total slots of all engines of a model.
fn engine_slots(node: &Node, model: &ModelId) -> u32 {
    let table = node.table();
    let serves = |role: &Role| matches!(role, Role::Engine { model: m, .. } if m == model);
    let announcements = table.entries().map(|(_, entry)| &entry.announcement);
    let announcements = announcements.filter(|a| !table.is_evacuated(&a.zone));
    announcements.filter(|a| serves(&a.role)).map(|a| a.slots).sum()
}

/// Returns the trainer's weight and the number of slots that it has work for.
fn claim(node: &Node, trainer: &Trainer) -> Claim {
    let trainers = node.trainers.lock();
    let wanted = trainers.get(&trainer.id).map_or(0, |coordinator| coordinator.pool.slot_demand());
    Claim { trainer: trainer.id.clone(), weight: trainer.weight, wanted }
}

/// Cancels runs beyond the trainer's share of slots, and starts samples up to it.
fn fill_share(node: &Arc<Node>, trainer: &Trainer, share: usize) {
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

/// Runs one sample and records the outcome.
async fn run_sample(node: Arc<Node>, trainer: Trainer, task: Task) {
    match sample::run(&node, &trainer, &task).await {
        Ok((text, report)) => {
            let mut trainers = node.trainers.lock();
            let Some(coordinator) = trainers.get_mut(&trainer.id) else { return };
            coordinator.runs.remove(&task.sample);
            match coordinator.pool.finish(&task.sample, &text, &report) {
                Outcome::Kept { cancel } => coordinator.cancel(&cancel),
                Outcome::Unknown | Outcome::TooOld => {}
                Outcome::NoEvidence(fault) => {
                    warn!("rollout: rerunning sample {}: {fault}", task.sample);
                    tokio::spawn(penalty::penalize(node.clone(), report.boot_at_end));
                }
            }
        }
        Err(reason) => {
            warn!("rollout: sample {} failed: {reason}", task.sample);
            tokio::time::sleep(RETRY_DELAY).await;
            record_failure(&node, &trainer.id, &task);
        }
    }
    node.trainers.progress.notify_waiters();
}

fn record_failure(node: &Node, trainer: &TrainerId, task: &Task) {
    if let Some(coordinator) = node.trainers.lock().get_mut(trainer) {
        coordinator.runs.remove(&task.sample);
        coordinator.pool.fail(&task.sample);
    }
}
