//! A TCP proxy between two processes that simulates a network partition.

use std::{io, net::SocketAddr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

/// Size of the forwarding buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// A proxy that forwards the connections of one process to another.
///
/// A cut link closes no connection and discards no data: it only stops forwarding, like a network
/// that drops packets, and forwards the held data once it is restored.
#[derive(Debug)]
pub struct Link {
    is_open: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts to forward connections from `listener` to `target`.
    pub fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let (is_open, state) = watch::channel(true);
        let task = tokio::spawn(accept(listener, target, state));
        Self { is_open, task }
    }

    /// Stops forwarding in both directions; connections stay open.
    pub fn cut(&self) {
        self.is_open.send_replace(false);
    }

    /// Resumes forwarding.
    pub fn restore(&self) {
        self.is_open.send_replace(true);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        connections.spawn(forward(client, target, state.clone()));
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<bool>,
) -> io::Result<()> {
    let _ = state.wait_for(|is_open| *is_open).await;
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        ended = copy(client_read, server_write, state.clone()) => ended,
        ended = copy(server_read, client_write, state) => ended,
    }
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut state: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        let _ = state.wait_for(|is_open| *is_open).await;
        to.write_all(&buffer[..read]).await?;
    }
}
