//! What changes are answered with.

use catkinlatch_base::derive_value;

derive_value! {
    /// What a change is answered with.
    #[derive(Copy, Eq)]
    pub enum Reply {
        /// It took effect, or had before.
        Done,
        /// It concerns a job that does not exist.
        UnknownJob,
        /// It came too late to have an effect.
        Overtaken,
    }
}
