//! The loads that may be ordered at one moment.

use super::{Engine, Limits, Load, Loading, Source};
use catkinlatch_base::{TargetId, Version, ZoneId};
use std::collections::BTreeMap;

/// Engines of one zone that are candidates for a load; the next one is at the end.
type Queue<'a> = Vec<&'a Engine>;

/// The loads that may be ordered at one moment.
pub(super) struct Wave<'a> {
    wanted: Version,
    floor: Version,
    /// Candidates, by reported version and zone.
    candidates: BTreeMap<Version, BTreeMap<&'a ZoneId, Queue<'a>>>,
    /// Number of engines that are loading, by zone.
    loading: BTreeMap<&'a ZoneId, usize>,
    /// Peers that can serve more loads, and how many, by zone.
    peers: BTreeMap<&'a ZoneId, Vec<(&'a TargetId, u32)>>,
    store_capacity: u32,
    serving: usize,
    least_serving: f64,
}

impl<'a> Wave<'a> {
    /// Creates a wave without candidates, given the loads in progress.
    pub fn new(
        limits: &Limits,
        wanted: Version,
        floor: Version,
        engines: &'a [Engine],
        in_progress: &BTreeMap<TargetId, Loading>,
    ) -> Self {
        let mut used: BTreeMap<&Source, u32> = BTreeMap::new();
        for load in in_progress.values() {
            *used.entry(&load.source).or_default() += 1;
        }
        let store_capacity = limits.store_loads;
        let mut wave = Self {
            wanted,
            floor,
            candidates: BTreeMap::new(),
            loading: BTreeMap::new(),
            peers: BTreeMap::new(),
            store_capacity: store_capacity
                .saturating_sub(used.get(&Source::Store).copied().unwrap_or_default()),
            serving: 0,
            least_serving: limits.least_serving.get() * engines.len() as f64,
        };
        for engine in engines {
            if in_progress.contains_key(&engine.id) {
                *wave.loading.entry(&engine.zone).or_default() += 1;
                continue;
            }
            wave.serving += usize::from(engine.reported >= floor);
            let used_by_peer =
                used.get(&Source::Peer(engine.id.clone())).copied().unwrap_or_default();
            let free_loads = limits.peer_loads.saturating_sub(used_by_peer);
            if engine.reported == wanted && free_loads > 0 {
                wave.peers.entry(&engine.zone).or_default().push((&engine.id, free_loads));
            }
        }
        wave
    }

    /// Adds a candidate.
    pub fn add(&mut self, engine: &'a Engine) {
        let zones = self.candidates.entry(engine.reported).or_default();
        zones.entry(&engine.zone).or_default().insert(0, engine);
    }

    /// Returns the next load, or `None` if no further load may be ordered now.
    ///
    /// Engines with the oldest version come first, then those in the zone with the fewest loads.
    pub fn next(&mut self) -> Option<Load> {
        let (version, zone) = self.next_version_and_zone()?;
        if !self.may_take_offline(version) {
            return None;
        }
        let source = self.take_source(zone)?;
        let zones = self.candidates.get_mut(&version)?;
        let queue = zones.get_mut(zone)?;
        let engine = queue.pop()?;
        if queue.is_empty() {
            zones.remove(zone);
        }
        if zones.is_empty() {
            self.candidates.remove(&version);
        }
        *self.loading.entry(zone).or_default() += 1;
        self.serving -= usize::from(version >= self.floor);
        Some(Load { engine: engine.id.clone(), version: self.wanted, source })
    }

    /// Returns the version and zone of the next candidate.
    fn next_version_and_zone(&self) -> Option<(Version, &'a ZoneId)> {
        let (version, zones) = self.candidates.first_key_value()?;
        let loading = |zone: &ZoneId| self.loading.get(zone).copied().unwrap_or_default();
        let zone = zones.keys().copied().min_by_key(|zone| (loading(zone), *zone))?;
        Some((*version, zone))
    }

    /// Returns whether an engine that reports this version may stop serving to load.
    ///
    /// Enough engines must keep serving samples that trainers accept. An engine below the floor
    /// serves none, so loading it takes no capacity away. One engine may always load, since
    /// otherwise a roll-out to few engines would never complete.
    fn may_take_offline(&self, reported: Version) -> bool {
        reported < self.floor
            || self.loading.is_empty()
            || self.serving as f64 - 1.0 >= self.least_serving
    }

    /// Reserves a source: a peer in the same zone, else a peer in another zone, else the store.
    fn take_source(&mut self, zone: &'a ZoneId) -> Option<Source> {
        let local = self.peers.contains_key(zone).then_some(zone);
        if let Some(zone) = local.or_else(|| self.peers.keys().next().copied()) {
            return self.take_peer(zone);
        }
        self.store_capacity = self.store_capacity.checked_sub(1)?;
        Some(Source::Store)
    }

    fn take_peer(&mut self, zone: &'a ZoneId) -> Option<Source> {
        let peers = self.peers.get_mut(zone)?;
        let (peer, free_loads) = peers.last_mut()?;
        let source = Source::Peer((*peer).clone());
        *free_loads -= 1;
        if *free_loads == 0 {
            peers.pop();
        }
        if peers.is_empty() {
            self.peers.remove(zone);
        }
        Some(source)
    }
}
