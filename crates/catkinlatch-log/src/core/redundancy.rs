//! How many more voters may be lost.

use super::{Core, State};
use crate::Machine;
use catkinlatch_base::{HostId, Instant};

/// How many more voters may be lost before no change commits, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Redundancy {
    /// The number of voters that may be lost now.
    pub losses: usize,
    /// The hosts of the voters that do not confirm.
    pub silent: Vec<HostId>,
}

impl<M: Machine> Core<M> {
    /// Returns how many more voters may be lost; `None` unless this node leads.
    pub fn redundancy(&self, now: Instant) -> Option<Redundancy> {
        let State::Leader(leader) = &self.state else { return None };
        let membership = self.membership();
        let silent: Vec<HostId> = membership
            .voters()
            .iter()
            .filter(|voter| !self.is_responsive(now, leader, voter))
            .map(|voter| voter.host.clone())
            .collect();
        let responsive = membership.voters().len() - silent.len();
        Some(Redundancy { losses: responsive.saturating_sub(membership.quorum()), silent })
    }
}
