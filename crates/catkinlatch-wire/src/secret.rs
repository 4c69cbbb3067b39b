//! The secret that the processes of one cluster share.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// Bytes of a challenge.
pub const NONCE_BYTES: usize = 32;

/// Proves to another process that this one belongs to the cluster.
#[derive(Clone)]
pub struct Secret {
    text: String,
}

impl Secret {
    /// Wraps the secret.
    pub fn new(text: impl Into<String>) -> Self {
        Self { text: text.into() }
    }

    /// Draws a challenge.
    pub fn nonce() -> [u8; NONCE_BYTES] {
        let mut nonce = [0; NONCE_BYTES];
        getrandom::fill(&mut nonce).expect("the system has a source of randomness");
        nonce
    }

    /// Answers a challenge; `role` keeps one side's answer from serving as the other's.
    pub fn prove(&self, role: &[u8], nonce: &[u8], claim: &[u8]) -> [u8; 32] {
        self.mac(role, nonce, claim).finalize().into_bytes().into()
    }

    /// Checks an answer in constant time.
    pub fn verify(&self, role: &[u8], nonce: &[u8], claim: &[u8], proof: &[u8]) -> bool {
        self.mac(role, nonce, claim).verify_slice(proof).is_ok()
    }

    fn mac(&self, role: &[u8], nonce: &[u8], claim: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.text.as_bytes())
            .expect("the algorithm takes keys of any length");
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
