//! How processes keep up with the leader.

use catkinlatch_base::{HostId, Incarnation, TeamId, Term, WindowId, ZoneId, derive_value};
use catkinlatch_ledger::{Configuration, Count, Target, registry::Gone};
use std::sync::Arc;

derive_value! {
    /// An entry host that callers may be sent to.
    #[derive(Eq)]
    pub struct Entry {
        /// The host.
        pub host: HostId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Where callers connect.
        pub address: String,
        /// Whether it takes new callers.
        pub is_ready: bool,
    }
}

derive_value! {
    /// What a process is for.
    pub enum Role {
        /// It serves callers.
        Entry(Entry),
        /// It keeps state.
        Store,
    }
}

derive_value! {
    /// Which view a process holds.
    #[derive(Copy, Default, Eq, PartialOrd, Ord)]
    pub struct Seen {
        /// The term of the leader that it is from.
        pub term: Term,
        /// Counts the changes of that leader's view.
        pub revision: u64,
    }
}

derive_value! {
    /// What a process tells the leader.
    pub struct Follow {
        /// The host.
        pub host: HostId,
        /// The machine's name.
        pub name: String,
        /// The start of the process.
        pub incarnation: Incarnation,
        /// What it is for.
        pub role: Role,
        /// The view that it holds.
        pub seen: Seen,
        /// The version of the configuration that is in force there.
        pub version: Option<u64>,
        /// How long it waits for something newer, in milliseconds.
        pub wait_ms: u64,
        /// What it counted in the newest usage windows since its start.
        pub counts: Vec<(WindowId, Vec<Count>)>,
    }
}

derive_value! {
    /// What the leader knows and others need.
    pub struct View {
        /// Identifies the view.
        pub seen: Seen,
        /// The configuration, if it is newer than the one held.
        pub configuration: Option<Arc<Configuration>>,
        /// The targets.
        pub targets: Vec<Target>,
        /// Targets that have ended of late.
        pub gone: Vec<Gone>,
        /// The entry hosts.
        pub entries: Vec<Entry>,
        /// The hosts that keep state.
        pub stores: Vec<HostId>,
    }
}

impl Follow {
    /// Returns what it counted for a team in a window.
    pub fn count(&self, window: WindowId, team: &TeamId) -> u64 {
        let counts = self.counts.iter().filter(|(other, _)| *other == window);
        let counts = counts.flat_map(|(_, counts)| counts);
        counts.filter(|count| count.team == *team).map(|count| count.requests).sum()
    }
}
