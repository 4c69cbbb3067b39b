//! A secret from the settings.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A secret text that is left out of `Debug` output, and so of logs and error texts.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credential(String);

impl Credential {
    /// Wraps a credential.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret text, which must go only to the party that checks it.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential")
    }
}
