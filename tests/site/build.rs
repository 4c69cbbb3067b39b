//! Streams and texts whose targets run several builds of their software: each goes on only at the
//! build that began it.

use super::{Setup, stream::Stream, wait_until};
use catkinlatch_standin::site::Engine;
use futures::future::join_all;
use http::StatusCode;
use std::{
    ops::Range,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use tokio::time;

/// The build that is released beside the first one.
const NEWER: &str = "v2";

/// The time in which a request that can't be served is refused.
const AT_ONCE: Duration = Duration::from_millis(500);

/// A deployment with two engines of each build, whose streams have ten events.
async fn start() -> Setup {
    let mut setup = Setup::start().await;
    let controls: Vec<String> =
        setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect();
    for id in ["engine-3", "engine-4"] {
        let engine = Engine::start_build("zone-0", id, "drafts", controls.clone(), NEWER);
        setup.engines.push(engine.await.unwrap());
    }
    for engine in &setup.engines {
        engine.state().events = 10;
    }
    wait_until("all engines serve", || async {
        Stream::open(&setup, "/chat/1", "warm-up").await.read_to_end().await;
        setup.engines.iter().all(|engine| engine.total_runs() > 0)
    })
    .await;
    setup
}

/// Opens streams at the first entry host and reads two events of each.
async fn begin(setup: &Setup, count: usize) -> Vec<(String, Stream)> {
    let mut streams = Vec::new();
    for number in 0..count {
        let id = format!("begun-{number}");
        let mut stream = Stream::open(setup, "/chat/1", &id).await;
        stream.read_events(2).await;
        streams.push((id, stream));
    }
    streams
}

fn slow_down(setup: &Setup) {
    for engine in &setup.engines {
        engine.state().event_time = Duration::from_millis(300);
    }
}

/// Guards against a host that resumes a broken stream at any target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_stream_is_resumed_at_the_build_that_began_it() {
    let setup = start().await;
    let mut complete = 0;
    for number in 0..48 {
        // The retry budget of the route allows for some broken streams among others.
        let breaks = u32::from(number % 4 == 0);
        setup.engines.iter().for_each(|engine| engine.state().runs_to_break = breaks);
        // A request under which connections break is recognized by its path, among others.
        let (path, id) = (format!("/chat/{number}"), format!("stream-{number}"));
        let mut stream = Stream::open(&setup, &path, &id).await;
        setup.engines.iter().for_each(|engine| engine.state().runs_to_break = 0);
        complete += u32::from(stream.read_to_end().await) * breaks;
        assert!(stream.is_of_one_build(), "{:?}", stream.events());
    }
    assert!(complete >= 6, "{complete} of 12 broken streams are complete");
}

/// Guards against a caller's next try that goes on at any target, at another host as well.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_a_caller_resumes_goes_on_at_its_build() {
    let mut setup = start().await;
    slow_down(&setup);
    let streams = begin(&setup, 8).await;
    let first_entry = setup.site.stores().len();
    setup.site.hosts[first_entry].kill().unwrap();
    let mut served = 0;
    for (id, begun) in streams.iter().rev() {
        let next = format!("{id}-again");
        let Ok(mut stream) = Stream::resume(&setup, 1, (&next, id), 2).await else { continue };
        stream.read_events(2).await;
        assert_eq!(stream.is_of_other_build(), begun.is_of_other_build(), "{id}");
        served += 1;
    }
    assert!(served >= 6, "{served} of 8 went on");
}

/// Guards against a stream that goes on at another build since its own has left, and against a
/// refusal that comes late or is not true.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_whose_build_is_gone_is_refused_at_once() {
    let setup = start().await;
    slow_down(&setup);
    let streams = begin(&setup, 8).await;
    let begun: Vec<&String> =
        streams.iter().filter(|(_, s)| !s.is_of_other_build()).map(|(id, _)| id).collect();
    assert!(!begun.is_empty(), "no stream began at the first build");
    let leaving = &setup.engines[..2];
    leaving.iter().for_each(|engine| engine.target.is_draining.store(true, Ordering::Relaxed));
    wait_until("the first build has left", || async {
        leaving.iter().all(|engine| engine.target.acknowledged.load(Ordering::Relaxed) > 0)
    })
    .await;
    for id in begun {
        let (next, asked) = (format!("{id}-again"), Instant::now());
        let resumed = Stream::resume(&setup, 1, (&next, id), 2).await;
        assert_eq!(resumed.err(), Some(StatusCode::SERVICE_UNAVAILABLE));
        assert!(asked.elapsed() < AT_ONCE, "refused after {:?}", asked.elapsed());
        let runs = setup.engines.iter().filter(|engine| engine.state().runs.contains_key(&next));
        assert_eq!(runs.count(), 0);
    }
}

/// Guards against a stream that nobody knows and that goes on at any build.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_of_an_unknown_build_is_refused_while_two_builds_serve() {
    let setup = start().await;
    for number in 0..4 {
        let id = format!("unknown-{number}");
        let resumed = Stream::resume(&setup, number % 2, (&id, "nobody"), 2).await;
        assert_eq!(resumed.err(), Some(StatusCode::SERVICE_UNAVAILABLE));
    }
}

/// Starts two engines of the newer build, has those of the first one leave, and waits until they have.
async fn release(setup: &mut Setup) {
    let controls: Vec<String> =
        setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect();
    for id in ["engine-3", "engine-4"] {
        let engine = Engine::start_build("zone-0", id, "drafts", controls.clone(), NEWER);
        setup.engines.push(engine.await.unwrap());
    }
    for engine in &setup.engines[..2] {
        engine.target.is_draining.store(true, Ordering::Relaxed);
    }
    wait_until("the first build has left", || async {
        setup.engines[..2].iter().all(|e| e.target.acknowledged.load(Ordering::Relaxed) > 0)
    })
    .await;
    for engine in &setup.engines[..2] {
        engine.end();
        let path = format!("/instances/{}", engine.target.id);
        setup.site.control("DELETE", &path, "").await;
    }
}

/// Kills hosts at once and starts them again.
fn restart(setup: &mut Setup, hosts: Range<usize>) {
    setup.site.hosts[hosts.clone()].iter_mut().for_each(|host| host.kill_started().unwrap());
    setup.site.hosts[hosts].iter_mut().for_each(|host| host.start().unwrap());
}

/// Waits until an entry host runs new streams at the newer build.
async fn await_newer(setup: &Setup, entry: usize) {
    let path = "/chat/1";
    wait_until("the newer build serves", || async {
        let answer = setup.request(entry, "POST", path, &format!("new-{entry}"), "ask").await;
        answer.is_some_and(|answer| String::from_utf8_lossy(answer.body()).contains(" by "))
    })
    .await;
}

/// Guards against hosts that have just started, see one build, and take it for the one that began a
/// stream whose record is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_not_joined_from_two_builds_after_all_hosts_were_killed() {
    let mut setup = Setup::start().await;
    for engine in &setup.engines {
        (engine.state().events, engine.state().event_time) = (200, Duration::from_millis(100));
    }
    let streams = begin(&setup, 8).await;
    release(&mut setup).await;
    let hosts = setup.site.hosts.len();
    restart(&mut setup, 0..hosts);
    for entry in 0..2 {
        await_newer(&setup, entry).await;
        for (id, _) in &streams {
            let next = format!("{id}-again-{entry}");
            let resumed = Stream::resume(&setup, entry, (&next, id), 2).await;
            assert_eq!(resumed.err(), Some(StatusCode::SERVICE_UNAVAILABLE), "{id}");
        }
    }
}

/// Guards against streams that are refused although hosts with a disk know which build began them, while
/// all entry hosts have just started and many callers return at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_go_on_at_their_builds_after_all_entry_hosts_were_killed() {
    let mut setup = start().await;
    slow_down(&setup);
    let streams = begin(&setup, 16).await;
    let (first, hosts) = (setup.site.stores().len(), setup.site.hosts.len());
    restart(&mut setup, first..hosts);
    for entry in 0..2 {
        wait_until("an entry host serves requests", || async {
            setup.request(entry, "POST", "/survey/1", "back", "").await.is_some_and(super::ok)
        })
        .await;
    }
    let setup = &setup;
    let resume = |(number, (id, begun)): (usize, &(String, Stream))| {
        let (id, is_newer) = (id.clone(), begun.is_of_other_build());
        async move {
            let next = format!("{id}-again");
            let mut stream = Stream::resume(setup, number % 2, (&next, &id), 2).await.ok()?;
            stream.read_events(1).await;
            assert_eq!(stream.is_of_other_build(), is_newer, "{id}");
            Some(())
        }
    };
    let resumed = join_all(streams.iter().enumerate().map(resume)).await;
    let served = resumed.iter().flatten().count();
    assert!(served >= 14, "{served} of 16 went on");
}

/// Guards against a host that stood still while a newer build joined, and takes the build of its last view
/// for the only one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_was_out_of_step_goes_on_with_no_stream_of_a_newer_build() {
    let mut setup = Setup::start().await;
    for pause_ms in [300, 900, 2_500] {
        let second = setup.site.stores().len() + 1;
        setup.site.hosts[second].pause().unwrap();
        let number = setup.engines.len() + 1;
        let controls: Vec<String> =
            setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect();
        let (id, build) = (format!("engine-{number}"), format!("v{number}"));
        let engine = Engine::start_build("zone-0", &id, "drafts", controls, &build).await.unwrap();
        engine.state().event_time = Duration::from_millis(100);
        setup.engines.push(engine);
        let mut streams = Vec::new();
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(pause_ms) {
            let id = format!("begun-{pause_ms}-{}", streams.len());
            let mut stream = Stream::open(&setup, "/chat/1", &id).await;
            stream.read_events(1).await;
            streams.push((id, stream));
        }
        // The host reads what callers send now together with what it missed.
        let setup = &setup;
        let resumed = join_all(streams.iter().map(|(id, begun)| async move {
            let next = format!("{id}-again");
            let Ok(mut stream) = Stream::resume(setup, 1, (&next, id), 1).await else { return };
            stream.read_events(1).await;
            assert_eq!(stream.build(), begun.build(), "{id}");
        }));
        let wake = async {
            time::sleep(Duration::from_millis(50)).await;
            setup.site.hosts[second].resume().unwrap();
        };
        tokio::join!(resumed, wake);
    }
}

/// Guards against refusals where only one build serves, so that any target may go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_of_an_unknown_build_goes_on_while_one_build_serves() {
    let setup = Setup::start().await;
    let mut stream = Stream::resume(&setup, 0, ("unknown", "nobody"), 2).await.unwrap();
    assert!(stream.read_to_end().await);
    assert_eq!(stream.events(), [3, 4, 5]);
}

/// Guards against an item whose runs break and go on at any engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_text_of_an_item_is_of_one_build() {
    let setup = start().await;
    setup.engines.iter().for_each(|engine| engine.state().runs_to_break = 24);
    setup.submit("job-1", 1, 24).await;
    for result in setup.results(0, "job-1", 24).await {
        assert_eq!(result["state"], "completed", "{result}");
        let lines: Vec<&str> = result["text"].as_str().unwrap().lines().collect();
        let newer = lines.iter().filter(|line| line.contains(" by ")).count();
        assert_eq!(lines.len(), 10, "{result}");
        assert!(newer == 0 || newer == lines.len(), "{result}");
    }
}

/// Guards against a leader that has just started, sees one build, and takes it for the one that generated
/// what its predecessor recorded of an item.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_text_of_an_item_is_of_one_build_after_all_stores_were_killed() {
    let mut setup = Setup::start().await;
    for engine in &setup.engines {
        (engine.state().events, engine.state().event_time) = (100, Duration::from_millis(50));
    }
    setup.submit("job-1", 1, 4).await;
    time::sleep(Duration::from_secs(3)).await;
    let stores = setup.site.stores().len();
    setup.site.hosts[..stores].iter_mut().for_each(|host| host.kill_started().unwrap());
    setup.engines.iter().for_each(Engine::end);
    let controls: Vec<String> =
        setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect();
    let newer = Engine::start_build("zone-0", "engine-3", "drafts", controls, NEWER).await.unwrap();
    newer.state().events = 100;
    setup.engines.push(newer);
    setup.site.hosts[..stores].iter_mut().for_each(|host| host.start().unwrap());
    for result in setup.results(0, "job-1", 4).await {
        let lines: Vec<&str> = result["text"].as_str().unwrap().lines().collect();
        assert_eq!(lines.len(), 100, "{result}");
        assert!(lines.iter().all(|line| line.contains(" by ")), "{result}");
    }
}
