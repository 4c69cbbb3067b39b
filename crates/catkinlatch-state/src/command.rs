//! The commands of the control log and their results.

use crate::{batch, claim, config, evacuation, order, suspect, window};
use catkinlatch_base::derive_value;

derive_value! {
    /// One entry of the control log.
    ///
    /// A command contains all inputs that applying it needs, including the current time, so that
    /// every replica reaches the same state.
    pub enum Command {
        /// Has no effect; a new leader commits one to find out which entries are committed.
        Nothing,
        /// Changes the configuration.
        Config(config::Change),
        /// Opens, finishes or expires claims of non-idempotent requests.
        Claim(claim::Change),
        /// Records requests that ran on crashed targets, and their trial runs.
        Suspect(suspect::Change),
        /// Assigns coordinators, admits groups and commits the composition of batches.
        Batch(batch::Change),
        /// Records intents to send orders, and the outcomes.
        Order(order::Change),
        /// Registers nodes that count usage, and freezes and confirms usage windows.
        Window(window::Change),
        /// Evacuates a zone or ends its evacuation.
        Evacuation(evacuation::Change),
    }
}

derive_value! {
    /// The result of applying a command, which is returned to its proposer.
    pub enum Reply {
        /// [`Command::Nothing`] and [`Command::Evacuation`] have no result.
        Nothing,
        /// The result of a configuration change.
        Config(config::Reply),
        /// The result of a claim change.
        Claim(claim::Reply),
        /// The result of a suspect change.
        Suspect(suspect::Reply),
        /// The result of a batch change.
        Batch(batch::Reply),
        /// The result of an order change.
        Order(order::Reply),
        /// The result of a window change.
        Window(window::Reply),
    }
}
