//! Sends a single request over a new connection, with a check for permission before each write.

use super::guard::Guard;
use crate::upstream::read_body;
use bytes::Bytes;
use catkinlatch_runtime::http::{MAX_HEAD_BYTES, is_final};
use derive_more::{Display, Error};
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::client::conn::http1;
use std::sync::atomic::Ordering;
use tokio::{
    net::TcpStream,
    time::{self, Instant},
};

/// The largest response body that is read, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 1 << 16;

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// No byte of the request was sent.
    #[display("the request was not sent")]
    NotSent,
    /// The request may have been received, but there is no response.
    #[display("no response; the request may have been received")]
    NoAnswer,
}

/// Sends a request to `address`, given as `host:port`, and returns the complete response.
///
/// `may_write` is called before each write to the connection; nothing is written once it returns
/// `false`. The connection is closed at the deadline, so that no buffered bytes are sent later.
/// Fails with [`Fault::NotSent`] only if no byte was sent.
pub async fn send(
    address: &str,
    request: Request<Full<Bytes>>,
    deadline: Instant,
    may_write: impl Fn() -> bool + Unpin + Send + 'static,
) -> Result<Response<Bytes>, Fault> {
    let connecting = time::timeout_at(deadline, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connecting else { return Err(Fault::NotSent) };
    let _ = stream.set_nodelay(true);
    let guard = Guard::new(stream, may_write);
    let written = guard.written();
    let response = time::timeout_at(deadline, exchange(guard, address, request)).await;
    if let Ok(Some(response)) = response {
        return Ok(response);
    }
    Err(if written.load(Ordering::Acquire) { Fault::NoAnswer } else { Fault::NotSent })
}

/// Writes the request and reads the response on one connection.
async fn exchange(
    guard: Guard<impl Fn() -> bool + Unpin + Send + 'static>,
    address: &str,
    mut request: Request<Full<Bytes>>,
) -> Option<Response<Bytes>> {
    let host = address.parse().ok()?;
    request.headers_mut().insert(header::HOST, host);
    let connection = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(guard).await;
    let (mut sender, connection) = connection.ok()?;
    let exchange = async {
        let response = sender.send_request(request).await.ok()?;
        let (head, body) = Some(response).filter(|it| is_final(it.status()))?.into_parts();
        let body = read_body(body, MAX_RESPONSE_BYTES).await.ok()?;
        Some(Response::from_parts(head, body))
    };
    tokio::pin!(connection);
    tokio::pin!(exchange);
    tokio::select! {
        biased;
        response = &mut exchange => response,
        _ = &mut connection => exchange.await,
    }
}
