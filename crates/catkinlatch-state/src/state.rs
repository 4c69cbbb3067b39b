//! The replicated state as a whole.

use crate::{
    batch::Ledgers,
    claim::Claims,
    command::{Command, Reply},
    config::Config,
    evacuation,
    order::Orders,
    suspect::Suspects,
    window::Windows,
};
use catkinlatch_base::{Revision, ZoneId, derive_value, invariant};
use std::{collections::BTreeSet, sync::Arc};

derive_value! {
    /// The replicated state that results from applying the control log.
    ///
    /// Each part is behind an [`Arc`], which makes it cheap to clone the state for readers. A
    /// command clones at most the part that it changes.
    ///
    /// ```
    /// use catkinlatch_state::{Command, Reply, State};
    ///
    /// let mut state = State::default();
    /// assert_eq!(state.apply(&Command::Nothing), Reply::Nothing);
    /// assert_eq!(state.revision().get(), 1);
    /// ```
    #[derive(Default)]
    pub struct State {
        revision: Revision,
        config: Arc<Config>,
        claims: Arc<Claims>,
        suspects: Arc<Suspects>,
        ledgers: Arc<Ledgers>,
        orders: Arc<Orders>,
        windows: Arc<Windows>,
        /// Snapshots of earlier releases end before this field.
        #[serde(deserialize_with = "catkinlatch_base::trailing::deserialize")]
        evacuated: BTreeSet<ZoneId>,
    }
}

impl State {
    /// Applies one committed command under the next revision.
    pub fn apply(&mut self, command: &Command) -> Reply {
        self.apply_at(self.revision.next(), command)
    }

    /// Applies one committed command deterministically.
    ///
    /// `revision` is the command's position in the log and must be higher than the last one. It may
    /// skip positions, because the log also contains entries of its own.
    pub fn apply_at(&mut self, revision: Revision, command: &Command) -> Reply {
        invariant!(
            "revision_grows",
            revision > self.revision,
            "revision {revision} follows {}",
            self.revision
        );
        self.revision = revision;
        match command {
            Command::Nothing => Reply::Nothing,
            Command::Config(change) => {
                Reply::Config(Arc::make_mut(&mut self.config).apply(change, self.revision))
            }
            Command::Claim(change) => Reply::Claim(Arc::make_mut(&mut self.claims).apply(change)),
            Command::Suspect(change) => {
                Reply::Suspect(Arc::make_mut(&mut self.suspects).apply(change))
            }
            Command::Batch(change) => Reply::Batch(Arc::make_mut(&mut self.ledgers).apply(change)),
            Command::Order(change) => Reply::Order(Arc::make_mut(&mut self.orders).apply(change)),
            Command::Window(change) => {
                Reply::Window(Arc::make_mut(&mut self.windows).apply(change))
            }
            Command::Evacuation(change) => {
                evacuation::apply(&mut self.evacuated, change);
                Reply::Nothing
            }
        }
    }

    /// Returns the revision of the last applied command; zero if there is none.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the claims of non-idempotent requests.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the requests that are suspected of crashing targets.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns the batch ledgers of all trainers.
    pub fn ledgers(&self) -> &Ledgers {
        &self.ledgers
    }

    /// Returns the open and the recently settled orders.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Returns the usage windows.
    pub fn windows(&self) -> &Windows {
        &self.windows
    }

    /// Returns the zones whose targets are sent nothing new.
    pub fn evacuated(&self) -> &BTreeSet<ZoneId> {
        &self.evacuated
    }
}
