//! Evidence of the weight versions that produced a sample.

mod fault;
mod report;

pub use self::{fault::Fault, report::Report};

use catkinlatch_base::{Tokens, Version, derive_schema};

derive_schema! {
    /// A run of tokens that one version produced.
    #[derive(Copy)]
    pub struct Span {
        /// The version.
        pub version: Version,
        /// How many tokens it produced.
        pub tokens: Tokens,
    }
}

derive_schema! {
    /// What engines reported about a whole sample, checked.
    pub struct Evidence {
        /// The versions that produced it, in the order of its tokens.
        pub spans: Vec<Span>,
        /// Tokens read.
        pub prompt_tokens: Tokens,
        /// Tokens generated.
        pub completion_tokens: Tokens,
    }
}

impl Evidence {
    /// Joins what was reported about earlier tokens with the report about the rest.
    ///
    /// `newest` is the newest version that was published; no engine can have a later one.
    pub fn new(earlier: &[Span], report: &Report, newest: Version) -> Result<Self, Fault> {
        report.check(newest)?;
        let mut spans: Vec<Span> = Vec::new();
        for span in earlier.iter().chain(&report.spans) {
            push(&mut spans, *span);
        }
        let completion_tokens = spans.iter().map(|span| span.tokens).sum();
        Ok(Self { spans, prompt_tokens: report.prompt_tokens, completion_tokens })
    }

    /// Returns each version that produced tokens, in order.
    pub fn versions(&self) -> impl Iterator<Item = Version> {
        self.spans.iter().map(|span| span.version)
    }

    /// Returns the oldest version.
    pub fn oldest(&self) -> Option<Version> {
        self.versions().min()
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<Version> {
        self.versions().max()
    }
}

/// Appends a run of tokens, joining it with the last one of the same version.
pub fn push(spans: &mut Vec<Span>, span: Span) {
    match spans.last_mut() {
        Some(last) if last.version == span.version => last.tokens += span.tokens,
        Some(_) | None => spans.push(span),
    }
}
