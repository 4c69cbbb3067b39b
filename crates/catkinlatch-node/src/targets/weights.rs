//! Roll-out of the trainers' newest weights to the engines, run by the leader.

use crate::{Node, order};
use catkinlatch_base::{ModelId, OrderId, TargetId, Term, Version};
use catkinlatch_rollout::weights::{Engine, Limits, Load, Outcome, Rollout, Source};
use catkinlatch_route::target::Role;
use catkinlatch_state::{
    State,
    order::{Action, Stage},
};
use log::{info, warn};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::sync::mpsc;

/// The longest time between two checks of the versions that engines report.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How many outcomes may be queued.
const MAX_QUEUED_OUTCOMES: usize = 1024;

/// The outcome of one order to load weights.
struct Completion {
    term: Term,
    model: ModelId,
    engine: TargetId,
    outcome: Outcome,
}

/// The weight versions of a model that engines must have.
#[derive(Clone, Copy)]
struct Goal {
    newest: Version,
    /// The oldest version whose samples every trainer of the model still accepts.
    floor: Version,
}

/// The roll-outs of this node as leader of one term.
struct Leadership {
    node: Arc<Node>,
    term: Term,
    rollouts: BTreeMap<ModelId, Rollout>,
    order_count: u64,
    completions: mpsc::Sender<Completion>,
}

/// Rolls weights out while this node leads. Never returns.
pub async fn roll_out_weights(node: Arc<Node>) {
    let (sender, mut completions) = mpsc::channel(MAX_QUEUED_OUTCOMES);
    let mut current: Option<Leadership> = None;
    loop {
        let leading = node.control.leading_term();
        if current.as_ref().map(|leadership| leadership.term) != leading {
            current = leading.map(|term| Leadership::new(node.clone(), term, sender.clone()));
        }
        if let Some(leadership) = &mut current {
            leadership.order_loads();
        }
        tokio::select! {
            Some(completion) = completions.recv() => {
                if let Some(leadership) = &mut current {
                    leadership.record_outcome(&completion);
                }
            }
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
    }
}

impl Leadership {
    fn new(node: Arc<Node>, term: Term, completions: mpsc::Sender<Completion>) -> Self {
        Self { node, term, rollouts: BTreeMap::new(), order_count: 0, completions }
    }

    /// Orders the loads that may start now.
    fn order_loads(&mut self) {
        for (model, goal) in goals(&self.node.control.state()) {
            let engines = engines(&self.node, &model);
            let rollout = self.rollouts.entry(model.clone());
            let rollout = rollout.or_insert_with(|| Rollout::new(Limits::default()));
            let now = self.node.clock.now();
            for load in rollout.next(now, goal.newest, goal.floor, &engines) {
                self.order_count += 1;
                let id = format!("load-{}-{}-{}", self.term, self.order_count, load.version);
                let id = id.parse().expect("numbers and dashes are valid in an id");
                let (node, completions) = (self.node.clone(), self.completions.clone());
                tokio::spawn(execute_load(node, self.term, id, model.clone(), load, completions));
            }
        }
    }

    /// Records the outcome of an order of this term; ignores those of earlier terms.
    fn record_outcome(&mut self, completion: &Completion) {
        if completion.term != self.term {
            return;
        }
        if let Some(rollout) = self.rollouts.get_mut(&completion.model) {
            rollout.record_outcome(&completion.engine, completion.outcome, self.node.clock.now());
        }
    }
}

/// Returns the goal of each model for which a trainer has published a version.
fn goals(state: &State) -> BTreeMap<ModelId, Goal> {
    let mut models: BTreeMap<ModelId, Goal> = BTreeMap::new();
    for trainer in state.config().trainers().values() {
        let newest = state.ledgers().get(&trainer.id).map(|ledger| ledger.newest());
        let Some(newest) = newest.filter(|newest| *newest > Version::default()) else { continue };
        let floor = Version::new(newest.get().saturating_sub(trainer.max_age_versions));
        let goal = models.entry(trainer.model.clone()).or_insert(Goal { newest, floor });
        goal.newest = goal.newest.max(newest);
        goal.floor = goal.floor.max(floor);
    }
    models
}

/// Returns the engines of a model with the versions that they last reported.
fn engines(node: &Node, model: &ModelId) -> Vec<Engine> {
    let table = node.table();
    let announcements = table.entries().map(|(_, entry)| &entry.announcement);
    let announcements = announcements.filter(|a| !table.is_evacuated(&a.zone));
    let reported = |role: &Role| match role {
        Role::Engine { model: own, version } if own == model => Some(*version),
        Role::Engine { .. } | Role::Service { .. } => None,
    };
    announcements
        .filter_map(|a| {
            let reported = reported(&a.role)?;
            Some(Engine { id: a.id.clone(), zone: a.zone.clone(), reported })
        })
        .collect()
}

/// Orders a load and sends the outcome to `completions`.
///
/// A confirmed order does not prove that the version is loaded: the engine has it only once it
/// reports it. The outcome of such an order is therefore unknown.
async fn execute_load(
    node: Arc<Node>,
    term: Term,
    id: OrderId,
    model: ModelId,
    load: Load,
    completions: mpsc::Sender<Completion>,
) {
    let (engine, version) = (load.engine, load.version);
    info!("weights: ordering {engine} to load version {version} of {model}");
    let source = match load.source {
        Source::Store => None,
        Source::Peer(peer) => Some(peer),
    };
    let action =
        Action::LoadVersion { target: engine.clone(), model: model.clone(), version, source };
    let outcome = match order::execute(&node, id.clone(), action).await {
        Some(Stage::Failed) | None => {
            warn!("weights: order {id} to {engine} did not succeed");
            Outcome::Failed
        }
        Some(_) => Outcome::Unknown,
    };
    let _ = completions.send(Completion { term, model, engine, outcome }).await;
}
