//! The result of applying a command.

use catkinlatch_base::derive_value;

derive_value! {
    /// The result of applying a [`crate::Command`].
    #[derive(Copy, Eq)]
    pub enum Reply {
        /// The command took effect, or had already taken effect.
        Done,
        /// The command refers to a job that does not exist.
        UnknownJob,
        /// The command had no effect, since a later or an equivalent one was applied before.
        Overtaken,
    }
}
