//! A TCP relay between a host and the store hosts, whose connections can fall silent.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Bytes that are forwarded at a time.
const BUFFER_BYTES: usize = 16 << 10;

/// How many ports are tried until one is free at all addresses.
const PORT_TRIES: usize = 50;

/// What the connections of a relay forward.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    /// Whether no connection forwards anything.
    is_stopped: bool,
    /// Number of the first connection that still forwards; those before it stay open and silent.
    first: u64,
}

/// Relays the sessions that one host opens to the store hosts, each at its own loopback address.
///
/// No connection is ever reset, so a host notices a silent one only by its own timeouts.
#[derive(Debug)]
pub struct Relay {
    port: u16,
    listeners: Vec<(Ipv4Addr, TcpListener)>,
    flow: watch::Sender<Flow>,
    opened: Arc<AtomicU64>,
}

impl Relay {
    /// Listens at the same free port of all addresses of store hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free at all addresses.
    pub async fn bind(stores: &[Ipv4Addr]) -> io::Result<Self> {
        for _ in 0..PORT_TRIES {
            let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let port = probe.local_addr()?.port();
            let mut listeners = Vec::new();
            for address in stores {
                if let Ok(listener) = TcpListener::bind((*address, port)).await {
                    listeners.push((*address, listener));
                }
            }
            if listeners.len() == stores.len() {
                let flow = watch::channel(Flow::default()).0;
                return Ok(Self { port, listeners, flow, opened: Arc::default() });
            }
        }
        Err(io::Error::other("no port is free at the addresses of all store hosts"))
    }

    /// Returns the port at which the host reaches the store hosts.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Forwards connections to the port `peers` of the store hosts from now on.
    pub fn run(&mut self, peers: u16) {
        for (address, listener) in self.listeners.drain(..) {
            let (flow, opened) = (self.flow.subscribe(), self.opened.clone());
            tokio::spawn(async move {
                while let Ok((socket, _)) = listener.accept().await {
                    let number = opened.fetch_add(1, Ordering::Relaxed);
                    let to = SocketAddr::from((address, peers));
                    tokio::spawn(forward(socket, to, number, flow.clone()));
                }
            });
        }
    }

    /// Lets all open connections fall silent for good; later ones are forwarded.
    pub fn silence_open_connections(&self) {
        let first = self.opened.load(Ordering::Relaxed);
        self.flow.send_modify(|flow| flow.first = first);
    }

    /// Sets whether nothing is forwarded, on connections of any age.
    pub fn set_stopped(&self, is_stopped: bool) {
        self.flow.send_modify(|flow| flow.is_stopped = is_stopped);
    }
}

/// Forwards a connection in both directions until one side closes it.
async fn forward(socket: TcpStream, to: SocketAddr, number: u64, mut flow: watch::Receiver<Flow>) {
    // A connection that is opened while the relay is stopped is not accepted by the other host.
    let may_open = flow.wait_for(|flow| !flow.is_stopped && number >= flow.first).await.is_ok();
    if !may_open {
        return;
    }
    let Ok(other) = TcpStream::connect(to).await else { return };
    let _ = (socket.set_nodelay(true), other.set_nodelay(true));
    let (from_host, to_host) = socket.into_split();
    let (from_store, to_store) = other.into_split();
    tokio::select! {
        () = pump(from_host, to_store, number, flow.clone()) => {}
        () = pump(from_store, to_host, number, flow) => {}
    }
}

async fn pump(
    mut from: impl tokio::io::AsyncRead + Unpin,
    mut to: impl tokio::io::AsyncWrite + Unpin,
    number: u64,
    mut flow: watch::Receiver<Flow>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let bytes = from.read(&mut buffer).await.unwrap_or_default();
        let permitted =
            flow.wait_for(|flow| !flow.is_stopped && number >= flow.first).await.is_ok();
        if bytes == 0 || !permitted || to.write_all(&buffer[..bytes]).await.is_err() {
            return;
        }
    }
}
