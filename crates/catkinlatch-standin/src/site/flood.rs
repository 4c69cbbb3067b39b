//! A stand-in target that answers with bytes without end.

use super::Target;
use serde_json::{Value, json};
use std::{
    io,
    net::Ipv4Addr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time,
};

/// Interval between the parts of a response that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(50);

/// Size of the parts of a response that floods, in bytes.
const PART_BYTES: usize = 64 << 10;

/// Number of complete events before the one without end.
const EVENTS: u64 = 2;

/// The part of a response that has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// The head.
    Head,
    /// Informational responses before the response.
    Interim,
    /// A body that is sent in chunks.
    Body,
    /// The digits of a chunk's size.
    ChunkSize,
    /// A chunk extension.
    Extension,
    /// The trailers.
    Trailers,
    /// The third event of a stream.
    Event,
    /// Bytes after a complete response.
    Rest,
}

/// How a response without end is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// As fast as the connection takes it.
    Fast,
    /// A few bytes at a time.
    Drip,
}

/// A running target whose responses have no end while it has a fault, and are valid otherwise.
#[derive(Clone, Debug)]
pub struct Flood {
    /// What the target announces about itself.
    pub target: Target,
    /// The fault of coming responses.
    fault: Arc<Mutex<Option<(Place, Pace)>>>,
    /// Number of requests received.
    requests: Arc<AtomicU64>,
    /// Number of requests for reports and of orders received.
    reports: Arc<AtomicU64>,
    /// Number of responses without end whose connection the client has not closed.
    open: Arc<AtomicU64>,
}

impl Flood {
    /// Starts a target without a fault and announces it to `controls`, the addresses of the control
    /// hosts, with the models that it holds.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub async fn start(
        id: &str,
        service: &'static str,
        controls: Vec<String>,
        models: Value,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let target = Target::new(id, service, listener.local_addr()?, 6);
        let (fault, requests, reports, open) = Default::default();
        let flood = Self { target, fault, requests, reports, open };
        let served = flood.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(served.clone().converse(socket));
            }
        });
        tokio::spawn(flood.target.clone().announce(controls, move || models.clone()));
        Ok(flood)
    }

    /// Sets or removes the fault of coming responses.
    pub fn set_fault(&self, fault: Option<(Place, Pace)>) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Returns the number of requests received.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of requests for reports and of orders received.
    pub fn reports(&self) -> u64 {
        self.reports.load(Ordering::Relaxed)
    }

    /// Returns the number of responses without end whose connection is still open.
    pub fn open(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// Answers the requests of a connection until it ends.
    async fn converse(self, mut socket: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            let request = read_request(&mut socket, &mut buffer).await?;
            let is_report = ["/report", "/order"].contains(&request.path.as_str());
            self.reports.fetch_add(u64::from(is_report), Ordering::Relaxed);
            self.requests.fetch_add(1, Ordering::Relaxed);
            let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
            let Some((place, pace)) = fault else {
                socket.write_all(whole(&request).as_bytes()).await?;
                continue;
            };
            self.open.fetch_add(1, Ordering::Relaxed);
            let ended = send_endless(&mut socket, &request, place, pace).await;
            self.open.fetch_sub(1, Ordering::Relaxed);
            return ended;
        }
    }
}

/// A request, as far as the response depends on it.
pub(super) struct Request {
    pub(super) path: String,
    pub(super) id: String,
    pub(super) last_event: u64,
}

/// Reads a request; `buffer` holds what has arrived after it.
pub(super) async fn read_request(
    socket: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Request> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            break end + 4;
        }
        if socket.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        let line = lines.find(|(field, _)| field.eq_ignore_ascii_case(name));
        line.map(|(_, value)| value.trim().to_owned()).unwrap_or_default()
    };
    let length: usize = header("content-length").parse().unwrap_or(0);
    while buffer.len() < end + length {
        if socket.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    buffer.drain(..end + length);
    Ok(Request {
        path: head.split(' ').nth(1).unwrap_or_default().to_owned(),
        id: header("attempt-id"),
        last_event: header("last-event-id").parse().unwrap_or(0),
    })
}

fn head(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-seal: seal-of-{id}\r\n")
}

/// Returns a valid response.
pub(super) fn whole(request: &Request) -> String {
    let Request { path, id, last_event } = request;
    let body = match path.as_str() {
        "/report" => json!({"models": [], "busy": false, "seq": 0}).to_string(),
        path if path.starts_with("/chat/") || path.starts_with("/drafts/") => {
            (last_event + 1..=5).map(|event| event_text(id, event)).collect()
        }
        _ => format!("answer to {id}"),
    };
    let versions = "weight-versions: 1\r\n";
    format!("{}{versions}content-length: {}\r\n\r\n{body}", head(id), body.len())
}

/// Returns an event of a stream.
pub fn event_text(id: &str, event: u64) -> String {
    format!("id: {event}\ndata: {id} event {event}\n\n")
}

/// Sends a response until the client closes the connection.
async fn send_endless(
    socket: &mut TcpStream,
    request: &Request,
    place: Place,
    pace: Pace,
) -> io::Result<()> {
    let chunked = format!("{}transfer-encoding: chunked\r\n\r\n", head(&request.id));
    let (start, filler) = match place {
        Place::Head => (format!("{}x: ", head(&request.id)), "x"),
        Place::Interim => (String::new(), "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"),
        Place::Body => (chunked, "8\r\nxxxxxxxx\r\n"),
        Place::ChunkSize => (chunked, "0"),
        Place::Extension => (format!("{chunked}5;"), "x"),
        Place::Trailers => (format!("{chunked}2\r\nok\r\n0\r\n"), "t: v\r\n"),
        Place::Event => {
            let next = request.last_event + 1;
            let events = (next..next + EVENTS).map(|event| event_text(&request.id, event));
            let events: String = events.collect();
            let start = format!("{chunked}{:x}\r\n{events}\r\nfffffff\r\ndata: ", events.len());
            (start.replace("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nweight-versions: 1\r\n"), "x")
        }
        Place::Rest => (whole(request), "x"),
    };
    socket.write_all(start.as_bytes()).await?;
    let part = match (place, pace) {
        (Place::Body, Pace::Fast) => format!("{PART_BYTES:x}\r\n{}\r\n", "x".repeat(PART_BYTES)),
        (_, Pace::Fast) => filler.repeat(PART_BYTES / filler.len()),
        (_, Pace::Drip) => filler.to_owned(),
    };
    loop {
        // A client that closes the connection without a reset is noticed by reading.
        let mut received = [0; 64];
        if let Ok(0) = socket.try_read(&mut received) {
            return Ok(());
        }
        socket.write_all(part.as_bytes()).await?;
        if pace == Pace::Drip {
            time::sleep(DRIP_INTERVAL).await;
        }
    }
}
