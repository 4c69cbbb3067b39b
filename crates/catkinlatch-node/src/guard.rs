//! The listeners that clients reach, which bound what all clients hold.
//!
//! The library behind the HTTP interfaces keeps its listener to itself: it takes connections without
//! limit, and reads heads of any size and bodies of all clients at once. So each interface listens on
//! a private loopback address, and a guard passes whole requests on to it.

use crate::entry::{Code, Ran, Refusal, request_id};
use bytes::Bytes;
use catkinlatch_runtime::http::{
    Body, BodyError, Inbound, Server, closing,
    inbound::{Claim, Reader},
    serve,
};
use derive_more::Debug;
use http::{HeaderMap, HeaderName, Request, Response, Uri, header, request::Parts, uri};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

/// Time within which the body of a request must have arrived whole.
const MAX_BODY_TIME: Duration = Duration::from_secs(30);

/// Delay after which a caller should retry if the requests of others took all memory, in
/// milliseconds.
const MEMORY_RETRY_AFTER_MS: u64 = 1_000;

/// Descriptors of a request that runs: the client's connection and both ends of the one to the
/// interface.
pub const DESCRIPTORS_PER_REQUEST: usize = 3;

/// Copies of a body that exist while its request is handled.
const BODY_COPIES: usize = 2;

/// Fields that concern a single connection.
const CONNECTION_FIELDS: [HeaderName; 6] = [
    header::CONNECTION,
    header::EXPECT,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A listener that passes requests on to an interface.
#[derive(Debug)]
pub struct Guard {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
}

/// The interface that a guard passes requests on to.
#[derive(Debug)]
struct Interface {
    address: SocketAddr,
    /// Largest body of a request, in bytes.
    max_body: usize,
    #[debug(skip)]
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Guard {
    /// Passes the requests of a listener's clients on to the interface at the loopback address
    /// `interface`, which takes bodies of at most `max_body` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no address.
    pub fn start(
        listener: TcpListener,
        interface: SocketAddr,
        max_body: usize,
        inbound: Inbound,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let client = Client::builder(TokioExecutor::new()).build_http();
        let interface = Arc::new(Interface { address: interface, max_body, client });
        let answer = move |request| {
            let interface = interface.clone();
            async move { interface.answer(request).await }
        };
        let server = Server { inbound, stop: stopped };
        let serving = tokio::spawn(serve(server, listener, answer));
        Ok(Self { address, stop, serving })
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no further connections, and returns once all requests have been answered.
    pub async fn close(self) {
        self.stop.send_replace(true);
        let _ = self.serving.await;
    }
}

impl Interface {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        match self.receive(&head, body).await {
            Ok((body, claim)) => self.forward(head, body, claim).await,
            Err(error) => refuse(&head, &error),
        }
    }

    /// Reads a whole body, and claims memory for its copies while its request is handled.
    async fn receive(&self, head: &Parts, body: Incoming) -> Result<(Bytes, Claim), BodyError> {
        let reader = head.extensions.get::<Reader>().expect("the server adds the reader");
        let body = reader.read(body, self.max_body, MAX_BODY_TIME).await?;
        let claim = reader.claim(BODY_COPIES * body.len())?;
        Ok((body, claim))
    }

    /// Passes a request on; the claim lasts until its response has ended.
    async fn forward(&self, head: Parts, body: Bytes, claim: Claim) -> Response<Body> {
        let id = request_id(&head.headers);
        let Some(request) = self.request(head, body) else {
            return respond(Refusal::not_run(id, Code::BadRequest, "the path is not valid"));
        };
        match self.client.request(request).await {
            Ok(response) => {
                let response = response.map(|body| {
                    let body = body.map_frame(move |frame| {
                        let _ = &claim;
                        frame
                    });
                    body.map_err(Into::into).boxed_unsync()
                });
                without_connection_fields(response)
            }
            Err(error) if error.is_connect() => {
                respond(Refusal::not_run(id, Code::Unavailable, "this node has stopped"))
            }
            Err(_) => {
                let refusal = Refusal::not_run(id, Code::OutcomeUnknown, "this node is stopping");
                respond(refusal.with_ran(Ran::Maybe))
            }
        }
    }

    /// Returns the request to the interface; `None` if its target is no path.
    fn request(&self, head: Parts, body: Bytes) -> Option<Request<Full<Bytes>>> {
        let path = head.uri.path_and_query()?.clone();
        let uri = Uri::builder().scheme(uri::Scheme::HTTP).authority(self.address.to_string());
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = head.method;
        *request.uri_mut() = uri.path_and_query(path).build().ok()?;
        *request.headers_mut() = head.headers;
        remove_connection_fields(request.headers_mut());
        request.headers_mut().remove(header::CONTENT_LENGTH);
        Some(request)
    }
}

/// Answers a request whose body was not read whole, so that it has not run.
fn refuse(head: &Parts, error: &BodyError) -> Response<Body> {
    let refusal = |code| Refusal::not_run(request_id(&head.headers), code, error.to_string());
    match error {
        BodyError::NoMemory | BodyError::TooSlow => {
            metrics::counter!("catkinlatch_http_memory_refusals").increment(1);
            let refusal = refusal(Code::Overloaded);
            closing(respond(refusal.with_retry_after_ms(MEMORY_RETRY_AFTER_MS)))
        }
        BodyError::TooLong => respond(refusal(Code::TooLong)),
        BodyError::Broken(_) | BodyError::Lost(_) | BodyError::Malformed(_) => {
            respond(refusal(Code::BadRequest))
        }
    }
}

/// Removes the fields of a response that concern a single connection, but for the wish to close it.
fn without_connection_fields(mut response: Response<Body>) -> Response<Body> {
    let closes = response.headers().get(header::CONNECTION).is_some_and(|c| c == "close");
    remove_connection_fields(response.headers_mut());
    if closes { closing(response) } else { response }
}

/// Removes the fields that concern a single connection.
fn remove_connection_fields(headers: &mut HeaderMap) {
    for field in CONNECTION_FIELDS {
        headers.remove(field);
    }
}

fn respond(refusal: Refusal) -> Response<Body> {
    refusal.into_response().map(|body| body.map_err(Into::into).boxed_unsync())
}
