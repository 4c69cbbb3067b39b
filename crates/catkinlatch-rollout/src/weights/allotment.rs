//! Assignment of engines to the models whose weights they keep up to date.
//!
//! Where several trainers share engines, loading every version on every engine takes longer than a
//! training step. Each model is therefore assigned a share of the engines, in proportion to the
//! work of its jobs and spread over the zones. An engine may be assigned to several models, and an
//! assignment is kept while the shares allow it.

use catkinlatch_base::{ModelId, TargetId, ZoneId};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// The engines assigned to each model, whose weights they keep up to date.
#[derive(Clone, Debug, Default)]
pub struct Allotment {
    assigned: BTreeMap<ModelId, BTreeSet<TargetId>>,
}

impl Allotment {
    /// Assigns engines to models in proportion to `demand`, with few changes.
    ///
    /// `max_assignments` bounds the assignments of all models together, since each one costs loads;
    /// a bound below the number of engines is raised to it.
    pub fn update(
        &mut self,
        engines: &BTreeMap<TargetId, ZoneId>,
        demand: &BTreeMap<ModelId, f64>,
        max_assignments: usize,
    ) {
        let counts = assignment_counts(engines.len(), max_assignments.max(engines.len()), demand);
        self.assigned.retain(|model, _| counts.contains_key(model));
        for engines_of_model in self.assigned.values_mut() {
            engines_of_model.retain(|engine| engines.contains_key(engine));
        }
        for (model, count) in &counts {
            while self.count(model) > *count {
                let Some(engine) = self.engine_to_release(model, engines) else { break };
                self.assigned.entry(model.clone()).or_default().remove(&engine);
            }
        }
        for (model, count) in &counts {
            while self.count(model) < *count {
                let Some(engine) = self.engine_to_assign(model, engines) else { break };
                self.assigned.entry(model.clone()).or_default().insert(engine);
            }
        }
    }

    /// Returns whether an engine is assigned to a model.
    pub fn contains(&self, engine: &TargetId, model: &ModelId) -> bool {
        self.assigned.get(model).is_some_and(|engines_of_model| engines_of_model.contains(engine))
    }

    fn count(&self, model: &ModelId) -> usize {
        self.assigned.get(model).map_or(0, BTreeSet::len)
    }

    /// Returns how many models an engine is assigned to.
    fn models(&self, engine: &TargetId) -> usize {
        self.assigned.values().filter(|engines_of_model| engines_of_model.contains(engine)).count()
    }

    /// Returns how many engines of a zone are assigned to a model.
    fn count_in_zone(
        &self,
        model: &ModelId,
        zone: &ZoneId,
        engines: &BTreeMap<TargetId, ZoneId>,
    ) -> usize {
        let engines_of_model = self.assigned.get(model).into_iter().flatten();
        engines_of_model.filter(|engine| engines.get(*engine) == Some(zone)).count()
    }

    /// Returns the engine that a model should release: one assigned to the most models, in the zone
    /// where the model has the most engines.
    fn engine_to_release(
        &self,
        model: &ModelId,
        engines: &BTreeMap<TargetId, ZoneId>,
    ) -> Option<TargetId> {
        let engines_of_model = self.assigned.get(model)?.iter();
        let rank = |engine: &&TargetId| {
            let zone = engines.get(*engine);
            (self.models(engine), zone.map(|zone| self.count_in_zone(model, zone, engines)))
        };
        engines_of_model.max_by_key(rank).cloned()
    }

    /// Returns the engine that a model should take: one assigned to the fewest models, in the zone
    /// where the model has the fewest engines.
    fn engine_to_assign(
        &self,
        model: &ModelId,
        engines: &BTreeMap<TargetId, ZoneId>,
    ) -> Option<TargetId> {
        let free = engines.iter().filter(|(engine, _)| !self.contains(engine, model));
        let rank = |(engine, zone): &(&TargetId, &ZoneId)| {
            (self.models(engine), self.count_in_zone(model, zone, engines))
        };
        free.min_by_key(rank).map(|(engine, _)| engine.clone())
    }
}

/// Divides `max_assignments` between models by demand, with the largest remainder method.
///
/// Each model gets at least one assignment, and at most one per engine.
fn assignment_counts(
    engines: usize,
    max_assignments: usize,
    demand: &BTreeMap<ModelId, f64>,
) -> BTreeMap<ModelId, usize> {
    let total: f64 = demand.values().sum();
    let quota = |demand: f64| {
        let share = if total > 0.0 { demand / total } else { 1.0 };
        share * max_assignments as f64
    };
    let count = |demand: f64| (quota(demand).floor() as usize).clamp(1, engines.max(1));
    let mut counts: BTreeMap<ModelId, usize> =
        demand.iter().map(|(model, demand)| (model.clone(), count(*demand))).collect();
    let mut order: Vec<(&ModelId, f64)> =
        demand.iter().map(|(model, demand)| (model, quota(*demand).fract())).collect();
    order.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
    let total_count = |counts: &BTreeMap<ModelId, usize>| counts.values().sum::<usize>();
    while total_count(&counts) > max_assignments
        && let Some((_, count)) =
            counts.iter_mut().max_by_key(|(model, count)| (**count, Reverse(*model)))
        && *count > 1
    {
        *count -= 1;
    }
    let max_possible = engines * demand.len();
    for (model, _) in order.iter().cycle() {
        if total_count(&counts) >= max_assignments.min(max_possible) {
            break;
        }
        if let Some(count) = counts.get_mut(*model).filter(|count| **count < engines) {
            *count += 1;
        }
    }
    counts
}
