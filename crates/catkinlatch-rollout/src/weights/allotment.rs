//! Which engines are kept fresh for which models.
//!
//! Where several trainers share engines, bringing every version to every engine takes longer than
//! a step. So each model has a share of the engines, by the work that its jobs bring, spread over
//! the zones; an engine may be kept for several models, and keeps them for as long as the shares
//! allow.

use catkinlatch_base::{ModelId, TargetId, ZoneId};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// Which engines are kept fresh for which models.
#[derive(Clone, Debug, Default)]
pub struct Allotment {
    engines_of: BTreeMap<ModelId, BTreeSet<TargetId>>,
}

impl Allotment {
    /// Allots engines to the models by their demand, with few changes.
    ///
    /// `most` bounds the sum over all models, since each place costs loads.
    pub fn update(
        &mut self,
        engines: &BTreeMap<TargetId, ZoneId>,
        demand: &BTreeMap<ModelId, f64>,
        most: usize,
    ) {
        let counts = shares(engines.len(), most.max(engines.len()), demand);
        self.engines_of.retain(|model, _| counts.contains_key(model));
        for held in self.engines_of.values_mut() {
            held.retain(|engine| engines.contains_key(engine));
        }
        for (model, count) in &counts {
            while self.count(model) > *count {
                let Some(engine) = self.worst(model, engines) else { break };
                self.engines_of.entry(model.clone()).or_default().remove(&engine);
            }
        }
        for (model, count) in &counts {
            while self.count(model) < *count {
                let Some(engine) = self.best(model, engines) else { break };
                self.engines_of.entry(model.clone()).or_default().insert(engine);
            }
        }
    }

    /// Returns whether an engine is kept fresh for a model.
    pub fn contains(&self, engine: &TargetId, model: &ModelId) -> bool {
        self.engines_of.get(model).is_some_and(|held| held.contains(engine))
    }

    fn count(&self, model: &ModelId) -> usize {
        self.engines_of.get(model).map_or(0, BTreeSet::len)
    }

    /// Returns how many models an engine is kept for.
    fn models(&self, engine: &TargetId) -> usize {
        self.engines_of.values().filter(|held| held.contains(engine)).count()
    }

    /// Returns how many engines of a zone are kept for a model.
    fn crowd(&self, model: &ModelId, zone: &ZoneId, engines: &BTreeMap<TargetId, ZoneId>) -> usize {
        let held = self.engines_of.get(model).into_iter().flatten();
        held.filter(|engine| engines.get(*engine) == Some(zone)).count()
    }

    /// Returns the engine that a model should give up: one kept for most models, in the zone where
    /// it has most.
    fn worst(&self, model: &ModelId, engines: &BTreeMap<TargetId, ZoneId>) -> Option<TargetId> {
        let held = self.engines_of.get(model)?.iter();
        let rank = |engine: &&TargetId| {
            let zone = engines.get(*engine);
            (self.models(engine), zone.map(|zone| self.crowd(model, zone, engines)))
        };
        held.max_by_key(rank).cloned()
    }

    /// Returns the engine that a model should take: one kept for fewest models, in the zone where
    /// it has fewest.
    fn best(&self, model: &ModelId, engines: &BTreeMap<TargetId, ZoneId>) -> Option<TargetId> {
        let free = engines.iter().filter(|(engine, _)| !self.contains(engine, model));
        let rank = |(engine, zone): &(&TargetId, &ZoneId)| {
            (self.models(engine), self.crowd(model, zone, engines))
        };
        free.min_by_key(rank).map(|(engine, _)| engine.clone())
    }
}

/// Divides places by demand: one for each model at least, no more than there are engines, and the
/// rest by the largest remainders.
fn shares(
    engines: usize,
    most: usize,
    demand: &BTreeMap<ModelId, f64>,
) -> BTreeMap<ModelId, usize> {
    let total: f64 = demand.values().sum();
    let part = |demand: f64| {
        let share = if total > 0.0 { demand / total } else { 1.0 };
        share * most as f64
    };
    let count = |demand: f64| (part(demand).floor() as usize).clamp(1, engines.max(1));
    let mut counts: BTreeMap<ModelId, usize> =
        demand.iter().map(|(model, demand)| (model.clone(), count(*demand))).collect();
    let mut order: Vec<(&ModelId, f64)> =
        demand.iter().map(|(model, demand)| (model, part(*demand).fract())).collect();
    order.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
    let sum = |counts: &BTreeMap<ModelId, usize>| counts.values().sum::<usize>();
    while sum(&counts) > most
        && let Some((_, count)) =
            counts.iter_mut().max_by_key(|(model, count)| (**count, Reverse(*model)))
        && *count > 1
    {
        *count -= 1;
    }
    let room = engines * demand.len();
    for (model, _) in order.iter().cycle() {
        if sum(&counts) >= most.min(room) {
            break;
        }
        if let Some(count) = counts.get_mut(*model).filter(|count| **count < engines) {
            *count += 1;
        }
    }
    counts
}
