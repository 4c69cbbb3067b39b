//! The side of sessions that accepts them.

use crate::{
    Error, Frame, Hello, Secret, codec,
    secret::NONCE_BYTES,
    session::{
        Challenge, Presentation, SESSION_WINDOW_BYTES, STREAM_WINDOW_BYTES, decode, path, role,
    },
    stream::{self, Reader},
};
use bytes::Bytes;
use h2::{RecvStream, server, server::SendResponse};
use http::{Request, Response, StatusCode};
use log::{debug, warn};
use std::{
    future::Future,
    sync::{Arc, OnceLock},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

/// What a session may spend on buffering frames that are much smaller than their overhead.
///
/// Lanes carry many small frames. The library's default closes a session after about a hundred of
/// them, as a defence against strangers; here every session is authenticated.
const SMALL_FRAMES_BUDGET_BYTES: usize = 64 << 20;

/// How long accepting rests after it failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What all sessions of a process share.
struct Acceptor<H> {
    local: Hello,
    secret: Secret,
    handler: H,
}

/// What is known of one session.
#[derive(Default)]
struct Opened {
    nonce: OnceLock<[u8; NONCE_BYTES]>,
    remote: OnceLock<Hello>,
}

/// Accepts sessions and hands each frame to `handler`, which returns the answer to calls.
///
/// Frames of one lane are handled in order. The future never ends.
pub async fn serve<H, F>(listener: TcpListener, local: Hello, secret: Secret, handler: H)
where
    H: Fn(Hello, Frame) -> F + Send + Sync + 'static,
    F: Future<Output = Option<Frame>> + Send + 'static,
{
    let acceptor = Arc::new(Acceptor { local, secret, handler });
    let mut sessions = JoinSet::new();
    loop {
        while sessions.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((socket, _)) => {
                sessions.spawn(acceptor.clone().run(socket));
            }
            Err(error) => {
                warn!("peer: cannot accept a session: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl<H, F> Acceptor<H>
where
    H: Fn(Hello, Frame) -> F + Send + Sync + 'static,
    F: Future<Output = Option<Frame>> + Send + 'static,
{
    async fn run(self: Arc<Self>, socket: TcpStream) {
        let opened = Arc::new(Opened::default());
        if let Err(error) = self.accept(socket, &opened).await {
            match opened.remote.get() {
                Some(remote) => debug!("peer: the session of {} ended: {error}", remote.host),
                None => warn!("peer: a session did not open: {error}"),
            }
        }
    }

    /// Serves the streams of one session until it ends; its tasks end with it.
    async fn accept(
        self: &Arc<Self>,
        socket: TcpStream,
        opened: &Arc<Opened>,
    ) -> Result<(), Error> {
        socket.set_nodelay(true)?;
        let mut connection = server::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(SESSION_WINDOW_BYTES)
            .data_frame_budget(SMALL_FRAMES_BUDGET_BYTES)
            .handshake(socket)
            .await?;
        let mut streams = JoinSet::new();
        while let Some(accepted) = connection.accept().await {
            let (request, respond) = accepted?;
            while streams.try_join_next().is_some() {}
            streams.spawn(self.clone().stream(opened.clone(), request, respond));
        }
        Ok(())
    }

    async fn stream(
        self: Arc<Self>,
        opened: Arc<Opened>,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        if let Err(error) = self.serve_stream(&opened, request, &mut respond).await {
            debug!("peer: a stream ended: {error}");
            let refusal = Response::builder().status(StatusCode::FORBIDDEN).body(());
            let _ = respond.send_response(refusal.expect("the parts are valid"), true);
        }
    }

    async fn serve_stream(
        &self,
        opened: &Opened,
        request: Request<RecvStream>,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), Error> {
        let (head, body) = request.into_parts();
        let reader = Reader::new(body);
        match head.uri.path() {
            path::CHALLENGE => answer(respond, &self.challenge(opened, reader).await?).await,
            path::HELLO => answer(respond, &self.greet(opened, reader).await?).await,
            path::CALL => {
                let remote = authenticated(opened)?;
                let frame = reader.single().await?;
                match (self.handler)(remote, frame).await {
                    Some(reply) => answer(respond, &reply).await,
                    None => Err(Error::protocol("the call has no answer")),
                }
            }
            path::LANE => self.lane(authenticated(opened)?, reader).await,
            other => Err(Error::protocol(format!("no stream has the path {other}"))),
        }
    }

    async fn challenge(&self, opened: &Opened, reader: Reader) -> Result<Frame, Error> {
        let asked = reader.single().await?;
        let nonce = Secret::nonce();
        if opened.nonce.set(nonce).is_err() {
            return Err(Error::protocol("a session is challenged once"));
        }
        let claim = codec::encode(&self.local);
        let proof = self.secret.prove(role::ACCEPTOR, &asked.payload, &claim);
        let challenge = Challenge { nonce, proof, hello: self.local.clone() };
        Ok(Frame::new(codec::encode(&challenge)))
    }

    async fn greet(&self, opened: &Opened, reader: Reader) -> Result<Frame, Error> {
        let presentation: Presentation = decode(&reader.single().await?)?;
        let nonce = opened.nonce.get().ok_or_else(|| Error::protocol("no challenge came first"))?;
        let claim = codec::encode(&presentation.hello);
        if !self.secret.verify(role::OPENER, nonce, &claim, &presentation.proof) {
            warn!("peer: refused a process that does not know the cluster's secret");
            return Err(Error::protocol("it does not know the cluster's secret"));
        }
        if let Some(reason) = self.local.disagreement(&presentation.hello) {
            warn!("peer: refused a session: {reason}");
            return Err(Error::protocol(reason));
        }
        let _ = opened.remote.set(presentation.hello);
        Ok(Frame::new(Bytes::new()))
    }

    async fn lane(&self, remote: Hello, mut reader: Reader) -> Result<(), Error> {
        while let Some(frame) = reader.next().await? {
            (self.handler)(remote.clone(), frame).await;
        }
        Ok(())
    }
}

fn authenticated(opened: &Opened) -> Result<Hello, Error> {
    opened.remote.get().cloned().ok_or_else(|| Error::protocol("the session is not open yet"))
}

async fn answer(respond: &mut SendResponse<Bytes>, frame: &Frame) -> Result<(), Error> {
    let mut stream = respond.send_response(Response::new(()), false)?;
    stream::write(&mut stream, frame.encode(), true).await
}
