//! The end of an item's run, and the action that follows.

use catkinlatch_base::Version;
use derive_more::Display;

/// How a run of an item on an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The output is complete.
    Whole,
    /// The stream was interrupted, and may be resumed on another engine.
    Broken,
    /// The stream ended with its connection, so it may have been cut. A second run that ends so after
    /// the same event confirms that nothing follows.
    Unconfirmed,
    /// The engine reported that the run failed.
    Failed,
    /// The engine reported that the item can never succeed.
    Impossible,
    /// The engine refused the run without starting it.
    Refused,
    /// No connection to the engine could be established, so the run did not start.
    Unreachable,
    /// The engine's weights are too old for the job. Carries their version, if known.
    Outdated(Option<Version>),
    /// A different target answered at the engine's address.
    OtherTarget,
}

/// The action that follows the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// None: the run had already been aborted, and its item continues in another run.
    Nothing,
    /// The item waits for another run.
    Again,
    /// The output is complete and is to be scored next.
    Score,
    /// The item is given up and its result is to be recorded as lost.
    Lose(Loss),
}

/// The reason for which an item is given up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Loss {
    /// The item reached the maximum number of failures of its job.
    #[display("too many failures")]
    Failures,
    /// An engine reported that the item can never succeed.
    #[display("rejected by the engine as impossible")]
    Impossible,
    /// The item was not finished before the time limit of its job.
    #[display("time limit of the job exceeded")]
    Overdue,
    /// The output could not be scored.
    #[display("scoring failed")]
    Score,
    /// The scoring call crashed targets, and the time limit of the job was exceeded.
    #[display("the scoring call crashed targets")]
    Suspect,
}
