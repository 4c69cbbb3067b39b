//! The leader's division of the places of one service.

use catkinlatch_base::{HostId, Instant};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Least part of the places that lower ranks get together while they need it.
const FLOOR: f64 = 0.2;

/// Largest part of the places that the leader's calls may use, so that a live request finds one.
const MAX_OWN_SHARE: f64 = 0.6;

/// Interval at which the division follows the needs. Hosts report twice a second.
const DIVIDE_INTERVAL: Duration = Duration::from_millis(50);

/// Who may hold places.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Holder {
    /// An entry host.
    Host(HostId),
    /// The leader's own calls.
    Own,
}

/// What a holder needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait.
    pub waiting: u32,
    /// The highest rank among them; 0 is the highest.
    pub rank: u8,
}

impl Need {
    fn total(&self) -> u32 {
        self.running + self.waiting
    }
}

/// What one holder has and needs.
#[derive(Clone, Debug, Default)]
struct Account {
    need: Need,
    /// The share that the holder said it has.
    held: u32,
    /// The share that it was granted since; the answer may have been lost.
    granted: u32,
    /// Number of the last report.
    sequence: u64,
    /// Until when need, share and grant count.
    until: Instant,
    /// Part of the places by need and rank, as of the last division.
    entitled: u32,
}

impl Account {
    /// Returns how many places the holder may use, or uses.
    fn committed(&self) -> u32 {
        self.held.max(self.granted).max(self.need.running)
    }
}

/// The division of the places of one service among those that call it.
///
/// A share counts until its lease has ended, whether its holder is alive or not, so the sum of what
/// holders may use never exceeds the places. A new leader grants no more than each holder has until
/// all leases of its predecessor have ended.
#[derive(Clone, Debug)]
pub struct Division {
    places: u32,
    lease: Duration,
    starts_at: Instant,
    divided_at: Option<Instant>,
    accounts: BTreeMap<Holder, Account>,
}

impl Division {
    /// Creates the division of a leader elected at `elected_at`, whose grants hold for `lease`.
    pub fn new(places: u32, lease: Duration, elected_at: Instant) -> Self {
        let starts_at = elected_at + lease;
        Self { places, lease, starts_at, divided_at: None, accounts: BTreeMap::new() }
    }

    /// Sets the number of places.
    pub fn set_places(&mut self, places: u32) {
        self.places = places;
    }

    /// Returns whether shares that the previous leader granted may still hold.
    pub fn is_waiting(&self, now: Instant) -> bool {
        now < self.starts_at
    }

    /// Records what a holder has and needs; returns its new share, which replaces the one that it
    /// has.
    ///
    /// The holder sends one message at a time, and gives up what it does not need before it says
    /// what it has. Returns `None` for a report that is not newer than the last one, which is
    /// `sequence`: it says nothing about what the holder has now.
    pub fn grant(
        &mut self,
        holder: &Holder,
        sequence: u64,
        held: u32,
        need: Need,
        now: Instant,
    ) -> Option<u32> {
        self.expire(now);
        if self.accounts.get(holder).is_some_and(|account| sequence <= account.sequence) {
            return None;
        }
        self.record(holder, held, need, now);
        let most = if self.is_waiting(now) { held } else { self.free_for(holder) };
        self.divide(now);
        let spare = (self.free_for(holder) / 2).saturating_sub(self.places / 4);
        let account = self.accounts.get_mut(holder)?;
        account.sequence = sequence;
        // Places that nobody needs are lent, one to a holder, so that it need not ask for it.
        account.granted = account.entitled.max(spare.min(1)).min(most);
        Some(account.granted)
    }

    /// Grants a holder one place more than it has, if one is free; returns whether it did.
    pub fn add_place(&mut self, holder: &Holder, now: Instant) -> bool {
        self.expire(now);
        if self.is_waiting(now) {
            return false;
        }
        let free = self.free_for(holder);
        let until = now + self.lease;
        let account = self.accounts.entry(holder.clone()).or_default();
        let is_free = account.committed() < free;
        if is_free {
            account.granted = account.committed() + 1;
            account.until = until;
        }
        is_free
    }

    /// Takes a place for one of the leader's own calls; returns whether it may run.
    ///
    /// `need` is that of all its calls, of which `before` wait and have a higher rank than this
    /// one. They need no lease, since the leader knows at once what it uses.
    pub fn take_own(&mut self, need: Need, before: u32, now: Instant) -> bool {
        self.record(&Holder::Own, 0, need, now);
        if self.is_waiting(now) {
            return false;
        }
        self.divide(now);
        let free = self.free_for(&Holder::Own);
        let Some(account) = self.accounts.get_mut(&Holder::Own) else { return false };
        let is_free = need.running + before < account.entitled.min(free);
        account.need.running += u32::from(is_free);
        is_free
    }

    /// Records what the leader's own calls need after some have ended.
    pub fn record_own(&mut self, need: Need, now: Instant) {
        self.record(&Holder::Own, 0, need, now);
    }

    /// Returns the sum of what all holders may use.
    pub fn committed(&mut self, now: Instant) -> u32 {
        self.expire(now);
        self.accounts.values().map(Account::committed).sum()
    }

    fn record(&mut self, holder: &Holder, held: u32, need: Need, now: Instant) {
        self.expire(now);
        let account = self.accounts.entry(holder.clone()).or_default();
        let until = now + self.lease;
        let Account { sequence, entitled, .. } = *account;
        *account = Account { need, held, granted: 0, sequence, until, entitled };
    }

    fn expire(&mut self, now: Instant) {
        self.accounts.retain(|_, account| now < account.until);
    }

    /// Returns the places that are not committed to others.
    fn free_for(&self, holder: &Holder) -> u32 {
        let others = self.accounts.iter().filter(|(other, _)| *other != holder);
        let committed: u32 = others.map(|(_, account)| account.committed()).sum();
        self.places.saturating_sub(committed)
    }

    /// Divides the places by need, if the last division is not recent: to each rank in turn, evenly
    /// among its holders, except for the floor of the lower ones.
    fn divide(&mut self, now: Instant) {
        if self.divided_at.is_some_and(|at| now < at + DIVIDE_INTERVAL) {
            return;
        }
        self.divided_at = Some(now);
        let own_most = (f64::from(self.places) * MAX_OWN_SHARE) as u32;
        let mut needs: Vec<(Holder, Need, u32)> = Vec::new();
        for (holder, account) in &mut self.accounts {
            account.entitled = 0;
            let need = account.need;
            let is_own = *holder == Holder::Own;
            let total = if is_own { need.total().min(own_most.max(1)) } else { need.total() };
            if total > 0 {
                needs.push((holder.clone(), need, total));
            }
        }
        let ranks: BTreeSet<u8> = needs.iter().map(|(_, need, _)| need.rank).collect();
        let mut left = self.places;
        for rank in ranks {
            let lower = needs.iter().filter(|(_, need, _)| need.rank > rank);
            let lower: u32 = lower.map(|(_, _, total)| total).sum();
            let reserved = lower.min((f64::from(left) * FLOOR).ceil() as u32);
            // A single place goes to the highest rank; the others get it when its request ends.
            let reserved = reserved.min(left.saturating_sub(1));
            let peers: Vec<_> = needs.iter().filter(|(_, need, _)| need.rank == rank).collect();
            left = reserved + self.divide_evenly(left - reserved, &peers);
        }
    }

    /// Divides places evenly among holders, up to what each needs; those that run most go first for
    /// the remainder, so that places do not change hands without need. Returns what is left.
    fn divide_evenly(&mut self, mut places: u32, peers: &[&(Holder, Need, u32)]) -> u32 {
        let mut open: Vec<_> = peers.to_vec();
        open.sort_by_key(|(_, need, total)| (Reverse(need.running.min(1)), *total));
        while places > 0 && !open.is_empty() {
            for (holder, _, total) in &open {
                let Some(account) = self.accounts.get_mut(holder) else { continue };
                if places > 0 && account.entitled < *total {
                    account.entitled += 1;
                    places -= 1;
                }
            }
            open.retain(|(holder, _, total)| {
                self.accounts.get(holder).is_some_and(|account| account.entitled < *total)
            });
        }
        places
    }
}
