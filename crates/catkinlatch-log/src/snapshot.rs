//! Snapshot of the state machine at one position of the log, which replaces all entries up to that
//! position.

use crate::{Index, Membership};
use bytes::Bytes;
use catkinlatch_base::Term;

catkinlatch_base::derive_value! {
    /// Serialized state machine.
    #[derive(Eq)]
    pub struct Snapshot {
        /// Position of the last entry that the snapshot covers.
        pub index: Index,
        /// Term of that entry.
        pub term: Term,
        /// Voters as of that entry.
        pub membership: Membership,
        /// State machine, encoded with `bincode`.
        pub data: Bytes,
    }
}
