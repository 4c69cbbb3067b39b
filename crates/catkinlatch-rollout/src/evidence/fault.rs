//! Reasons for which a report is not valid evidence.

use catkinlatch_base::{Tokens, Version};
use derive_more::{Display, Error};

/// The reason for which a report is not valid evidence of the versions that generated a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The engine did not report its version at the start or at the end, or reported no spans.
    #[display("the engine did not report its version at the start and at the end")]
    Missing,
    /// The first span does not have the version reported at the start.
    #[display("the first token is not from version {start}, which the engine had at the start")]
    Start {
        /// The version that was reported at the start.
        start: Version,
    },
    /// The last span does not have the version reported at the end.
    #[display("the last token is not from version {end}, which the engine had at the end")]
    End {
        /// The version that was reported at the end.
        end: Version,
    },
    /// A span is empty, or the spans do not add up to the count of generated tokens.
    #[display("the spans have {spans} tokens, but the engine counted {counted}")]
    Count {
        /// The total number of tokens of the spans.
        spans: Tokens,
        /// The number of generated tokens that the engine reported.
        counted: Tokens,
    },
    /// A span has a version that was never published.
    #[display("version {version} was never published")]
    Unpublished {
        /// The version of the span.
        version: Version,
    },
    /// The engine was restarted between the first and the last token.
    #[display("the engine was restarted while it ran the sample")]
    Restarted,
}
