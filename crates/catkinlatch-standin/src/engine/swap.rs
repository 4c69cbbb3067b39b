//! Weight swaps of the stand-in engine.

use super::Shared;
use catkinlatch_base::Version;
use std::{sync::Arc, time::Duration};

/// How an engine swaps its weights.
#[derive(Clone, Copy, Debug, Default)]
pub struct Swap {
    /// How long a swap takes; samples under way go on with the old weights meanwhile.
    pub time: Duration,
    /// How many swaps fail before one succeeds.
    pub failures: u32,
    /// Whether the answers end with a version that nobody published.
    pub nonsense: bool,
}

/// Swaps the weights, or fails and keeps the old ones.
pub(super) async fn run(shared: Arc<Shared>, version: Version) {
    tokio::time::sleep(shared.options.swap.time).await;
    let mut inner = shared.lock();
    inner.swaps += 1;
    if inner.swaps > shared.options.swap.failures {
        inner.version = version;
    }
    drop(inner);
    shared.swapped.notify_one();
}
