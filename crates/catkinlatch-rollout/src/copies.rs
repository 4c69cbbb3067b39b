//! Decides from the answers of its holders whether the contents of a committed batch are lost.

/// What a holder of a batch answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer<T> {
    /// The holder answers with its copy, or that it has none.
    Holds(Option<T>),
    /// A holder that the batch's record names does not answer, so it may have a copy.
    Silent,
}

/// What is known of the contents of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict<T> {
    /// A holder has a copy.
    Found(T),
    /// No holder has a copy.
    Lost,
    /// No holder that answers has a copy, and at least one does not answer.
    Unknown,
}

/// A search for the contents of a committed batch.
///
/// Silence never counts as loss: a holder that is stopped or cut off may still have its copy, and
/// the trainer may have read the batch.
#[derive(Clone, Debug)]
pub struct Search<T> {
    found: Option<T>,
    has_silent: bool,
}

impl<T> Search<T> {
    /// Creates a search; `own` is the copy of the host that searches.
    pub fn new(own: Option<T>) -> Self {
        Self { found: own, has_silent: false }
    }

    /// Records the answer of another holder.
    pub fn add(&mut self, answer: Answer<T>) {
        match answer {
            Answer::Holds(Some(copy)) => self.found = Some(copy),
            Answer::Holds(None) => {}
            Answer::Silent => self.has_silent = true,
        }
    }

    /// Returns whether a copy was found, so that no other holder need be asked.
    pub fn is_found(&self) -> bool {
        self.found.is_some()
    }

    /// Returns what is known once all holders were asked.
    pub fn verdict(self) -> Verdict<T> {
        match self.found {
            Some(copy) => Verdict::Found(copy),
            None if self.has_silent => Verdict::Unknown,
            None => Verdict::Lost,
        }
    }
}
