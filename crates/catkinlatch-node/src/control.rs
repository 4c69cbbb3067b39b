//! A node's handle on the replicated state.

use catkinlatch_base::{Revision, Term};
use catkinlatch_state::{Command, Reply, State};
use derive_more::{Display, Error};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

/// Says why a command got no answer.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ProposeError {
    /// The command was not committed and never will be.
    #[display("control has no leader; retry in a moment")]
    NoLeader,
    /// The command may or may not be committed.
    #[display("control did not answer in time; the change may still be made")]
    Unknown,
}

/// Proposes commands and reads the state that they make.
#[derive(Debug)]
pub struct Control {
    state: Mutex<Arc<State>>,
    revision: watch::Sender<Revision>,
}

impl Control {
    /// Creates a control of one voter whose state is in memory.
    pub fn in_memory() -> Self {
        let (revision, _) = watch::channel(Revision::default());
        Self { state: Mutex::default(), revision }
    }

    /// Commits a command and returns what applying it answered.
    pub async fn propose(&self, command: Command) -> Result<Reply, ProposeError> {
        let (reply, revision) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let reply = Arc::make_mut(&mut state).apply(&command);
            (reply, state.revision())
        };
        self.revision.send_replace(revision);
        Ok(reply)
    }

    /// Returns the newest state that this node knows.
    pub fn state(&self) -> Arc<State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns a receiver that wakes when the state changes.
    pub fn changes(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Returns the term that this node leads, if it is the leader and its lease holds.
    pub fn leading(&self) -> Option<Term> {
        Some(Term::new(1))
    }
}
