//! The state at one position of the log, which stands for all entries before it.

use crate::{Index, Membership};
use bytes::Bytes;
use catkinlatch_base::Term;

catkinlatch_base::derive_value! {
    /// A serialized state machine.
    #[derive(Eq)]
    pub struct Snapshot {
        /// The last entry that it covers.
        pub index: Index,
        /// The term of that entry.
        pub term: Term,
        /// The voters at that entry.
        pub membership: Membership,
        /// The state machine, encoded by `bincode`.
        pub data: Bytes,
    }
}
