//! A planned stop of the HTTP server cuts off no request that a client has sent.

use catkinlatch_runtime::http::{Inbound, Server, full, serve};
use http::Response;
use hyper::{Request, body::Incoming};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: site\r\n\r\n";

async fn receives_answer(socket: &mut TcpStream) -> bool {
    let mut received = Vec::new();
    let read = time::timeout(Duration::from_secs(10), socket.read_to_end(&mut received)).await;
    read.is_ok_and(|read| read.is_ok()) && received.ends_with(b"done")
}

#[tokio::test]
async fn requests_sent_just_before_a_planned_stop_are_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let server = Server { inbound: Inbound::default(), stop: stopped };
    // One connection is open and idle; the others wait to be accepted when the stop begins.
    let mut open = TcpStream::connect(address).await.unwrap();
    let handler = |_: Request<Incoming>| async { Response::new(full("done")) };
    let server = tokio::spawn(serve(server, listener, handler));
    time::sleep(Duration::from_millis(50)).await;
    let mut waiting = Vec::new();
    for _ in 0..8 {
        let mut socket = std::net::TcpStream::connect(address).unwrap();
        std::io::Write::write_all(&mut socket, REQUEST).unwrap();
        socket.set_nonblocking(true).unwrap();
        waiting.push(TcpStream::from_std(socket).unwrap());
    }
    stop.send_replace(true);
    open.write_all(REQUEST).await.unwrap();
    assert!(receives_answer(&mut open).await);
    for socket in &mut waiting {
        assert!(receives_answer(socket).await);
    }
    server.await.unwrap();
    assert!(TcpStream::connect(address).await.is_err());
}
