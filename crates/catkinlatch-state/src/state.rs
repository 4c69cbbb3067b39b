//! The whole replicated state.

use crate::{
    batch::Ledgers,
    claim::Claims,
    command::{Command, Reply},
    config::Config,
    order::Orders,
    suspect::Suspects,
    window::Windows,
};
use catkinlatch_base::{Revision, derive_value};

derive_value! {
    /// What all nodes agree on.
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
        config: Config,
        claims: Claims,
        suspects: Suspects,
        ledgers: Ledgers,
        orders: Orders,
        windows: Windows,
    }
}

impl State {
    /// Applies one committed command; equal states and commands give equal results.
    pub fn apply(&mut self, command: &Command) -> Reply {
        self.revision = self.revision.next();
        match command {
            Command::Nothing => Reply::Nothing,
            Command::Config(change) => Reply::Config(self.config.apply(change, self.revision)),
            Command::Claim(change) => Reply::Claim(self.claims.apply(change)),
            Command::Suspect(change) => Reply::Suspect(self.suspects.apply(change)),
            Command::Batch(change) => Reply::Batch(self.ledgers.apply(change)),
            Command::Order(change) => Reply::Order(self.orders.apply(change)),
            Command::Window(change) => Reply::Window(self.windows.apply(change)),
        }
    }

    /// Returns the number of commands that were applied.
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

    /// Returns the requests that crashed targets.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns the batch ledgers of all trainers.
    pub fn ledgers(&self) -> &Ledgers {
        &self.ledgers
    }

    /// Returns the orders that are open or were settled lately.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Returns the usage windows.
    pub fn windows(&self) -> &Windows {
        &self.windows
    }
}
