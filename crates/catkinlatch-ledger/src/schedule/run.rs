//! How runs of items end, and what follows.

use catkinlatch_base::Version;
use derive_more::Display;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The text is whole.
    Whole,
    /// It broke off, and may go on elsewhere.
    Broken,
    /// The engine says that it failed.
    Failed,
    /// The engine says that the item can never be done.
    Impossible,
    /// The engine did not run it.
    Refused,
    /// There is no connection to the engine, which did not run it.
    Unreachable,
    /// The engine's weights are too old.
    Outdated(Option<Version>),
    /// Another target has the address.
    OtherTarget,
}

/// What follows the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing: the run was cut before, and its item goes on without it.
    Nothing,
    /// The item waits to be run again.
    Again,
    /// The text is whole; its score is missing.
    Score,
    /// The item is to be listed as lost.
    Lose(Loss),
}

/// Why an item is given up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Loss {
    /// It failed as often as its job allows.
    #[display("it failed too often")]
    Failures,
    /// An engine says that it can never be done.
    #[display("it can never be done")]
    Impossible,
    /// Its time is over.
    #[display("its time is over")]
    Overdue,
    /// Its text could not be scored.
    #[display("it could not be scored")]
    Score,
}
