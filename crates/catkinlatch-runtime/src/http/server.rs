//! HTTP server with graceful shutdown.

use super::{
    Body,
    inbound::{Connection, Counted, Inbound, Tracked},
};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time,
};

/// Time without a further connection after which a stopping server has accepted all that were
/// opened before.
const BACKLOG_TIME: Duration = Duration::from_millis(10);

/// How long a stopping server still reads requests that clients may just have sent.
const LINGER: Duration = Duration::from_millis(100);

/// Delay after a failed `accept` before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Options of a server.
#[derive(Clone, Debug)]
pub struct Server {
    /// What the clients of all servers of the process hold.
    pub inbound: Inbound,
    /// Becomes true to start the graceful shutdown.
    pub stop: watch::Receiver<bool>,
}

/// Accepts connections and passes their requests to `handler`.
///
/// Once `server.stop` becomes true, accepts no further connections than those that clients have
/// opened, reads requests for 100 ms more, and returns when all have been answered. If a client
/// closes its connection, the future of its request is dropped.
pub async fn serve<H, F>(server: Server, listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
    server.inbound.prepare(&listener);
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
                connections.spawn(serve_connection(server.clone(), socket, handler.clone()));
            }
            Err(error) => {
                warn!("http: cannot accept a connection: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    while let Ok(Ok((socket, _))) = time::timeout(BACKLOG_TIME, listener.accept()).await {
        connections.spawn(serve_connection(server.clone(), socket, handler.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<H, F>(server: Server, socket: TcpStream, handler: Arc<H>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = socket.set_nodelay(true);
    let client = Arc::new(server.inbound.open(&socket));
    let stream = Counted::new(socket, &client);
    let requests = client.clone();
    let service = service_fn(move |request| {
        let answer = answer(&requests, request, &*handler);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(server.inbound.head_bytes())
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut stop = server.stop;
    let served = async {
        tokio::select! {
            ended = connection.as_mut() => ended,
            () = stopped(&mut stop) => match time::timeout(LINGER, connection.as_mut()).await {
                Ok(ended) => ended,
                Err(_) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            },
        }
    };
    tokio::select! {
        () = client.ended() => {}
        ended = served => if let Err(error) = ended {
            debug!("http: a connection ended: {error}");
        }
    }
}

/// Passes a request to `handler`, with what reads its body as an extension.
fn answer<H, F>(
    client: &Connection,
    mut request: Request<Incoming>,
    handler: &H,
) -> impl Future<Output = Response<Tracked>> + use<H, F>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let active = client.begin();
    request.extensions_mut().insert(active.reader());
    let response = handler(request);
    async move { response.await.map(|body| Tracked::new(body, active)) }
}

/// Waits until the shutdown starts.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
