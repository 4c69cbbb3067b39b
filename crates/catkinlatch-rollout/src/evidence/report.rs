//! Reports of engines about the tokens that they generated.

use super::{Fault, Span};
use catkinlatch_base::{BootId, Tokens, Version, derive_value};

derive_value! {
    /// An engine's report about the tokens that it generated in one run.
    #[derive(Default)]
    pub struct Report {
        /// The weight version before the first token; `None` if the engine did not report it.
        pub start: Option<Version>,
        /// The weight version after the last token; `None` if the engine did not report it.
        pub end: Option<Version>,
        /// The boot id of the engine's process before the first token.
        pub boot_at_start: Option<BootId>,
        /// The boot id of the engine's process after the last token.
        pub boot_at_end: Option<BootId>,
        /// The weight versions of the tokens, in order.
        pub spans: Vec<Span>,
        /// The number of prompt tokens that the engine read.
        pub prompt_tokens: Tokens,
        /// The number of tokens generated in this run, without those of earlier runs.
        pub completion_tokens: Tokens,
    }
}

impl Report {
    /// Checks that the report states for each token which published version generated it.
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
