//! The table of targets that a node knows.

use super::{Announcement, Wanted};
use catkinlatch_base::{BootId, Instant, TargetId};
use slotmap::SlotMap;
use std::{collections::VecDeque, time::Duration};

slotmap::new_key_type! {
    /// Identifies an entry of the table for as long as the target stays.
    pub struct Key;
}

/// How long a target stays without renewing its announcement.
const TIME_TO_LIVE: Duration = Duration::from_secs(10);

/// How many starts that are over are remembered.
const MAX_RETIRED: usize = 1024;

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
/// use catkinlatch_route::{Table, target::Wanted};
///
/// let table = Table::new();
/// let wanted = Wanted::Engine("draft".parse().expect("the id is valid"));
/// assert!(table.choose(&wanted, &[], Instant::ZERO).is_none());
/// ```
#[derive(Debug, Default)]
pub struct Table {
    entries: SlotMap<Key, Entry>,
    retired: VecDeque<BootId>,
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an announcement, and returns whether the target is new or was restarted.
    ///
    /// An announcement of a start that was withdrawn or replaced came late and is ignored.
    pub fn announce(&mut self, announcement: Announcement, now: Instant) -> bool {
        if self.retired.contains(&announcement.boot) {
            return false;
        }
        let found = self.entries.values_mut().find(|e| e.announcement.id == announcement.id);
        let Some(entry) = found else {
            self.entries.insert(Entry { announcement, renewed: now, outstanding: 0 });
            return true;
        };
        let earlier = std::mem::replace(&mut entry.announcement, announcement).boot;
        entry.renewed = now;
        let restarted = earlier != entry.announcement.boot;
        if restarted {
            self.retire(earlier);
        }
        restarted
    }

    /// Removes a target, unless another start of it has announced itself since.
    pub fn withdraw(&mut self, id: &TargetId, boot: &BootId) {
        self.entries
            .retain(|_, entry| entry.announcement.id != *id || entry.announcement.boot != *boot);
        self.retire(boot.clone());
    }

    /// Remembers a start that is over.
    fn retire(&mut self, boot: BootId) {
        if self.retired.len() == MAX_RETIRED {
            self.retired.pop_front();
        }
        self.retired.push_back(boot);
    }

    /// Returns the targets.
    pub fn entries(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.entries.iter()
    }

    /// Returns the target of that key, unless it was removed.
    pub fn get(&self, key: Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Chooses the target with the least work for its size, the ones in `tried` last.
    pub fn choose(&self, wanted: &Wanted, tried: &[Key], now: Instant) -> Option<Key> {
        self.serving(wanted, now)
            .min_by(|(a_key, a), (b_key, b)| {
                let again = tried.contains(a_key).cmp(&tried.contains(b_key));
                again.then(a.load().total_cmp(&b.load()))
            })
            .map(|(key, _)| key)
    }

    /// Returns how many requests the targets run at one time.
    pub fn slots(&self, wanted: &Wanted, now: Instant) -> u32 {
        self.serving(wanted, now).map(|(_, entry)| entry.announcement.slots).sum()
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

    fn serving(&self, wanted: &Wanted, now: Instant) -> impl Iterator<Item = (Key, &Entry)> {
        let alive = move |e: &Entry| now.saturating_duration_since(e.renewed) <= TIME_TO_LIVE;
        self.entries
            .iter()
            .filter(move |(_, entry)| alive(entry) && wanted.matches(&entry.announcement.role))
    }
}

impl Entry {
    /// Returns the requests under way for each slot.
    fn load(&self) -> f64 {
        f64::from(self.outstanding) / f64::from(self.announcement.slots.max(1))
    }
}
