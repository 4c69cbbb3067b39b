//! A target whose connections behave in ways that an HTTP library would not show.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    ops::ControlFlow,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time,
};

/// Bodies longer than this are refused early, in bytes.
const LONG_BYTES: usize = 10_000;

/// Pause before further bytes after an answer or a refusal.
const PAUSE: Duration = Duration::from_millis(5);

/// Time that a request takes while a copy of the previous answer is on its way.
const RUN_TIME: Duration = Duration::from_millis(30);

/// How a target treats a connection.
#[derive(Clone, Copy, Debug)]
pub enum Manner {
    /// Sends another complete answer after each whole one.
    ExtraAnswer,
    /// Sends another complete answer a little after each whole one.
    LateExtraAnswer,
    /// Sends a copy of the previous answer when the next request arrives.
    LateCopy,
    /// The same, and refuses each request when it arrives for the first time.
    LateCopyOfRefusal,
    /// Sends answers without a length, which end with the connection as their heads say.
    NoLength,
    /// Resets the connection in the middle of an answer without a length.
    ResetWithoutLength,
    /// Ends the head of answers early, with or without an empty line, and closes the connection.
    CutHead,
    /// Closes the connection after each answer without having said so.
    DropsIdle,
    /// Refuses long bodies before it has read them, and reads on.
    EarlyRefusal,
}

/// What a target saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Number of requests that ran.
    pub answers: AtomicU32,
    /// Number of requests that were refused.
    pub refusals: AtomicU32,
    /// Number of requests whose first line is none, because other bytes stood where one was due.
    pub malformed: AtomicU32,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl Seen {
    /// Returns how often a request ran; 0 also if it was only refused.
    pub fn runs(&self, id: &str) -> u32 {
        self.lock().get(id).copied().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, u32>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a target that repeats the id of a request in the header `id_header`, given in lower case,
/// and returns its address.
///
/// # Errors
///
/// Returns an error if no port is free.
pub async fn start(manner: Manner, id_header: &'static str) -> io::Result<(SocketAddr, Arc<Seen>)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let (address, seen) = (listener.local_addr()?, Arc::new(Seen::default()));
    let shared = seen.clone();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let buffer = Vec::new();
            let seen = shared.clone();
            tokio::spawn(Connection { socket, buffer, manner, id_header, seen }.serve());
        }
    });
    Ok((address, seen))
}

/// A request that has been read, or its head.
struct Request {
    id: String,
    length: usize,
    body: Vec<u8>,
}

struct Connection {
    socket: TcpStream,
    buffer: Vec<u8>,
    manner: Manner,
    id_header: &'static str,
    seen: Arc<Seen>,
}

impl Connection {
    /// Answers requests until the connection ends.
    async fn serve(mut self) -> io::Result<()> {
        let mut copy: Option<String> = None;
        while let Some(mut request) = self.read_head().await? {
            if matches!(self.manner, Manner::EarlyRefusal) && request.length > LONG_BYTES {
                let refusal = self.refuse(&request);
                self.send(&refusal).await?;
                time::sleep(RUN_TIME).await;
                self.read_body(&mut request).await?;
                continue;
            }
            self.read_body(&mut request).await?;
            if let Some(copy) = copy.take() {
                self.send(&copy).await?;
                time::sleep(RUN_TIME).await;
            }
            let is_new = !self.seen.lock().contains_key(&request.id);
            if matches!(self.manner, Manner::LateCopyOfRefusal) && is_new {
                let refusal = self.refuse(&request);
                self.seen.lock().insert(request.id, 0);
                self.send(&refusal).await?;
                copy = Some(refusal);
                continue;
            }
            *self.seen.lock().entry(request.id.clone()).or_default() += 1;
            self.seen.answers.fetch_add(1, Ordering::Relaxed);
            let text = format!("answer to {} {}", request.id, request.text());
            let answer = self.answer(&request.id, &text);
            if self.send_answer(&request.id, &text, &answer).await?.is_break() {
                return Ok(());
            }
            if matches!(self.manner, Manner::LateCopy | Manner::LateCopyOfRefusal) {
                copy = Some(answer);
            }
        }
        Ok(())
    }

    /// Sends an answer with this text, given whole as well; returns whether the connection goes on.
    async fn send_answer(
        &mut self,
        id: &str,
        text: &str,
        whole: &str,
    ) -> io::Result<ControlFlow<()>> {
        match self.manner {
            Manner::ExtraAnswer => {
                let extra = self.answer("stray", "answer to stray");
                self.send(&format!("{whole}{extra}")).await?;
            }
            Manner::LateExtraAnswer => {
                self.send(whole).await?;
                time::sleep(PAUSE).await;
                let extra = self.answer("stray", "answer to stray");
                self.send(&extra).await?;
            }
            Manner::NoLength => {
                let head = self.head(id);
                self.send(&format!("{head}connection: close\r\n\r\n{text}")).await?;
                self.socket.shutdown().await?;
                return Ok(ControlFlow::Break(()));
            }
            Manner::CutHead => {
                let end = if self.seen.answers.load(Ordering::Relaxed).is_multiple_of(2) {
                    "\r\n"
                } else {
                    ""
                };
                let head = self.head(id);
                self.send(&format!("{head}{end}")).await?;
                self.socket.shutdown().await?;
                return Ok(ControlFlow::Break(()));
            }
            Manner::ResetWithoutLength => {
                let (head, half) = (self.head(id), &text[..text.len() / 2]);
                self.send(&format!("{head}connection: close\r\n\r\n{half}")).await?;
                time::sleep(PAUSE).await;
                self.socket.set_zero_linger()?;
                return Ok(ControlFlow::Break(()));
            }
            Manner::DropsIdle => {
                self.send(whole).await?;
                return Ok(ControlFlow::Break(()));
            }
            Manner::LateCopy | Manner::LateCopyOfRefusal | Manner::EarlyRefusal => {
                self.send(whole).await?;
            }
        }
        Ok(ControlFlow::Continue(()))
    }

    fn head(&self, id: &str) -> String {
        format!("HTTP/1.1 200 OK\r\n{}: {id}\r\nserver-seal: seal-of-{id}\r\n", self.id_header)
    }

    fn answer(&self, id: &str, text: &str) -> String {
        format!("{}content-length: {}\r\n\r\n{text}", self.head(id), text.len())
    }

    fn refuse(&self, request: &Request) -> String {
        self.seen.refusals.fetch_add(1, Ordering::Relaxed);
        let (name, id) = (self.id_header, &request.id);
        format!("HTTP/1.1 503 Busy\r\n{name}: {id}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n")
    }

    /// Reads the head of the next request; returns `None` at the end of the connection, or if other
    /// bytes come.
    async fn read_head(&mut self) -> io::Result<Option<Request>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break end + 4;
            }
            if self.socket.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).to_lowercase();
        if !head.starts_with("post /") {
            self.seen.malformed.fetch_add(1, Ordering::Relaxed);
            return Ok(None);
        }
        let header = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
            line.map(|value| value.trim().to_owned()).unwrap_or_default()
        };
        let length = header("content-length").parse().unwrap_or_default();
        Ok(Some(Request { id: header(self.id_header), length, body: Vec::new() }))
    }

    async fn read_body(&mut self, request: &mut Request) -> io::Result<()> {
        while self.buffer.len() < request.length {
            if self.socket.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        request.body = self.buffer.drain(..request.length).collect();
        Ok(())
    }

    async fn send(&mut self, text: &str) -> io::Result<()> {
        self.socket.write_all(text.as_bytes()).await
    }
}

impl Request {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
