//! The state machine of the control log.

use catkinlatch_base::{Revision, derive_value};
use catkinlatch_log::{Index, Machine};
use catkinlatch_state::{Command, Reply, State};

derive_value! {
    /// The state machine of the control log, which applies commands to the state.
    #[derive(Default)]
    pub struct Replica {
        state: State,
    }
}

impl Replica {
    /// Returns the state as of the last applied command.
    pub fn state(&self) -> &State {
        &self.state
    }
}

impl Machine for Replica {
    type Command = Command;
    type Reply = Reply;

    fn apply(&mut self, index: Index, command: &Command) -> Reply {
        self.state.apply_at(Revision::new(index.get()), command)
    }
}
