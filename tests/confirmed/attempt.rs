//! What targets get of one request: how many are reached, and which time each is given.

use super::{
    document::{self, MAX_ATTEMPTS},
    setup::Setup,
};
use catkinlatch_standin::site::Arrival;
use std::{
    collections::BTreeSet,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use tokio::time;

/// The number of targets, which is more than a request may reach.
const SERVICES: usize = 7;

/// How long an entry host stands still.
const PAUSE: Duration = Duration::from_millis(500);

/// Time that a busy machine takes beside.
const TOLERANCE: Duration = Duration::from_millis(150);

fn arrivals(setup: &Setup, id: &str) -> Vec<Arrival> {
    let of = |service: &catkinlatch_standin::site::Service| {
        service.arrivals.lock().unwrap().get(id).cloned().unwrap_or_default()
    };
    setup.services.iter().flat_map(of).collect()
}

/// Guards against a request that is sent to other full targets with each new round.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_all_targets_refuse_as_full_reaches_as_many_as_its_route_allows() {
    let setup = Setup::start(3, SERVICES).await;
    setup.services.iter().for_each(|service| service.is_full.store(true, Ordering::Relaxed));
    for number in 0..10 {
        let id = format!("full-{number}");
        let deadline = Duration::from_millis(1_500);
        setup.addresses.send(number % 3, &document::path(1), &id, "", deadline).await;
        let arrivals = arrivals(&setup, &id);
        let targets: BTreeSet<&String> = arrivals.iter().map(|arrival| &arrival.target).collect();
        assert!((1..=MAX_ATTEMPTS as usize).contains(&targets.len()), "{id}: {targets:?}");
    }
}

/// Guards against a target that is given the time in which its request waited for the entry host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_time_of_a_request_runs_while_its_host_stands_still() {
    let setup = Setup::start(3, 1).await;
    let host = &setup.site.entries()[0];
    host.pause().unwrap();
    let (deadline, sent) = (Duration::from_millis(1_800), Instant::now());
    let path = document::path(1);
    let call = setup.addresses.send(0, &path, "paused", "", deadline);
    let resume = async {
        time::sleep(PAUSE).await;
        host.resume().unwrap();
    };
    let (answer, ()) = tokio::join!(call, resume);
    assert!(answer.is_some_and(|answer| answer.status().is_success()));
    let arrivals = arrivals(&setup, "paused");
    assert_eq!(arrivals.len(), 1);
    let left = deadline.saturating_sub(arrivals[0].at - sent);
    let given = Duration::from_millis(arrivals[0].deadline_ms.unwrap());
    assert!(given <= left + TOLERANCE, "{left:?} were left and {given:?} given");
}
