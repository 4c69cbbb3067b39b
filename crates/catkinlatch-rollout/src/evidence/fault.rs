//! Reasons why a report is no evidence.

use catkinlatch_base::{Tokens, Version};
use derive_more::{Display, Error};

/// Says why a report is no evidence of the versions that produced a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The engine did not say which version it had at the start or at the end.
    #[display("the engine did not report its version at the start and at the end")]
    Missing,
    /// The runs of tokens do not begin with the version at the start.
    #[display("the first token is not of version {start}, which the engine had at the start")]
    Start {
        /// The version that was reported at the start.
        start: Version,
    },
    /// The runs of tokens do not end with the version at the end.
    #[display("the last token is not of version {end}, which the engine had at the end")]
    End {
        /// The version that was reported at the end.
        end: Version,
    },
    /// The runs of tokens do not add up.
    #[display("the runs have {spans} tokens, but {counted} were counted")]
    Count {
        /// The sum of the runs.
        spans: Tokens,
        /// The tokens that the engine counted.
        counted: Tokens,
    },
    /// A version was never published.
    #[display("version {version} was never published")]
    Unpublished {
        /// The version.
        version: Version,
    },
    /// The engine was restarted in between.
    #[display("the engine was restarted while it ran the sample")]
    Restarted,
}
