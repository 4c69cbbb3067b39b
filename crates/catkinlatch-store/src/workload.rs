//! A summary of the schedule for tasks other than the runner.

use catkinlatch_base::{ModelId, ServiceId, TargetId};
use catkinlatch_ledger::schedule::Requirement;
use catkinlatch_rollout::weights::Demand;
use std::collections::BTreeMap;

/// The numbers of items that wait and run.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    /// The number of items that wait for an engine, by what they need of it.
    pub waiting: BTreeMap<Requirement, usize>,
    /// The number of items that each engine runs.
    pub running: BTreeMap<TargetId, u32>,
}

impl Workload {
    /// Returns the items of a model that wait for an engine of the services that `has_engines`
    /// returns true for.
    pub fn demand(&self, model: &ModelId, has_engines: impl Fn(&ServiceId) -> bool) -> Demand {
        let mut demand = Demand::default();
        let waiting = self.waiting.iter().filter(|(requirement, _)| requirement.model == *model);
        for (requirement, items) in waiting.filter(|(needed, _)| has_engines(&needed.service)) {
            demand.add(requirement.min_version, *items);
        }
        demand
    }

    /// Returns how many items an engine runs.
    pub fn running(&self, engine: &TargetId) -> u32 {
        self.running.get(engine).copied().unwrap_or_default()
    }
}
