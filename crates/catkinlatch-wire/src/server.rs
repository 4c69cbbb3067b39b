//! The accepting side of sessions.

use crate::{
    Error, Frame, Hello, Listener, Secret, codec,
    listener::{AUTHENTICATION_TIMEOUT, Unauthenticated},
    secret::NONCE_BYTES,
    session::{
        Authentication, Challenge, SESSION_WINDOW_BYTES, STREAM_WINDOW_BYTES, decode, path, role,
    },
    stream::{self, Reader},
    tunnel::{Offer, WINDOW_BYTES},
};
use bytes::Bytes;
use h2::{RecvStream, server, server::SendResponse};
use http::{Request, Response, StatusCode};
use log::{debug, warn};
use std::{
    future::Future,
    mem,
    sync::{Arc, OnceLock},
    time::Duration,
};
use tokio::{net::TcpStream, sync::Notify, task::JoinSet, time};

/// Memory that a session may use to buffer frames that are much smaller than their overhead.
///
/// Lanes carry many small frames. The default of `h2`, a defense against untrusted peers, closes a
/// session after about a hundred of them; here every session is authenticated.
const SMALL_FRAMES_BUDGET_BYTES: usize = 64 << 20;

/// Flow-control windows of a session and its streams until it is authenticated, in bytes.
const UNAUTHENTICATED_WINDOW_BYTES: u32 = 16 << 10;

/// Number of streams that a session may open until it is authenticated, which takes two.
const UNAUTHENTICATED_STREAMS: usize = 4;

/// Largest head of a stream, in bytes.
const MAX_HEAD_BYTES: u32 = 16 << 10;

/// Delay after a failed `accept` before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// State shared by all sessions of a process.
struct Acceptor<H, T> {
    local: Hello,
    secret: Secret,
    handler: H,
    tunnels: T,
    unauthenticated: Unauthenticated,
}

/// Progress of the authentication of a session.
#[derive(Default)]
struct SessionState {
    /// Later sessions have higher numbers.
    number: u64,
    nonce: OnceLock<[u8; NONCE_BYTES]>,
    remote: OnceLock<Hello>,
    authenticated: Notify,
}

/// Accepts sessions and passes each frame to `handler`, which must return an answer to a call.
///
/// The frames of a lane are handled in order, one at a time; answers to them are ignored. The
/// future never completes.
pub async fn serve<H, F>(listener: impl Into<Listener>, local: Hello, secret: Secret, handler: H)
where
    H: Fn(Hello, Frame) -> F + Send + Sync + 'static,
    F: Future<Output = Option<Frame>> + Send + 'static,
{
    let refuse = |_: Hello, _: Frame, offer: Offer| async move { drop(offer) };
    serve_with_tunnels(listener, local, secret, handler, refuse).await;
}

/// Like [`serve`], but also passes each tunnel that another process asks for to `tunnels`, with the
/// frame that asks for it. The tunnel's session ends with its connection, and `tunnels` is then
/// dropped.
pub async fn serve_with_tunnels<H, F, T, G>(
    listener: impl Into<Listener>,
    local: Hello,
    secret: Secret,
    handler: H,
    tunnels: T,
) where
    H: Fn(Hello, Frame) -> F + Send + Sync + 'static,
    F: Future<Output = Option<Frame>> + Send + 'static,
    T: Fn(Hello, Frame, Offer) -> G + Send + Sync + 'static,
    G: Future<Output = ()> + Send + 'static,
{
    let listener = listener.into();
    let unauthenticated = listener.unauthenticated();
    let acceptor = Arc::new(Acceptor { local, secret, handler, tunnels, unauthenticated });
    let mut sessions = JoinSet::new();
    for number in 0.. {
        while sessions.try_join_next().is_some() {}
        match listener.socket.accept().await {
            Ok((socket, _)) => {
                let session = sessions.spawn(acceptor.clone().run(socket, number));
                acceptor.unauthenticated.insert(number, session);
            }
            Err(error) => {
                warn!("peer: cannot accept a session: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

impl<H, F, T, G> Acceptor<H, T>
where
    H: Fn(Hello, Frame) -> F + Send + Sync + 'static,
    F: Future<Output = Option<Frame>> + Send + 'static,
    T: Fn(Hello, Frame, Offer) -> G + Send + Sync + 'static,
    G: Future<Output = ()> + Send + 'static,
{
    async fn run(self: Arc<Self>, socket: TcpStream, number: u64) {
        let state = Arc::new(SessionState { number, ..SessionState::default() });
        let authentication = async {
            let authenticated = state.authenticated.notified();
            if time::timeout(AUTHENTICATION_TIMEOUT, authenticated).await.is_ok() {
                std::future::pending::<()>().await;
            }
        };
        let served = tokio::select! {
            served = self.serve_session(socket, &state) => served,
            () = authentication => Err(Error::Timeout),
        };
        self.unauthenticated.remove(number);
        if let Err(error) = served {
            match state.remote.get() {
                Some(remote) => debug!("peer: the session from {} ended: {error}", remote.host),
                None => {
                    warn!("peer: an incoming session failed before it was authenticated: {error}")
                }
            }
        }
    }

    /// Serves the streams of a session until it ends, then aborts the streams' tasks.
    async fn serve_session(
        self: &Arc<Self>,
        socket: TcpStream,
        state: &Arc<SessionState>,
    ) -> Result<(), Error> {
        socket.set_nodelay(true)?;
        let mut connection = server::Builder::new()
            .initial_window_size(UNAUTHENTICATED_WINDOW_BYTES)
            .max_header_list_size(MAX_HEAD_BYTES)
            .data_frame_budget(SMALL_FRAMES_BUDGET_BYTES)
            .handshake(socket)
            .await?;
        let (mut streams, mut opened, mut has_windows) = (JoinSet::new(), 0, false);
        while let Some(accepted) = connection.accept().await {
            let (request, respond) = accepted?;
            if state.remote.get().is_none() {
                opened += 1;
                if opened > UNAUTHENTICATED_STREAMS {
                    return Err(Error::protocol("too many streams before the authentication"));
                }
            } else if !mem::replace(&mut has_windows, true) {
                // A session carries tunnels or messages, whose streams have larger windows.
                let is_tunnel = request.uri().path() == path::TUNNEL;
                let window = if is_tunnel { WINDOW_BYTES } else { STREAM_WINDOW_BYTES };
                connection.set_initial_window_size(window)?;
                connection.set_target_window_size(SESSION_WINDOW_BYTES);
            }
            while streams.try_join_next().is_some() {}
            streams.spawn(self.clone().handle_stream(state.clone(), request, respond));
        }
        Ok(())
    }

    /// Serves a stream, and answers with status 403 if that fails.
    async fn handle_stream(
        self: Arc<Self>,
        state: Arc<SessionState>,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        if request.uri().path() == path::TUNNEL {
            return self.serve_tunnel(&state, request, respond).await;
        }
        if let Err(error) = self.serve_stream(&state, request, &mut respond).await {
            debug!("peer: a stream ended: {error}");
            let refusal = Response::builder().status(StatusCode::FORBIDDEN).body(());
            let _ = respond.send_response(refusal.expect("the response has valid parts"), true);
        }
    }

    async fn serve_stream(
        &self,
        state: &SessionState,
        request: Request<RecvStream>,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), Error> {
        let (head, body) = request.into_parts();
        let reader = Reader::new(body);
        match head.uri.path() {
            path::CHALLENGE => answer(respond, &self.challenge(state, reader).await?).await,
            path::HELLO => answer(respond, &self.authenticate(state, reader).await?).await,
            path::CALL => {
                let remote = authenticated_remote(state)?;
                let frame = reader.single().await?;
                match (self.handler)(remote, frame).await {
                    Some(reply) => answer(respond, &reply).await,
                    None => Err(Error::protocol("the handler returned no answer to the call")),
                }
            }
            path::LANE => self.receive_lane(authenticated_remote(state)?, reader).await,
            other => Err(Error::protocol(format!("unknown stream path {other}"))),
        }
    }

    /// Passes on a tunnel; the stream is reset if the session is not authenticated.
    async fn serve_tunnel(
        &self,
        state: &SessionState,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
    ) {
        let mut reader = Reader::new(request.into_body());
        match (authenticated_remote(state), reader.next().await) {
            (Ok(remote), Ok(Some(frame))) => {
                let (receiver, unread) = reader.into_rest();
                (self.tunnels)(remote, frame, Offer::new(respond, receiver, unread)).await;
            }
            (Err(error), _) | (_, Err(error)) => debug!("peer: refused a tunnel: {error}"),
            (_, Ok(None)) => debug!("peer: refused a tunnel without a request"),
        }
    }

    async fn challenge(&self, state: &SessionState, reader: Reader) -> Result<Frame, Error> {
        let received = reader.single().await?;
        let nonce = Secret::generate_nonce();
        if state.nonce.set(nonce).is_err() {
            return Err(Error::protocol("a session allows only one challenge"));
        }
        let claim = codec::encode(&self.local);
        let proof = self.secret.prove(role::ACCEPTOR, &received.payload, &claim);
        let challenge = Challenge { nonce, proof, hello: self.local.clone() };
        Ok(Frame::new(codec::encode(&challenge)))
    }

    async fn authenticate(&self, state: &SessionState, reader: Reader) -> Result<Frame, Error> {
        let authentication: Authentication = decode(&reader.single().await?)?;
        let nonce = state
            .nonce
            .get()
            .ok_or_else(|| Error::protocol("the opening process requested no challenge"))?;
        let claim = codec::encode(&authentication.hello);
        if !self.secret.verify(role::OPENER, nonce, &claim, &authentication.proof) {
            warn!("peer: refused a session: the other process has a wrong cluster secret");
            return Err(Error::protocol("wrong cluster secret"));
        }
        if let Some(reason) = self.local.incompatibility(&authentication.hello) {
            warn!("peer: refused a session: {reason}");
            return Err(Error::protocol(reason));
        }
        let _ = state.remote.set(authentication.hello);
        self.unauthenticated.remove(state.number);
        state.authenticated.notify_one();
        Ok(Frame::new(Bytes::new()))
    }

    async fn receive_lane(&self, remote: Hello, mut reader: Reader) -> Result<(), Error> {
        while let Some(frame) = reader.next().await? {
            (self.handler)(remote.clone(), frame).await;
        }
        Ok(())
    }
}

fn authenticated_remote(state: &SessionState) -> Result<Hello, Error> {
    state.remote.get().cloned().ok_or_else(|| Error::protocol("the session is not authenticated"))
}

async fn answer(respond: &mut SendResponse<Bytes>, frame: &Frame) -> Result<(), Error> {
    let mut stream = respond.send_response(Response::new(()), false)?;
    stream::write(&mut stream, frame.encode(), true).await
}
