//! Which engines are kept at the newest version of which model.
//!
//! Where several trainers share engines, bringing every version to every engine takes longer than
//! a step. So each model has engines of its own, by the work that its jobs bring, spread over the
//! zones, and an engine keeps its model for as long as the shares allow.

use catkinlatch_base::{ModelId, TargetId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Which engines are kept at the newest version of which model.
#[derive(Clone, Debug, Default)]
pub struct Allotment {
    model_of: BTreeMap<TargetId, ModelId>,
}

impl Allotment {
    /// Allots the engines to the models by their demand, with few changes.
    pub fn update(
        &mut self,
        engines: &BTreeMap<TargetId, ZoneId>,
        demand: &BTreeMap<ModelId, f64>,
    ) {
        self.model_of.retain(|engine, _| engines.contains_key(engine));
        let counts = shares(engines.len(), demand);
        for (model, count) in &counts {
            self.shrink(model, *count, engines);
        }
        self.model_of.retain(|_, model| counts.contains_key(model));
        loop {
            let lacks = |(model, count): &(&ModelId, &usize)| self.count(model) < **count;
            let Some((model, _)) = counts.iter().find(lacks) else { return };
            let Some(engine) = self.best_free(model, engines) else { return };
            self.model_of.insert(engine, model.clone());
        }
    }

    /// Returns whether an engine is kept at the newest version of a model.
    pub fn contains(&self, engine: &TargetId, model: &ModelId) -> bool {
        self.model_of.get(engine) == Some(model)
    }

    fn count(&self, model: &ModelId) -> usize {
        self.model_of.values().filter(|other| *other == model).count()
    }

    /// Takes engines from a model that has more than its share, where its zones have most.
    fn shrink(&mut self, model: &ModelId, count: usize, engines: &BTreeMap<TargetId, ZoneId>) {
        while self.count(model) > count {
            let zones = self.zones(model, engines);
            let own = self.model_of.iter().filter(|(_, other)| *other == model);
            let crowd = |engine: &TargetId| engines.get(engine).and_then(|zone| zones.get(zone));
            let Some(engine) = own.map(|(engine, _)| engine).max_by_key(|id| crowd(id)).cloned()
            else {
                return;
            };
            self.model_of.remove(&engine);
        }
    }

    /// Returns a free engine in the zone where the model has the fewest.
    fn best_free(&self, model: &ModelId, engines: &BTreeMap<TargetId, ZoneId>) -> Option<TargetId> {
        let zones = self.zones(model, engines);
        let free = engines.iter().filter(|(engine, _)| !self.model_of.contains_key(*engine));
        let best = free.min_by_key(|(_, zone)| zones.get(*zone).copied().unwrap_or_default());
        best.map(|(engine, _)| engine.clone())
    }

    /// Counts a model's engines in each zone.
    fn zones<'a>(
        &self,
        model: &ModelId,
        engines: &'a BTreeMap<TargetId, ZoneId>,
    ) -> BTreeMap<&'a ZoneId, usize> {
        let mut zones = BTreeMap::new();
        let own: BTreeSet<&TargetId> =
            self.model_of.iter().filter(|(_, other)| *other == model).map(|(id, _)| id).collect();
        for (engine, zone) in engines {
            *zones.entry(zone).or_default() += usize::from(own.contains(engine));
        }
        zones
    }
}

/// Divides engines by demand: one each at least, and the rest by the largest remainders.
fn shares(engines: usize, demand: &BTreeMap<ModelId, f64>) -> BTreeMap<ModelId, usize> {
    let total: f64 = demand.values().sum();
    let spare = engines.saturating_sub(demand.len());
    let exact = |demand: f64| if total > 0.0 { demand / total * engines as f64 - 1.0 } else { 0.0 };
    let extra = |demand: f64| exact(demand).max(0.0);
    let wanted: f64 = demand.values().map(|demand| extra(*demand)).sum();
    let scale = if wanted > 0.0 { spare as f64 / wanted } else { 0.0 };
    let mut counts: BTreeMap<ModelId, usize> = BTreeMap::new();
    let mut remainders: Vec<(f64, &ModelId)> = Vec::new();
    let mut left = engines;
    for (model, demand) in demand {
        let part = extra(*demand) * scale;
        let count = (1 + part.floor() as usize).min(left);
        left -= count;
        counts.insert(model.clone(), count);
        remainders.push((part - part.floor(), model));
    }
    remainders.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    let mut next = remainders.iter().cycle();
    while left > 0
        && let Some((_, model)) = next.next()
    {
        *counts.entry((*model).clone()).or_default() += 1;
        left -= 1;
    }
    counts
}
