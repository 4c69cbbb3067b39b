//! Targets that have withdrawn, and whose delayed registrations must not bring them back.

use super::{Tombstone, target::Target};
use catkinlatch_base::{Instant, TargetId};
use std::{collections::BTreeMap, time::Duration};

/// How long a withdrawal is remembered: longer than delayed registrations take.
const RETENTION: Duration = Duration::from_secs(120);

/// How long a start must keep registering as ready, after a withdrawal that it did not make by name,
/// until it is used again: longer than a partition delays registrations.
const REVIVAL_TIME: Duration = Duration::from_secs(20);

/// Longest pause between two registrations of a start that keeps registering.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Stands for all starts of a target.
const ALL_STARTS: u64 = u64::MAX;

/// The withdrawals of targets, by start.
#[derive(Clone, Debug, Default)]
pub struct Withdrawals {
    withdrawals: BTreeMap<TargetId, Withdrawal>,
}

/// The withdrawal of a target.
#[derive(Clone, Debug)]
struct Withdrawal {
    /// This start and all earlier ones are not used, in milliseconds since the Unix epoch.
    through_ms: u64,
    /// The latest start that withdrew by name, which never comes back.
    named_ms: Option<u64>,
    /// The registrations since then of a start that may still run.
    renewals: Option<Renewals>,
    received_at: Instant,
}

/// A series of registrations of one start.
#[derive(Clone, Copy, Debug)]
struct Renewals {
    born_ms: u64,
    sequence: u64,
    first_at: Instant,
    last_at: Instant,
}

impl Withdrawals {
    /// Replaces all withdrawals by those of another registry, which does not tell which ones named
    /// a start; they are taken to have.
    pub fn adopt(&mut self, tombstones: Vec<Tombstone>, now: Instant) {
        let withdrawal = |Tombstone { id, born_ms }| {
            let named_ms = Some(born_ms);
            (id, Withdrawal { through_ms: born_ms, named_ms, renewals: None, received_at: now })
        };
        self.withdrawals = tombstones.into_iter().map(withdrawal).collect();
    }

    /// Records that a target withdrew `start`, by name.
    pub fn insert_named(&mut self, id: &TargetId, start: u64, now: Instant) {
        let withdrawal = self.entry(id, start, now);
        withdrawal.named_ms = withdrawal.named_ms.max(Some(start));
    }

    /// Records a withdrawal that names no start; `latest` is the latest one that is known. Without
    /// any, the withdrawal covers all starts until one of them shows that it runs.
    pub fn insert_unnamed(&mut self, id: &TargetId, latest: Option<u64>, now: Instant) {
        let covered = self.withdrawals.get(id).map(|withdrawal| withdrawal.through_ms);
        self.entry(id, latest.or(covered).unwrap_or(ALL_STARTS), now);
    }

    fn entry(&mut self, id: &TargetId, through_ms: u64, now: Instant) -> &mut Withdrawal {
        let empty = Withdrawal { through_ms, named_ms: None, renewals: None, received_at: now };
        let withdrawal = self.withdrawals.entry(id.clone()).or_insert(empty);
        withdrawal.through_ms = withdrawal.through_ms.max(through_ms);
        (withdrawal.renewals, withdrawal.received_at) = (None, now);
        withdrawal
    }

    /// Returns whether a registration comes from a start that has withdrawn.
    ///
    /// A start that did not withdraw by name, but keeps registering as ready, still runs: the
    /// withdrawal was a late one of an earlier start, and is forgotten.
    pub fn covers(&mut self, target: &Target, now: Instant) -> bool {
        let Some(withdrawal) = self.withdrawals.get_mut(&target.id) else { return false };
        if target.born_ms > withdrawal.through_ms {
            return false;
        }
        let may_run = withdrawal.named_ms != Some(target.born_ms) && target.is_ready();
        if !may_run || !withdrawal.record_renewal(target, now) {
            return true;
        }
        self.withdrawals.remove(&target.id);
        false
    }

    /// Drops withdrawals after their retention.
    pub fn expire(&mut self, now: Instant) {
        self.withdrawals.retain(|_, withdrawal| now < withdrawal.received_at + RETENTION);
    }

    /// Returns the withdrawals of which the latest start is known.
    pub fn tombstones(&self) -> impl Iterator<Item = Tombstone> + '_ {
        let known = self.withdrawals.iter().filter(|(_, other)| other.through_ms != ALL_STARTS);
        known.map(|(id, other)| Tombstone { id: id.clone(), born_ms: other.through_ms })
    }
}

impl Withdrawal {
    /// Records a registration of a start; returns whether it has kept registering for long.
    fn record_renewal(&mut self, target: &Target, now: Instant) -> bool {
        let (born_ms, sequence) = (target.born_ms, target.sequence);
        let first = Renewals { born_ms, sequence, first_at: now, last_at: now };
        let renewals = self.renewals.get_or_insert(first);
        if (born_ms, sequence) <= (renewals.born_ms, renewals.sequence) {
            return false;
        }
        let is_continued = renewals.born_ms == born_ms && now <= renewals.last_at + MAX_PAUSE;
        let first_at = if is_continued { renewals.first_at } else { now };
        *renewals = Renewals { first_at, ..first };
        now >= first_at + REVIVAL_TIME
    }
}
