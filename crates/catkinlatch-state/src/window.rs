//! Usage windows: frozen once, then reported with the same figures for ever.

use catkinlatch_base::{
    HostId, ModelId, TeamId, Term, Tokens, WindowId, derive_schema, derive_value,
};
use std::collections::BTreeMap;

derive_schema! {
    /// What one team used of one model or service in a window.
    #[derive(Eq)]
    pub struct Figure {
        /// The team.
        pub team: TeamId,
        /// The model or service.
        pub model: ModelId,
        /// Requests and samples that were completed.
        pub requests: u64,
        /// Tokens read.
        pub prompt_tokens: Tokens,
        /// Tokens generated.
        pub completion_tokens: Tokens,
        /// Time on targets in milliseconds.
        pub target_ms: u64,
    }
}

derive_value! {
    /// One window.
    pub struct Window {
        /// The figures, sorted by team and model.
        pub figures: Vec<Figure>,
        /// The fencing number: the term of the leader that froze it.
        pub term: Term,
        /// The host that froze it.
        pub host: HostId,
        /// Whether the platform confirmed the report.
        pub reported: bool,
    }
}

derive_value! {
    /// A change of the windows.
    pub enum Change {
        /// Freezes the figures of a window.
        Freeze {
            /// The window.
            id: WindowId,
            /// The figures, sorted by team and model.
            figures: Vec<Figure>,
            /// The fencing number.
            term: Term,
            /// The host that freezes it.
            host: HostId,
        },
        /// Records that the platform confirmed the report.
        Confirm {
            /// The window.
            id: WindowId,
        },
    }
}

derive_value! {
    /// What became of a change.
    pub enum Reply {
        /// The change was made.
        Done,
        /// The window was frozen before; these figures stand.
        Frozen(Window),
        /// The window was not frozen.
        NotFound,
    }
}

derive_value! {
    /// All windows that are kept.
    #[derive(Default)]
    pub struct Windows {
        windows: BTreeMap<WindowId, Window>,
    }
}

impl Windows {
    /// Returns all windows.
    pub fn list(&self) -> &BTreeMap<WindowId, Window> {
        &self.windows
    }

    /// Applies a change.
    pub fn apply(&mut self, change: &Change) -> Reply {
        match change {
            Change::Freeze { id, figures, term, host } => {
                if let Some(earlier) = self.windows.get(id) {
                    return Reply::Frozen(earlier.clone());
                }
                let (figures, host) = (figures.clone(), host.clone());
                let window = Window { figures, term: *term, host, reported: false };
                self.windows.insert(*id, window);
                Reply::Done
            }
            Change::Confirm { id } => match self.windows.get_mut(id) {
                Some(window) => {
                    window.reported = true;
                    Reply::Done
                }
                None => Reply::NotFound,
            },
        }
    }
}
