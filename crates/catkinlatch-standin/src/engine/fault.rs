//! What an engine does wrong.

/// What an engine does wrong with a marked prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The whole engine crashes once it made some tokens.
    Crash,
    /// The answer carries the id of another request.
    WrongId,
    /// The connection breaks after some tokens, and the engine goes on.
    Break {
        /// How many tokens it makes before.
        after_tokens: u64,
    },
}
