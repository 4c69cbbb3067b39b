//! What an entry host was told by the leader.

use catkinlatch_base::ServiceId;
use catkinlatch_ledger::{Configuration, Target};
use catkinlatch_runtime::message::{self, Entry};
use std::sync::Arc;

/// What an entry host was told by the leader.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration, once there is one.
    pub configuration: Option<Arc<Configuration>>,
    /// The targets.
    pub targets: Arc<Vec<Target>>,
    /// The entry hosts.
    pub entries: Arc<Vec<Entry>>,
}

impl View {
    /// Takes what the leader says; the configuration never goes back to an older one.
    pub fn update(&mut self, view: &message::View) {
        self.targets = Arc::new(view.targets.clone());
        self.entries = Arc::new(view.entries.clone());
        if let Some(newer) = &view.configuration
            && self.version() < Some(newer.version)
        {
            self.configuration = Some(newer.clone());
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version)
    }

    /// Returns the targets of a service.
    pub fn targets(&self, service: &ServiceId) -> impl Iterator<Item = &Target> {
        self.targets.iter().filter(move |target| target.service == *service)
    }
}
