//! Store hosts whose disk takes no more bytes for a while.

use super::{Setup, configuration, evacuation::leader};
use std::{fs, os::unix::fs::PermissionsExt as _, time::Duration};
use test_case::test_case;
use tokio::time;

/// Starts a deployment whose processes survive writes beyond a limit.
async fn start() -> Setup {
    let folder = tempfile::tempdir().unwrap();
    let script = folder.path().join("host.sh");
    let program = env!("CARGO_BIN_EXE_catkinlatch");
    fs::write(&script, format!("#!/bin/sh\ntrap '' XFSZ\nexec {program} \"$@\"\n")).unwrap();
    fs::set_permissions(&script, fs::Permissions::from_mode(0o755)).unwrap();
    Setup::start_program(script, folder).await
}

/// Changes the configuration; fails if that is not acknowledged within seconds.
async fn change(setup: &Setup, version: u64) {
    let configuration = configuration(version);
    let change = setup.site.control("PUT", "/config", &configuration);
    assert!(time::timeout(Duration::from_secs(15), change).await.is_ok(), "version {version}");
}

/// Guards against a host that does not return once its disk is writable, so that the next loss takes
/// the majority.
#[test_case(false; "of a follower")]
#[test_case(true; "of the leader")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_disk_stops_nothing_and_its_host_votes_again(is_leader: bool) {
    let mut setup = start().await;
    let leader = leader(&setup);
    let stores = setup.site.stores().len();
    let full = if is_leader { leader } else { (leader + 1) % stores };
    setup.site.hosts[full].refuse_writes(true).unwrap();
    for version in 2..5 {
        change(&setup, version).await;
    }
    setup.site.hosts[full].refuse_writes(false).unwrap();
    time::sleep(Duration::from_secs(5)).await;
    assert!(setup.site.hosts[full].log().contains("the disk works again"));
    setup.site.hosts[(full + 1) % stores].kill().unwrap();
    for version in 5..8 {
        change(&setup, version).await;
    }
    setup.submit("job-1", 1, 4).await;
    super::check(&setup.results(0, "job-1", 4).await, &[1]);
}
