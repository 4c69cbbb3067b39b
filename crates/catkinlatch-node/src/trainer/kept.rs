//! Copies that a node keeps for coordinators on other hosts.

use super::{Batch, coordinator::Proposal};
use catkinlatch_base::{GroupNumber, derive_value};
use catkinlatch_rollout::pool::Group;
use catkinlatch_state::batch;
use std::collections::BTreeMap;

derive_value! {
    /// A copy of what a coordinator holds.
    pub enum Copy {
        /// A group that was admitted.
        Group {
            /// Its number.
            number: GroupNumber,
            /// The group.
            group: Group,
        },
        /// A batch that is about to be committed.
        Batch(Proposal),
    }
}

/// The copies of one trainer.
#[derive(Debug, Default)]
pub struct Kept {
    groups: BTreeMap<GroupNumber, Group>,
    proposals: Vec<Proposal>,
}

impl Kept {
    /// Keeps a copy, and drops those of earlier batches and delivered groups.
    pub fn keep(&mut self, copy: Copy, ledger: Option<&batch::Ledger>) {
        if let Some(ledger) = ledger {
            let due = |number: &GroupNumber| {
                *number >= ledger.next_group()
                    || ledger.open().contains_key(number)
                    || ledger.last().is_some_and(|last| last.groups.contains_key(number))
            };
            self.groups.retain(|number, _| due(number));
        }
        match copy {
            Copy::Group { number, group } => drop(self.groups.insert(number, group)),
            Copy::Batch(proposal) => {
                let number = proposal.contents.number;
                self.proposals.retain(|earlier| earlier.contents.number.next() >= number);
                self.proposals.push(proposal);
            }
        }
    }

    /// Returns the contents of a committed batch.
    pub fn contents(&self, committed: &batch::Batch) -> Option<Batch> {
        let proposal = self.proposals.iter().find(|proposal| proposal.make_up == *committed)?;
        Some(proposal.contents.clone())
    }

    /// Returns the groups.
    pub fn groups(&self) -> Vec<(GroupNumber, Group)> {
        self.groups.iter().map(|(number, group)| (*number, group.clone())).collect()
    }
}
