//! Changes of the usage windows, and what became of them.

use super::{Figure, Statement, Window};
use catkinlatch_base::{HostId, Incarnation, Term, WindowId, derive_schema, derive_value};

derive_value! {
    /// A change of the windows.
    pub enum Change {
        /// Records that a node counts usage, so that no window closes without it.
        Enrol {
            /// The node's host.
            host: HostId,
            /// The start of its process.
            incarnation: Incarnation,
            /// The window that is open now.
            from: WindowId,
        },
        /// Closes a window and freezes its figures.
        Freeze {
            /// The window.
            id: WindowId,
            /// What is said of each node's usage up to this window.
            statements: Vec<Statement>,
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
        /// Nothing is said of these nodes, which may have used targets in the window.
        Missing(Vec<Incarnation>),
        /// The window lies before the one that is to be closed next.
        Passed,
        /// A leader of a higher term has closed windows since.
        Superseded,
        /// Too many windows wait for their report to be confirmed.
        Full,
    }
}

derive_schema! {
    /// What a window's figures take from one node, and who vouches for it.
    #[derive(Eq)]
    pub struct Contribution {
        /// The node's host.
        pub host: HostId,
        /// The start of its process.
        pub incarnation: Incarnation,
        /// The other host that spoke for the node, if it did not do so itself.
        pub spoken_by: Option<HostId>,
        /// The figures, sorted by team and model.
        pub figures: Vec<Figure>,
    }
}

derive_schema! {
    /// Usage of a window that was closed before it became known.
    #[derive(Eq)]
    pub struct Correction {
        /// The window in which it was used.
        pub window: WindowId,
        /// The host of the node that counted it.
        pub host: HostId,
        /// The start of its process.
        pub incarnation: Incarnation,
        /// The figures to add, sorted by team and model.
        pub figures: Vec<Figure>,
    }
}
