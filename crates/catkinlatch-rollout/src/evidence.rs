//! Evidence of the weight versions that generated a sample.

mod fault;
mod report;

pub use self::{fault::Fault, report::Report};

use catkinlatch_base::{Tokens, Version, derive_schema};

derive_schema! {
    /// Consecutive tokens that one weight version generated.
    #[derive(Copy)]
    pub struct Span {
        /// The weight version.
        pub version: Version,
        /// The number of tokens.
        pub tokens: Tokens,
    }
}

derive_schema! {
    /// The checked reports of engines about a complete sample.
    pub struct Evidence {
        /// The weight versions that generated the sample, in the order of its tokens.
        pub spans: Vec<Span>,
        /// The number of prompt tokens that the engine of the last run read.
        pub prompt_tokens: Tokens,
        /// The number of generated tokens, including those of earlier runs.
        pub completion_tokens: Tokens,
    }
}

impl Evidence {
    /// Joins the spans of earlier runs with the report about the last run.
    ///
    /// `newest` is the newest published version; no engine can have a later one.
    ///
    /// # Errors
    ///
    /// Returns the fault for which the report is not valid evidence.
    pub fn new(earlier: &[Span], report: &Report, newest: Version) -> Result<Self, Fault> {
        report.check(newest)?;
        let mut spans: Vec<Span> = Vec::new();
        for span in earlier.iter().chain(&report.spans) {
            push(&mut spans, *span);
        }
        let completion_tokens = spans.iter().map(|span| span.tokens).sum();
        Ok(Self { spans, prompt_tokens: report.prompt_tokens, completion_tokens })
    }

    /// Returns the version of each span, in order; a version may occur more than once.
    pub fn versions(&self) -> impl Iterator<Item = Version> {
        self.spans.iter().map(|span| span.version)
    }

    /// Returns the oldest version, or `None` if there are no tokens.
    pub fn oldest(&self) -> Option<Version> {
        self.versions().min()
    }

    /// Returns the newest version, or `None` if there are no tokens.
    pub fn newest(&self) -> Option<Version> {
        self.versions().max()
    }
}

/// Appends a span, merging it into the last one if both have the same version.
pub fn push(spans: &mut Vec<Span>, span: Span) {
    match spans.last_mut() {
        Some(last) if last.version == span.version => last.tokens += span.tokens,
        Some(_) | None => spans.push(span),
    }
}
