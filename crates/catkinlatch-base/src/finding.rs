//! Problems found in an input, collected with their locations and reported together.

use derive_more::{Display, Error};

crate::derive_schema! {
    /// Location of a finding in an input.
    #[derive(Eq, PartialOrd, Ord, Display)]
    #[display("{file}:{line}:{column}")]
    pub struct Place {
        /// Name of the file or other source.
        pub file: String,
        /// Line number, starting at 1.
        pub line: u32,
        /// Column in characters, starting at 1.
        pub column: u32,
    }
}

crate::derive_schema! {
    /// A problem in an input.
    #[derive(Eq, Display)]
    #[display("{place}: {text}; {hint}")]
    pub struct Finding {
        /// Location of the problem.
        pub place: Place,
        /// Description of the problem, starting in lower case.
        pub text: String,
        /// How to fix the problem.
        pub hint: String,
    }
}

crate::derive_schema! {
    /// The findings about one input, in the order in which they were added.
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

    /// Appends a finding.
    pub fn add(&mut self, place: Place, text: impl Into<String>, hint: impl Into<String>) {
        self.list.push(Finding { place, text: text.into(), hint: hint.into() });
    }

    /// Appends all findings of `other`.
    pub fn extend(&mut self, other: Findings) {
        self.list.extend(other.list);
    }

    /// Sorts the findings by location; those with equal locations keep their order.
    pub fn sort(&mut self) {
        self.list.sort_by(|a, b| a.place.cmp(&b.place));
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the findings in their present order.
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.list.is_empty() { Ok(value) } else { Err(self) }
    }

    /// Formats the findings, one per line.
    fn render(&self) -> String {
        let lines: Vec<String> = self.list.iter().map(Finding::to_string).collect();
        lines.join("\n")
    }
}
