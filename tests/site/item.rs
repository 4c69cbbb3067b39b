//! Items whose runs break off, or are slow.

use super::{Setup, check_events};
use std::time::Duration;

/// Guards against items that are never completed, since each run of them is given up as late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_are_completed_when_all_engines_are_slow() {
    let setup = Setup::start().await;
    for engine in &setup.engines {
        let mut state = engine.state();
        (state.events, state.event_time) = (2, Duration::from_millis(2_000));
    }
    setup.submit("job-1", 1, 4).await;
    check_events(&setup.results(0, "job-1", 4).await, &[1], 2);
}
