//! The table of targets that a node knows.

use super::{Announcement, Role};
use catkinlatch_base::{Instant, ModelId, RouteId, TargetId};
use slotmap::SlotMap;
use std::time::Duration;

slotmap::new_key_type! {
    /// Identifies an entry of the table for as long as the target stays.
    pub struct Key;
}

/// How long a target stays without renewing its announcement.
const TIME_TO_LIVE: Duration = Duration::from_secs(10);

/// One target and the work that this node gave it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What the target said last.
    pub announcement: Announcement,
    /// When it said so.
    pub renewed: Instant,
    /// How many requests this node has under way on it.
    pub outstanding: u32,
}

/// The targets that a node knows.
///
/// ```
/// use catkinlatch_base::Instant;
/// use catkinlatch_route::Table;
///
/// let table = Table::new();
/// let model = "draft".parse().expect("the id is valid");
/// assert!(table.choose_engine(&model, Instant::ZERO).is_none());
/// ```
#[derive(Debug, Default)]
pub struct Table {
    entries: SlotMap<Key, Entry>,
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an announcement, and returns whether the target is new or was restarted.
    pub fn announce(&mut self, announcement: Announcement, now: Instant) -> bool {
        let found = self.entries.values_mut().find(|e| e.announcement.id == announcement.id);
        let Some(entry) = found else {
            self.entries.insert(Entry { announcement, renewed: now, outstanding: 0 });
            return true;
        };
        let restarted = entry.announcement.boot != announcement.boot;
        entry.announcement = announcement;
        entry.renewed = now;
        restarted
    }

    /// Removes a target.
    pub fn withdraw(&mut self, id: &TargetId) {
        self.entries.retain(|_, entry| entry.announcement.id != *id);
    }

    /// Returns the targets.
    pub fn entries(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.entries.iter()
    }

    /// Returns the target of that key, unless it was removed.
    pub fn get(&self, key: Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Chooses the engine of `model` with the least work for its size.
    pub fn choose_engine(&self, model: &ModelId, now: Instant) -> Option<Key> {
        self.choose(now, |role| matches!(role, Role::Engine { model: m, .. } if m == model))
    }

    /// Chooses the plain service of `route` with the least work for its size.
    pub fn choose_service(&self, route: &RouteId, now: Instant) -> Option<Key> {
        self.choose(now, |role| matches!(role, Role::Service { route: r } if r == route))
    }

    /// Counts a request as under way on a target.
    pub fn begin(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.outstanding += 1;
        }
    }

    /// Counts a request as ended.
    pub fn end(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.outstanding = entry.outstanding.saturating_sub(1);
        }
    }

    fn choose(&self, now: Instant, serves: impl Fn(&Role) -> bool) -> Option<Key> {
        let alive = |e: &Entry| now.saturating_duration_since(e.renewed) <= TIME_TO_LIVE;
        self.entries
            .iter()
            .filter(|(_, entry)| alive(entry) && serves(&entry.announcement.role))
            .min_by(|(_, a), (_, b)| a.load().total_cmp(&b.load()))
            .map(|(key, _)| key)
    }
}

impl Entry {
    /// Returns the requests under way for each slot.
    fn load(&self) -> f64 {
        f64::from(self.outstanding) / f64::from(self.announcement.slots.max(1))
    }
}
