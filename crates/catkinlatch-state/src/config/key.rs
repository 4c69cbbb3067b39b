//! Callers' keys: shown once, stored as a digest.

use catkinlatch_base::{KeyId, TeamId, derive_schema};
use sha2::{Digest, Sha256};
use std::fmt;
use subtle::ConstantTimeEq;

/// What every presented key starts with.
const PREFIX: &str = "ck_";

derive_schema! {
    /// A key in force.
    pub struct Key {
        /// The public part.
        pub id: KeyId,
        /// The team that requests with this key run for.
        pub team: TeamId,
        /// The SHA-256 digest of the secret part.
        pub digest: [u8; 32],
    }
}

impl Key {
    /// Creates a key of `team` from its secret.
    pub fn new(team: TeamId, secret: &Secret) -> Self {
        Self { id: secret.id.clone(), team, digest: secret.digest() }
    }

    /// Compares in constant time.
    pub fn matches(&self, secret: &Secret) -> bool {
        self.digest.ct_eq(&secret.digest()).into()
    }
}

/// A key as the caller presents it: `ck_<id>_<secret>`.
#[derive(Clone)]
pub struct Secret {
    id: KeyId,
    text: String,
}

impl Secret {
    /// Draws a secret that need not withstand guessing, for trials.
    pub fn draw(id: KeyId, random: &mut fastrand::Rng) -> Self {
        let text = format!("{:032x}{:032x}", random.u128(..), random.u128(..));
        Self { id, text }
    }

    /// Makes a secret from bytes that the operating system drew at random.
    pub fn from_bytes(id: KeyId, bytes: [u8; 32]) -> Self {
        let text = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        Self { id, text }
    }

    /// Reads a presented key, or returns `None` if it is not formed like one.
    pub fn parse(presented: &str) -> Option<Self> {
        let (id, text) = presented.strip_prefix(PREFIX)?.rsplit_once('_')?;
        Some(Self { id: id.parse().ok()?, text: text.to_owned() })
    }

    /// Returns the public part.
    pub fn id(&self) -> &KeyId {
        &self.id
    }

    /// Returns the whole key, to be shown once.
    pub fn reveal(&self) -> String {
        format!("{PREFIX}{}_{}", self.id, self.text)
    }

    fn digest(&self) -> [u8; 32] {
        Sha256::digest(self.text.as_bytes()).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Secret").field("id", &self.id).finish_non_exhaustive()
    }
}
