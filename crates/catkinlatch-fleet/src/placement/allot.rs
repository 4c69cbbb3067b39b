//! Chooses the cheapest set of targets that survives the loss of a zone.

use super::{Offer, Pool, Target, Timing, backoff::Backoff};
use catkinlatch_base::{Instant, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// The targets to keep, by position, and the offers to start new ones from.
#[derive(Clone, Debug, Default)]
pub struct Allotment<'a> {
    /// The positions of the targets to keep.
    pub kept: BTreeSet<usize>,
    /// The offers to start new targets from.
    pub starts: Vec<&'a Offer>,
    /// The price of an hour, with the cost of starts spread over the horizon, in millionths.
    price: u64,
    /// How many targets could not be placed.
    missing: u32,
}

/// One candidate for a place.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    offer: &'a Offer,
    /// The price of an hour, with the cost of a start spread over the horizon.
    price: u64,
    /// The position of a target that stands already.
    position: Option<usize>,
}

/// How many targets beyond the wanted ones are weighed, since more of them may hold more cheap
/// ones in a zone.
const MAX_SPARE: u32 = 4;

/// What an allotment must do.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// How many targets are wanted.
    pub wanted: u32,
    /// How many of them must be left when a zone is lost.
    pub floor: u32,
}

/// Chooses the cheapest set of at least the wanted size that keeps the floor when a zone is lost.
///
/// A start counts as dearer by what it costs without work, spread over the horizon, so that a
/// standing target is replaced only where the lower price earns the start back.
pub fn allot<'a>(
    pool: &'a Pool,
    targets: &[Target],
    need: Need,
    backoff: &Backoff,
    timing: &Timing,
    now: Instant,
) -> Allotment<'a> {
    let standing = standing(pool, targets);
    let new = new(pool, backoff, timing, now);
    let most = (need.wanted + MAX_SPARE).min(pool.max_targets).max(need.wanted);
    let choices = (need.wanted..=most).map(|size| {
        let cap = if pool.zones() < 2 { size } else { size.saturating_sub(need.floor) };
        pick(standing.clone(), &new, size, cap)
    });
    let rank = |choice: &Allotment<'_>| (choice.missing, choice.price);
    choices.min_by_key(rank).unwrap_or_default()
}

/// Picks `size` candidates, the cheapest first, with at most `cap` in one zone.
fn pick<'a>(
    mut standing: Vec<Candidate<'a>>,
    new: &[Candidate<'a>],
    size: u32,
    cap: u32,
) -> Allotment<'a> {
    let mut zones: BTreeMap<&ZoneId, u32> = BTreeMap::new();
    let mut allotment = Allotment::default();
    for taken in 0..size {
        let room = |c: &&Candidate<'_>| zones.get(&c.offer.zone).copied().unwrap_or(0) < cap;
        let rank = |c: &&Candidate<'_>| {
            let crowd = zones.get(&c.offer.zone).copied().unwrap_or(0);
            (c.price, c.position.is_none(), crowd, c.position)
        };
        let Some(best) = standing.iter().chain(new).filter(room).min_by_key(rank).copied() else {
            allotment.missing = size - taken;
            break;
        };
        *zones.entry(&best.offer.zone).or_default() += 1;
        allotment.price += best.price;
        match best.position {
            Some(position) => {
                standing.retain(|candidate| candidate.position != Some(position));
                allotment.kept.insert(position);
            }
            None => allotment.starts.push(best.offer),
        }
    }
    allotment
}

fn standing<'a>(pool: &'a Pool, targets: &[Target]) -> Vec<Candidate<'a>> {
    let candidate = |(position, target): (usize, &Target)| {
        let offer = target.offer(pool)?;
        Some(Candidate { offer, price: offer.hourly.micros(), position: Some(position) })
    };
    targets.iter().enumerate().filter(|(_, t)| t.is_staying()).filter_map(candidate).collect()
}

fn new<'a>(pool: &'a Pool, backoff: &Backoff, timing: &Timing, now: Instant) -> Vec<Candidate<'a>> {
    let dearer = 1.0 + timing.start_overhead.as_secs_f64() / timing.horizon.as_secs_f64();
    let candidate = |offer: &'a Offer| {
        let price = (offer.hourly.micros() as f64 * dearer) as u64;
        Candidate { offer, price, position: None }
    };
    pool.offers.iter().filter(|offer| backoff.allows(offer, now)).map(candidate).collect()
}
