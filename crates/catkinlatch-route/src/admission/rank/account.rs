//! Who is served next: by rank, fair among the teams of a rank, with floors.

use super::Ticket;
use catkinlatch_base::TeamId;
use std::{cmp::Reverse, collections::BTreeMap};

/// How many requests of one other may start while a rank or a team waits, before it is served.
const MAX_PASSED: u32 = 4;

/// How many requests a team may be ahead of the others of its rank for callers that return after a
/// refusal. With 4, the returns of a large team kept newcomers of a small one out, as 4 requests
/// take longer than one may wait.
const RETURN_ADVANCE: u64 = 1;

/// The requests of a team with one rank.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flow {
    /// The rank; 0 is served first.
    pub rank: u8,
    /// The team; `None` for callers without a key.
    pub team: Option<TeamId>,
}

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub ticket: Ticket,
    pub flow: Flow,
    pub is_newcomer: bool,
    pub sequence: u64,
}

/// What has a floor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Party {
    Rank(u8),
    Flow(Flow),
}

/// What the start of a request changed, so that it can be refunded.
#[derive(Debug)]
pub struct Charge {
    flow: Flow,
    /// The parties that waited meanwhile, each with the one that went before it.
    passed: Vec<(Party, Party)>,
    /// The counts of the parties that were served.
    cleared: Vec<(Party, BTreeMap<Party, u32>)>,
}

/// What each rank and team was served.
///
/// Teams of a rank take turns by start-time fair queueing with equal costs. A rank or team that
/// waited while [`MAX_PASSED`] requests of one other started goes next, so that none is served less
/// than a quarter as often as another.
#[derive(Debug, Default)]
pub struct Accounts {
    /// Start tag of the next request of each flow.
    tags: BTreeMap<Flow, u64>,
    /// The largest start tag of a request that started, by rank.
    virtual_time: BTreeMap<u8, u64>,
    passed: BTreeMap<Party, BTreeMap<Party, u32>>,
}

impl Accounts {
    /// Lets a flow that begins to wait take its turn from now on, without credit for its idle time.
    pub fn activate(&mut self, flow: &Flow) {
        let virtual_time = self.virtual_time.get(&flow.rank).copied().unwrap_or_default();
        let tag = self.tags.entry(flow.clone()).or_default();
        *tag = virtual_time.max(*tag);
    }

    /// Returns which of the candidates is served next.
    pub fn choose(&self, candidates: &[Candidate]) -> Option<Ticket> {
        let key = |candidate: &&Candidate| {
            let Candidate { flow, is_newcomer, sequence, .. } = candidate;
            let overdue = |party: Party| {
                Reverse(self.most_passed(&party).filter(|passed| *passed >= MAX_PASSED))
            };
            let team = overdue(Party::Flow(flow.clone()));
            let rank = overdue(Party::Rank(flow.rank));
            let advance = if *is_newcomer { 0 } else { RETURN_ADVANCE };
            let turn = (self.tag(flow) + RETURN_ADVANCE - advance, *is_newcomer, *sequence);
            (team, rank, flow.rank, turn)
        };
        candidates.iter().min_by_key(key).map(|candidate| candidate.ticket)
    }

    /// Charges a flow for a request that starts while the requests of `others` wait.
    pub fn charge(&mut self, flow: Flow, others: &[Candidate]) -> Charge {
        let start = self.tag(&flow);
        let virtual_time = self.virtual_time.entry(flow.rank).or_default();
        *virtual_time = start.max(*virtual_time);
        self.tags.insert(flow.clone(), start + 1);
        let (own_rank, own_flow) = (Party::Rank(flow.rank), Party::Flow(flow.clone()));
        let mut passed: Vec<(Party, Party)> = Vec::new();
        for other in others {
            if other.flow.rank != flow.rank {
                passed.push((Party::Rank(other.flow.rank), own_rank.clone()));
            }
            if other.flow != flow {
                passed.push((Party::Flow(other.flow.clone()), own_flow.clone()));
            }
        }
        passed.sort();
        passed.dedup();
        for (waiting, before) in &passed {
            let counts = self.passed.entry(waiting.clone()).or_default();
            *counts.entry(before.clone()).or_default() += 1;
        }
        let served = [own_rank, own_flow];
        let cleared =
            served.into_iter().filter_map(|party| self.passed.remove_entry(&party)).collect();
        Charge { flow, passed, cleared }
    }

    /// Takes a charge back, since the request did not run.
    pub fn refund(&mut self, charge: Charge) {
        if let Some(tag) = self.tags.get_mut(&charge.flow) {
            *tag = tag.saturating_sub(1);
        }
        for (waiting, before) in charge.passed {
            if let Some(count) = self.passed.get_mut(&waiting).and_then(|all| all.get_mut(&before))
            {
                *count = count.saturating_sub(1);
            }
        }
        for (party, counts) in charge.cleared {
            let held = self.passed.entry(party).or_default();
            for (before, count) in counts {
                *held.entry(before).or_default() += count;
            }
        }
    }

    fn tag(&self, flow: &Flow) -> u64 {
        self.tags.get(flow).copied().unwrap_or_default()
    }

    fn most_passed(&self, party: &Party) -> Option<u32> {
        self.passed.get(party)?.values().copied().max()
    }
}
