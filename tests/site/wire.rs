//! Targets whose connections behave in ways that an HTTP library would not show.

use super::{Setup, ok, wait_until};
use catkinlatch_standin::site::Target;
use http::StatusCode;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

/// How a target treats a connection.
#[derive(Clone, Copy, Debug)]
enum Manner {
    /// Sends another complete answer after each whole one.
    ExtraAnswer,
    /// Sends another complete answer a little after each whole one.
    LateExtraAnswer,
    /// Sends answers without a length, which end with the connection.
    NoLength,
    /// Resets the connection in the middle of an answer without a length.
    ResetWithoutLength,
    /// Closes the connection after each answer without having said so.
    DropsIdle,
    /// Refuses long bodies before it has read them, and reads on.
    EarlyRefusal,
}

/// What a target saw.
#[derive(Debug, Default)]
struct Seen {
    answers: AtomicU32,
    refusals: AtomicU32,
    /// Requests whose first line is none, because other bytes stood where a request was due.
    malformed: AtomicU32,
}

/// Starts a target with a manner and announces it.
async fn start(setup: &Setup, manner: Manner) -> Arc<Seen> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let seen = Arc::new(Seen::default());
    let shared = seen.clone();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(converse(socket, manner, shared.clone()));
        }
    });
    let controls: Vec<String> =
        setup.site.stores().iter().map(|host| host.address(setup.site.ports.control)).collect();
    let target = Target::new("survey-raw", "survey", address, 6);
    tokio::spawn(target.announce(controls, || serde_json::json!([])));
    seen
}

/// Answers the requests of a connection until it ends.
async fn converse(mut socket: TcpStream, manner: Manner, seen: Arc<Seen>) -> Option<()> {
    let mut buffer = Vec::new();
    loop {
        let head = loop {
            if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break String::from_utf8_lossy(&buffer.drain(..end + 4).collect::<Vec<u8>>())
                    .to_lowercase();
            }
            read_more(&mut socket, &mut buffer).await?;
        };
        if !head.starts_with("post /survey/") {
            seen.malformed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        let header = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(name))?;
            Some(line.trim_start_matches(':').trim().to_owned())
        };
        let id = header("attempt-id").unwrap_or_default();
        let length: usize = header("content-length").map_or(Some(0), |text| text.parse().ok())?;
        if matches!(manner, Manner::EarlyRefusal) && length > 10_000 {
            seen.refusals.fetch_add(1, Ordering::Relaxed);
            let refusal = format!(
                "HTTP/1.1 503 Busy\r\nattempt-id: {id}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            socket.write_all(refusal.as_bytes()).await.ok()?;
            time::sleep(Duration::from_millis(30)).await;
        }
        while buffer.len() < length {
            read_more(&mut socket, &mut buffer).await?;
        }
        buffer.drain(..length);
        if matches!(manner, Manner::EarlyRefusal) && length > 10_000 {
            continue;
        }
        seen.answers.fetch_add(1, Ordering::Relaxed);
        let text = format!("answer to {id}");
        let answer = |id: &str, text: &str| {
            let length = text.len();
            format!(
                "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-seal: seal-of-{id}\r\n\
                 content-length: {length}\r\n\r\n{text}"
            )
        };
        let unbounded = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-seal: seal-of-{id}\r\n\r\n{text}"
        );
        match manner {
            Manner::ExtraAnswer => {
                let both = answer(&id, &text) + &answer("stray", "answer to stray");
                socket.write_all(both.as_bytes()).await.ok()?;
            }
            Manner::LateExtraAnswer => {
                socket.write_all(answer(&id, &text).as_bytes()).await.ok()?;
                time::sleep(Duration::from_millis(5)).await;
                socket.write_all(answer("stray", "answer to stray").as_bytes()).await.ok()?;
            }
            Manner::NoLength => {
                socket.write_all(unbounded.as_bytes()).await.ok()?;
                return socket.shutdown().await.ok();
            }
            Manner::ResetWithoutLength => {
                let half = &unbounded[..unbounded.len() - 4];
                socket.write_all(half.as_bytes()).await.ok()?;
                time::sleep(Duration::from_millis(5)).await;
                return socket.set_zero_linger().ok();
            }
            Manner::DropsIdle => {
                socket.write_all(answer(&id, &text).as_bytes()).await.ok()?;
                return None;
            }
            Manner::EarlyRefusal => {
                socket.write_all(answer(&id, &text).as_bytes()).await.ok()?;
            }
        }
    }
}

async fn read_more(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 4096];
    let read = socket.read(&mut part).await.ok().filter(|read| *read > 0)?;
    buffer.extend_from_slice(&part[..read]);
    Some(())
}

#[test_case(Manner::ExtraAnswer)]
#[test_case(Manner::LateExtraAnswer)]
#[test_case(Manner::NoLength)]
#[test_case(Manner::ResetWithoutLength)]
#[test_case(Manner::DropsIdle)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_get_their_own_whole_answers_beside_a_target_that(manner: Manner) {
    let setup = Setup::start().await;
    let seen = start(&setup, manner).await;
    wait_until("the target is used", || async {
        setup.request(0, "POST", "/survey/1", "first", "").await;
        seen.answers.load(Ordering::Relaxed) > 0
    })
    .await;
    for number in 0..60 {
        let (id, body) = (format!("own-{number}"), format!("body {number}"));
        let answer = setup.request(number % 2, "POST", "/survey/1", &id, &body).await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK, "{id}");
        assert_eq!(answer.body(), &format!("answer to {id}"));
        assert_eq!(answer.headers()["server-seal"], format!("seal-of-{id}"));
    }
    assert_eq!(seen.malformed.load(Ordering::Relaxed), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_rest_of_a_body_that_was_refused_early_is_not_replaced_by_another_request() {
    let setup = Setup::start().await;
    let seen = start(&setup, Manner::EarlyRefusal).await;
    let long = "x".repeat(900_000);
    wait_until("the target refused a long body", || async {
        let answer = setup.request(0, "POST", "/survey/1", "long", &long).await;
        assert!(answer.is_some_and(ok), "the other target serves it");
        seen.refusals.load(Ordering::Relaxed) > 2
    })
    .await;
    for number in 0..40 {
        let (id, body) = (format!("short-{number}"), format!("body {number}"));
        assert!(setup.request(0, "POST", "/survey/1", &id, &body).await.is_some_and(ok));
    }
    assert!(seen.answers.load(Ordering::Relaxed) > 0);
    assert_eq!(seen.malformed.load(Ordering::Relaxed), 0);
}
