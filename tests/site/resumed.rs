//! Streams and items that break off, and whose next target answers with an error.

use super::{Setup, check, ok, status, stream::Stream, wait_until};
use catkinlatch_standin::site::{Reply, Rest, Script, event_text};
use http::StatusCode;
use serde_json::json;
use std::{sync::atomic::Ordering, time::Duration};
use test_case::test_case;
use tokio::time;

/// A word in the text of each error, which no event holds.
const WORD: &str = "trouble";

const PLAIN: &str = "text/plain";
const EVENTS: &str = "text/event-stream; charset=utf-8";

/// Types and bodies of successes that are no streams of events.
const NO_STREAMS: [(&str, &str); 4] = [
    ("text/html", ""),
    (PLAIN, "in trouble\n\n"),
    ("application/json", "{\"error\":\"trouble\"}\n\n"),
    (EVENTS, "in trouble\n\n"),
];

/// How the body of an error is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
    CutShort,
}

const FRAMINGS: [Framing; 4] =
    [Framing::Length, Framing::Chunked, Framing::UntilClose, Framing::CutShort];

/// Returns a response that belongs to the request and is signed, with this status, type and body.
fn reply(status: &str, content_type: &str, body: &str, framing: Framing) -> Reply {
    let head = format!(
        "HTTP/1.1 {status}\r\nattempt-id: {{id}}\r\nserver-seal: seal-of-{{id}}\r\n\
         weight-versions: 1\r\ncontent-type: {content_type}\r\n"
    );
    let length = body.len();
    let framed = match framing {
        Framing::Length => format!("content-length: {length}\r\n\r\n{body}"),
        Framing::Chunked => {
            format!("transfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
        }
        Framing::UntilClose => format!("\r\n{body}"),
        Framing::CutShort => format!("content-length: {}\r\n\r\n{body}", 2 * length + 1),
    };
    let rest = match framing {
        Framing::Length | Framing::Chunked => Rest::Keep,
        Framing::UntilClose | Framing::CutShort => Rest::Close,
    };
    Reply::new(head + &framed).with_rest(rest)
}

/// Returns responses with the status of an error.
fn errors() -> Vec<Reply> {
    let statuses =
        ["500 Internal Server Error", "503 Busy", "404 None", "421 Other", "429 Many", "204 None"];
    let mut replies = Vec::new();
    for (number, status) in statuses.iter().enumerate() {
        let framing = FRAMINGS[number % FRAMINGS.len()];
        replies.push(match number % 2 {
            0 => reply(status, PLAIN, "in trouble\n\n", framing),
            _ => reply(status, EVENTS, "id: 3\ndata: trouble\n\n", framing),
        });
    }
    replies
}

/// Returns successes that are no streams of events, and responses that are none.
fn others() -> Vec<Reply> {
    let mut replies = Vec::new();
    replies.push(reply("200 OK", PLAIN, "in trouble\n\n", Framing::CutShort));
    replies.push(reply("200 OK", EVENTS, "in trouble\n\n", Framing::Chunked));
    let json = "application/json";
    replies.push(reply("200 OK", json, "{\"error\":\"trouble\"}", Framing::Length));
    let no_streams = NO_STREAMS.into_iter();
    replies.extend(no_streams.map(|(kind, body)| reply("200 OK", kind, body, Framing::Length)));
    let head = "HTTP/1.1 500 Trouble\r\ncontent-type: text/plain\r\n\r\ntrouble\n\n";
    replies.push(reply("200 OK", EVENTS, head, Framing::Length));
    let head = "HTTP/1.1 500 Trouble\r\nid: 3\r\ndata: trouble\r\n\r\ntrouble\n\n";
    replies.push(reply("200 OK", EVENTS, head, Framing::UntilClose));
    replies.push(reply("000 Trouble", EVENTS, "id: 3\ndata: trouble\n\n", Framing::Length));
    let begun = "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-se";
    replies.push(Reply::new(begun).with_rest(Rest::Close));
    replies.push(Reply::new(begun).with_rest(Rest::Reset));
    replies
}

/// Opens streams until one has begun, broken off and had the reply; returns it, read to its end, and
/// whether it is complete.
async fn resumed(setup: &Setup, scripts: &[Script], case: usize, reply: &Reply) -> (Stream, bool) {
    for number in 0..100 {
        // Streams that end well earn the retry of the one that breaks off.
        status::set_reply(scripts, None);
        for warm_up in 0..8 {
            let id = format!("warm-{case}-{number}-{warm_up}");
            if let Ok(mut stream) = Stream::try_open(setup, "/chat/warm", &id).await {
                assert!(stream.read_to_end().await);
            }
        }
        status::set_reply(scripts, Some(reply.clone()));
        let (path, id) = (format!("/chat/{case}-{number}"), format!("broken-{case}-{number}"));
        if let Ok(mut stream) = Stream::try_open(setup, &path, &id).await {
            let is_complete = stream.read_to_end().await;
            if status::replies(scripts, &id) > 0 {
                return (stream, is_complete);
            }
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no stream had {reply:?}: {}", setup.site.entries()[0].log());
}

/// Starts two targets that follow a script in place of the engines.
async fn start(setup: &Setup) -> Vec<Script> {
    start_many(setup, 2).await
}

async fn start_many(setup: &Setup, count: usize) -> Vec<Script> {
    let models = json!([{"name": "model", "version": 1, "adapters": []}]);
    let scripts = status::start(setup, "drafts", count, models).await;
    setup.engines.iter().for_each(|it| it.target.is_draining.store(true, Ordering::Relaxed));
    wait_until("the engines have left", || async {
        setup.engines.iter().all(|it| it.target.acknowledged.load(Ordering::Relaxed) > 0)
    })
    .await;
    scripts
}

/// Guards against an error's text or head in the middle of a stream, and against a stream that ends
/// as if it were complete.
async fn expect_truncated(replies: Vec<Reply>) {
    let setup = Setup::start().await;
    let scripts = start(&setup).await;
    let mut faults = Vec::new();
    for (case, reply) in replies.iter().enumerate() {
        let (stream, is_complete) = resumed(&setup, &scripts, case, reply).await;
        let has_error = stream.text().to_lowercase().contains(WORD);
        if is_complete || has_error || stream.events() != [1, 2] {
            faults.push(format!("{reply:?}: complete {is_complete}, {:?}", stream.text()));
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_stream_holds_nothing_of_the_next_targets_error() {
    expect_truncated(errors()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_stream_holds_nothing_of_a_response_that_is_no_stream() {
    expect_truncated(others()).await;
}

/// Guards against a text that holds an error, or is taken for complete after its run broke off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_text_of_a_broken_item_holds_nothing_of_a_response_that_is_no_stream() {
    let setup = Setup::start().await;
    let scripts = start(&setup).await;
    scripts.iter().for_each(|script| script.set_break_items(true));
    let resumed = || scripts.iter().map(Script::resumed).sum::<u32>();
    for (case, (content_type, body)) in NO_STREAMS.into_iter().enumerate() {
        let before = resumed();
        let reply = reply("200 OK", content_type, body, Framing::Length);
        status::set_reply(&scripts, Some(reply));
        // An item whose run breaks often is a suspect, which is recognized by its path.
        let id = format!("job-{case}");
        let job = super::job(&id, 1, 4).replace("/drafts/", &format!("/drafts/{id}-"));
        wait_until("the job is accepted", || async {
            let answer = setup.request(0, "POST", "/drafts/x", &id, &job).await;
            answer.is_some_and(|answer| answer.status() == StatusCode::ACCEPTED)
        })
        .await;
        wait_until("an item is resumed", || async { resumed() > before }).await;
        status::set_reply(&scripts, None);
        check(&setup.results(0, &id, 4).await, &[1]);
    }
}

/// Returns a stream of events that ends with its connection, as its head says.
fn unframed(events: impl Iterator<Item = u64>) -> Reply {
    let events: String = events.map(|event| event_text("{id}", event)).collect();
    let head = reply("200 OK", EVENTS, "", Framing::UntilClose);
    let text = head.text.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n") + &events;
    Reply::new(text).with_rest(Rest::Close)
}

/// Guards against a stream without its end that looks complete, since its connection was closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_stream_that_ends_with_its_connection_is_complete_only_if_it_is_whole() {
    let setup = Setup::start().await;
    let scripts = start(&setup).await;
    let (stream, is_complete) = resumed(&setup, &scripts, 0, &unframed(3..=3)).await;
    assert!(!is_complete, "{}", stream.text());
    assert_eq!(stream.events(), [1, 2, 3]);
}

/// Guards against a stream that may not be resumed and looks complete, since its target's connection was
/// closed by a crash or reset.
#[test_case(Rest::Close => true; "closed by a target that runs on")]
#[test_case(Rest::Reset => false; "reset")]
#[test_case(Rest::Crash => false; "closed by a crash")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_ends_with_its_connection_is_complete_if_its_target_ended_it(
    rest: Rest,
) -> bool {
    let setup = Setup::start().await;
    let scripts = start(&setup).await;
    status::set_reply(&scripts, Some(unframed(1..=3).with_rest(rest).with_uses(1)));
    let mut stream = Stream::open(&setup, "/once/1", "unframed").await;
    assert!(stream.is_framed());
    let is_complete = stream.read_to_end().await;
    assert_eq!(stream.events(), [1, 2, 3]);
    is_complete
}

/// Guards against a stream that looks complete since the entry host that passes it on was killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_whose_entry_host_is_killed_is_not_complete() {
    let mut setup = Setup::start().await;
    let scripts = start(&setup).await;
    status::set_reply(&scripts, Some(unframed(1..=3).with_rest(Rest::Keep)));
    let mut stream = Stream::open(&setup, "/once/1", "killed").await;
    stream.read_events(3).await;
    let entry = setup.site.stores().len();
    setup.site.hosts[entry].kill().unwrap();
    assert!(!stream.read_to_end().await);
}

/// Guards against an answer that looks whole, since its target's connection was closed by a crash.
#[test_case(Rest::Close => StatusCode::OK; "closed by a target that runs on")]
#[test_case(Rest::Reset => StatusCode::BAD_GATEWAY; "reset")]
#[test_case(Rest::Crash => StatusCode::BAD_GATEWAY; "closed by a crash")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_ends_with_its_connection_is_whole_if_its_target_ended_it(
    rest: Rest,
) -> StatusCode {
    let setup = Setup::start().await;
    setup.service.target.is_draining.store(true, Ordering::Relaxed);
    let scripts = status::start(&setup, "survey", 1, json!([])).await;
    wait_until("the other target has left", || async {
        setup.request(0, "POST", "/survey/1", "warm-up", "").await.is_some_and(ok)
            && setup.service.target.acknowledged.load(Ordering::Relaxed) > 0
    })
    .await;
    let text = reply("200 OK", PLAIN, "part", Framing::UntilClose).text;
    let text = text.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    status::set_reply(&scripts, Some(Reply::new(text).with_rest(rest).with_uses(1)));
    let answer = setup.request(0, "POST", "/file/1", "unframed", "").await.unwrap();
    assert_eq!(answer.body() == "part", answer.status() == StatusCode::OK, "{:?}", answer.body());
    answer.status()
}

/// Guards against an item that is completed with a part of its text.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_item_whose_stream_ends_with_its_connection_is_completed_whole() {
    let setup = Setup::start().await;
    let scripts = start(&setup).await;
    status::set_reply(&scripts, Some(unframed(1..=2)));
    setup.submit("cut", 1, 4).await;
    wait_until("the items ran", || async {
        scripts.iter().map(Script::total_replies).sum::<u32>() >= 4
    })
    .await;
    status::set_reply(&scripts, None);
    check(&setup.results(0, "cut", 4).await, &[1]);
    // Streams that are whole and end so are complete as well.
    status::set_reply(&scripts, Some(unframed(1..=5)));
    setup.submit("whole", 1, 4).await;
    wait_until("the items ran", || async {
        scripts.iter().map(Script::total_replies).sum::<u32>() >= 8
    })
    .await;
    status::set_reply(&scripts, None);
    check(&setup.results(0, "whole", 4).await, &[1]);
}

/// A stream without events that ends with its connection, since its target crashes.
fn crash() -> Reply {
    unframed(std::iter::empty()).with_rest(Rest::Crash).with_uses(1)
}

/// Guards against a stream that looks complete since the target that resumed it crashed before its
/// first event.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_whose_second_target_crashes_is_not_complete_without_the_rest() {
    let setup = Setup::start().await;
    let scripts = start_many(&setup, 3).await;
    let (stream, is_complete) = resumed(&setup, &scripts, 0, &crash()).await;
    assert!(!is_complete || stream.events() == [1, 2, 3, 4, 5], "{}", stream.text());
}

/// Guards against an item that is completed with a part of its text since the engine that resumed it
/// crashed before its first event.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_item_whose_second_engine_crashes_is_completed_whole() {
    let setup = Setup::start().await;
    let scripts = start_many(&setup, 3).await;
    scripts.iter().for_each(|script| script.set_break_items(true));
    status::set_reply(&scripts, Some(crash()));
    setup.submit("crash", 1, 1).await;
    check(&setup.results(0, "crash", 1).await, &[1]);
    assert_eq!(scripts.iter().map(Script::resumed).sum::<u32>(), 1);
}
