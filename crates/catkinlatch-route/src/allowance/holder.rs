//! The shares that a host holds of what limited targets may get.

use super::{MAX_SPAN, SPAN, Window};
use catkinlatch_base::Instant;
use std::{collections::BTreeMap, mem, time::Duration};

/// How long after its last request a share is given back. A host sends a request every few seconds
/// in large deployments, and others need the share meanwhile.
const GIVE_BACK_AFTER: Duration = Duration::from_millis(300);

/// What a host states about one start of a target in a report to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand<K> {
    /// The start of the target.
    pub start: K,
    /// Number of requests in a span that the host needs; 0 if it has given its share back.
    pub wanted: u32,
    /// Number of requests that the host sent in the last span.
    pub used: u32,
    /// Time since the host's last request; zero if it sent none in the last span.
    pub idle: Duration,
}

/// What a host has sent to one start of a target, and its share.
#[derive(Clone, Debug)]
struct Hold {
    window: Window,
    share: u32,
    /// The span in which the share may be used once.
    span: Duration,
    /// End of the lease of the share.
    until: Instant,
    /// Whether a request found no allowance since the last report.
    is_short: bool,
}

impl Default for Hold {
    fn default() -> Self {
        let (window, share, until, is_short) = Default::default();
        Self { window, share, span: SPAN, until, is_short }
    }
}

impl Hold {
    fn valid_share(&self, now: Instant) -> u32 {
        if now < self.until { self.share } else { 0 }
    }
}

/// The shares that a host holds, by start of a target. Without a valid share it sends nothing.
#[derive(Clone, Debug)]
pub struct Holder<K> {
    holds: BTreeMap<K, Hold>,
    /// When this host may next send a request without a share, while it hears no leader.
    next: BTreeMap<K, Instant>,
}

impl<K> Default for Holder<K> {
    fn default() -> Self {
        Self { holds: BTreeMap::new(), next: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> Holder<K> {
    /// Returns whether a request could be sent now; `factor` is that of the target's stage.
    pub fn has_room(&self, start: &K, factor: u32, now: Instant) -> bool {
        self.holds.get(start).is_some_and(|hold| {
            hold.window.count(hold.span, now) < hold.valid_share(now).saturating_mul(factor)
        })
    }

    /// Takes one request from the share; returns whether it may be sent.
    pub fn admit(&mut self, start: &K, factor: u32, now: Instant) -> bool {
        let hold = self.holds.entry(start.clone()).or_default();
        let is_admitted =
            hold.window.admit(hold.valid_share(now).saturating_mul(factor), hold.span, now);
        hold.is_short |= !is_admitted;
        is_admitted
    }

    /// Returns whether a host that hears no leader could send a request now; it sends one in `pause`.
    ///
    /// All hosts may lose the leader in the same moment, so the first pause ends at a random point,
    /// `random` being a number from 0 to 1.
    pub fn has_room_without_leader(
        &mut self,
        start: &K,
        pause: Duration,
        random: f64,
        now: Instant,
    ) -> bool {
        let next = self.next.entry(start.clone()).or_insert(now + pause.mul_f64(random));
        *next <= now
    }

    /// Takes one request of a host that hears no leader; returns whether it may be sent.
    pub fn admit_without_leader(
        &mut self,
        start: &K,
        pause: Duration,
        random: f64,
        now: Instant,
    ) -> bool {
        let is_admitted = self.has_room_without_leader(start, pause, random, now);
        if is_admitted {
            self.next.insert(start.clone(), now + pause);
            self.record(start, now);
        }
        is_admitted
    }

    /// Records that this host hears a leader again.
    pub fn record_leader(&mut self) {
        self.next.clear();
    }

    /// Records a request to a target that is not limited, but may turn cold at any time.
    pub fn record(&mut self, start: &K, now: Instant) {
        self.holds.entry(start.clone()).or_default().window.record(now);
    }

    /// Takes back a request sent at `sent`, which does not count.
    pub fn refund(&mut self, start: &K, sent: Instant) {
        if let Some(hold) = self.holds.get_mut(start) {
            hold.window.refund(sent);
        }
    }

    /// Records that a request waits for allowance; returns whether that is new since the last
    /// report.
    pub fn want(&mut self, start: &K) -> bool {
        let hold = self.holds.entry(start.clone()).or_default();
        !mem::replace(&mut hold.is_short, true)
    }

    /// Returns what the host needs of each target, for a report to the leader.
    ///
    /// It is twice the share of a target that was found without allowance, so that a burst gets
    /// enough within a few reports, and otherwise what was used in the last span. The share of a
    /// target that is not in use is given back: it ends now, and replies to earlier reports must
    /// not be accepted any more.
    pub fn take_demands(&mut self, now: Instant) -> Vec<Demand<K>> {
        let demand = |(start, hold): (&K, &mut Hold)| {
            let (used, idle) =
                (hold.window.count(hold.span, now), hold.window.idle(hold.span, now));
            let share = hold.valid_share(now);
            let wanted = if mem::take(&mut hold.is_short) {
                share.saturating_mul(2).max(1)
            } else if share > 0 && used > 0 && idle < GIVE_BACK_AFTER {
                used
            } else {
                hold.share = 0;
                0
            };
            let is_needed = wanted > 0 || share > 0;
            is_needed.then(|| Demand { start: start.clone(), wanted, used, idle })
        };
        self.holds.iter_mut().filter_map(demand).collect()
    }

    /// Takes over a share that may be used once in any `span`, under a lease that ends at `until`,
    /// which counts from when the report was sent that asked for it.
    pub fn accept(&mut self, start: &K, share: u32, span: Duration, until: Instant) {
        let hold = self.holds.entry(start.clone()).or_default();
        if until >= hold.until {
            (hold.share, hold.span, hold.until) = (share, span, until);
        }
    }

    /// Returns the sum of the valid shares.
    pub fn shares(&self, now: Instant) -> u32 {
        self.holds.values().map(|hold| hold.valid_share(now)).sum()
    }

    /// Drops what no longer affects any decision.
    pub fn expire(&mut self, now: Instant) {
        let is_used =
            |hold: &Hold| hold.window.count(MAX_SPAN, now) > 0 || now < hold.until + MAX_SPAN;
        self.holds.retain(|_, hold| hold.is_short || is_used(hold));
    }
}
