//! API keys of callers, which are shown once and stored as a digest.

use catkinlatch_base::{KeyId, TeamId, derive_schema};
use sha2::{Digest, Sha256};
use std::fmt;
use subtle::ConstantTimeEq;

/// Prefix of every presented key.
const KEY_PREFIX: &str = "ck_";

derive_schema! {
    /// An API key that is not withdrawn.
    pub struct Key {
        /// Public part of the key.
        pub id: KeyId,
        /// Team that requests with this key are attributed to.
        pub team: TeamId,
        /// SHA-256 digest of the secret part.
        pub digest: [u8; 32],
    }
}

impl Key {
    /// Creates a key for `team`; stores only the digest of the secret.
    pub fn new(team: TeamId, secret: &Secret) -> Self {
        Self { id: secret.id.clone(), team, digest: secret.digest() }
    }

    /// Returns whether the secret has the stored digest, in constant time.
    pub fn matches(&self, secret: &Secret) -> bool {
        self.digest.ct_eq(&secret.digest()).into()
    }
}

/// An API key with its secret part, as presented by callers: `ck_<id>_<secret>`.
#[derive(Clone)]
pub struct Secret {
    id: KeyId,
    text: String,
}

impl Secret {
    /// Generates a secret for tests and simulations; not cryptographically secure.
    pub fn generate_insecure(id: KeyId, random: &mut fastrand::Rng) -> Self {
        let text = format!("{:032x}{:032x}", random.u128(..), random.u128(..));
        Self { id, text }
    }

    /// Creates a secret from random bytes of the operating system.
    pub fn from_bytes(id: KeyId, bytes: [u8; 32]) -> Self {
        let text = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        Self { id, text }
    }

    /// Parses a presented key, or returns `None` if it is malformed.
    pub fn parse(presented: &str) -> Option<Self> {
        let (id, text) = presented.strip_prefix(KEY_PREFIX)?.rsplit_once('_')?;
        Some(Self { id: id.parse().ok()?, text: text.to_owned() })
    }

    /// Returns the public part.
    pub fn id(&self) -> &KeyId {
        &self.id
    }

    /// Returns the complete key including the secret part, to be shown once.
    pub fn reveal(&self) -> String {
        format!("{KEY_PREFIX}{}_{}", self.id, self.text)
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
