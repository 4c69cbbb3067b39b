//! Sends one request over a connection of its own, with leave asked before each write.

use super::guard::Guard;
use crate::upstream::read_body;
use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::client::conn::http1;
use std::sync::atomic::Ordering;
use tokio::{
    net::TcpStream,
    time::{self, Instant},
};

/// The longest answer to an order, in bytes.
pub const MAX_ANSWER_BYTES: usize = 1 << 16;

/// Says why an order got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// No byte of it left this process.
    #[display("the request was not sent")]
    NotSent,
    /// The receiver may have taken it.
    #[display("no answer came; the request may have been taken")]
    NoAnswer,
}

/// Sends a request and returns the whole answer, if both end before the deadline.
///
/// The connection is closed at the deadline, so that nothing is left in its buffers to be sent.
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
    let answer = time::timeout_at(deadline, exchange(guard, address, request)).await;
    if let Ok(Some(answer)) = answer {
        return Ok(answer);
    }
    Err(if written.load(Ordering::Acquire) { Fault::NoAnswer } else { Fault::NotSent })
}

/// Writes the request and reads the answer over one connection.
async fn exchange(
    guard: Guard<impl Fn() -> bool + Unpin + Send + 'static>,
    address: &str,
    mut request: Request<Full<Bytes>>,
) -> Option<Response<Bytes>> {
    let host = address.parse().ok()?;
    request.headers_mut().insert(header::HOST, host);
    let (mut sender, connection) = http1::handshake(guard).await.ok()?;
    let exchange = async {
        let (head, body) = sender.send_request(request).await.ok()?.into_parts();
        let body = read_body(body, MAX_ANSWER_BYTES).await.ok()?;
        Some(Response::from_parts(head, body))
    };
    tokio::pin!(connection);
    tokio::pin!(exchange);
    tokio::select! {
        biased;
        answer = &mut exchange => answer,
        _ = &mut connection => exchange.await,
    }
}
