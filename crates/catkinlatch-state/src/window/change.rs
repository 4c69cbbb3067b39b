//! Changes to the usage windows and their results.

use super::{Figure, NodeUsage, Window};
use catkinlatch_base::{HostId, Incarnation, Term, WindowId, derive_schema, derive_value};

derive_value! {
    /// A change to the usage windows.
    pub enum Change {
        /// Registers a node that counts usage, so that no window is closed without its usage.
        Enroll {
            /// Host of the node.
            host: HostId,
            /// Incarnation of the node.
            incarnation: Incarnation,
            /// Window that is open at the time of the proposal.
            from: WindowId,
        },
        /// Closes a window and freezes its figures.
        Freeze {
            /// Window to freeze.
            id: WindowId,
            /// Usage of each node up to this window.
            usages: Vec<NodeUsage>,
            /// Fencing token: the term of the proposing leader.
            term: Term,
            /// Host of the proposing leader.
            host: HostId,
        },
        /// Records that the platform confirmed the usage report of a window.
        Confirm {
            /// Window that the report covers.
            id: WindowId,
        },
    }
}

derive_value! {
    /// The result of a change.
    pub enum Reply {
        /// The change was applied.
        Done,
        /// The window is already frozen; holds it unchanged.
        Frozen(Window),
        /// The window is not frozen or no longer retained.
        NotFound,
        /// The usage of these nodes is missing, and they may have counted some in the window.
        Missing(Vec<Incarnation>),
        /// The window precedes the last frozen one and is no longer retained or was skipped.
        Passed,
        /// A leader of a higher term has since frozen a window.
        Superseded,
        /// [`MAX_UNCONFIRMED_WINDOWS`](super::MAX_UNCONFIRMED_WINDOWS) reports are unconfirmed.
        Full,
    }
}

derive_schema! {
    /// The share of one node in a window's figures.
    #[derive(Eq)]
    pub struct Contribution {
        /// Host of the node.
        pub host: HostId,
        /// Incarnation of the node.
        pub incarnation: Incarnation,
        /// Host that reported the usage on behalf of the node; absent if the node reported it.
        pub spoken_by: Option<HostId>,
        /// Usage that the node counted, sorted by team and model.
        pub figures: Vec<Figure>,
    }
}

derive_schema! {
    /// Usage that became known after its window was frozen.
    #[derive(Eq)]
    pub struct Correction {
        /// Window that the usage belongs to.
        pub window: WindowId,
        /// Host of the node that counted the usage.
        pub host: HostId,
        /// Incarnation of the node.
        pub incarnation: Incarnation,
        /// Usage to add to the window's figures, sorted by team and model.
        pub figures: Vec<Figure>,
    }
}
