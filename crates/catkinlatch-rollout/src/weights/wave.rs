//! The loads that may be ordered at one moment.

use super::{Engine, Limits, Load, Loading, Source};
use catkinlatch_base::{TargetId, Version, ZoneId};
use std::collections::BTreeMap;

/// Engines of one zone that wait for a version.
type Queue<'a> = Vec<&'a Engine>;

/// The loads that may be ordered at one moment.
pub(super) struct Wave<'a> {
    wanted: Version,
    floor: Version,
    /// Candidates by the version that they report, and by zone.
    candidates: BTreeMap<Version, BTreeMap<&'a ZoneId, Queue<'a>>>,
    /// How many engines of a zone are loading.
    loading: BTreeMap<&'a ZoneId, usize>,
    /// Loads that each peer of a zone can still serve.
    peers: BTreeMap<&'a ZoneId, Vec<(&'a TargetId, u32)>>,
    store: u32,
    serving: usize,
    least_serving: f64,
}

impl<'a> Wave<'a> {
    /// Creates a wave without candidates, beside the loads under way.
    pub fn new(
        limits: &Limits,
        wanted: Version,
        floor: Version,
        engines: &'a [Engine],
        under_way: &BTreeMap<TargetId, Loading>,
    ) -> Self {
        let mut used: BTreeMap<&Source, u32> = BTreeMap::new();
        for load in under_way.values() {
            *used.entry(&load.source).or_default() += 1;
        }
        let store = limits.store_loads;
        let mut wave = Self {
            wanted,
            floor,
            candidates: BTreeMap::new(),
            loading: BTreeMap::new(),
            peers: BTreeMap::new(),
            store: store.saturating_sub(used.get(&Source::Store).copied().unwrap_or_default()),
            serving: 0,
            least_serving: limits.least_serving.get() * engines.len() as f64,
        };
        for engine in engines {
            if under_way.contains_key(&engine.id) {
                *wave.loading.entry(&engine.zone).or_default() += 1;
                continue;
            }
            wave.serving += usize::from(engine.reported >= floor);
            let serves = used.get(&Source::Peer(engine.id.clone())).copied().unwrap_or_default();
            let free = limits.peer_loads.saturating_sub(serves);
            if engine.reported == wanted && free > 0 {
                wave.peers.entry(&engine.zone).or_default().push((&engine.id, free));
            }
        }
        wave
    }

    /// Adds an engine that may load.
    pub fn add(&mut self, engine: &'a Engine) {
        let zones = self.candidates.entry(engine.reported).or_default();
        zones.entry(&engine.zone).or_default().insert(0, engine);
    }

    /// Takes the next load: the oldest version first, then the zone with the fewest loads.
    pub fn next(&mut self) -> Option<Load> {
        let (version, zone) = self.place()?;
        if !self.may_stop(version) {
            return None;
        }
        let source = self.source(zone)?;
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

    fn place(&self) -> Option<(Version, &'a ZoneId)> {
        let (version, zones) = self.candidates.first_key_value()?;
        let loading = |zone: &ZoneId| self.loading.get(zone).copied().unwrap_or_default();
        let zone = zones.keys().copied().min_by_key(|zone| (loading(zone), *zone))?;
        Some((*version, zone))
    }

    /// Returns whether enough engines keep serving samples that the trainers take.
    ///
    /// An engine below the floor serves none, so loading it takes nothing away. One engine may
    /// always load, or a roll-out to few engines would never end.
    fn may_stop(&self, reported: Version) -> bool {
        reported < self.floor
            || self.loading.is_empty()
            || self.serving as f64 - 1.0 >= self.least_serving
    }

    /// Takes a source: a peer of the same zone, a peer of another, or the store.
    fn source(&mut self, zone: &'a ZoneId) -> Option<Source> {
        let near = self.peers.contains_key(zone).then_some(zone);
        if let Some(zone) = near.or_else(|| self.peers.keys().next().copied()) {
            return self.peer(zone);
        }
        self.store = self.store.checked_sub(1)?;
        Some(Source::Store)
    }

    fn peer(&mut self, zone: &'a ZoneId) -> Option<Source> {
        let peers = self.peers.get_mut(zone)?;
        let (peer, free) = peers.last_mut()?;
        let source = Source::Peer((*peer).clone());
        *free -= 1;
        if *free == 0 {
            peers.pop();
        }
        if peers.is_empty() {
            self.peers.remove(zone);
        }
        Some(source)
    }
}
