//! Limits that targets name in their answers hold for all senders together.

use super::{
    Setup, check,
    cold::{Tally, call},
    evacuation::leader,
    wait_until,
};
use catkinlatch_base::Rate;
use catkinlatch_standin::site::{Limit, Service, Target};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Time in which all hosts learn of a limit.
const NOTICE: Duration = Duration::from_secs(3);

/// How long limits are held in these tests after the notice.
const HELD: Duration = Duration::from_secs(6);

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).unwrap()
}

fn expect_limit(target: &Target, per_second: f64) {
    assert!(target.limit.is_named(), "{} answered no request", target.id);
    let (most, allowed) = (target.limit.most(), Limit::allowed(rate(per_second)));
    assert!(most <= allowed, "{} got {most} requests in 4 s, allowed are {allowed}", target.id);
}

/// Guards against senders that keep to a limit one by one, or not at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_names_a_limit_gets_no_more_from_all_senders() {
    let setup = Arc::new(Setup::start().await);
    let limit = &setup.service.target.limit;
    limit.set(Some(rate(3.0)), NOTICE);
    setup.submit("job-1", 1, 4).await;
    let tally = call(&setup, "limited", 20, NOTICE + HELD).await;
    expect_limit(&setup.service.target, 3.0);
    assert!(limit.total() >= 12, "{} requests in {HELD:?}", limit.total());
    assert!(tally.other.is_empty() && !tally.refused.is_empty(), "{tally:?}");
    assert!(tally.refused.iter().all(|id| setup.service.runs(id) == 0));
    limit.set(None, NOTICE);
    check(&setup.results(0, "job-1", 4).await, &[1]);
}

/// Guards against items that are placed on a limited engine as on any other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_keep_the_limit_of_an_engine() {
    let setup = Setup::start().await;
    let limited = &setup.engines[0].target;
    setup.engines.iter().for_each(|engine| engine.state().event_time = Duration::from_millis(60));
    limited.limit.set(Some(rate(1.0)), NOTICE);
    setup.submit("job-0", 1, 8).await;
    time::sleep(NOTICE).await;
    setup.submit("job-1", 1, 80).await;
    check(&setup.results(0, "job-1", 80).await, &[1]);
    expect_limit(limited, 1.0);
}

/// Guards against a limit that outlives what the target states.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_ends_once_the_target_no_longer_names_it() {
    let setup = Arc::new(Setup::start().await);
    let limit = &setup.service.target.limit;
    limit.set(Some(rate(2.0)), NOTICE);
    let during: Tally = call(&setup, "during", 20, NOTICE).await;
    assert!(!during.refused.is_empty(), "{during:?}");
    limit.set(None, NOTICE);
    call(&setup, "end", 4, Duration::from_secs(3)).await;
    let after = call(&setup, "after", 20, Duration::from_secs(2)).await;
    assert!(after.refused.is_empty() && after.other.is_empty(), "{after:?}");
}

/// Guards against a new leader, or a host that has restarted, that knows of no limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_holds_while_the_leader_changes_and_a_host_restarts() {
    let mut setup = Setup::start().await;
    setup.service.target.limit.set(Some(rate(3.0)), NOTICE);
    let shared = Arc::new(setup);
    call(&shared, "before", 20, NOTICE).await;
    setup = Arc::into_inner(shared).unwrap();
    let leader = leader(&setup);
    setup.site.hosts[leader].kill().unwrap();
    let entry = setup.site.hosts.len() - 1;
    setup.site.hosts[entry].kill().unwrap();
    setup.site.hosts[entry].start().unwrap();
    let setup = Arc::new(setup);
    let tally = call(&setup, "during", 20, HELD * 2).await;
    expect_limit(&setup.service.target, 3.0);
    assert!(tally.served >= 12, "{tally:?}");
}

/// Guards against a refusal where another target of the service takes the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_go_to_targets_without_a_limit_first() {
    let setup = Arc::new(Setup::start().await);
    let controls =
        setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect();
    let second = Service::start("survey-2", "survey", controls).await.unwrap();
    wait_until("the second target serves", || async {
        setup.request(0, "POST", "/survey/1", "again", "").await;
        second.runs("again") > 0
    })
    .await;
    setup.service.target.limit.set(Some(rate(0.0)), NOTICE);
    let tally = call(&setup, "limited", 20, NOTICE + HELD).await;
    expect_limit(&setup.service.target, 0.0);
    assert!(tally.refused.is_empty() && tally.other.is_empty(), "{tally:?}");
}

/// Guards against hosts without a leader that refuse all requests, or send them without a limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_without_a_leader_keep_the_limit_and_serve() {
    let mut setup = Setup::start().await;
    setup.service.target.limit.set(Some(rate(4.0)), NOTICE);
    let shared = Arc::new(setup);
    call(&shared, "before", 20, NOTICE).await;
    setup = Arc::into_inner(shared).unwrap();
    let stores = setup.site.stores().len();
    setup.site.hosts[..stores].iter_mut().for_each(|host| host.kill().unwrap());
    let setup = Arc::new(setup);
    call(&setup, "shares end", 20, NOTICE).await;
    let tally = call(&setup, "without", 20, HELD).await;
    expect_limit(&setup.service.target, 4.0);
    assert!(tally.served >= 6, "{tally:?}");
}
