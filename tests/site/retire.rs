//! Store hosts that are emptied before their removal.

use super::{Setup, configuration, evacuation::leader, wait_until};
use catkinlatch_standin::site::{Shape, Site};
use http::{Request, StatusCode};
use std::path::PathBuf;

/// Number of store hosts, of which one is removed.
const STORES: usize = 4;

async fn start() -> Setup {
    let folder = tempfile::tempdir().unwrap();
    let program = PathBuf::from(env!("CARGO_BIN_EXE_catkinlatch"));
    let shape = Shape { stores: STORES, entries: 2, adjust: &|_, _| () };
    let site = Site::start_shaped(&program, folder.path(), &shape).await.unwrap();
    Setup::with_site(site, folder).await
}

/// Asks a store host to empty the one with this name; returns the status.
async fn retire(setup: &Setup, asked: usize, name: &str) -> Option<StatusCode> {
    let request = Request::post(format!("/retire/{name}")).header("host", "control");
    let request = request.body(br#"{"duration_s": 10}"#.to_vec()).unwrap();
    let address = setup.site.hosts[asked].address(setup.site.ports.control);
    setup.site.call(&address, request).await.map(|answer| answer.status())
}

/// Guards against an emptied host whose removal takes the majority, or acknowledged changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_was_emptied_can_be_removed_and_another_lost() {
    let mut setup = start().await;
    let emptied = leader(&setup);
    let name = setup.site.hosts[emptied].name.clone();
    assert_eq!(retire(&setup, 0, "store-9").await, Some(StatusCode::NOT_FOUND));
    setup.site.control("PUT", "/config", &configuration(2)).await;
    setup.site.control("POST", &format!("/retire/{name}"), r#"{"duration_s": 10}"#).await;
    wait_until("the host is emptied", || async {
        let answer = setup.site.control("GET", &format!("/retire/{name}"), "").await;
        String::from_utf8_lossy(&answer).contains("completed")
    })
    .await;
    setup.site.hosts[emptied].wipe().unwrap();
    setup.submit("job-1", 1, 4).await;
    let lost = (emptied + 1) % STORES;
    setup.site.hosts[lost].wipe().unwrap();
    setup.site.control("PUT", "/config", &configuration(3)).await;
    super::check(&setup.results(0, "job-1", 4).await, &[1]);
    let remaining = setup.site.hosts[(emptied + 2) % STORES].name.clone();
    let refused = retire(&setup, (emptied + 3) % STORES, &remaining).await;
    assert_eq!(refused, Some(StatusCode::CONFLICT), "too few would remain");
}
