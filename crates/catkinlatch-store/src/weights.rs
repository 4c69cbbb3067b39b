//! Brings named versions of weights to the engines, a few at a time.

mod order;

use self::order::{LOAD_TIME, LOAD_TIMEOUT, bring};
use crate::host::Host;
use catkinlatch_base::{ModelId, Ratio, TargetId, Term, Version, ZoneId};
use catkinlatch_ledger::Target;
use catkinlatch_rollout::weights::{
    Allotment, Engine, Limits, Outcome, Rollout, Want, loads_at_once,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{sync::mpsc, task::JoinSet, time};

/// How often the leader looks for engines that lack a version.
const INTERVAL: Duration = Duration::from_millis(100);

/// How many versions behind the newest one a trainer still takes samples.
const STALENESS: u64 = 1;

/// How often a trainer names a version, about; loads are planned for it.
const STEP: Duration = Duration::from_secs(4);

/// How many slots must be free on an engine that is loaded for items that wait.
const FREE_SLOTS: u32 = 2;

/// The share of the engines that keeps serving.
const LEAST_SERVING: f64 = 0.5;

/// The end of a load.
struct Ended {
    model: ModelId,
    engine: TargetId,
    outcome: Outcome,
}

/// Gives orders for as long as this host leads in this term.
pub async fn run(host: Arc<Host>, term: Term) {
    host.await_turn().await;
    let mut loader = Loader::new(host, term);
    loop {
        time::sleep(INTERVAL).await;
        loader.tick();
    }
}

/// Why an engine should load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// Its weights are too old for the next job.
    Now,
    /// They will be once another version is named, and no item waits that it could run meanwhile.
    Ahead,
}

/// Decides which engine loads what, and follows the loads.
struct Loader {
    host: Arc<Host>,
    term: Term,
    allotment: Allotment,
    rollouts: BTreeMap<ModelId, Rollout>,
    loading: BTreeMap<TargetId, ModelId>,
    loads: JoinSet<()>,
    tell: mpsc::UnboundedSender<Ended>,
    told: mpsc::UnboundedReceiver<Ended>,
}

impl Loader {
    fn new(host: Arc<Host>, term: Term) -> Self {
        let (tell, told) = mpsc::unbounded_channel();
        Self {
            host,
            term,
            allotment: Allotment::default(),
            rollouts: BTreeMap::new(),
            loading: BTreeMap::new(),
            loads: JoinSet::new(),
            tell,
            told,
        }
    }

    /// Takes the ends of loads and starts the next ones.
    fn tick(&mut self) {
        while self.loads.try_join_next().is_some() {}
        let now = self.host.clock.now();
        while let Ok(Ended { model, engine, outcome }) = self.told.try_recv() {
            self.loading.remove(&engine);
            if let Some(rollout) = self.rollouts.get_mut(&model) {
                rollout.ended(&engine, outcome, now);
            }
        }
        let named = self.host.replica.read(|state| state.versions.clone());
        let zones = zones(&self.host);
        self.allotment.update(&zones, &demand(&self.host, &named), places(zones.len()));
        for need in [Need::Now, Need::Ahead] {
            while self.loading.len() < loads_at_once(zones.len())
                && self.load_neediest(&named, zones.len(), need)
            {}
        }
    }

    /// Orders one load, for the model that needs it most; returns whether any model had one.
    fn load_neediest(
        &mut self,
        named: &BTreeMap<ModelId, Version>,
        engines: usize,
        need: Need,
    ) -> bool {
        let mut wants: Vec<Want> =
            named.iter().map(|(model, version)| self.want(model, *version)).collect();
        wants.retain(|want| need == Need::Now || want.waiting == 0);
        wants.sort_by(Want::before);
        let load = |want: &Want| {
            let version = named.get(&want.model);
            version.is_some_and(|version| self.load(&want.model, *version, engines, need))
        };
        wants.iter().any(load)
    }

    /// Returns what is known of a model.
    fn want(&self, model: &ModelId, version: Version) -> Want {
        let kept = self.candidates(model);
        let is_useful = |target: &&Target| {
            let held = target.models.get(model);
            self.loading.get(&target.id) == Some(model)
                || held.is_some_and(|held| *held >= floor(version))
        };
        let useful = kept.iter().filter(is_useful).count();
        let waiting = self.host.soft().work.waiting(model);
        Want { model: model.clone(), waiting, kept: kept.len(), useful }
    }

    /// Orders one load of a model if one may begin now; returns whether it did.
    fn load(&mut self, model: &ModelId, version: Version, engines: usize, need: Need) -> bool {
        let limits = limits(engines);
        let targets = self.candidates(model);
        let rollout = self.rollouts.entry(model.clone()).or_insert_with(|| Rollout::new(limits));
        let floor = floor(version);
        let least = match need {
            Need::Now => floor,
            Need::Ahead => version,
        };
        let may_load = |target: &&Target| {
            target.models.get(model).is_none_or(|held| *held < least)
                && !self.loading.contains_key(&target.id)
        };
        let concerned =
            targets.iter().filter(|target| may_load(target) || rollout.is_loading(&target.id));
        let engines: Vec<Engine> = concerned.map(|target| engine(target, model)).collect();
        let now = self.host.clock.now();
        let load = rollout.next_up_to(now, version, floor, &engines, 1).pop();
        let target =
            load.and_then(|load| targets.into_iter().find(|target| target.id == load.engine));
        let Some(target) = target else { return false };
        self.loading.insert(target.id.clone(), model.clone());
        let (host, term, tell) = (self.host.clone(), self.term, self.tell.clone());
        let model = model.clone();
        self.loads.spawn(async move {
            let outcome = bring(&host, term, &target, &model, version).await;
            host.soft().loaded(&target.id);
            host.announce();
            let _ = tell.send(Ended { model, engine: target.id, outcome });
        });
        true
    }

    /// Returns the engines that may be brought to a model's newest version, those with most free
    /// slots first: the ones kept fresh for it, and while its items wait, all that have room.
    fn candidates(&self, model: &ModelId) -> Vec<Target> {
        let soft = self.host.soft();
        let has_room = |target: &Target| {
            soft.work.waiting(model) > 0
                && soft.work.running(&target.id) + FREE_SLOTS <= target.slots
        };
        let may_load = |target: &&Target| {
            target.models.contains_key(model)
                && target.is_ready()
                && (self.allotment.contains(&target.id, model) || has_room(target))
        };
        let mut targets: Vec<Target> = soft.registry.targets().filter(may_load).cloned().collect();
        targets.sort_by_key(|target| soft.work.running(&target.id));
        targets
    }
}

/// Returns the engines and their zones.
fn zones(host: &Host) -> BTreeMap<TargetId, ZoneId> {
    let soft = host.soft();
    let engines =
        soft.registry.targets().filter(|target| target.is_ready() && !target.models.is_empty());
    engines.map(|target| (target.id.clone(), target.zone.clone())).collect()
}

/// Returns the tokens that the newest job of each model is expected to take.
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

/// Returns the oldest version that the next job of a model takes.
fn floor(named: Version) -> Version {
    Version::new(named.get().saturating_sub(STALENESS))
}

/// Returns how many places the models may have on the engines together: as many as can be loaded
/// within the steps for which a load is of use.
fn places(engines: usize) -> usize {
    let loads = STEP.as_secs_f64() / LOAD_TIME.as_secs_f64() * loads_at_once(engines) as f64;
    (loads * (STALENESS + 1) as f64) as usize
}

fn limits(engines: usize) -> Limits {
    let store_loads = loads_at_once(engines) as u32;
    let least_serving = Ratio::new(LEAST_SERVING);
    Limits { store_loads, peer_loads: 0, least_serving, load_timeout: LOAD_TIMEOUT * 2 }
}
