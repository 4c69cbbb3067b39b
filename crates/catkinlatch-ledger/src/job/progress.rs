//! The output that an item has generated so far.

use catkinlatch_base::{JobId, Version, derive_value};
use std::collections::BTreeSet;

derive_value! {
    /// The output that an item has generated so far, up to the last complete event.
    #[derive(Default, Eq)]
    pub struct Progress {
        /// The id of the last complete event; 0 before the first.
        pub last_event: u64,
        /// The data of the events, in order. Event ids start at 1 and are consecutive.
        pub text: Vec<String>,
        /// The versions of the weights that generated the events.
        pub versions: BTreeSet<Version>,
    }
}

/// About how many bytes an event takes beside its data.
const EVENT_BYTES: usize = 24;

impl Progress {
    /// Returns about how many bytes the progress takes.
    pub fn bytes(&self) -> usize {
        self.text.iter().map(|data| data.len() + EVENT_BYTES).sum()
    }

    /// Appends an event.
    pub fn push(&mut self, id: u64, data: String, version: Option<Version>) {
        self.last_event = id;
        self.text.push(data);
        self.versions.extend(version);
    }

    /// Returns the events after the one with id `event`, with the versions of all events.
    pub fn since(&self, event: u64) -> Self {
        let text = self.text.iter().skip(event as usize).cloned().collect();
        Self { last_event: self.last_event, text, versions: self.versions.clone() }
    }

    /// Appends the events that follow the event with id `after`, and returns whether it did.
    ///
    /// Does nothing if `after` is not the last event, which would leave a gap or repeat events. If
    /// `after` is 0, the item was restarted, and `more` replaces all events.
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
    /// An increment of an item's progress.
    #[derive(Eq)]
    pub struct Advance {
        /// The job of the item.
        pub job: JobId,
        /// The item's position in the job.
        pub item: u32,
        /// The id of the event that the increment follows; 0 if it starts with the first event.
        pub after: u64,
        /// The events after it.
        pub progress: Progress,
    }
}
