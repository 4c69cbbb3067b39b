//! Which request a full queue refuses, and how many start before a request.

use super::{Flow, MAX_WAITING, Queue, Ticket};
use std::collections::{BTreeMap, BTreeSet};

impl Queue {
    /// Returns the request that a full queue refuses: the newest of the team that has most waiting,
    /// in the lowest rank that has more than its floor.
    pub(super) fn last(&self) -> Option<Ticket> {
        let mut ranks: BTreeMap<u8, usize> = BTreeMap::new();
        let mut flows: BTreeMap<Flow, usize> = BTreeMap::new();
        for ticket in &self.waiting {
            let arrival = &self.requests[*ticket].arrival;
            *ranks.entry(arrival.rank).or_default() += 1;
            *flows.entry(arrival.flow()).or_default() += 1;
        }
        let has_most = |(_, count): &(&u8, &usize)| **count > MAX_WAITING / 5;
        let rank = ranks.iter().rev().find(has_most).map(|(rank, _)| *rank)?;
        self.waiting.iter().copied().filter(|t| self.requests[*t].arrival.rank == rank).max_by_key(
            |ticket| {
                let request = &self.requests[*ticket];
                (flows[&request.arrival.flow()], !request.arrival.is_return, request.sequence)
            },
        )
    }

    /// Estimates how many requests start before a waiting one, by the order and the floors.
    pub(super) fn count_before(&self, ticket: Ticket) -> usize {
        let own = &self.requests[ticket];
        let flow = own.arrival.flow();
        let (mut of_higher, mut of_peers, mut of_flow) = (0, 0, 0);
        let mut flows = BTreeSet::new();
        for other in self.waiting.iter().map(|other| &self.requests[*other]) {
            let other_flow = other.arrival.flow();
            let is_earlier =
                (!other.arrival.is_return, other.sequence) < (!own.arrival.is_return, own.sequence);
            of_higher += usize::from(other_flow.rank < flow.rank);
            of_peers += usize::from(other_flow.rank == flow.rank && other_flow != flow);
            of_flow += usize::from(other_flow == flow && is_earlier);
            flows.insert(other_flow);
        }
        let higher = flows.iter().filter(|other| other.rank < flow.rank).count();
        let peers = flows.iter().filter(|other| other.rank == flow.rank).count();
        // Each higher team goes four times at most, and each other team of the rank once, before
        // each request of this team.
        let turns = of_flow + 1;
        of_higher.min(4 * turns * higher) + of_peers.min(turns * (peers - 1)) + of_flow
    }
}
