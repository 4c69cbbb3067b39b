//! Loads named versions of weights onto the engines, a few at a time.

mod order;

use self::order::{LOAD_TIMEOUT, ORDER_TIMEOUT, TYPICAL_LOAD_TIME, run_load};
use crate::{host::Host, pace::pause_after_pass, soft_state::SoftState};
use catkinlatch_base::{ModelId, Ratio, TargetId, Term, Version, ZoneId};
use catkinlatch_ledger::Target;
use catkinlatch_rollout::weights::{
    Allotment, Engine, Goal, Limits, Need, Outcome, Rollout, Want, loads_at_once, useful_intervals,
};
use log::info;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{sync::mpsc, task::JoinSet, time};

/// Interval at which the leader checks for engines that lack a version.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The expected interval at which a trainer names versions, for which loads are planned.
const VERSION_INTERVAL: Duration = Duration::from_secs(4);

/// How many slots must be free on an engine that is loaded only because items wait.
const MIN_FREE_SLOTS: u32 = 2;

/// The minimum share of the engines that must continue to serve during loads.
const MIN_SERVING_SHARE: f64 = 0.5;

/// The completion of a load.
struct Completion {
    model: ModelId,
    engine: TargetId,
    outcome: Outcome,
}

/// Orders loads until it is cancelled, when this host stops leading in `term`.
pub async fn run(host: Arc<Host>, term: Term) {
    host.await_turn(ORDER_TIMEOUT).await;
    let mut loader = Loader::new(host, term);
    let mut pause = POLL_INTERVAL;
    loop {
        time::sleep(pause).await;
        let began = time::Instant::now();
        loader.tick();
        pause = POLL_INTERVAL.max(pause_after_pass(began.elapsed()));
    }
}

/// Decides which engine loads which version, and tracks the loads.
struct Loader {
    host: Arc<Host>,
    term: Term,
    allotment: Allotment,
    rollouts: BTreeMap<ModelId, Rollout>,
    goals: BTreeMap<ModelId, Goal>,
    loading: BTreeMap<TargetId, ModelId>,
    loads: JoinSet<()>,
    sender: mpsc::UnboundedSender<Completion>,
    completions: mpsc::UnboundedReceiver<Completion>,
}

impl Loader {
    fn new(host: Arc<Host>, term: Term) -> Self {
        let (sender, completions) = mpsc::unbounded_channel();
        Self {
            host,
            term,
            allotment: Allotment::default(),
            rollouts: BTreeMap::new(),
            goals: BTreeMap::new(),
            loading: BTreeMap::new(),
            loads: JoinSet::new(),
            sender,
            completions,
        }
    }

    /// Processes completed loads and starts the next ones.
    fn tick(&mut self) {
        while self.loads.try_join_next().is_some() {}
        let now = self.host.clock.now();
        while let Ok(Completion { model, engine, outcome }) = self.completions.try_recv() {
            self.loading.remove(&engine);
            if let Some(rollout) = self.rollouts.get_mut(&model) {
                rollout.record_outcome(&engine, outcome, now);
            }
        }
        let named = self.host.replica.read(|state| state.versions.clone());
        self.update_goals(&named);
        let zones = zones(&self.host);
        self.allotment.update(&zones, &demand(&self.host, &named), max_placements(zones.len()));
        for need in [Need::Now, Need::Ahead] {
            while self.loading.len() < loads_at_once(zones.len())
                && self.load_neediest(zones.len(), need)
            {}
        }
    }

    /// Determines what the engines of each model are needed for.
    fn update_goals(&mut self, named: &BTreeMap<ModelId, Version>) {
        let goal = |(model, newest): (&ModelId, &Version)| {
            let soft = self.host.soft_state();
            let demand = soft.workload.demand(model, |service| {
                let mut targets = soft.registry.targets();
                targets.any(|target| {
                    let has_model = target.models.contains_key(model);
                    target.service == *service && target.is_ready() && has_model
                })
            });
            (model.clone(), Goal::new(*newest, &demand))
        };
        let goals: BTreeMap<ModelId, Goal> = named.iter().map(goal).collect();
        for (model, goal) in &goals {
            let Want { waiting, candidates, useful, .. } = self.want(model, goal);
            let label = [("model", model.to_string())];
            metrics::gauge!("catkinlatch_weights_waiting_items", &label).set(waiting as f64);
            metrics::gauge!("catkinlatch_weights_useful_engines", &label).set(useful as f64);
            let versions = |goal: &Goal| (goal.newest, goal.required);
            if self.goals.get(model).map(versions) != Some(versions(goal)) {
                info!(
                    model:% = model, newest = goal.newest.get(), required = goal.required.get(),
                    waiting = waiting, candidates = candidates, useful = useful;
                    "weights: engines before the required version load first"
                );
            }
        }
        self.goals = goals;
    }

    /// Orders one load, for the model with the greatest need that permits one; returns whether a
    /// load was ordered.
    fn load_neediest(&mut self, engines: usize, need: Need) -> bool {
        let mut wants: Vec<(Want, Goal)> =
            self.goals.iter().map(|(model, goal)| (self.want(model, goal), *goal)).collect();
        wants.sort_by(|(a, _), (b, _)| a.compare_need(b));
        wants.iter().any(|(want, goal)| self.load(&want.model, goal, engines, need))
    }

    /// Returns the need of a model for loads.
    fn want(&self, model: &ModelId, goal: &Goal) -> Want {
        let soft = self.host.soft_state();
        let is_useful = |target: &&Target| {
            let held = target.models.get(model);
            self.loading.get(&target.id) == Some(model)
                || held.is_some_and(|held| goal.is_useful(*held))
        };
        let candidates =
            soft.registry.targets().filter(|target| self.may_load(&soft, model, goal, target));
        let (mut count, mut useful) = (0, 0);
        for target in candidates {
            count += 1;
            useful += usize::from(is_useful(&target));
        }
        Want { model: model.clone(), waiting: goal.waiting, candidates: count, useful }
    }

    /// Orders one load of a model if one may start now; returns whether it was ordered.
    fn load(&mut self, model: &ModelId, goal: &Goal, engines: usize, need: Need) -> bool {
        let Some(before) = goal.load_before(need) else { return false };
        let limits = limits(engines);
        let targets = self.candidates(model, goal);
        let rollout = self.rollouts.entry(model.clone()).or_insert_with(|| Rollout::new(limits));
        let may_load = |target: &&Target| {
            target.models.get(model).is_none_or(|held| *held < before)
                && !self.loading.contains_key(&target.id)
        };
        let relevant =
            targets.iter().filter(|target| may_load(target) || rollout.is_loading(&target.id));
        let engines: Vec<Engine> = relevant.map(|target| engine(target, model)).collect();
        let now = self.host.clock.now();
        let version = goal.newest;
        let load = rollout.next_up_to(now, version, goal.serving, &engines, 1).pop();
        let target =
            load.and_then(|load| targets.into_iter().find(|target| target.id == load.engine));
        let Some(target) = target else { return false };
        self.loading.insert(target.id.clone(), model.clone());
        let (host, term, sender) = (self.host.clone(), self.term, self.sender.clone());
        let model = model.clone();
        self.loads.spawn(async move {
            let outcome = run_load(&host, term, &target, &model, version).await;
            host.soft_state().end_load(&target.id);
            host.publish_soon();
            let _ = sender.send(Completion { model, engine: target.id, outcome });
        });
        true
    }

    /// Returns the engines that may load a model's newest version, those with the fewest running
    /// items first: the ones assigned to the model and, while its items wait, all with enough free
    /// slots.
    fn candidates(&self, model: &ModelId, goal: &Goal) -> Vec<Target> {
        let soft = self.host.soft_state();
        let candidates =
            soft.registry.targets().filter(|target| self.may_load(&soft, model, goal, target));
        let mut targets: Vec<Target> = candidates.cloned().collect();
        targets.sort_by_key(|target| soft.workload.running(&target.id));
        targets
    }

    /// Returns whether an engine may load a model's newest version.
    fn may_load(&self, soft: &SoftState, model: &ModelId, goal: &Goal, target: &Target) -> bool {
        let has_room = || {
            goal.waiting > 0 && soft.workload.running(&target.id) + MIN_FREE_SLOTS <= target.slots
        };
        target.models.contains_key(model)
            && target.is_ready()
            && self.host.allowance.room(target, self.host.clock.now()) != Some(0)
            && (self.allotment.contains(&target.id, model) || has_room())
    }
}

/// Returns the zones of the ready engines.
fn zones(host: &Host) -> BTreeMap<TargetId, ZoneId> {
    let soft = host.soft_state();
    let engines =
        soft.registry.targets().filter(|target| target.is_ready() && !target.models.is_empty());
    engines.map(|target| (target.id.clone(), target.zone.clone())).collect()
}

/// Returns the expected tokens of the newest job of each model, or 1 for a model without jobs.
fn demand(host: &Host, named: &BTreeMap<ModelId, Version>) -> BTreeMap<ModelId, f64> {
    let mut newest: BTreeMap<ModelId, (u64, f64)> = BTreeMap::new();
    host.replica.read(|state| {
        for record in state.jobs.values() {
            let job = &record.job;
            let Some(model) = &job.model else { continue };
            let tokens = job.items.iter().map(|item| item.expected_tokens).sum::<u64>();
            let entry = newest.entry(model.clone()).or_default();
            if job.submitted_ms >= entry.0 {
                *entry = (job.submitted_ms, tokens as f64);
            }
        }
    });
    let models = named.keys().chain(newest.keys());
    let demand = |model: &ModelId| newest.get(model).map_or(1.0, |(_, tokens)| *tokens);
    models.map(|model| (model.clone(), demand(model))).collect()
}

fn engine(target: &Target, model: &ModelId) -> Engine {
    let reported = target.models.get(model).copied().unwrap_or_default();
    Engine { id: target.id.clone(), zone: target.zone.clone(), reported }
}

/// Returns the maximum number of assignments of engines to models: as many as there can be loads
/// within the version intervals during which a load remains useful.
fn max_placements(engines: usize) -> usize {
    let loads = VERSION_INTERVAL.as_secs_f64() / TYPICAL_LOAD_TIME.as_secs_f64()
        * loads_at_once(engines) as f64;
    (loads * useful_intervals() as f64) as usize
}

fn limits(engines: usize) -> Limits {
    let store_loads = loads_at_once(engines) as u32;
    let least_serving = Ratio::new(MIN_SERVING_SHARE);
    Limits { store_loads, peer_loads: 0, least_serving, load_timeout: LOAD_TIMEOUT * 2 }
}
