//! Rolls the trainers' newest weights out to the engines, from the leader.

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

/// How often the engines' reports are looked at.
const TICK: Duration = Duration::from_millis(100);

/// How many outcomes may wait.
const OUTCOMES: usize = 1024;

/// What became of the order to load weights.
struct Ended {
    term: Term,
    model: ModelId,
    engine: TargetId,
    outcome: Outcome,
}

/// The versions of a model that engines shall have.
#[derive(Clone, Copy)]
struct Wanted {
    newest: Version,
    /// The oldest version whose samples every trainer of the model still takes.
    floor: Version,
}

/// The roll-outs of one leadership.
struct Leadership {
    node: Arc<Node>,
    term: Term,
    rollouts: BTreeMap<ModelId, Rollout>,
    orders: u64,
    ended: mpsc::Sender<Ended>,
}

/// Rolls weights out for as long as the node runs and whenever it leads.
pub async fn roll_out(node: Arc<Node>) {
    let (sender, mut ended) = mpsc::channel(OUTCOMES);
    let mut held: Option<Leadership> = None;
    loop {
        let leading = node.control.leading();
        if held.as_ref().map(|leadership| leadership.term) != leading {
            held = leading.map(|term| Leadership::new(node.clone(), term, sender.clone()));
        }
        if let Some(leadership) = &mut held {
            leadership.order_loads();
        }
        tokio::select! {
            Some(ended) = ended.recv() => {
                if let Some(leadership) = &mut held {
                    leadership.settle(&ended);
                }
            }
            () = tokio::time::sleep(TICK) => {}
        }
    }
}

impl Leadership {
    fn new(node: Arc<Node>, term: Term, ended: mpsc::Sender<Ended>) -> Self {
        Self { node, term, rollouts: BTreeMap::new(), orders: 0, ended }
    }

    /// Orders the loads that may begin now.
    fn order_loads(&mut self) {
        for (model, wanted) in wanted(&self.node.control.state()) {
            let engines = engines(&self.node, &model);
            let rollout = self.rollouts.entry(model.clone());
            let rollout = rollout.or_insert_with(|| Rollout::new(Limits::default()));
            let now = self.node.clock.now();
            for load in rollout.next(now, wanted.newest, wanted.floor, &engines) {
                self.orders += 1;
                let id = format!("load-{}-{}-{}", self.term, self.orders, load.version);
                let id = id.parse().expect("numbers and dashes are valid in an id");
                let (node, ended) = (self.node.clone(), self.ended.clone());
                tokio::spawn(carry_out(node, self.term, id, model.clone(), load, ended));
            }
        }
    }

    /// Takes note of what became of an order, unless it was given in an earlier term.
    fn settle(&mut self, ended: &Ended) {
        if ended.term != self.term {
            return;
        }
        if let Some(rollout) = self.rollouts.get_mut(&ended.model) {
            rollout.ended(&ended.engine, ended.outcome, self.node.clock.now());
        }
    }
}

/// Returns the versions that engines shall have, for each model that a trainer published.
fn wanted(state: &State) -> BTreeMap<ModelId, Wanted> {
    let mut models: BTreeMap<ModelId, Wanted> = BTreeMap::new();
    for trainer in state.config().trainers().values() {
        let newest = state.ledgers().get(&trainer.id).map(|ledger| ledger.newest());
        let Some(newest) = newest.filter(|newest| *newest > Version::default()) else { continue };
        let floor = Version::new(newest.get().saturating_sub(trainer.max_age_versions));
        let wanted = models.entry(trainer.model.clone()).or_insert(Wanted { newest, floor });
        wanted.newest = wanted.newest.max(newest);
        wanted.floor = wanted.floor.max(floor);
    }
    models
}

/// Returns the engines of a model as they last reported themselves.
fn engines(node: &Node, model: &ModelId) -> Vec<Engine> {
    let table = node.table();
    let announcements = table.entries().map(|(_, entry)| &entry.announcement);
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

/// Orders a load and tells what became of the order.
///
/// An engine that took the order has the version only once it reports it.
async fn carry_out(
    node: Arc<Node>,
    term: Term,
    id: OrderId,
    model: ModelId,
    load: Load,
    ended: mpsc::Sender<Ended>,
) {
    let (engine, version) = (load.engine, load.version);
    info!("weights: {engine} is to load version {version} of {model}");
    let source = match load.source {
        Source::Store => None,
        Source::Peer(peer) => Some(peer),
    };
    let action =
        Action::LoadVersion { target: engine.clone(), model: model.clone(), version, source };
    let outcome = match order::carry_out(&node, id.clone(), action).await {
        Some(Stage::Failed) | None => {
            warn!("weights: order {id} to {engine} was not carried out");
            Outcome::Failed
        }
        Some(_) => Outcome::Unknown,
    };
    let _ = ended.send(Ended { term, model, engine, outcome }).await;
}
