//! Faults of the stand-in engine.

/// A fault that a marked prompt triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The whole engine crashes after it has generated some tokens.
    Crash,
    /// The answer has the id of another request.
    WrongId,
    /// The connection breaks after some tokens, and the engine keeps running.
    Break {
        /// Length of the answer at which the connection breaks, in tokens.
        after_tokens: u64,
    },
}
