//! The cluster state that an entry host receives from the leader.

use catkinlatch_base::{HostId, ServiceId, TargetId};
use catkinlatch_ledger::{Configuration, Target, registry::Phase};
use catkinlatch_runtime::message::{self, Entry};
use std::sync::Arc;

/// The last cluster state received from the leader.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force; `None` until the leader has sent one.
    pub configuration: Option<Arc<Configuration>>,
    /// All registered targets.
    pub targets: Arc<Vec<Target>>,
    /// All entry hosts, ready or not.
    pub entries: Arc<Vec<Entry>>,
    /// The hosts that store the replicated state.
    pub stores: Arc<Vec<HostId>>,
}

impl View {
    /// Replaces the targets and entry hosts; replaces the configuration only by a newer version.
    pub fn update(&mut self, view: &message::View) {
        self.targets = Arc::new(view.targets.clone());
        self.entries = Arc::new(view.entries.clone());
        self.stores = Arc::new(view.stores.clone());
        if let Some(newer) = &view.configuration
            && self.version() < Some(newer.version)
        {
            self.configuration = Some(newer.clone());
        }
    }

    /// Returns the version of the configuration, if one is known.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version)
    }

    /// Returns whether the zone of a target is evacuated.
    pub fn is_evacuated(&self, id: &TargetId) -> bool {
        let is_it = |target: &&Target| target.phase == Phase::Evacuated && target.id == *id;
        self.targets.iter().any(|target| is_it(&target))
    }

    /// Returns the targets of a service.
    pub fn targets(&self, service: &ServiceId) -> impl Iterator<Item = &Target> {
        self.targets.iter().filter(move |target| target.service == *service)
    }
}
