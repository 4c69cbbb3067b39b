//! A credential from the settings.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A credential, kept out of logs and error texts.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credential(String);

impl Credential {
    /// Wraps a credential.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the credential itself, to be sent to its checker only.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential")
    }
}
