//! What an engine reports about the tokens that it produced.

use super::{Fault, Span};
use catkinlatch_base::{BootId, Tokens, Version, derive_value};

derive_value! {
    /// What an engine reports about the tokens that it produced in one run.
    #[derive(Default)]
    pub struct Report {
        /// The version that it had before the first token.
        pub start: Option<Version>,
        /// The version that it had after the last token.
        pub end: Option<Version>,
        /// The start of the engine's process before the first token.
        pub boot_at_start: Option<BootId>,
        /// The start of the engine's process after the last token.
        pub boot_at_end: Option<BootId>,
        /// The versions of the tokens, in order.
        pub spans: Vec<Span>,
        /// Tokens read.
        pub prompt_tokens: Tokens,
        /// Tokens generated in this run.
        pub completion_tokens: Tokens,
    }
}

impl Report {
    /// Checks that the report says of each token which version produced it.
    pub(super) fn check(&self, newest: Version) -> Result<(), Fault> {
        let (Some(start), Some(end)) = (self.start, self.end) else { return Err(Fault::Missing) };
        let (Some(first), Some(last)) = (self.spans.first(), self.spans.last()) else {
            return Err(Fault::Missing);
        };
        if first.version != start {
            return Err(Fault::Start { start });
        }
        if last.version != end {
            return Err(Fault::End { end });
        }
        if self.boot_at_start != self.boot_at_end {
            return Err(Fault::Restarted);
        }
        self.check_count()?;
        match self.spans.iter().find(|span| span.version > newest) {
            Some(span) => Err(Fault::Unpublished { version: span.version }),
            None => Ok(()),
        }
    }

    fn check_count(&self) -> Result<(), Fault> {
        let spans = self.spans.iter().map(|span| span.tokens).sum();
        let empty = self.spans.iter().any(|span| span.tokens == Tokens::default());
        if empty || spans != self.completion_tokens {
            return Err(Fault::Count { spans, counted: self.completion_tokens });
        }
        Ok(())
    }
}
