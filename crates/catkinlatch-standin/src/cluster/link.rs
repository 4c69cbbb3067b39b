//! A forwarder between two processes that can be cut silently.

use std::{io, net::SocketAddr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

/// How many bytes are forwarded at a time.
const BUFFER_BYTES: usize = 16 << 10;

/// Forwards connections of one process to another until it is cut.
///
/// A cut link loses nothing and closes nothing: it delivers no more bytes, as a network that drops
/// packets does, and delivers what waits once it is mended.
#[derive(Debug)]
pub struct Link {
    is_open: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Link {
    /// Forwards connections that come to `listener` to `target`.
    pub fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let (is_open, state) = watch::channel(true);
        let task = tokio::spawn(accept(listener, target, state));
        Self { is_open, task }
    }

    /// Delivers no more bytes.
    pub fn cut(&self) {
        self.is_open.send_replace(false);
    }

    /// Delivers bytes again.
    pub fn mend(&self) {
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
    while let Ok((near, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        connections.spawn(forward(near, target, state.clone()));
    }
}

async fn forward(
    near: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<bool>,
) -> io::Result<()> {
    let _ = state.wait_for(|is_open| *is_open).await;
    let far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    tokio::select! {
        ended = copy(near_in, far_out, state.clone()) => ended,
        ended = copy(far_in, near_out, state) => ended,
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
