//! The side of a session that opens it.

use crate::{
    Error, Frame, Hello, Lane, Secret, codec,
    hello::PROTOCOL,
    secret::NONCE_BYTES,
    stream::{self, Reader},
};
use bytes::Bytes;
use catkinlatch_base::derive_value;
use h2::{
    Ping, PingPong,
    client::{self, Connection, SendRequest},
};
use http::{Request, StatusCode};
use std::{future::Future, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How often a session is probed.
const PING_INTERVAL: Duration = Duration::from_millis(700);

/// How long a probe may stay unanswered before the session counts as broken.
const PING_TIMEOUT: Duration = Duration::from_millis(1500);

/// How many bytes of one stream may be under way unread.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 4 << 20;

/// How many bytes of one session may be under way unread.
pub(crate) const SESSION_WINDOW_BYTES: u32 = 16 << 20;

/// Paths of the streams within a session.
pub(crate) mod path {
    /// Asks for a challenge.
    pub const CHALLENGE: &str = "/challenge";
    /// Presents the process that opens the session.
    pub const HELLO: &str = "/hello";
    /// Carries one frame each way.
    pub const CALL: &str = "/call";
    /// Carries frames one way.
    pub const LANE: &str = "/lane";
}

/// Who answers a challenge.
pub(crate) mod role {
    /// The process that opened the session.
    pub const OPENER: &[u8] = b"opener";
    /// The process that accepted it.
    pub const ACCEPTOR: &[u8] = b"acceptor";
}

derive_value! {
    /// The accepting process's answer to a challenge, with a challenge of its own.
    pub(crate) struct Challenge {
        pub nonce: [u8; NONCE_BYTES],
        pub proof: [u8; 32],
        pub hello: Hello,
    }
}

derive_value! {
    /// The opening process's answer.
    pub(crate) struct Presentation {
        pub hello: Hello,
        pub proof: [u8; 32],
    }
}

/// An open session with another process.
#[derive(Clone)]
pub struct Session {
    sender: SendRequest<Bytes>,
    remote: Hello,
}

impl Session {
    /// Returns who the other process is.
    pub fn remote(&self) -> &Hello {
        &self.remote
    }

    /// Sends a frame and returns the answer.
    pub async fn call(&self, frame: &Frame) -> Result<Frame, Error> {
        exchange(&self.sender, path::CALL, frame).await
    }

    /// Opens a stream of frames one way.
    pub async fn open(&self) -> Result<Lane, Error> {
        let mut sender = self.sender.clone().ready().await?;
        let (_response, stream) = sender.send_request(request(path::LANE), false)?;
        Ok(Lane::new(stream))
    }
}

/// Opens a session and returns it with the future that drives it.
///
/// The future ends when the session is broken or the other process no longer answers probes.
pub async fn connect(
    address: SocketAddr,
    local: &Hello,
    secret: &Secret,
) -> Result<(Session, impl Future<Output = Error> + Send + use<>), Error> {
    let opening = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let socket = opening.await.map_err(|_| Error::Timeout)??;
    socket.set_nodelay(true)?;
    let (sender, connection) = client::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(SESSION_WINDOW_BYTES)
        .handshake(socket)
        .await?;
    let mut driver = Box::pin(drive(connection));
    let remote = tokio::select! {
        error = &mut driver => return Err(error),
        remote = time::timeout(CONNECT_TIMEOUT, introduce(&sender, local, secret)) => {
            remote.map_err(|_| Error::Timeout)??
        }
    };
    Ok((Session { sender, remote }, driver))
}

/// Runs the challenges of both sides and returns who the other process is.
async fn introduce(
    sender: &SendRequest<Bytes>,
    local: &Hello,
    secret: &Secret,
) -> Result<Hello, Error> {
    let nonce = Secret::nonce();
    let frame = Frame::new(Bytes::copy_from_slice(&nonce));
    let answer = exchange(sender, path::CHALLENGE, &frame).await?;
    let challenge: Challenge = decode(&answer)?;
    let claim = codec::encode(&challenge.hello);
    if !secret.verify(role::ACCEPTOR, &nonce, &claim, &challenge.proof) {
        return Err(Error::protocol("it does not know the cluster's secret"));
    }
    if let Some(reason) = local.disagreement(&challenge.hello) {
        return Err(Error::protocol(reason));
    }
    let claim = codec::encode(local);
    let proof = secret.prove(role::OPENER, &challenge.nonce, &claim);
    let presentation = Presentation { hello: local.clone(), proof };
    exchange(sender, path::HELLO, &Frame::new(codec::encode(&presentation))).await?;
    Ok(challenge.hello)
}

/// Decodes the payload of a frame.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(frame: &Frame) -> Result<T, Error> {
    codec::decode(&frame.payload)
        .map_err(|error| Error::protocol(format!("protocol {PROTOCOL}: {error}")))
}

/// Sends one frame and returns the one that answers it.
async fn exchange(sender: &SendRequest<Bytes>, path: &str, frame: &Frame) -> Result<Frame, Error> {
    let mut sender = sender.clone().ready().await?;
    let (response, mut stream) = sender.send_request(request(path), false)?;
    stream::write(&mut stream, frame.encode(), true).await?;
    let (head, body) = response.await?.into_parts();
    if head.status != StatusCode::OK {
        return Err(Error::protocol(format!("it answered {} to {path}", head.status)));
    }
    Reader::new(body).single().await
}

fn request(path: &str) -> Request<()> {
    let request = Request::post(format!("http://catkinlatch{path}")).body(());
    request.expect("the parts of the request are valid")
}

/// Drives a connection until it breaks or no longer answers probes.
async fn drive(mut connection: Connection<TcpStream, Bytes>) -> Error {
    let probe = connection.ping_pong().expect("nobody took the probe before");
    tokio::select! {
        ended = connection => match ended {
            Ok(()) => Error::protocol("it closed the session"),
            Err(error) => error.into(),
        },
        error = probe_regularly(probe) => error,
    }
}

async fn probe_regularly(mut probe: PingPong) -> Error {
    loop {
        time::sleep(PING_INTERVAL).await;
        match time::timeout(PING_TIMEOUT, probe.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return error.into(),
            Err(_) => return Error::Timeout,
        }
    }
}
