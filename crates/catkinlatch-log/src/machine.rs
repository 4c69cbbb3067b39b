//! What the log replicates.

use crate::Index;
use serde::{Serialize, de::DeserializeOwned};

/// A deterministic state that committed commands change.
pub trait Machine: Clone + Default + Serialize + DeserializeOwned {
    /// A change of the state.
    type Command: Clone + Serialize + DeserializeOwned;
    /// What a command is answered with.
    type Reply: Clone;

    /// Applies the command that was committed at `index`.
    fn apply(&mut self, index: Index, command: &Self::Command) -> Self::Reply;
}
