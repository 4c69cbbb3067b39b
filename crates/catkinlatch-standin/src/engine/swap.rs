//! Weight swaps of the stand-in engine.

use super::Shared;
use catkinlatch_base::Version;
use std::{sync::Arc, time::Duration};

/// How an engine swaps its weights.
#[derive(Clone, Copy, Debug, Default)]
pub struct Swap {
    /// How long a swap takes; requests in flight use the old weights until it is done.
    pub time: Duration,
    /// How many of the first swaps fail.
    pub failures: u32,
    /// Whether answers report an end version that was never published.
    pub reports_unpublished_version: bool,
}

/// Swaps the weights after the configured time; a swap that fails keeps the old ones.
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
