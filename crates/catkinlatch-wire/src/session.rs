//! The opening side of a session.

use crate::{
    Error, Frame, Hello, Lane, Secret, codec,
    hello::PROTOCOL,
    secret::NONCE_BYTES,
    stream::{self, Reader},
    tunnel::{Tunnel, WINDOW_BYTES},
};
use bytes::Bytes;
use catkinlatch_base::derive_value;
use h2::{
    Ping, PingPong, RecvStream,
    client::{self, Connection, SendRequest},
};
use http::{Request, Response, StatusCode};
use std::{future::Future, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time};

/// Timeout of connecting, and again of authenticating.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between pings of a session.
const PING_INTERVAL: Duration = Duration::from_millis(700);

/// Time without an answer to a ping after which a session is considered broken.
const PING_TIMEOUT: Duration = Duration::from_millis(1500);

/// HTTP/2 flow-control window of a stream, in bytes.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 4 << 20;

/// HTTP/2 flow-control window of a session, in bytes.
pub(crate) const SESSION_WINDOW_BYTES: u32 = 16 << 20;

/// HTTP/2 paths of the streams within a session.
pub(crate) mod path {
    /// Exchanges the challenges of both sides.
    pub const CHALLENGE: &str = "/challenge";
    /// Authenticates the process that opens the session.
    pub const HELLO: &str = "/hello";
    /// Carries one frame in each direction.
    pub const CALL: &str = "/call";
    /// Carries frames from the opening to the accepting process only.
    pub const LANE: &str = "/lane";
    /// Carries one frame in each direction, and then bytes.
    pub const TUNNEL: &str = "/tunnel";
}

/// Roles in a session, included in the proofs that answer challenges.
pub(crate) mod role {
    /// The process that opened the session.
    pub const OPENER: &[u8] = b"opener";
    /// The process that accepted it.
    pub const ACCEPTOR: &[u8] = b"acceptor";
}

derive_value! {
    /// The accepting process's proof, its identity, and its own challenge.
    pub(crate) struct Challenge {
        pub nonce: [u8; NONCE_BYTES],
        pub proof: [u8; 32],
        pub hello: Hello,
    }
}

derive_value! {
    /// The opening process's identity and proof.
    pub(crate) struct Authentication {
        pub hello: Hello,
        pub proof: [u8; 32],
    }
}

/// An authenticated session with another process.
#[derive(Clone)]
pub struct Session {
    sender: SendRequest<Bytes>,
    remote: Hello,
}

impl Session {
    /// Returns the identity of the other process.
    pub fn remote(&self) -> &Hello {
        &self.remote
    }

    /// Sends a frame and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid answer; the other process may have handled the frame.
    pub async fn call(&self, frame: &Frame) -> Result<Frame, Error> {
        exchange(&self.sender, path::CALL, frame).await
    }

    /// Opens a one-way stream of frames to the other process.
    ///
    /// # Errors
    ///
    /// Returns an error if the session failed.
    pub async fn open_lane(&self) -> Result<Lane, Error> {
        let mut sender = self.sender.clone().ready().await?;
        let (_response, stream) = sender.send_request(request(path::LANE), false)?;
        Ok(Lane::new(stream))
    }

    /// Asks the other process for a tunnel; returns its answer and the tunnel, which is closed at
    /// once if the other process refused it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid answer; the other process may have opened the tunnel.
    pub async fn open_tunnel(&self, frame: &Frame) -> Result<(Frame, Tunnel), Error> {
        let mut sender = self.sender.clone().ready().await?;
        let (response, mut stream) = sender.send_request(request(path::TUNNEL), false)?;
        stream::write(&mut stream, frame.encode(), false).await?;
        let body = accepted(response.await?, path::TUNNEL)?;
        let mut reader = Reader::new(body);
        let answer = reader.next().await?.ok_or_else(|| Error::protocol("no answer"))?;
        let (receiver, unread) = reader.into_rest();
        Ok((answer, Tunnel::new(stream, receiver, unread)))
    }
}

/// Opens a session and returns it with the future that drives it.
///
/// The session makes progress only while the future is polled. It ends with an error when the
/// session is broken or a ping times out.
///
/// # Errors
///
/// Returns an error if the connection cannot be opened in time or either side refuses the other.
pub async fn connect(
    address: SocketAddr,
    local: &Hello,
    secret: &Secret,
) -> Result<(Session, impl Future<Output = Error> + Send + use<>), Error> {
    connect_with(address, local, secret, STREAM_WINDOW_BYTES).await
}

/// Like [`connect`], but opens a session for tunnels, whose streams have smaller windows.
///
/// # Errors
///
/// Returns an error as [`connect`] does.
pub async fn connect_for_tunnels(
    address: SocketAddr,
    local: &Hello,
    secret: &Secret,
) -> Result<(Session, impl Future<Output = Error> + Send + use<>), Error> {
    connect_with(address, local, secret, WINDOW_BYTES).await
}

async fn connect_with(
    address: SocketAddr,
    local: &Hello,
    secret: &Secret,
    stream_window_bytes: u32,
) -> Result<(Session, impl Future<Output = Error> + Send + use<>), Error> {
    let opening = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let socket = opening.await.map_err(|_| Error::Timeout)??;
    socket.set_nodelay(true)?;
    let (sender, connection) = client::Builder::new()
        .initial_window_size(stream_window_bytes)
        .initial_connection_window_size(SESSION_WINDOW_BYTES)
        .handshake(socket)
        .await?;
    let mut driver = Box::pin(drive(connection));
    let remote = tokio::select! {
        error = &mut driver => return Err(error),
        remote = time::timeout(CONNECT_TIMEOUT, authenticate(&sender, local, secret)) => {
            remote.map_err(|_| Error::Timeout)??
        }
    };
    Ok((Session { sender, remote }, driver))
}

/// Runs the challenge-response exchange of both sides and returns the other process's identity.
async fn authenticate(
    sender: &SendRequest<Bytes>,
    local: &Hello,
    secret: &Secret,
) -> Result<Hello, Error> {
    let nonce = Secret::generate_nonce();
    let frame = Frame::new(Bytes::copy_from_slice(&nonce));
    let answer = exchange(sender, path::CHALLENGE, &frame).await?;
    let challenge: Challenge = decode(&answer)?;
    let claim = codec::encode(&challenge.hello);
    if !secret.verify(role::ACCEPTOR, &nonce, &claim, &challenge.proof) {
        return Err(Error::protocol("wrong cluster secret"));
    }
    if let Some(reason) = local.incompatibility(&challenge.hello) {
        return Err(Error::protocol(reason));
    }
    let claim = codec::encode(local);
    let proof = secret.prove(role::OPENER, &challenge.nonce, &claim);
    let authentication = Authentication { hello: local.clone(), proof };
    exchange(sender, path::HELLO, &Frame::new(codec::encode(&authentication))).await?;
    Ok(challenge.hello)
}

/// Decodes the payload of a frame.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(frame: &Frame) -> Result<T, Error> {
    codec::decode(&frame.payload)
        .map_err(|error| Error::protocol(format!("protocol {PROTOCOL}: {error}")))
}

/// Sends a frame on a new stream and returns the answer.
async fn exchange(sender: &SendRequest<Bytes>, path: &str, frame: &Frame) -> Result<Frame, Error> {
    let mut sender = sender.clone().ready().await?;
    let (response, mut stream) = sender.send_request(request(path), false)?;
    stream::write(&mut stream, frame.encode(), true).await?;
    Reader::new(accepted(response.await?, path)?).single().await
}

/// Returns the body of a response, unless the other process refused the stream.
fn accepted(response: Response<RecvStream>, path: &str) -> Result<RecvStream, Error> {
    if response.status() != StatusCode::OK {
        return Err(Error::protocol(format!("status {} in answer to {path}", response.status())));
    }
    Ok(response.into_body())
}

fn request(path: &str) -> Request<()> {
    let request = Request::post(format!("http://catkinlatch{path}")).body(());
    request.expect("the parts of the request are valid")
}

/// Drives a connection until it fails or a ping times out.
async fn drive(mut connection: Connection<TcpStream, Bytes>) -> Error {
    let pings = connection.ping_pong().expect("ping_pong was not taken before");
    tokio::select! {
        ended = connection => match ended {
            Ok(()) => Error::protocol("the other process closed the session"),
            Err(error) => error.into(),
        },
        error = ping_regularly(pings) => error,
    }
}

/// Sends pings until one fails or times out.
async fn ping_regularly(mut pings: PingPong) -> Error {
    loop {
        time::sleep(PING_INTERVAL).await;
        match time::timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return error.into(),
            Err(_) => return Error::Timeout,
        }
    }
}
