//! Messages with which processes keep their view of the system in sync with the leader's.

use catkinlatch_base::{HostId, Incarnation, TeamId, Term, WindowId, ZoneId, derive_value};
use catkinlatch_ledger::{Configuration, Count, Target, registry::Tombstone};
use std::sync::Arc;

derive_value! {
    /// An entry host, to which callers connect.
    #[derive(Eq)]
    pub struct Entry {
        /// The host.
        pub host: HostId,
        /// The host's availability zone.
        pub zone: ZoneId,
        /// The address at which callers connect.
        pub address: String,
        /// Whether the host accepts new callers.
        pub is_ready: bool,
    }
}

derive_value! {
    /// Role of a process.
    pub enum Role {
        /// Serves callers, as the given entry host.
        Entry(Entry),
        /// Stores the replicated state.
        Store,
    }
}

derive_value! {
    /// Version of a view, ordered by term and revision; zero if a process has no view yet.
    #[derive(Copy, Default, Eq, PartialOrd, Ord)]
    pub struct ViewVersion {
        /// Term of the leader that created the view.
        pub term: Term,
        /// Number of changes to that leader's view.
        pub revision: u64,
    }
}

derive_value! {
    /// Report of a process to the leader, which answers once it has a newer view.
    pub struct Follow {
        /// The host that the process runs on.
        pub host: HostId,
        /// The machine's name on the platform.
        pub name: String,
        /// Identifies this start of the process.
        pub incarnation: Incarnation,
        /// The process's role.
        pub role: Role,
        /// Version of the view that the process holds.
        pub view_version: ViewVersion,
        /// Version of the configuration that the process uses, if any.
        pub version: Option<u64>,
        /// Maximum time to wait for a newer view, in milliseconds.
        pub wait_ms: u64,
        /// The process's usage counts in the most recent windows since its start.
        pub counts: Vec<(WindowId, Vec<Count>)>,
    }
}

derive_value! {
    /// The leader's view of the system, as sent to other processes.
    pub struct View {
        /// Version of the view.
        pub view_version: ViewVersion,
        /// The configuration, if it is newer than that of the receiving process.
        pub configuration: Option<Arc<Configuration>>,
        /// All registered targets.
        pub targets: Vec<Target>,
        /// Tombstones of targets that have ended recently.
        pub tombstones: Vec<Tombstone>,
        /// The entry hosts that report to the leader, ready or not.
        pub entries: Vec<Entry>,
        /// The hosts that store the replicated state.
        pub stores: Vec<HostId>,
    }
}

impl Follow {
    /// Returns the number of requests that the process counted for a team in a window.
    pub fn count(&self, window: WindowId, team: &TeamId) -> u64 {
        let counts = self.counts.iter().filter(|(other, _)| *other == window);
        let counts = counts.flat_map(|(_, counts)| counts);
        counts.filter(|count| count.team == *team).map(|count| count.requests).sum()
    }
}
