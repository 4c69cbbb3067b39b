//! Voters of the log.

use crate::Peer;
use catkinlatch_base::{HostId, Incarnation, ZoneId};
use std::collections::BTreeSet;

catkinlatch_base::derive_value! {
    /// The set of voters, in effect from one entry on.
    #[derive(Default, Eq)]
    pub struct Membership {
        voters: Vec<Peer>,
    }
}

impl Membership {
    /// The empty membership.
    pub const EMPTY: Self = Self { voters: Vec::new() };

    /// Creates a membership from voters in any order; duplicates are removed.
    pub fn new(mut voters: Vec<Peer>) -> Self {
        voters.sort();
        voters.dedup();
        Self { voters }
    }

    /// Returns the voters, sorted by host.
    pub fn voters(&self) -> &[Peer] {
        &self.voters
    }

    /// Returns whether there are no voters.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Returns whether this identity is a voter.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        self.voters.iter().any(|voter| voter.incarnation == incarnation)
    }

    /// Returns whether any identity of this host is a voter.
    pub fn contains_host(&self, host: &HostId) -> bool {
        self.voters.iter().any(|voter| voter.host == *host)
    }

    /// Returns the number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the number of voters with a disk.
    pub fn disk_count(&self) -> usize {
        self.voters.iter().filter(|voter| voter.has_disk).count()
    }

    /// Returns whether the voters with a disk form a quorum by themselves.
    pub fn has_disk_quorum(&self) -> bool {
        self.disk_count() >= self.quorum()
    }

    /// Returns the zones with at least one voter.
    pub fn zones(&self) -> BTreeSet<&ZoneId> {
        self.voters.iter().map(|voter| &voter.zone).collect()
    }

    /// Returns the membership with `voter` added.
    pub fn with(&self, voter: Peer) -> Self {
        Self::new(self.voters.iter().cloned().chain([voter]).collect())
    }

    /// Returns the membership without the voter of this identity.
    pub fn without(&self, incarnation: Incarnation) -> Self {
        let others = self.voters.iter().filter(|voter| voter.incarnation != incarnation);
        Self::new(others.cloned().collect())
    }
}
