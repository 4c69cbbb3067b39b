//! What an item has generated so far.

use catkinlatch_base::{JobId, Version, derive_value};
use std::collections::BTreeSet;

derive_value! {
    /// What an item has generated so far, up to the last whole event.
    #[derive(Default, Eq)]
    pub struct Progress {
        /// The id of the last whole event; 0 before the first.
        pub last_event: u64,
        /// The data of the events, in order.
        pub text: Vec<String>,
        /// The versions that made them.
        pub versions: BTreeSet<Version>,
    }
}

impl Progress {
    /// Appends an event.
    pub fn push(&mut self, id: u64, data: String, version: Option<Version>) {
        self.last_event = id;
        self.text.push(data);
        self.versions.extend(version);
    }

    /// Returns what came after an event, with the versions of all.
    pub fn since(&self, event: u64) -> Self {
        let text = self.text.iter().skip(event as usize).cloned().collect();
        Self { last_event: self.last_event, text, versions: self.versions.clone() }
    }

    /// Takes what came after an event; one that is not the last event of this changes nothing,
    /// but what starts anew replaces all.
    pub fn advance(&mut self, after: u64, more: &Self) -> bool {
        if after == 0 {
            *self = more.clone();
            return true;
        }
        if after != self.last_event {
            return false;
        }
        self.last_event = more.last_event;
        self.text.extend_from_slice(&more.text);
        self.versions.extend(&more.versions);
        true
    }
}

derive_value! {
    /// How far an item has come.
    #[derive(Eq)]
    pub struct Advance {
        /// The job.
        pub job: JobId,
        /// The item's position in the job.
        pub item: u32,
        /// The event after which this begins; 0 for all.
        pub after: u64,
        /// What came after it.
        pub progress: Progress,
    }
}
