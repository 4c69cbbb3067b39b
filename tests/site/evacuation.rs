//! Evacuated zones: their targets get nothing new from any host, through all failures, until the
//! evacuation is reverted.
//!
//! The targets of the setup are in `zone-0`, which the tests evacuate; those that the tests add are
//! in `zone-1`.

use super::{Setup, ok, stream::Stream, wait_until};
use catkinlatch_standin::site::{Engine, Service};
use http::{Request, StatusCode};
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use test_case::test_case;
use tokio::time;

/// The longest time that an acknowledgement may take with one host out of touch.
const ACK_TIME: Duration = Duration::from_secs(5);

fn controls(setup: &Setup) -> Vec<String> {
    setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect()
}

/// Starts a service in another zone, and waits until both entry hosts use it.
async fn start_elsewhere(setup: &Setup) -> Service {
    let other = Service::start_in("zone-1", "survey-2", "survey", controls(setup)).await.unwrap();
    for entry in 0..2 {
        expect_used(setup, entry, &other, &setup.service).await;
    }
    other
}

/// Sends requests to an entry host until one runs on `service`, while `other`, which the host may
/// prefer for its zone, is full.
async fn expect_used(setup: &Setup, entry: usize, service: &Service, other: &Service) {
    other.is_full.store(true, Ordering::Relaxed);
    let id = format!("use-{}-{entry}", service.target.id);
    wait_until("the target serves", || async {
        setup.request(entry, "POST", "/survey/1", &id, "").await;
        service.runs(&id) > 0
    })
    .await;
    other.is_full.store(false, Ordering::Relaxed);
}

/// Sends requests to an entry host; all are answered, and none runs on the evacuated service.
async fn expect_avoided(setup: &Setup, entry: usize, name: &str) {
    for number in 0..20 {
        let id = format!("{name}-{entry}-{number}");
        let answer = setup.request(entry, "POST", "/survey/1", &id, "").await;
        assert!(answer.is_some_and(ok), "{id} was not served");
        assert_eq!(setup.service.runs(&id), 0, "{id} reached the evacuated zone");
    }
}

async fn evacuate(setup: &Setup) {
    setup.site.control("POST", "/evacuate/zone-0", "").await;
}

async fn restore(setup: &Setup) {
    setup.site.control("DELETE", "/evacuate/zone-0", "").await;
}

pub(super) fn leader(setup: &Setup) -> usize {
    let leads = |log: String| {
        log.matches("took over the duties").count() > log.matches("gave up the duties").count()
    };
    setup.site.stores().iter().position(|host| leads(host.log())).unwrap()
}

/// What is lost after an evacuation was acknowledged.
#[derive(Clone, Copy)]
enum Loss {
    Nothing,
    Leader,
    Disk,
    Power,
}

/// Guards against an acknowledged evacuation that is lost with a leader, a disk or the power of all
/// hosts, and against targets that no later leader uses again after the evacuation.
#[test_case(Loss::Nothing; "nothing is lost")]
#[test_case(Loss::Leader; "the leader is killed")]
#[test_case(Loss::Disk; "the leader loses its disk")]
#[test_case(Loss::Power; "all hosts are killed")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_evacuated_zone_gets_nothing_until_it_is_restored(loss: Loss) {
    let mut setup = Setup::start().await;
    let other = start_elsewhere(&setup).await;
    evacuate(&setup).await;
    for entry in 0..2 {
        expect_avoided(&setup, entry, "at-once").await;
    }
    let leader = leader(&setup);
    match loss {
        Loss::Nothing => {}
        Loss::Leader => setup.site.hosts[leader].kill().unwrap(),
        Loss::Disk => {
            setup.site.hosts[leader].wipe().unwrap();
            setup.site.hosts[leader].start().unwrap();
        }
        Loss::Power => {
            setup.site.hosts.iter_mut().for_each(|host| host.kill().unwrap());
            setup.site.hosts.iter_mut().for_each(|host| host.start().unwrap());
        }
    }
    for entry in 0..2 {
        wait_until("the entry host serves", || async {
            setup.request(entry, "POST", "/survey/1", "probe", "").await.is_some_and(ok)
        })
        .await;
    }
    assert_eq!(setup.service.runs("probe"), 0);
    // Long enough for another leader, and for its view to reach the entry hosts.
    for part in 0..4 {
        for entry in 0..2 {
            expect_avoided(&setup, entry, &format!("part-{part}")).await;
        }
        time::sleep(Duration::from_secs(1)).await;
    }
    restore(&setup).await;
    for entry in 0..2 {
        expect_used(&setup, entry, &setup.service, &other).await;
    }
}

/// Guards against another answer to a call that is repeated, sent to another host, or sent for a
/// zone without targets, and against answers that take a second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_calls_get_the_same_answer_at_every_host() {
    let setup = Setup::start().await;
    for (method, zone) in [
        ("POST", "zone-0"),
        ("POST", "zone-0"),
        ("DELETE", "zone-0"),
        ("DELETE", "zone-0"),
        ("POST", "zone-of-nobody"),
        ("DELETE", "never-evacuated"),
    ] {
        for control in controls(&setup) {
            let path = format!("/evacuate/{zone}");
            let call = Request::builder().method(method).uri(path).header("host", "control");
            let began = Instant::now();
            let answer = setup.site.call(&control, call.body(Vec::new()).unwrap()).await;
            assert!(answer.is_some_and(ok), "{method} {zone} at {control}");
            assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
        }
    }
}

/// Guards against callers that wait, or are told that their request may have run, when all targets
/// are in evacuated zones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_refused_at_once_where_no_target_is_left_elsewhere() {
    let setup = Setup::start().await;
    evacuate(&setup).await;
    for (entry, path) in [(0, "/survey/1"), (1, "/survey/1"), (0, "/chat/1")] {
        let id = format!("none-left-{entry}");
        let began = Instant::now();
        let answer = setup.request(entry, "POST", path, &id, "").await.unwrap();
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers().contains_key("retry-after"));
        assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
        assert_eq!(setup.service.runs(&id), 0);
    }
}

/// Guards against an acknowledgement that waits for a host out of touch, and against requests that
/// such a host forwards to the zone after its return.
#[test_case(false; "paused")]
#[test_case(true; "killed and started anew")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_host_that_missed_the_evacuation_complies_after_its_return(is_killed: bool) {
    let mut setup = Setup::start().await;
    start_elsewhere(&setup).await;
    let entry = setup.site.stores().len();
    let host = &mut setup.site.hosts[entry];
    if is_killed {
        host.kill().unwrap()
    } else {
        host.pause().unwrap()
    }
    let began = Instant::now();
    evacuate(&setup).await;
    assert!(began.elapsed() < ACK_TIME, "acknowledged after {:?}", began.elapsed());
    expect_avoided(&setup, 1, "meanwhile").await;
    let host = &mut setup.site.hosts[entry];
    if is_killed {
        host.start().unwrap()
    } else {
        host.resume().unwrap()
    }
    if !is_killed {
        // Its next poll, which the leader answers at once; the rule allows 5 s.
        time::sleep(Duration::from_secs(2)).await;
    }
    wait_until("the entry host serves", || async {
        setup.request(0, "POST", "/survey/1", "probe", "").await.is_some_and(ok)
    })
    .await;
    assert_eq!(setup.service.runs("probe"), 0);
    expect_avoided(&setup, 0, "returned").await;
}

/// Guards against an entry host without a leader that forgets the evacuation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_host_that_hears_no_leader_keeps_avoiding_the_zone() {
    let mut setup = Setup::start().await;
    start_elsewhere(&setup).await;
    evacuate(&setup).await;
    let stores = setup.site.stores().len();
    setup.site.hosts[..stores].iter_mut().for_each(|host| host.kill().unwrap());
    for part in 0..3 {
        time::sleep(Duration::from_secs(1)).await;
        expect_avoided(&setup, 0, &format!("cut-{part}")).await;
    }
}

/// Guards against requests to a target that starts anew in an evacuated zone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_start_in_an_evacuated_zone_gets_nothing() {
    let setup = Setup::start().await;
    let other = start_elsewhere(&setup).await;
    evacuate(&setup).await;
    setup.service.restart();
    for part in 0..4 {
        time::sleep(Duration::from_millis(500)).await;
        expect_avoided(&setup, 0, &format!("start-{part}")).await;
    }
    restore(&setup).await;
    expect_used(&setup, 0, &setup.service, &other).await;
}

/// Guards against a draining target that gets requests once the evacuation of its zone ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_drains_stays_draining_after_the_evacuation() {
    let setup = Setup::start().await;
    start_elsewhere(&setup).await;
    evacuate(&setup).await;
    setup.service.target.is_draining.store(true, Ordering::Relaxed);
    wait_until("its draining is acknowledged", || async {
        setup.service.target.acknowledged.load(Ordering::Relaxed) > 0
    })
    .await;
    restore(&setup).await;
    expect_avoided(&setup, 0, "draining").await;
}

/// Returns whether a request ran on one of the engines of the evacuated zone.
fn ran_in_zone(setup: &Setup, id: &str) -> bool {
    setup.engines.iter().any(|engine| engine.state().runs.contains_key(id))
}

async fn start_engine_elsewhere(setup: &Setup) -> Engine {
    Engine::start_in("zone-1", "engine-3", "drafts", controls(setup)).await.unwrap()
}

/// Guards against streams that the evacuation cuts, and against broken ones that are resumed in the
/// evacuated zone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_under_way_finish_and_others_resume_elsewhere() {
    let setup = Setup::start().await;
    let other = start_engine_elsewhere(&setup).await;
    for engine in setup.engines.iter().chain([&other]) {
        engine.state().events = 40;
    }
    let mut number = 0;
    let mut stream = loop {
        let id = format!("under-way-{number}");
        let stream = Stream::open(&setup, "/chat/1", &id).await;
        if ran_in_zone(&setup, &id) {
            break stream;
        }
        number += 1;
    };
    evacuate(&setup).await;
    while stream.read().await.unwrap() {}
    assert_eq!(stream.events().len(), 40);
    other.state().runs_to_break = 2;
    for number in 0..6 {
        let id = format!("next-{number}");
        let mut stream = Stream::open(&setup, "/chat/1", &id).await;
        while stream.read().await.unwrap_or_default() {}
        assert!(!ran_in_zone(&setup, &id), "{id}");
    }
}

/// Guards against items and scoring calls that the leader sends to the evacuated zone, and against
/// engines that get no items after their zone was restored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_and_scoring_calls_avoid_the_zone_and_return_to_it() {
    let setup = Setup::start().await;
    let other = start_engine_elsewhere(&setup).await;
    start_elsewhere(&setup).await;
    for engine in setup.engines.iter().chain([&other]) {
        engine.state().event_time = Duration::from_millis(20);
    }
    setup.submit("job-1", 1, 40).await;
    wait_until("items run in the zone", || async {
        setup.engines.iter().all(|engine| engine.total_runs() > 0)
    })
    .await;
    evacuate(&setup).await;
    let runs = || -> usize { setup.engines.iter().map(Engine::total_runs).sum() };
    let (before, scored) = (runs(), setup.service.total_runs());
    assert_eq!(setup.results(1, "job-1", 40).await.len(), 40);
    // What had been sent when the evacuation was committed may still arrive.
    assert!(runs() <= before + 1, "{} runs began in the evacuated zone", runs() - before);
    let late = setup.service.total_runs() - scored;
    assert!(late <= 6, "{late} scoring calls reached the evacuated zone");
    restore(&setup).await;
    setup.submit("job-2", 1, 40).await;
    assert_eq!(setup.results(0, "job-2", 40).await.len(), 40);
    assert!(runs() > before + 1, "no item ran in the restored zone");
}

/// Guards against a restored zone that gets its full load at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restored_zone_gets_its_load_gradually() {
    let setup = Setup::start().await;
    let other = start_elsewhere(&setup).await;
    for service in [&setup.service, &other] {
        *service.run_time.lock().unwrap() = Duration::from_millis(100);
    }
    evacuate(&setup).await;
    let before = setup.service.total_runs();
    let call = |number: usize| {
        let setup = &setup;
        async move {
            for round in 0.. {
                let id = format!("load-{number}-{round}");
                setup.request(number % 2, "POST", "/survey/1", &id, "").await;
            }
        }
    };
    let load = futures::future::join_all((0..10).map(call));
    let observe = async {
        restore(&setup).await;
        time::sleep(Duration::from_millis(500)).await;
        let early = setup.service.total_runs() - before;
        time::sleep(Duration::from_millis(2_500)).await;
        let began = setup.service.total_runs();
        time::sleep(Duration::from_millis(500)).await;
        (early, setup.service.total_runs() - began)
    };
    let (early, late) = tokio::select! {
        _ = load => unreachable!("callers call until the end"),
        counts = observe => counts,
    };
    assert!(early * 2 < late, "{early} requests in the first 0.5 s, {late} after 3 s");
}
