//! The side that answers.

use super::Body;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

/// How long accepting rests after it failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// How connections are treated.
#[derive(Clone, Debug)]
pub struct Server {
    /// How long a connection may wait for the next head.
    pub idle_timeout: Duration,
    /// Becomes true once no new requests are taken.
    pub stop: watch::Receiver<bool>,
}

/// Accepts connections and answers their requests until it is told to stop and all have ended.
///
/// A connection that the caller closes drops the future of its request.
pub async fn serve<H, F>(server: Server, listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let mut connections = JoinSet::new();
    let mut stop = server.stop.clone();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(&mut stop) => break,
        };
        match accepted {
            Ok((socket, _)) => {
                connections.spawn(connection(server.clone(), socket, handler.clone()));
            }
            Err(error) => {
                warn!("http: cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection<H, F>(server: Server, socket: TcpStream, handler: Arc<H>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(server.idle_timeout)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let mut stop = server.stop;
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!("http: a connection ended: {error}");
    }
}

/// Waits until no new requests are to be taken.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
