//! Selection of the hosts that relay connections to targets.

use catkinlatch_base::{HostId, Instant, ZoneId};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

/// How long a host is left out that reaches no targets itself, or shuts down.
const LONG_REST: Duration = Duration::from_millis(3_000);

/// How long a host is left out that did not relay a connection for another reason.
const REST: Duration = Duration::from_millis(1_000);

/// How long a host is left out that relays as many connections as it can.
const SHORT_REST: Duration = Duration::from_millis(200);

/// Number of hosts of a zone that rest, from which on hosts of other zones come first: whole zones
/// are cut off at once.
const MAX_RESTING: usize = 2;

/// Number of hosts among which connections are spread.
const SPREAD: usize = 2;

/// Number of targets in a row that did not answer through a host, after which it rests.
const MAX_UNANSWERED: u32 = 2;

/// Why a host did not relay a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Setback {
    /// It relays as many connections as it can.
    Busy,
    /// It did not answer, or did not reach the target.
    Failed,
    /// It reaches no targets itself, or shuts down.
    Unable,
}

impl Setback {
    fn rest(self) -> Duration {
        match self {
            Self::Busy => SHORT_REST,
            Self::Failed => REST,
            Self::Unable => LONG_REST,
        }
    }
}

/// A host that may relay connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// The host.
    pub host: HostId,
    /// The host's availability zone, if it is known.
    pub zone: Option<ZoneId>,
    /// Whether the host has other work and is asked last.
    pub is_reserve: bool,
}

#[derive(Clone, Debug)]
struct Stats {
    zone: Option<ZoneId>,
    rests_until: Instant,
    unanswered: u32,
}

/// What a host has seen of those that relay connections for it.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    stats: BTreeMap<HostId, Stats>,
}

impl Helpers {
    /// Returns the hosts to ask, best first, without those that rest.
    ///
    /// Each host has an order of its own, so that the hosts that are cut off spread over the others,
    /// and each keeps sessions with few of them. `random` is between 0 and 1.
    pub fn rank(
        &self,
        candidates: Vec<Helper>,
        own: &HostId,
        zone: &ZoneId,
        random: f64,
        now: Instant,
    ) -> Vec<Helper> {
        let resting = |stats: &&Stats| now < stats.rests_until;
        let mut resting_in: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        for zone in self.stats.values().filter(resting).filter_map(|stats| stats.zone.as_ref()) {
            *resting_in.entry(zone).or_default() += 1;
        }
        let rests = |helper: &Helper| self.stats.get(&helper.host).is_some_and(|s| resting(&s));
        let mut ranked: Vec<Helper> =
            candidates.into_iter().filter(|helper| helper.host != *own && !rests(helper)).collect();
        ranked.sort_by_cached_key(|helper| {
            let resting = helper.zone.as_ref().and_then(|zone| resting_in.get(zone));
            let is_avoided = resting.is_some_and(|count| *count >= MAX_RESTING);
            let is_remote = helper.zone.as_ref() != Some(zone);
            (helper.is_reserve, is_avoided, is_remote, hash(own, &helper.host))
        });
        let spread = SPREAD.min(ranked.len());
        let is_equal = |other: &Helper| other.is_reserve == ranked[0].is_reserve;
        if spread > 1 && is_equal(&ranked[1]) {
            ranked[..spread].rotate_left((random * spread as f64) as usize % spread);
        }
        ranked
    }

    /// Records that a host relayed a connection or an answer.
    pub fn record_success(&mut self, host: &HostId) {
        self.stats.remove(host);
    }

    /// Records that a host could not relay a connection.
    pub fn record_setback(&mut self, helper: &Helper, setback: Setback, now: Instant) {
        let zone = helper.zone.clone();
        let stats = Stats { zone, rests_until: now + setback.rest(), unanswered: 0 };
        self.stats.insert(helper.host.clone(), stats);
        self.stats.retain(|_, stats| now < stats.rests_until || stats.unanswered > 0);
    }

    /// Records that a host did not reach a target, or left a relayed request without an answer: the
    /// target may be the reason, so the host rests only if that happens in a row.
    pub fn record_silence(&mut self, helper: &Helper, now: Instant) {
        let stats = self.stats.entry(helper.host.clone()).or_insert_with(|| Stats {
            zone: helper.zone.clone(),
            rests_until: Instant::ZERO,
            unanswered: 0,
        });
        stats.unanswered += 1;
        if stats.unanswered >= MAX_UNANSWERED {
            self.record_setback(helper, Setback::Failed, now);
        }
    }
}

/// Returns the position of `other` in the order of `own`, the same for the life of both.
fn hash(own: &HostId, other: &HostId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (own, other).hash(&mut hasher);
    hasher.finish()
}
