//! Digests that identify the content of requests.

use super::{AuthorizedRequest, dispatch::Call};
use catkinlatch_state::suspect::Fingerprint;
use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of a request's team, route, method, path and body.
pub fn digest(authorized: &AuthorizedRequest, call: &Call) -> [u8; 32] {
    let mut hash = Sha256::new();
    let head = [
        authorized.team.as_str().as_bytes(),
        authorized.route.id.as_str().as_bytes(),
        call.method.as_str().as_bytes(),
        call.path.as_bytes(),
    ];
    for part in head {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.update(&call.body);
    hash.finalize().into()
}

/// Returns the fingerprint that identifies a request as a suspect: the head of its digest.
pub fn fingerprint(authorized: &AuthorizedRequest, call: &Call) -> Fingerprint {
    let digest = digest(authorized, call);
    let (head, _) = digest.split_first_chunk().expect("a digest has 32 bytes");
    Fingerprint::new(*head)
}
