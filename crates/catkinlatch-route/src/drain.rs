//! Decides which requests a host that shuts down still accepts.

use catkinlatch_base::derive_value;
use std::time::Duration;

derive_value! {
    /// What a host that shuts down does with a request.
    #[derive(Copy, Eq)]
    pub enum Step {
        /// The request ends before the host does.
        Run,
        /// The request may outlast the host, so its caller is sent to another host at once.
        Refuse,
    }
}

/// Returns what to do with a request that has not run, at a host that ends in `left`.
///
/// `limit` is the time after which the request ends in any case, if there is one. How long requests
/// like it took does not matter: a longer one would be cut, and other hosts can serve it whole.
pub fn next(left: Duration, limit: Option<Duration>) -> Step {
    if limit.is_some_and(|limit| limit <= left) { Step::Run } else { Step::Refuse }
}
