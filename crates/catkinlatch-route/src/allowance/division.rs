//! The division of what limited targets may get among the leader and other hosts.

use super::{Limit, MAX_SPAN, Window};
use catkinlatch_base::Instant;
use std::{collections::BTreeMap, time::Duration};

/// How long after its last demand the other side's part of the allowance is kept free for it.
const DEMAND_MEMORY: Duration = Duration::from_millis(2_000);

/// Part of the allowance, as a divisor, that the leader leaves for hosts which have not asked yet,
/// so that their first request need not wait until the leader's own have left the span.
const RESERVE_DIVISOR: u32 = 7;

/// A share that a host may still hold.
#[derive(Clone, Copy, Debug)]
struct Grant {
    share: u32,
    /// The span in which the host may use the share once.
    span: Duration,
    /// End of the lease.
    until: Instant,
}

impl Grant {
    /// Returns whether requests under this share may lie in the span that ends at `now`, or come
    /// later.
    fn counts(&self, now: Instant) -> bool {
        now <= self.until + self.span
    }
}

/// The shares that one host may hold: it may have missed any of the answers.
#[derive(Clone, Debug, Default)]
struct Held {
    /// Number of the newest report.
    number: u64,
    grants: Vec<Grant>,
}

impl Held {
    /// Returns the largest share that the host may have used in the last span or may still use.
    fn share(&self, now: Instant) -> u32 {
        let counting = self.grants.iter().filter(|grant| grant.counts(now));
        counting.map(|grant| grant.share).max().unwrap_or(0)
    }

    /// Ends all shares: the host has given them back, after `used` requests in the last span, the
    /// last of them `idle` ago.
    fn end(&mut self, used: u32, idle: Duration, now: Instant) {
        let idle = u64::try_from(idle.as_nanos()).unwrap_or(u64::MAX);
        let last = Instant::from_nanos(now.as_nanos().saturating_sub(idle));
        for grant in &mut self.grants {
            (grant.share, grant.until) = (grant.share.min(used), grant.until.min(last));
        }
    }
}

/// What a host asks for in a report.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// Number of the report, counted since the host's process started.
    pub number: u64,
    /// Number of requests in a span that the host needs; 0 if it has given its share back.
    pub wanted: u32,
    /// Number of requests that the host sent in the last span.
    pub used: u32,
    /// Time since the host's last request.
    pub idle: Duration,
}

/// The division of one target's allowance.
#[derive(Clone, Debug)]
struct Shares<H> {
    own: Window,
    /// When the leader last had a request of its own for the target.
    own_demand_at: Option<Instant>,
    /// When another host last asked.
    asked_at: Option<Instant>,
    /// When another host last asked and got nothing.
    refused_at: Option<Instant>,
    held: BTreeMap<H, Held>,
}

impl<H> Default for Shares<H> {
    fn default() -> Self {
        let (own, own_demand_at, asked_at, refused_at, held) = Default::default();
        Self { own, own_demand_at, asked_at, refused_at, held }
    }
}

impl<H: Ord> Shares<H> {
    /// Returns the sum of the shares of all hosts.
    fn reserved(&self, now: Instant) -> u32 {
        self.held.values().map(|held| held.share(now)).sum()
    }
}

fn is_recent(at: Option<Instant>, now: Instant) -> bool {
    at.is_some_and(|at| now < at + DEMAND_MEMORY)
}

/// The leader's division of what limited targets may get, by start of a target and by host.
///
/// A share counts as used until one span after its lease, so that requests of two holders of the
/// same part never lie in one span.
#[derive(Clone, Debug)]
pub struct Division<K, H> {
    /// When the last lease that an earlier leader granted ends; `None` if there was none.
    held_until: Option<Instant>,
    targets: BTreeMap<K, Shares<H>>,
}

impl<K: Ord + Clone, H: Ord + Clone> Division<K, H> {
    /// Creates the division of a leader that may act from `now` on.
    ///
    /// `lease` is the duration of the shares that an earlier leader may have granted until now, or
    /// `None` if there was none.
    pub fn new(lease: Option<Duration>, now: Instant) -> Self {
        let held_until = lease.map(|lease| now + lease);
        Self { held_until, targets: BTreeMap::new() }
    }

    /// Returns whether shares that an earlier leader granted may have been used in the last `span`.
    fn is_held(&self, span: Duration, now: Instant) -> bool {
        self.held_until.is_some_and(|until| now <= until + span)
    }

    /// Returns how many requests the leader itself could send now; `limit` is that of the target and
    /// `factor` that of its stage.
    pub fn own_room(&self, start: &K, limit: Limit, factor: u32, now: Instant) -> u32 {
        let Limit { planned, span } = limit;
        if self.is_held(span, now) {
            return 0;
        }
        let Some(shares) = self.targets.get(start) else { return planned.saturating_mul(factor) };
        let kept =
            if is_recent(shares.asked_at, now) { planned / 2 } else { planned / RESERVE_DIVISOR };
        let own = planned.saturating_sub(shares.reserved(now).max(kept));
        own.saturating_mul(factor).saturating_sub(shares.own.count(span, now))
    }

    /// Takes one request of the leader itself; returns whether it may be sent.
    pub fn admit_own(&mut self, start: &K, limit: Limit, factor: u32, now: Instant) -> bool {
        let shares = self.targets.entry(start.clone()).or_default();
        shares.own_demand_at = Some(now);
        let has_room = self.own_room(start, limit, factor, now) > 0;
        if has_room {
            self.record_own(start, now);
        }
        has_room
    }

    /// Records a request of the leader itself to a target that is not limited, but may turn cold at
    /// any time.
    pub fn record_own(&mut self, start: &K, now: Instant) {
        self.targets.entry(start.clone()).or_default().own.record(now);
    }

    /// Takes back a request of the leader itself sent at `sent`, which does not count.
    pub fn refund_own(&mut self, start: &K, sent: Instant) {
        if let Some(shares) = self.targets.get_mut(start) {
            shares.own.refund(sent);
        }
    }

    /// Answers the report of a host: ends its shares if it has given them back, else grants a share
    /// of at most what it needs under a lease that ends `lease` after `now`; returns the share,
    /// which replaces earlier ones. A report older than the newest one has no effect.
    ///
    /// One host gets at most half of what is free, since others may ask next, and half as much of
    /// the whole while others get nothing.
    pub fn grant(
        &mut self,
        start: &K,
        host: &H,
        asked: Asked,
        (limit, factor): (Limit, u32),
        lease: Duration,
        now: Instant,
    ) -> u32 {
        let Limit { planned, span } = limit;
        let is_held = self.is_held(span, now);
        let shares = self.targets.entry(start.clone()).or_default();
        let reserved = shares.reserved(now);
        let held = shares.held.entry(host.clone()).or_default();
        if asked.number < held.number {
            return 0;
        }
        held.number = asked.number;
        if asked.wanted == 0 {
            held.end(asked.used, asked.idle, now);
        }
        if is_held || asked.wanted == 0 {
            return 0;
        }
        shares.asked_at = Some(now);
        let own = shares.own.count(span, now).div_ceil(factor.max(1));
        let own_part =
            if is_recent(shares.own_demand_at, now) { own.max(planned / 2) } else { own };
        let own_share = held.share(now);
        let free = planned.saturating_sub(reserved - own_share + own_part);
        let kept = if is_recent(shares.refused_at, now) { 0 } else { own_share.min(free) };
        let share = asked.wanted.min(kept + (free - kept).div_ceil(2));
        held.grants.retain(|grant| grant.counts(now));
        if share > 0 {
            held.grants.push(Grant { share, span, until: now + lease });
        } else {
            shares.refused_at = Some(now);
        }
        share
    }

    /// Returns the sum of the shares of other hosts that are reserved of one target.
    pub fn reserved(&self, start: &K, now: Instant) -> u32 {
        self.targets.get(start).map_or(0, |shares| shares.reserved(now))
    }

    /// Drops what no longer affects any decision.
    pub fn expire(&mut self, now: Instant) {
        self.targets.retain(|_, shares| {
            shares.held.retain(|_, held| held.grants.iter().any(|grant| grant.counts(now)));
            let is_in_use = !shares.held.is_empty() || shares.own.count(MAX_SPAN, now) > 0;
            is_in_use || is_recent(shares.own_demand_at.max(shares.asked_at), now)
        });
    }
}
