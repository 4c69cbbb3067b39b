//! What the control log carries, and what applying it answers.

use crate::{batch, claim, config, order, suspect, window};
use catkinlatch_base::derive_value;

derive_value! {
    /// One entry of the control log.
    ///
    /// A command holds all that applying it needs, the time included, so that every replica
    /// reaches the same state.
    pub enum Command {
        /// Does nothing; a new leader commits one to learn what is committed.
        Nothing,
        /// Changes the configuration.
        Config(config::Change),
        /// Opens, finishes or expires claims of non-idempotent requests.
        Claim(claim::Change),
        /// Records requests that crashed targets.
        Suspect(suspect::Change),
        /// Assigns coordinators and commits the make-up of batches.
        Batch(batch::Change),
        /// Records intents to send orders, and what became of them.
        Order(order::Change),
        /// Freezes and settles usage windows.
        Window(window::Change),
    }
}

derive_value! {
    /// What applying a command answers to its proposer.
    pub enum Reply {
        /// The command has no answer.
        Nothing,
        /// What became of a configuration change.
        Config(config::Reply),
        /// What became of a claim.
        Claim(claim::Reply),
        /// Where a suspect stands.
        Suspect(suspect::Reply),
        /// What became of a batch change.
        Batch(batch::Reply),
        /// What became of an order change.
        Order(order::Reply),
        /// What became of a window change.
        Window(window::Reply),
    }
}
