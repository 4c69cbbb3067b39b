//! Entry hosts that are stopped while callers still use their address.

use super::{Setup, ok, stream::Stream};
use catkinlatch_runtime::http::{Client, Failure, full};
use catkinlatch_standin::site;
use futures::future::join_all;
use http::{Request, StatusCode};
use std::time::Duration;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time,
};

/// The deadline of requests that can end before a stopping host does, which takes 2.85 s.
const SHORT: Duration = Duration::from_millis(400);

/// Requests a stream over a new connection with a deadline; returns its status and its events, or
/// nothing if it was cut.
async fn stream(
    setup: &Setup,
    path: &str,
    id: &str,
    deadline: Duration,
) -> Option<(StatusCode, Vec<u64>)> {
    let address = setup.site.entries()[0].address(setup.site.ports.callers);
    let request = site::request("POST", path, id, deadline);
    let answer = setup.site.call(&address, request.body(b"ask".to_vec()).unwrap()).await?;
    let text = String::from_utf8(answer.body().to_vec()).unwrap();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    Some((answer.status(), ids.map(|id| id.parse().unwrap()).collect()))
}

/// Runs enough short streams on a route that its duration is known.
async fn warm_up(setup: &Setup, path: &str) {
    for number in 0..20 {
        let mut stream = Stream::open(setup, path, &format!("warm-up-{number}")).await;
        assert!(stream.read_to_end().await);
    }
}

/// Guards against streams that a stopping host accepts and cuts when it ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_host_cuts_no_stream_that_it_accepted() {
    let setup = Setup::start().await;
    for engine in &setup.engines {
        (engine.state().events, engine.state().event_time) = (20, Duration::from_millis(100));
    }
    let first_entry = setup.site.stores().len();
    setup.site.hosts[first_entry].terminate().unwrap();
    let setup = &setup;
    let streams = (0..8_u64).map(|number| async move {
        time::sleep(Duration::from_millis(1_000 + 150 * number)).await;
        let (path, id) = (format!("/once/{number}"), format!("late-{number}"));
        (id.clone(), stream(setup, &path, &id, Duration::from_secs(12)).await)
    });
    for (id, answer) in join_all(streams).await {
        let has_run = setup.engines.iter().any(|engine| engine.state().runs.contains_key(&id));
        match answer {
            Some((StatusCode::OK, events)) => assert_eq!(events.len(), 20, "{id}"),
            other => assert!(!has_run, "{id} ran: {other:?}"),
        }
    }
}

/// Guards against a stopping host that refuses what ends in time, and what it would cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_host_serves_streams_that_end_by_their_deadline_before_it() {
    let setup = Setup::start().await;
    warm_up(&setup, "/once/1").await;
    let first_entry = setup.site.stores().len();
    setup.site.hosts[first_entry].terminate().unwrap();
    time::sleep(Duration::from_millis(1_200)).await;
    for number in 0..4 {
        let id = format!("late-{number}");
        let answer = stream(&setup, "/once/1", &id, Duration::from_secs(1)).await;
        assert_eq!(answer, Some((StatusCode::OK, vec![1, 2, 3, 4, 5])));
    }
    let answer = stream(&setup, "/once/1", "long", Duration::from_secs(12)).await;
    assert_eq!(answer.map(|(status, _)| status), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(setup.engines.iter().all(|engine| !engine.state().runs.contains_key("long")));
}

/// Guards against a stopping host that takes requests for short because those before them were.
#[test_case("/once/1"; "stream")]
#[test_case("/chat/1"; "resumable stream")]
#[test_case("/file/1"; "plain")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_host_refuses_what_may_outlast_it_after_short_requests(path: &str) {
    let setup = Setup::start().await;
    for number in 0..20 {
        let answer = setup.request(0, "POST", path, &format!("warm-up-{number}"), "ask").await;
        assert!(answer.is_some_and(ok));
    }
    for engine in &setup.engines {
        (engine.state().events, engine.state().event_time) = (25, Duration::from_millis(100));
    }
    *setup.service.run_time.lock().unwrap() = Duration::from_millis(1_700);
    setup.site.hosts[setup.site.stores().len()].terminate().unwrap();
    time::sleep(Duration::from_millis(1_200)).await;
    let sent_at = time::Instant::now();
    let refused = setup.request(0, "POST", path, "late", "ask").await.unwrap();
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(sent_at.elapsed() < Duration::from_millis(300), "{:?}", sent_at.elapsed());
    let has_run = setup.engines.iter().any(|engine| engine.state().runs.contains_key("late"));
    assert!(!has_run && !setup.service.arrivals.lock().unwrap().contains_key("late"));
    let served = setup.request(1, "POST", path, "late-again", "ask").await;
    assert!(served.is_some_and(ok));
}

/// Guards against a refusal for another reason than the end of the host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_host_serves_plain_requests_until_it_closes() {
    let setup = Setup::start().await;
    let first_entry = setup.site.stores().len();
    setup.site.hosts[first_entry].terminate().unwrap();
    for number in 0..8 {
        let request = site::request("POST", "/survey/1", &format!("late-{number}"), SHORT);
        let address = setup.site.entries()[0].address(setup.site.ports.callers);
        let answer = setup.site.call(&address, request.body(Vec::new()).unwrap()).await;
        assert!(answer.is_some_and(ok), "late-{number}");
        time::sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against a request under way, whose target has become slow, that is cut without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_outlasts_a_stopping_host_is_answered() {
    let setup = Setup::start().await;
    let patient = super::configuration(2).replace("\"timeout_ms\":2000", "\"timeout_ms\":20000");
    setup.site.control("PUT", "/config", &patient).await;
    *setup.service.run_time.lock().unwrap() = Duration::from_secs(10);
    let first_entry = setup.site.stores().len();
    let address = setup.site.entries()[0].address(setup.site.ports.callers);
    let request = site::request("POST", "/file/1", "slow", Duration::from_secs(12));
    let stopped = async {
        time::sleep(Duration::from_millis(300)).await;
        setup.site.hosts[first_entry].terminate().unwrap();
    };
    let request = request.body(Vec::new()).unwrap();
    let (answer, ()) = tokio::join!(setup.site.call(&address, request), stopped);
    assert_eq!(answer.map(|answer| answer.status()), Some(StatusCode::BAD_GATEWAY));
    assert!(setup.service.arrivals.lock().unwrap().contains_key("slow"));
}

/// Guards against calls about jobs that a stopping host takes and can't answer since no leader does.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_about_a_job_that_outlasts_a_stopping_host_is_answered() {
    let setup = Setup::start().await;
    setup.submit("job-1", 1, 2).await;
    setup.site.stores().iter().for_each(|store| store.pause().unwrap());
    let first_entry = setup.site.stores().len();
    setup.site.hosts[first_entry].terminate().unwrap();
    time::sleep(Duration::from_millis(1_900)).await;
    let job = super::job("job-2", 1, 2);
    let (read, submitted) = tokio::join!(
        setup.request(0, "GET", "/lots/job-1?after=2", "", ""),
        setup.request(0, "POST", "/drafts/job-2", "job-2", &job),
    );
    for answer in [read, submitted] {
        let status = answer.map(|answer| answer.status());
        assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    }
}

/// Guards against an upload that is cut without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_outlasts_a_stopping_host_is_refused() {
    let setup = Setup::start().await;
    let address = setup.site.entries()[0].address(setup.site.ports.callers);
    let mut caller = TcpStream::connect(address).await.unwrap();
    let first_entry = setup.site.stores().len();
    setup.site.hosts[first_entry].terminate().unwrap();
    let head = "POST /survey/1 HTTP/1.1\r\nhost: site.example\r\nx-api-key: key-of-the-team\r\n\
                attempt-id: upload\r\ncontent-length: 1000\r\n\r\npart of the body";
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let _ = time::timeout(Duration::from_secs(5), caller.read_to_end(&mut answer)).await.unwrap();
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert_eq!(setup.service.runs("upload"), 0);
}

/// A request that was sent to a stopping host, and what came of it.
struct Sent {
    id: String,
    after: Duration,
    status: Option<StatusCode>,
}

/// Sends requests one after the other over connections that are kept as long as the host keeps them,
/// until the host accepts no connection.
async fn send_kept(setup: &Setup, path: &str, name: &str) -> Vec<Sent> {
    let address = setup.site.entries()[0].address(setup.site.ports.callers);
    let (began, client) = (time::Instant::now(), Client::new());
    let mut list = Vec::new();
    for number in 0.. {
        let id = format!("{name}-{number}");
        let request = site::request("POST", path, &id, SHORT).body(full("ask")).unwrap();
        let after = began.elapsed();
        let answer = async {
            let exchange = client.send(&address, request).await?;
            let status = exchange.response.status();
            let read = exchange.read_body(1 << 20).await;
            read.map(|_| status).map_err(|error| Failure::Unknown(error.to_string()))
        };
        let status = match answer.await {
            Ok(status) => Some(status),
            Err(Failure::NotSent(_)) => return list,
            Err(_) => None,
        };
        list.push(Sent { id, after, status });
        time::sleep(Duration::from_millis(20)).await;
    }
    list
}

/// Guards against requests that are accepted late in the grace period and cut at its end, among them
/// those that may not be repeated and streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_host_cuts_nothing_that_it_passed_on_until_it_ends() {
    let setup = Setup::start().await;
    for engine in &setup.engines {
        (engine.state().events, engine.state().event_time) = (5, Duration::from_millis(40));
    }
    for path in ["/once/1", "/chat/1"] {
        warm_up(&setup, path).await;
    }
    for number in 0..20 {
        let answer = setup.request(0, "POST", "/file/1", &format!("warm-up-{number}"), "").await;
        assert!(answer.is_some_and(ok));
    }
    *setup.service.run_time.lock().unwrap() = Duration::from_millis(120);
    let first_entry = setup.site.stores().len();
    setup.site.hosts[first_entry].terminate().unwrap();
    let setup = &setup;
    let paths = ["/file/1", "/survey/1", "/once/1", "/chat/1"];
    let callers = (0..8).map(|caller| async move {
        let path = paths[caller % paths.len()];
        time::sleep(Duration::from_millis(7 * caller as u64)).await;
        send_kept(setup, path, &format!("kept-{caller}")).await
    });
    let sent: Vec<Sent> = join_all(callers).await.into_iter().flatten().collect();
    let has_run = |id: &str| {
        let ran = setup.engines.iter().any(|engine| engine.state().runs.contains_key(id));
        ran || setup.service.runs(id) > 0
    };
    let last = sent.iter().map(|sent| sent.after).max().unwrap();
    let served = sent.iter().filter(|sent| sent.status == Some(StatusCode::OK)).count();
    eprintln!("{} requests, {served} served, the last one after {last:?}", sent.len());
    for Sent { id, after, status } in sent {
        let is_refused = status == Some(StatusCode::SERVICE_UNAVAILABLE);
        assert!(status.is_some() || !has_run(&id), "{id}, sent after {after:?}, was cut");
        assert!(!is_refused || !has_run(&id), "{id}, sent after {after:?}, ran and was refused");
    }
    assert!(served > 40 && last > Duration::from_millis(2_000), "{served} served, {last:?}");
}

/// Guards against an operator's call that a stopping store cuts without an answer, since too few stores
/// confirm it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_outlasts_a_stopping_store_is_answered() {
    let setup = Setup::start().await;
    let leader = setup.site.stores().iter().position(|host| {
        let log = host.log();
        log.matches("took over the duties").count() > log.matches("gave up the duties").count()
    });
    let leader = leader.unwrap();
    for (number, store) in setup.site.stores().iter().enumerate() {
        if number != leader {
            store.pause().unwrap();
        }
    }
    let body = super::configuration(2).into_bytes();
    let request = Request::put("/config").header("host", "control").body(full(body)).unwrap();
    let address = setup.site.stores()[leader].address(setup.site.ports.control);
    let (client, stopped) = (Client::new(), async {
        time::sleep(Duration::from_millis(300)).await;
        setup.site.stores()[leader].terminate().unwrap();
    });
    let (sent, ()) = tokio::join!(client.send(&address, request), stopped);
    let status = sent.map(|exchange| exchange.response.status());
    assert!(status.as_ref().is_ok_and(StatusCode::is_server_error), "{status:?}");
}
