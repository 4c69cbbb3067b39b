//! Findings about input: collected with their place and reported together.

use derive_more::{Display, Error};

crate::derive_schema! {
    /// Where in an input a finding lies.
    #[derive(Eq, PartialOrd, Ord, Display)]
    #[display("{file}:{line}:{column}")]
    pub struct Place {
        /// The file or other source.
        pub file: String,
        /// The line, from 1.
        pub line: u32,
        /// The column in characters, from 1.
        pub column: u32,
    }
}

crate::derive_schema! {
    /// One thing that is wrong with an input.
    #[derive(Eq, Display)]
    #[display("{place}: {text}; {hint}")]
    pub struct Finding {
        /// Where it lies.
        pub place: Place,
        /// What is wrong, in lower case.
        pub text: String,
        /// What to do about it.
        pub hint: String,
    }
}

crate::derive_schema! {
    /// All findings about one input, in the order of their places.
    #[derive(Eq, Default, Display, Error)]
    #[display("{}", self.render())]
    pub struct Findings {
        list: Vec<Finding>,
    }
}

impl Findings {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding.
    pub fn add(&mut self, place: Place, text: impl Into<String>, hint: impl Into<String>) {
        self.list.push(Finding { place, text: text.into(), hint: hint.into() });
    }

    /// Adds all findings of `other`.
    pub fn extend(&mut self, other: Findings) {
        self.list.extend(other.list);
    }

    /// Sorts the findings by place.
    pub fn sort(&mut self) {
        self.list.sort_by(|a, b| a.place.cmp(&b.place));
    }

    /// Returns whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the findings.
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Returns `value`, or the findings if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.list.is_empty() { Ok(value) } else { Err(self) }
    }

    /// Writes one finding a line.
    fn render(&self) -> String {
        let lines: Vec<String> = self.list.iter().map(Finding::to_string).collect();
        lines.join("\n")
    }
}
