//! Copies of coordinator state that a node stores for itself and for other hosts.

use super::{Batch, coordinator::Proposal};
use catkinlatch_base::{GroupNumber, derive_value};
use catkinlatch_rollout::pool::Group;
use catkinlatch_state::batch;
use std::collections::BTreeMap;

derive_value! {
    /// One replicated item of a coordinator's state.
    pub enum Entry {
        /// A group that was admitted.
        Group {
            /// The number that the ledger assigned to the group.
            number: GroupNumber,
            /// The prompts and the token limit.
            group: Group,
        },
        /// A batch that is about to be committed.
        Batch(Proposal),
    }
}

/// The replicated groups and batches of one trainer.
#[derive(Debug, Default)]
pub struct Replica {
    groups: BTreeMap<GroupNumber, Group>,
    proposals: Vec<Proposal>,
}

impl Replica {
    /// Stores an entry and drops entries that are no longer needed.
    ///
    /// Keeps groups that are open, that belong to the last committed batch (they reopen if it is
    /// lost), or that are newer than the ledger. Keeps the proposals of the last two batch numbers.
    pub fn store(&mut self, entry: Entry, ledger: Option<&batch::Ledger>) {
        if let Some(ledger) = ledger {
            let is_needed = |number: &GroupNumber| {
                *number >= ledger.next_group()
                    || ledger.open().contains_key(number)
                    || ledger.last().is_some_and(|last| last.groups.contains_key(number))
            };
            self.groups.retain(|number, _| is_needed(number));
        }
        match entry {
            Entry::Group { number, group } => drop(self.groups.insert(number, group)),
            Entry::Batch(proposal) => {
                let number = proposal.contents.number;
                self.proposals.retain(|earlier| earlier.contents.number.next() >= number);
                self.proposals.push(proposal);
            }
        }
    }

    /// Returns the contents of a committed batch, if they are stored here.
    pub fn contents(&self, committed: &batch::Batch) -> Option<Batch> {
        let proposal = self.proposals.iter().find(|proposal| proposal.manifest == *committed)?;
        Some(proposal.contents.clone())
    }

    /// Returns the stored groups and their numbers.
    pub fn groups(&self) -> Vec<(GroupNumber, Group)> {
        self.groups.iter().map(|(number, group)| (*number, group.clone())).collect()
    }
}
