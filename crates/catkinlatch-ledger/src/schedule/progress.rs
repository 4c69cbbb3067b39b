//! What an item has generated so far.

use catkinlatch_base::Version;
use std::collections::BTreeSet;

/// What an item has generated so far, up to the last whole event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The id of the last whole event; 0 before the first.
    pub last_event: u64,
    /// The data of the events, in order.
    pub text: Vec<String>,
    /// The versions that made them.
    pub versions: BTreeSet<Version>,
}

impl Progress {
    /// Appends an event.
    pub fn push(&mut self, id: u64, data: String, version: Option<Version>) {
        self.last_event = id;
        self.text.push(data);
        self.versions.extend(version);
    }
}
