//! Limits on what a server may send: none of its bytes may take memory or time without end.

use catkinlatch_runtime::http::{
    BodyError, Client, Failure, Limits, MAX_HEAD_BYTES, empty, memory::Table,
};
use http::Request;
use std::{
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    time,
};

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const CLOSING: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

/// Limits of a test: 1 MiB in flight, of which one response may take half.
const LIMITS: Limits =
    Limits { in_flight: 1 << 20, body: 512 << 10, event: 64 << 10, control_body: 1 << 20 };

/// Starts a server that answers each connection's first request with `start`, and then sends
/// `filler` `times` times; returns its address and the number of connections so far.
async fn start(start: String, filler: &str, times: usize) -> (String, Arc<AtomicU32>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("the port is bound").to_string();
    let (filler, connections) = (filler.to_owned(), Arc::new(AtomicU32::new(0)));
    let count = connections.clone();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            let (start, filler) = (start.clone(), filler.clone());
            tokio::spawn(async move {
                let mut request = [0; 1024];
                let _ = socket.read(&mut request).await;
                let _ = socket.write_all(start.as_bytes()).await;
                for _ in 0..times {
                    if socket.write_all(filler.as_bytes()).await.is_err() {
                        return;
                    }
                }
                let _ = socket.read(&mut request).await;
            });
        }
    });
    (address, connections)
}

fn request() -> Request<catkinlatch_runtime::http::Body> {
    Request::get("/").header("host", "target").body(empty()).expect("the request is valid")
}

/// Fetches a response whole, within 5 s.
async fn fetch(client: &Client, address: &str) -> Result<usize, String> {
    let fetched = async {
        let exchange = client.send(address, request()).await.map_err(|error| match error {
            Failure::Malformed(_) => "malformed head".to_owned(),
            other => other.to_string(),
        })?;
        exchange.read_body(LIMITS.body).await.map(|answer| answer.body().len()).map_err(|error| {
            match error {
                BodyError::Malformed(_) => "malformed body".to_owned(),
                other => other.to_string(),
            }
        })
    };
    time::timeout(Duration::from_secs(5), fetched).await.expect("the exchange ends by itself")
}

#[test_case("HTTP/1.1 200 OK\r\nx: ", "x", "malformed head"; "head")]
#[test_case("", "x", "malformed head"; "no response")]
#[test_case("", "HTTP/1.1 103 Hints\r\n\r\n", "malformed head"; "informational responses")]
#[test_case(CHUNKED, "0", "malformed body"; "digits of a chunk size")]
#[test_case(&format!("{CHUNKED}5 "), " ", "malformed body"; "spaces after a chunk size")]
#[test_case(&format!("{CHUNKED}5;"), "x", "malformed body"; "chunk extension")]
#[test_case(&format!("{CHUNKED}0\r\n"), "t: v\r\n", "malformed body"; "trailers")]
#[test_case(CHUNKED, "20\r\na chunk of the body of 32 bytes.\r\n", "the body is longer than allowed"; "body")]
#[test_case(CLOSING, "x", "the body is longer than allowed"; "body that ends with the connection")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "x", "malformed head"; "body without length")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n", "", "the body is longer than allowed"; "announced body")]
#[tokio::test]
async fn a_part_without_end_ends_the_exchange(start_of: &str, filler: &str, expected: &str) {
    let filler = filler.repeat(4_096);
    let (address, connections) = start(start_of.to_owned(), &filler, 1_000_000).await;
    let client = Client::new().with_limits(LIMITS);
    for number in 1..=2 {
        assert_eq!(fetch(&client, &address).await, Err(expected.to_owned()));
        assert_eq!(connections.load(Ordering::Relaxed), number, "the connection is not reused");
    }
}

#[test_case(1, 64 << 10; "single bytes")]
#[test_case(10, LIMITS.body; "tens of bytes")]
#[test_case(65_536, LIMITS.body; "large chunks")]
#[tokio::test]
async fn a_valid_body_passes_in_chunks_of(size: usize, length: usize) {
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    let head = format!("HTTP/1.1 200 OK\r\nx: {}\r\n", "x".repeat(MAX_HEAD_BYTES / 2));
    let chunks = chunk.repeat(length / size);
    let rest = format!("transfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n");
    let (address, _) = start(head + &rest, "", 0).await;
    let client = Client::new().with_limits(LIMITS);
    assert_eq!(fetch(&client, &address).await, Ok(length / size * size));
}

#[tokio::test]
async fn bytes_after_a_response_make_its_connection_unusable() {
    let valid = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let (address, connections) = start(valid.to_owned(), "HTTP/1.1 200 OK\r\n", 1).await;
    let client = Client::new();
    for number in 1..=5 {
        assert_eq!(fetch(&client, &address).await, Ok(2));
        time::sleep(Duration::from_millis(20)).await;
        assert_eq!(connections.load(Ordering::Relaxed), number);
    }
}

#[tokio::test]
async fn the_newest_response_is_ended_if_all_take_too_much_and_the_older_one_continues() {
    let half = 500 << 10;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {half}\r\n\r\n");
    let (address, _) = start(head, &"x".repeat(half), 1).await;
    let client = Client::new().with_limits(Limits { in_flight: 900 << 10, ..LIMITS });
    let open = || async { client.send_new(&address, request()).await.expect("the head is valid") };
    let (older, newer) = (open().await, open().await);
    // The newer response is read up to its limit first, so that the older one needs its memory.
    newer.hold(half).expect("one response has room");
    let read = older.read_body(LIMITS.body).await.expect("the older response continues");
    assert_eq!(read.body().len(), half);
    let ended = newer.read_body(LIMITS.body).await;
    assert!(matches!(ended, Err(BodyError::NoMemory)), "{ended:?}");
    // A complete response holds its memory until it is dropped.
    let refused = open().await.read_body(LIMITS.body).await;
    assert!(matches!(refused, Err(BodyError::NoMemory)), "{refused:?}");
    drop(read);
    assert!(open().await.read_body(LIMITS.body).await.is_ok());
}

#[test]
fn responses_are_ended_newest_first_without_small_and_complete_ones() {
    let mut table = Table::new(1_000_000);
    let numbers: Vec<_> = (0..5).map(|_| table.begin()).collect();
    for (number, bytes) in numbers.iter().zip([300_000, 300_000, 300_000, 10_000, 0]) {
        assert!(table.hold(*number, bytes).is_empty());
    }
    table.complete(numbers[2]);
    assert_eq!(table.hold(numbers[0], 500_000), [numbers[1]]);
    assert_eq!(table.hold(numbers[1], 1), [numbers[1]], "it was ended");
    assert_eq!(table.hold(numbers[4], 600_000), [numbers[4]]);
    assert_eq!(table.total(), 810_000);
    for number in numbers {
        table.end(number);
    }
    assert_eq!(table.total(), 0);
}

#[test_case(Some(120), 15_000_000, 3_750_000; "smallest entry host")]
#[test_case(Some(280), 35_000_000, 8_750_000; "store host")]
#[test_case(None, 64 << 20, 48 << 20; "not set, as before")]
fn two_of_the_largest_messages_fit_into_a_host(memory: Option<u64>, body: usize, control: usize) {
    let limits = Limits::new(memory);
    assert_eq!((limits.body, limits.control_body), (body, control));
    assert!(2 * limits.body <= limits.in_flight);
    assert!((512 << 10..=1 << 20).contains(&limits.event));
}
