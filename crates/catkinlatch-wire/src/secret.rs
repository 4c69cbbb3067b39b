//! The shared secret of a cluster, and the challenge-response proofs made with it.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// Size of a challenge nonce, in bytes.
pub const NONCE_BYTES: usize = 32;

/// Shared secret with which a process proves that it belongs to the cluster.
#[derive(Clone)]
pub struct Secret {
    text: String,
}

impl Secret {
    /// Creates the secret from its text.
    pub fn new(text: impl Into<String>) -> Self {
        Self { text: text.into() }
    }

    /// Generates a random nonce for a challenge.
    ///
    /// # Panics
    ///
    /// Panics if the operating system provides no randomness.
    pub fn generate_nonce() -> [u8; NONCE_BYTES] {
        let mut nonce = [0; NONCE_BYTES];
        getrandom::fill(&mut nonce).expect("the operating system provides randomness");
        nonce
    }

    /// Returns the proof that answers a challenge: an HMAC over role, nonce and claim.
    ///
    /// Because of `role`, the proof of one side cannot be replayed as that of the other.
    pub fn prove(&self, role: &[u8], nonce: &[u8], claim: &[u8]) -> [u8; 32] {
        self.mac(role, nonce, claim).finalize().into_bytes().into()
    }

    /// Returns whether a proof is valid, comparing in constant time.
    pub fn verify(&self, role: &[u8], nonce: &[u8], claim: &[u8], proof: &[u8]) -> bool {
        self.mac(role, nonce, claim).verify_slice(proof).is_ok()
    }

    fn mac(&self, role: &[u8], nonce: &[u8], claim: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.text.as_bytes())
            .expect("HMAC accepts keys of any length");
        for part in [role, nonce, claim] {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Secret").finish_non_exhaustive()
    }
}
