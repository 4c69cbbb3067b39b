//! The directory of entry hosts, with and without a leader.

use super::{Setup, wait_until};
use http::Request;
use std::time::{Duration, Instant};
use test_case::test_case;
use tokio::time;

/// The `contact_ms` of the settings and 3 s more: by then a host that was killed is not named.
const MAX_AGE: Duration = Duration::from_secs(7);

/// Asks the directory of the first entry host which of the two entry hosts it names.
async fn named(setup: &Setup) -> [bool; 2] {
    let ports = setup.site.ports;
    let request = Request::get("/resolve").header("host", "directory").body(Vec::new()).unwrap();
    let directory = setup.site.entries()[0].address(ports.directory);
    let Some(answer) = setup.site.call(&directory, request).await else { return [false; 2] };
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    [0, 1].map(|entry| text.contains(&setup.site.entries()[entry].address(ports.callers)))
}

async fn wait_until_both_are_named(setup: &Setup) {
    wait_until("both hosts are named", || async { named(setup).await == [true; 2] }).await;
}

fn kill_stores(setup: &mut Setup) {
    let stores = setup.site.stores().len();
    setup.site.hosts[..stores].iter_mut().for_each(|host| host.kill().unwrap());
}

/// Guards against callers that are sent to a host that was killed, above all by a directory that
/// no leader tells.
#[test_case(false; "with a leader")]
#[test_case(true; "without a leader")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_host_is_not_named_after_its_time(without_leader: bool) {
    let mut setup = Setup::start().await;
    wait_until_both_are_named(&setup).await;
    if without_leader {
        kill_stores(&mut setup);
    }
    setup.site.hosts.last_mut().unwrap().kill().unwrap();
    let killed = Instant::now();
    wait_until("the killed host is not named", || async { !named(&setup).await[1] }).await;
    assert!(killed.elapsed() < MAX_AGE, "named for {:?}", killed.elapsed());
    for _ in 0..10 {
        assert_eq!(named(&setup).await, [true, false]);
        time::sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against a directory that forgets hosts which run, only because no leader is left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn running_hosts_are_named_without_a_leader() {
    let mut setup = Setup::start().await;
    wait_until_both_are_named(&setup).await;
    kill_stores(&mut setup);
    let cut = Instant::now();
    while cut.elapsed() < MAX_AGE + Duration::from_secs(2) {
        assert_eq!(named(&setup).await, [true; 2], "after {:?}", cut.elapsed());
        time::sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against a directory that names nobody.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_never_heard_a_leader_names_itself() {
    let mut setup = Setup::start().await;
    kill_stores(&mut setup);
    let entry = setup.site.stores().len();
    setup.site.hosts[entry].kill().unwrap();
    setup.site.hosts[entry].start().unwrap();
    wait_until("the directory answers", || async { named(&setup).await == [true, false] }).await;
}
