//! The state machine that the log replicates.

use crate::Index;
use serde::{Serialize, de::DeserializeOwned};

/// A deterministic state machine that is changed by committed commands only.
pub trait Machine: Clone + Default + Serialize + DeserializeOwned {
    /// A change of the state.
    type Command: Clone + Serialize + DeserializeOwned;
    /// The result of applying a command.
    type Reply: Clone;

    /// Applies the command that was committed at `index`.
    fn apply(&mut self, index: Index, command: &Self::Command) -> Self::Reply;

    /// Returns about how many bytes a command takes; 0 if commands are so small that their number
    /// alone matters.
    fn command_bytes(_: &Self::Command) -> usize {
        0
    }

    /// Returns about how many bytes the state takes, in the same measure.
    fn bytes(&self) -> usize {
        0
    }
}
