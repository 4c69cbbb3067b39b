//! The table of targets known to a node.

use super::{Announcement, Selector};
use crate::Ramp;
use catkinlatch_base::{BootId, Instant, TargetId, ZoneId};
use slotmap::SlotMap;
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

slotmap::new_key_type! {
    /// Identifies an entry of the table until the target is removed.
    pub struct Key;
}

/// Age of its latest announcement beyond which a target gets no more requests.
const TIME_TO_LIVE: Duration = Duration::from_secs(10);

/// Maximum number of boot ids that are remembered after their process has ended.
const MAX_RETIRED_BOOTS: usize = 1024;

/// A target, and how many requests this node has in flight on it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The latest announcement of the target.
    pub announcement: Announcement,
    /// When the latest announcement was recorded.
    pub renewed: Instant,
    /// Number of requests that this node has in flight on the target.
    pub in_flight: u32,
}

/// The targets known to a node.
///
/// ```
/// use catkinlatch_base::Instant;
/// use catkinlatch_route::{Table, target::Selector};
///
/// let table = Table::new();
/// let selector = Selector::Engine("draft".parse().expect("the id is valid"));
/// assert!(table.choose(&selector, &[], Instant::ZERO).is_none());
/// ```
#[derive(Debug, Default)]
pub struct Table {
    entries: SlotMap<Key, Entry>,
    retired_boots: VecDeque<BootId>,
    ramp: Ramp,
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an announcement, and returns whether the target is new or was restarted.
    ///
    /// An announcement with a boot id that was withdrawn or replaced is late and is ignored.
    pub fn announce(&mut self, announcement: Announcement, now: Instant) -> bool {
        if self.retired_boots.contains(&announcement.boot) {
            return false;
        }
        let existing = self.entries.values_mut().find(|e| e.announcement.id == announcement.id);
        let Some(entry) = existing else {
            self.entries.insert(Entry { announcement, renewed: now, in_flight: 0 });
            return true;
        };
        let previous_boot = std::mem::replace(&mut entry.announcement, announcement).boot;
        entry.renewed = now;
        let restarted = previous_boot != entry.announcement.boot;
        if restarted {
            self.retire(previous_boot);
        }
        restarted
    }

    /// Removes a target, unless it has announced itself with another boot id since.
    ///
    /// Further announcements with the withdrawn boot id are ignored.
    pub fn withdraw(&mut self, id: &TargetId, boot: &BootId) {
        self.entries
            .retain(|_, entry| entry.announcement.id != *id || entry.announcement.boot != *boot);
        self.retire(boot.clone());
    }

    /// Remembers the boot id of a process that has ended, so that its late announcements are
    /// ignored.
    fn retire(&mut self, boot: BootId) {
        if self.retired_boots.len() == MAX_RETIRED_BOOTS {
            self.retired_boots.pop_front();
        }
        self.retired_boots.push_back(boot);
    }

    /// Replaces the evacuated zones, whose targets are not eligible. Targets of a zone that is no
    /// longer evacuated get their share of requests back gradually.
    pub fn set_evacuated(&mut self, zones: &BTreeSet<ZoneId>, now: Instant) {
        self.ramp.observe(zones, now);
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.ramp.evacuated().contains(zone)
    }

    /// Returns all targets, including those whose latest announcement has expired.
    pub fn entries(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.entries.iter()
    }

    /// Returns the target with the given key, or `None` if it was removed.
    pub fn get(&self, key: Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Chooses the eligible target with the fewest requests in flight per slot.
    ///
    /// Targets in `tried` are chosen only if no other target is eligible. Returns `None` if no
    /// target is eligible.
    pub fn choose(&self, selector: &Selector, tried: &[Key], now: Instant) -> Option<Key> {
        let has_room = |entry: &Entry| {
            let slots = self.usable_slots(entry, now);
            slots >= entry.announcement.slots || entry.in_flight < slots
        };
        self.eligible(selector, now)
            .filter(|(_, entry)| has_room(entry))
            .min_by(|(a_key, a), (b_key, b)| {
                let retried = tried.contains(a_key).cmp(&tried.contains(b_key));
                retried.then(a.load().total_cmp(&b.load()))
            })
            .map(|(key, _)| key)
    }

    /// Returns the total number of slots of the eligible targets.
    pub fn slots(&self, selector: &Selector, now: Instant) -> u32 {
        self.eligible(selector, now).map(|(_, entry)| self.usable_slots(entry, now)).sum()
    }

    /// Counts a request as in flight on a target.
    pub fn begin(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.in_flight += 1;
        }
    }

    /// Counts a request on a target as ended.
    pub fn end(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Returns how many of its slots a target may use now.
    fn usable_slots(&self, entry: &Entry, now: Instant) -> u32 {
        let Announcement { zone, slots, .. } = &entry.announcement;
        self.ramp.slots(zone, *slots, now)
    }

    /// Returns the targets that match `selector`, whose latest announcement has not expired and
    /// whose zone is not evacuated.
    fn eligible(&self, selector: &Selector, now: Instant) -> impl Iterator<Item = (Key, &Entry)> {
        let is_fresh = move |e: &Entry| now.saturating_duration_since(e.renewed) <= TIME_TO_LIVE;
        let entries = self.entries.iter().filter(|(_, e)| !self.is_evacuated(&e.announcement.zone));
        entries
            .filter(move |(_, entry)| is_fresh(entry) && selector.matches(&entry.announcement.role))
    }
}

impl Entry {
    /// Returns the number of requests in flight per slot.
    fn load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.announcement.slots.max(1))
    }
}
