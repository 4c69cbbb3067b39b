//! Connections of processes that do not prove that they belong to the cluster.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use bytes::Bytes;
use catkinlatch_base::Incarnation;
use catkinlatch_wire::{Frame, Hello, Listener, Secret, connect, serve};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::AsyncReadExt as _,
    net::{TcpListener, TcpStream},
    time,
};

/// Longer than the time for the authentication.
const WAIT: Duration = Duration::from_secs(20);

fn hello(host: &str) -> Hello {
    Hello {
        protocol: 1,
        cluster: "test".parse().unwrap(),
        host: host.parse().unwrap(),
        incarnation: Incarnation::new(7),
        zone: "zone-a".parse().unwrap(),
        settings_digest: [1; 32],
    }
}

async fn start(max_unauthenticated: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let listener = Listener::from(listener).with_unauthenticated(max_unauthenticated);
    let echo = |_: Hello, frame: Frame| async move { Some(frame) };
    tokio::spawn(serve(listener, hello("host-2"), Secret::new("secret"), echo));
    address
}

/// Waits until the other side closes a connection; returns whether it does.
async fn is_closed(socket: &mut TcpStream, wait: Duration) -> bool {
    time::timeout(wait, socket.read_to_end(&mut Vec::new())).await.is_ok()
}

/// Guards against silent connections that keep other hosts out, and hold descriptors for ever.
#[tokio::test]
async fn the_oldest_silent_connection_makes_room_and_none_stays() {
    let address = start(8).await;
    let mut silent = Vec::new();
    for _ in 0..20 {
        silent.push(TcpStream::connect(address).await.unwrap());
    }
    let (session, driver) =
        connect(address, &hello("host-1"), &Secret::new("secret")).await.unwrap();
    tokio::spawn(driver);
    let frame = Frame::new(Bytes::from(vec![42; 1 << 20]));
    assert_eq!(session.call(&frame).await.unwrap(), frame);
    assert!(is_closed(&mut silent[0], Duration::from_secs(1)).await, "the oldest");
    for socket in &mut silent {
        assert!(is_closed(socket, WAIT).await);
    }
    assert_eq!(session.call(&frame).await.unwrap(), frame, "an authenticated session stays");
}

/// Guards against memory that a session takes before it is authenticated.
#[tokio::test]
async fn little_is_taken_from_a_session_that_is_not_authenticated() {
    let socket = TcpStream::connect(start(8).await).await.unwrap();
    let (sender, connection) = h2::client::handshake(socket).await.unwrap();
    let driver = tokio::spawn(connection);
    let (mut granted, mut streams) = (0, Vec::new());
    for _ in 0..100 {
        let Ok(mut ready) = sender.clone().ready().await else { break };
        let request = http::Request::post("http://catkinlatch/challenge").body(()).unwrap();
        let Ok((_, mut stream)) = ready.send_request(request, false) else { break };
        // A frame whose payload never comes whole.
        let part = Bytes::from([&[0, 16, 0, 0][..], &[0; 8 << 10][..]].concat());
        stream.reserve_capacity(part.len());
        let capacity = std::future::poll_fn(|context| stream.poll_capacity(context));
        if let Ok(Some(Ok(bytes))) = time::timeout(Duration::from_millis(200), capacity).await {
            granted += bytes;
            let _ = stream.send_data(part.slice(..bytes), false);
        }
        streams.push(stream);
    }
    assert!(granted <= 128 << 10, "{granted} bytes");
    let ended = time::timeout(WAIT, driver).await;
    assert!(ended.is_ok(), "the session is closed");
}
