//! Versions of weights that waiting items need.

use super::{Setup, check_events, wait_until};
use std::time::Duration;
use tokio::time;

impl Setup {
    /// Names a version of the model and waits for its acknowledgement.
    async fn name_version(&self, version: u64) {
        let body = format!(r#"{{"model":"model","version":{version}}}"#);
        self.site.control("POST", "/version-put", &body).await;
    }

    /// Returns the versions that the engines hold.
    fn versions(&self) -> Vec<u64> {
        self.engines.iter().map(|engine| engine.state().version).collect()
    }
}

/// Guards against a named version that is not loaded as long as items wait for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_is_loaded_while_items_wait_for_it() {
    let setup = Setup::start().await;
    for engine in &setup.engines {
        (engine.state().events, engine.state().event_time) = (20, Duration::from_millis(100));
    }
    // More items than the eight slots, so that some wait whatever is loaded.
    setup.submit("strict", 2, 24).await;
    setup.name_version(2).await;
    wait_until("all engines hold the version", || async { setup.versions() == [2, 2] }).await;
    let results = setup.results(0, "strict", 24).await;
    check_events(&results, &[2], 20);
}

/// Guards against items that wait for the newest version behind others that do not need it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_is_loaded_while_items_that_do_not_need_it_wait_too() {
    let setup = Setup::start().await;
    for engine in &setup.engines {
        (engine.state().events, engine.state().event_time) = (20, Duration::from_millis(100));
    }
    setup.submit("wide", 1, 24).await;
    setup.submit("strict", 2, 4).await;
    setup.name_version(2).await;
    let wait = time::timeout(Duration::from_secs(4), async {
        while setup.versions() != [2, 2] {
            time::sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(wait.await.is_ok(), "16 items of the first job wait for 4 s: {:?}", setup.versions());
    check_events(&setup.results(0, "wide", 24).await, &[1, 2], 20);
    check_events(&setup.results(0, "strict", 4).await, &[2], 20);
}

/// Guards against items without an engine that keep a version from being loaded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_for_a_version_that_is_not_named_keep_no_other_from_being_loaded() {
    let setup = Setup::start().await;
    setup.submit("later", 3, 4).await;
    setup.name_version(2).await;
    wait_until("all engines hold the version", || async { setup.versions() == [2, 2] }).await;
    setup.name_version(3).await;
    let results = setup.results(0, "later", 4).await;
    check_events(&results, &[3], 5);
}
