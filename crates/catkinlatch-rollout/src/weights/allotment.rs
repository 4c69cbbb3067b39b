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
        let mut usage = Usage::new(engines);
        let mut rows: Vec<Row> =
            counts.keys().map(|model| usage.add(self.assigned.get(model))).collect();
        for (row, count) in rows.iter_mut().zip(counts.values()) {
            while row.count > *count {
                let Some(engine) = usage.engine_to_release(row) else { break };
                usage.set(row, engine, false);
            }
        }
        for (row, count) in rows.iter_mut().zip(counts.values()) {
            while row.count < *count {
                let Some(engine) = usage.engine_to_assign(row) else { break };
                usage.set(row, engine, true);
            }
        }
        let sets = rows.iter().map(|row| usage.engines_of(row));
        self.assigned = counts.into_keys().zip(sets).collect();
    }

    /// Returns whether an engine is assigned to a model.
    pub fn contains(&self, engine: &TargetId, model: &ModelId) -> bool {
        self.assigned.get(model).is_some_and(|engines_of_model| engines_of_model.contains(engine))
    }
}

/// The engines by number, with their zones and how many models each is assigned to.
///
/// Hundreds of engines are assigned one by one, so each step must not visit all assignments again.
struct Usage<'a> {
    engines: Vec<&'a TargetId>,
    /// Number of the zone of each engine.
    zones: Vec<usize>,
    /// Number of models that each engine is assigned to.
    models: Vec<usize>,
}

/// The engines of one model.
struct Row {
    is_assigned: Vec<bool>,
    /// Number of the model's engines by zone.
    by_zone: Vec<usize>,
    count: usize,
}

impl<'a> Usage<'a> {
    fn new(engines: &'a BTreeMap<TargetId, ZoneId>) -> Self {
        let names: BTreeSet<&ZoneId> = engines.values().collect();
        let numbers: BTreeMap<&ZoneId, usize> =
            names.into_iter().enumerate().map(|(number, zone)| (zone, number)).collect();
        Self {
            engines: engines.keys().collect(),
            zones: engines.values().map(|zone| numbers[zone]).collect(),
            models: vec![0; engines.len()],
        }
    }

    /// Adds a model with the engines assigned to it, leaving out those that are gone.
    fn add(&mut self, assigned: Option<&BTreeSet<TargetId>>) -> Row {
        let size = self.engines.len();
        let mut row = Row { is_assigned: vec![false; size], by_zone: vec![0; size], count: 0 };
        for engine in assigned.into_iter().flatten() {
            if let Ok(number) = self.engines.binary_search(&engine) {
                self.set(&mut row, number, true);
            }
        }
        row
    }

    fn set(&mut self, row: &mut Row, engine: usize, is_assigned: bool) {
        row.is_assigned[engine] = is_assigned;
        let zone = &mut row.by_zone[self.zones[engine]];
        let models = &mut self.models[engine];
        if is_assigned {
            (*zone, *models, row.count) = (*zone + 1, *models + 1, row.count + 1);
        } else {
            (*zone, *models, row.count) = (*zone - 1, *models - 1, row.count - 1);
        }
    }

    /// Returns the engine that a model should release: one assigned to the most models, in the zone
    /// where the model has the most engines.
    fn engine_to_release(&self, row: &Row) -> Option<usize> {
        let assigned = (0..self.engines.len()).filter(|engine| row.is_assigned[*engine]);
        assigned.max_by_key(|engine| self.rank(row, *engine))
    }

    /// Returns the engine that a model should take: one assigned to the fewest models, in the zone
    /// where the model has the fewest engines.
    fn engine_to_assign(&self, row: &Row) -> Option<usize> {
        let free = (0..self.engines.len()).filter(|engine| !row.is_assigned[*engine]);
        free.min_by_key(|engine| self.rank(row, *engine))
    }

    fn rank(&self, row: &Row, engine: usize) -> (usize, usize) {
        (self.models[engine], row.by_zone[self.zones[engine]])
    }

    fn engines_of(&self, row: &Row) -> BTreeSet<TargetId> {
        let assigned = self.engines.iter().zip(&row.is_assigned);
        let assigned = assigned.filter(|(_, is_assigned)| **is_assigned);
        assigned.map(|(engine, _)| (*engine).clone()).collect()
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
