//! Chooses the cheapest set of targets that survives the loss of a zone.

use super::{Offer, Pool, Target, Timing, backoff::Backoff};
use catkinlatch_base::{Instant, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// The targets to keep and the offers to start new ones from.
#[derive(Clone, Debug, Default)]
pub struct Allotment<'a> {
    /// The positions of the targets to keep, in the list that was passed in.
    pub kept: BTreeSet<usize>,
    /// The offers to start new targets from.
    pub starts: Vec<&'a Offer>,
    /// The price per hour in millionths, including the cost of starts spread over the horizon.
    price: u64,
    /// How many targets could not be placed, for lack of offers or of room under the zone cap.
    missing: u32,
}

/// An existing target, or an offer to start a new one from.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    offer: &'a Offer,
    /// The price per hour in millionths, including the cost of a start spread over the horizon.
    price: u64,
    /// The position of the existing target; `None` for a new one.
    position: Option<usize>,
}

/// How many targets beyond the wanted number are considered. A larger set may include more targets
/// of a cheap zone, and so cost less.
const MAX_EXTRA_TARGETS: u32 = 4;

/// The requirement that an allotment must meet.
#[derive(Clone, Copy, Debug)]
pub struct Requirement {
    /// The number of targets that are wanted.
    pub wanted: u32,
    /// The number of targets that must remain when any one zone is lost.
    pub floor: u32,
}

/// Chooses the cheapest set of at least the wanted size that keeps the floor when a zone is lost.
///
/// The price of a new target includes the cost of its start, spread over the horizon, so that an
/// existing target is replaced only if the lower price pays for the start.
pub fn allot<'a>(
    pool: &'a Pool,
    targets: &[Target],
    requirement: Requirement,
    backoff: &Backoff,
    timing: &Timing,
    now: Instant,
) -> Allotment<'a> {
    let existing = existing_candidates(pool, targets);
    let new = new_candidates(pool, backoff, timing, now);
    let max_size =
        (requirement.wanted + MAX_EXTRA_TARGETS).min(pool.max_targets).max(requirement.wanted);
    let choices = (requirement.wanted..=max_size).map(|size| {
        let cap = if pool.zones() < 2 { size } else { size.saturating_sub(requirement.floor) };
        pick(existing.clone(), &new, size, cap)
    });
    let rank = |choice: &Allotment<'_>| (choice.missing, choice.price);
    choices.min_by_key(rank).unwrap_or_default()
}

/// Picks `size` candidates, the cheapest first, with at most `cap` in one zone.
fn pick<'a>(
    mut existing: Vec<Candidate<'a>>,
    new: &[Candidate<'a>],
    size: u32,
    cap: u32,
) -> Allotment<'a> {
    let mut zones: BTreeMap<&ZoneId, u32> = BTreeMap::new();
    let mut allotment = Allotment::default();
    for taken in 0..size {
        let room = |c: &&Candidate<'_>| zones.get(&c.offer.zone).copied().unwrap_or(0) < cap;
        let rank = |c: &&Candidate<'_>| {
            let zone_count = zones.get(&c.offer.zone).copied().unwrap_or(0);
            (c.price, c.position.is_none(), zone_count, c.position)
        };
        let Some(best) = existing.iter().chain(new).filter(room).min_by_key(rank).copied() else {
            allotment.missing = size - taken;
            break;
        };
        *zones.entry(&best.offer.zone).or_default() += 1;
        allotment.price += best.price;
        match best.position {
            Some(position) => {
                existing.retain(|candidate| candidate.position != Some(position));
                allotment.kept.insert(position);
            }
            None => allotment.starts.push(best.offer),
        }
    }
    allotment
}

fn existing_candidates<'a>(pool: &'a Pool, targets: &[Target]) -> Vec<Candidate<'a>> {
    let candidate = |(position, target): (usize, &Target)| {
        let offer = target.offer(pool)?;
        Some(Candidate { offer, price: offer.hourly.micros(), position: Some(position) })
    };
    targets.iter().enumerate().filter(|(_, t)| t.is_staying()).filter_map(candidate).collect()
}

fn new_candidates<'a>(
    pool: &'a Pool,
    backoff: &Backoff,
    timing: &Timing,
    now: Instant,
) -> Vec<Candidate<'a>> {
    let start_factor = 1.0 + timing.start_overhead.as_secs_f64() / timing.horizon.as_secs_f64();
    let candidate = |offer: &'a Offer| {
        let price = (offer.hourly.micros() as f64 * start_factor) as u64;
        Candidate { offer, price, position: None }
    };
    pool.offers.iter().filter(|offer| backoff.allows(offer, now)).map(candidate).collect()
}
