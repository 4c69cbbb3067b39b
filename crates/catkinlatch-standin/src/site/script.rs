//! A stand-in target that answers with given bytes.

use super::{
    Target,
    flood::{Request, event_text, read_request, whole},
};
use serde_json::Value;
use std::{
    collections::BTreeMap,
    io,
    net::Ipv4Addr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

/// Time in which a part is transmitted before the connection is reset.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// What happens to the connection after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    /// It stays open for further requests.
    Keep,
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// It is closed, as all others are, and the target accepts none any more.
    Crash,
}

/// The bytes that a request is answered with.
///
/// In the text, `{id}` stands for the id of the request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The bytes.
    pub text: String,
    /// What happens to the connection after them.
    pub rest: Rest,
    /// How many more requests get it; copies share the number.
    left: Arc<AtomicU64>,
}

impl Reply {
    /// Creates a reply after which the connection stays open.
    pub fn new(text: impl Into<String>) -> Self {
        Self { text: text.into(), rest: Rest::Keep, left: Arc::new(AtomicU64::new(u64::MAX)) }
    }

    /// Sets what happens to the connection.
    pub fn with_rest(self, rest: Rest) -> Self {
        Self { rest, ..self }
    }

    /// Answers only this many requests of all targets that have the reply; the others get valid ones.
    pub fn with_uses(self, uses: u64) -> Self {
        Self { left: Arc::new(AtomicU64::new(uses)), ..self }
    }

    /// Takes one use; returns whether there was one.
    fn take(&self) -> bool {
        let take = |left: u64| left.checked_sub(1);
        self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

/// A running target that answers with its reply, if one is set, and is valid otherwise.
///
/// With a reply, streams that begin break off after two events, and those that are resumed get it. So
/// do items, if set.
#[derive(Clone, Debug)]
pub struct Script {
    /// What the target announces about itself.
    pub target: Target,
    state: Arc<Mutex<State>>,
    /// Number of connections on which the client waits for nothing more, and that are open.
    kept: Arc<AtomicU64>,
    /// Set once the target has crashed.
    crashed: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct State {
    reply: Option<Reply>,
    replies: BTreeMap<String, u32>,
    reused: u32,
    resumed: u32,
    breaks_items: bool,
}

impl Script {
    /// Starts a target without a reply and announces it to `controls`, the addresses of the control
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
        let (state, kept) = Default::default();
        let script = Self { target, state, kept, crashed: watch::channel(false).0 };
        let served = script.clone();
        tokio::spawn(async move {
            let mut crashed = served.crashed.subscribe();
            loop {
                tokio::select! {
                    _ = crashed.wait_for(|crashed| *crashed) => return,
                    accepted = listener.accept() => {
                        let Ok((socket, _)) = accepted else { return };
                        tokio::spawn(served.clone().converse(socket));
                    }
                }
            }
        });
        tokio::spawn(script.target.clone().announce(controls, move || models.clone()));
        Ok(script)
    }

    /// Sets or removes the reply to coming requests.
    pub fn set_reply(&self, reply: Option<Reply>) {
        self.state().reply = reply;
    }

    /// Sets whether items that begin break off, if there is a reply.
    pub fn set_break_items(&self, breaks_items: bool) {
        self.state().breaks_items = breaks_items;
    }

    /// Returns how often a request was answered with the reply.
    pub fn replies(&self, id: &str) -> u32 {
        self.state().replies.get(id).copied().unwrap_or_default()
    }

    /// Returns how often any request was answered with a reply.
    pub fn total_replies(&self) -> u32 {
        self.state().replies.values().sum()
    }

    /// Returns the number of requests on a connection that a reply had come on before.
    pub fn reused(&self) -> u32 {
        self.state().reused
    }

    /// Returns how often a request that resumes a run was answered with a reply.
    pub fn resumed(&self) -> u32 {
        self.state().resumed
    }

    /// Returns the number of connections that are open after a reply.
    pub fn kept(&self) -> u64 {
        self.kept.load(Ordering::Relaxed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers the requests of a connection until it ends.
    async fn converse(self, mut socket: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            let request = read_request(&mut socket, &mut buffer).await?;
            let reply = self.state().reply.clone();
            let Some(reply) = reply else {
                socket.write_all(whole(&request).as_bytes()).await?;
                continue;
            };
            let is_item = request.path.starts_with("/drafts/");
            let breaks = request.path.starts_with("/chat/") || is_item && self.state().breaks_items;
            if breaks && request.last_event == 0 {
                return break_off(&mut socket, &request).await;
            }
            if !reply.take() {
                socket.write_all(whole(&request).as_bytes()).await?;
                continue;
            }
            *self.state().replies.entry(request.id.clone()).or_default() += 1;
            self.state().resumed += u32::from(request.last_event > 0);
            socket.write_all(reply.text.replace("{id}", &request.id).as_bytes()).await?;
            match reply.rest {
                Rest::Close => return socket.shutdown().await,
                Rest::Reset => {
                    time::sleep(FLUSH_TIME).await;
                    return socket.set_zero_linger();
                }
                Rest::Crash => {
                    self.crashed.send_replace(true);
                    time::sleep(FLUSH_TIME).await;
                    return socket.shutdown().await;
                }
                Rest::Keep => {}
            }
            self.kept.fetch_add(1, Ordering::Relaxed);
            let mut next = [0; 1];
            let read = socket.read(&mut next).await;
            self.kept.fetch_sub(1, Ordering::Relaxed);
            self.state().reused += u32::from(read? > 0);
            return Ok(());
        }
    }
}

/// Sends two events of a stream and resets the connection.
async fn break_off(socket: &mut TcpStream, request: &Request) -> io::Result<()> {
    let events: String = (1..=2).map(|event| event_text(&request.id, event)).collect();
    let whole = whole(request);
    let head = whole.split("content-length").next().unwrap_or_default();
    let head = format!("{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n");
    let part = format!("{head}\r\n{:x}\r\n{events}\r\n", events.len());
    socket.write_all(part.as_bytes()).await?;
    time::sleep(FLUSH_TIME).await;
    socket.set_zero_linger()
}
