//! Items whose runs break off, or are slow.

use super::{Setup, check, check_events, configuration, evacuation::leader, ok, wait_until};
use catkinlatch_standin::site::{Engine, Target};
use http::StatusCode;
use serde_json::{Value, json};
use std::{ops::RangeInclusive, sync::atomic::Ordering, time::Duration};
use test_case::test_case;
use tokio::{io::AsyncWriteExt as _, net::TcpSocket, time};

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

/// Guards against samples that are never scored, since each call is given up as late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_are_completed_when_scoring_is_slow() {
    let setup = Setup::start().await;
    *setup.service.run_time.lock().unwrap() = Duration::from_millis(2_500);
    setup.submit("job-1", 1, 4).await;
    check(&setup.results(0, "job-1", 4).await, &[1]);
}

/// Guards against an item that is run again although it can never be done, and against others that
/// fail with it.
#[test_case(StatusCode::UNPROCESSABLE_ENTITY, 1..=1; "never possible")]
#[test_case(StatusCode::INTERNAL_SERVER_ERROR, 2..=5; "failed")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_item_that_fails_for_good_is_lost_and_the_others_complete(
    status: StatusCode,
    expected: RangeInclusive<usize>,
) {
    let setup = Setup::start().await;
    let failing = "job-1-1";
    for engine in &setup.engines {
        engine.state().statuses.insert(failing.to_owned(), status);
    }
    setup.submit("job-1", 1, 4).await;
    let results = setup.results(0, "job-1", 4).await;
    let (lost, completed): (Vec<Value>, Vec<Value>) =
        results.into_iter().partition(|result| result["id"] == failing);
    check(&completed, &[1]);
    assert_eq!((completed.len(), &lost[0]["state"]), (3, &json!("lost")));
    let runs = |engine: &Engine| engine.state().runs.get(failing).map_or(0, Vec::len);
    let runs: usize = setup.engines.iter().map(runs).sum();
    assert!(expected.contains(&runs), "{runs} runs");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_continues_after_all_processes_are_killed() {
    let mut setup = Setup::start().await;
    setup.submit("job-1", 1, 40).await;
    setup.site.hosts.iter_mut().for_each(|host| host.kill().unwrap());
    setup.site.hosts.iter_mut().for_each(|host| host.start().unwrap());
    check(&setup.results(0, "job-1", 40).await, &[1]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_item_resumes_from_its_recorded_progress() {
    let mut setup = Setup::start().await;
    for engine in &setup.engines {
        engine.state().events = 60;
        engine.state().event_time = Duration::from_millis(50);
    }
    setup.submit("job-1", 1, 2).await;
    wait_until("progress is recorded", || async {
        let is_recorded =
            |line: &str| line.contains("recorded progress") && line.contains("Ok(Done)");
        setup.site.hosts.iter().any(|host| host.log().lines().any(is_recorded))
    })
    .await;
    setup.site.hosts.iter_mut().for_each(|host| host.kill().unwrap());
    setup.site.hosts.iter_mut().for_each(|host| host.start().unwrap());
    check_events(&setup.results(0, "job-1", 2).await, &[1], 60);
    let runs = |id: &str| -> Vec<u64> {
        let of = |engine: &Engine| engine.state().runs.get(id).cloned().unwrap_or_default();
        setup.engines.iter().flat_map(of).collect()
    };
    for id in ["job-1-0", "job-1-1"] {
        let runs = runs(id);
        assert!(runs.len() > 1 && runs.iter().any(|last| *last >= 6), "{id}: {runs:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_run_interrupted_after_its_last_event_is_complete() {
    let setup = Setup::start().await;
    for engine in &setup.engines {
        engine.state().events = 2;
        engine.state().runs_to_break = 3;
    }
    setup.submit("job-1", 1, 4).await;
    check_events(&setup.results(0, "job-1", 4).await, &[1], 2);
    let runs =
        |engine: &Engine| -> Vec<u64> { engine.state().runs.values().flatten().copied().collect() };
    let runs: Vec<u64> = setup.engines.iter().flat_map(runs).collect();
    assert!(runs.contains(&2), "no run was resumed after its last event: {runs:?}");
    assert!(runs.len() <= 10, "six runs were interrupted, but {} were started", runs.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreachable_engine_is_retried_with_backoff() {
    let setup = Setup::start().await;
    // A target that registers an address on which no process listens.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let unreachable = Target::new("engine-gone", "drafts", closed, 4);
    let controls: Vec<String> =
        setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect();
    tokio::spawn(unreachable.announce(controls, || json!([{"name": "model", "version": 1}])));
    for engine in &setup.engines {
        engine.state().event_time = Duration::from_millis(60);
    }
    setup.submit("job-1", 1, 60).await;
    check(&setup.results(0, "job-1", 60).await, &[1]);
    let logs: String = setup.site.stores().iter().map(|host| host.log()).collect();
    let attempts = logs.lines().filter(|line| line.contains("Unreachable")).count();
    assert!((1..=24).contains(&attempts), "{attempts} attempts in about 3 s");
}

/// Guards against items of an ended job that a leader runs which was paused and has been replaced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_was_paused_runs_no_items_of_a_job_that_ended_meanwhile() {
    let setup = Setup::start().await;
    setup.submit("job-1", 1, 200).await;
    let runs = || setup.engines.iter().map(Engine::total_runs).sum::<usize>();
    wait_until("items run", || async { runs() > 10 }).await;
    let paused = leader(&setup);
    setup.site.hosts[paused].pause().unwrap();
    wait_until("the job is ended", || async {
        setup.request(0, "DELETE", "/lots/job-1", "", "").await.is_some_and(ok)
    })
    .await;
    time::sleep(Duration::from_millis(1_500)).await;
    let before = runs();
    setup.site.hosts[paused].resume().unwrap();
    time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(runs() - before, 0);
}

/// Guards against items that a leader which was paused starts by its old state, before it learns that
/// another one leads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_was_paused_starts_no_items_by_its_old_state() {
    let setup = Setup::start().await;
    let runs = || setup.engines.iter().map(Engine::total_runs).sum::<usize>();
    for engine in &setup.engines {
        (engine.state().events, engine.state().event_time) = (1, Duration::from_millis(2));
    }
    // Whether tasks of the old leader are ready to run at its pause is a matter of its moment.
    let mut late = Vec::new();
    for round in 0..8 {
        let job = format!("job-{round}");
        let begun = runs();
        setup.submit(&job, 1, 2_000).await;
        wait_until("items run", || async { runs() > begun + 10 }).await;
        let paused = leader(&setup);
        setup.site.hosts[paused].pause().unwrap();
        wait_until("the job is ended", || async {
            let path = format!("/lots/{job}");
            setup.request(0, "DELETE", &path, "", "").await.is_some_and(ok)
        })
        .await;
        time::sleep(Duration::from_millis(500)).await;
        let before = runs();
        setup.site.hosts[paused].resume().unwrap();
        time::sleep(Duration::from_millis(1_000)).await;
        late.push(runs() - before);
    }
    assert_eq!(late, [0; 8]);
}

/// Guards against a job that goes to all stores once more each time it is sent again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_is_sent_again_is_not_committed_again() {
    let setup = Setup::start().await;
    setup.submit("job-1", 1, 4).await;
    check(&setup.results(0, "job-1", 4).await, &[1]);
    for entry in [0, 1] {
        let body = super::job("job-1", 1, 4);
        let answer = setup.request(entry, "POST", "/drafts/job-1", "job-1", &body).await;
        assert_eq!(answer.map(|answer| answer.status()), Some(StatusCode::ACCEPTED));
    }
    let logs: String = setup.site.stores().iter().map(|store| store.log()).collect();
    assert_eq!(logs.matches("\"event\":\"handed in\"").count(), 1, "{logs}");
    assert_eq!(setup.results(1, "job-1", 4).await.len(), 4);
}

/// Guards against items that bring the client's key, another team's name or their own framing to an
/// engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_item_sets_no_header_that_its_caller_may_not_set() {
    let setup = Setup::start().await;
    let kept = json!({"Model": "model", "Token-Count": "10,50", "X-Own": "own"});
    let forged = [
        ("X-Api-Key", "key-of-the-team"),
        ("tenant", "other"),
        ("Content-Length", "2"),
        ("Transfer-Encoding", "chunked"),
        ("Connection", "x-own, close"),
        ("Expect-Instance", "nobody"),
        ("Last-Event-Id", "3"),
        ("Attempt-Id", "forged"),
    ];
    for (number, (name, value)) in forged.into_iter().enumerate() {
        let id = format!("job-{number}");
        let mut headers = kept.clone();
        headers[name] = json!(value);
        let own = json!({"Model": "model", "Token-Count": "10,50"}).to_string();
        let job = super::job(&id, 1, 4).replace(&own, &headers.to_string());
        assert!(job.contains(name), "{job}");
        let answer = setup.request(0, "POST", "/drafts/x", &id, &job).await;
        assert_eq!(answer.map(|answer| answer.status()), Some(StatusCode::ACCEPTED));
        check(&setup.results(0, &id, 4).await, &[1]);
        for item in 0..4 {
            let item = format!("{id}-{item}");
            let headers = setup
                .engines
                .iter()
                .find_map(|engine| engine.state().headers.get(&item).cloned())
                .unwrap();
            let text =
                |name: &str| headers.get(name).map(|value| value.to_str().unwrap().to_owned());
            assert_eq!(text("x-api-key"), None, "{headers:?}");
            assert_eq!(text("tenant").as_deref(), Some("team"), "{headers:?}");
            assert_eq!(text("model").as_deref(), Some("model"), "{headers:?}");
            assert_eq!(text("last-event-id"), None, "{headers:?}");
            assert_eq!(text("x-own").is_some(), name != "Connection", "{headers:?}");
        }
    }
}

/// Guards against an entry host that holds the bodies of all readers, however slowly they read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readers_that_do_not_read_the_body_of_an_item_take_a_bounded_memory() {
    const BODY_BYTES: usize = 6_000_000;
    const READERS: usize = 80;
    const MEMORY: u64 = 120_000_000;
    let setup = Setup::start().await;
    let limits = configuration(2).replace("1048576", "16777216");
    setup.site.control("PUT", "/config", &limits).await;
    setup.engines.iter().for_each(|it| it.target.is_draining.store(true, Ordering::Relaxed));
    wait_until("no engine takes the item", || async {
        setup.engines.iter().all(|it| it.target.acknowledged.load(Ordering::Relaxed) > 0)
    })
    .await;
    // Each four characters of base64 stand for three bytes.
    let body = "YWFh".repeat(BODY_BYTES / 3);
    let job = super::job("large", 1, 1).replace("Ym9keQ==", &body);
    wait_until("the job is accepted", || async {
        let answer = setup.request(0, "POST", "/drafts/large", "large", &job).await;
        answer.is_some_and(|answer| answer.status() == StatusCode::ACCEPTED)
    })
    .await;
    let address = setup.site.entries()[0].address(setup.site.ports.callers).parse().unwrap();
    let mut readers = Vec::new();
    for _ in 0..READERS {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4 << 10).unwrap();
        let mut reader = socket.connect(address).await.unwrap();
        let head = "GET /items/large?id=large-0 HTTP/1.1\r\nhost: site.example\r\n\
                    x-api-key: key-of-the-team\r\n\r\n";
        reader.write_all(head.as_bytes()).await.unwrap();
        reader.readable().await.unwrap();
        readers.push(reader);
    }
    let peak = setup.site.entries()[0].peak_memory();
    assert!(peak < MEMORY, "{peak} bytes");
    drop(readers);
    wait_until("the body is read again", || async {
        let answer = setup.request(0, "GET", "/items/large?id=large-0", "", "").await;
        answer.is_some_and(|answer| answer.body().len() == BODY_BYTES)
    })
    .await;
}
