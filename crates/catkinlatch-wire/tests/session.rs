//! Sessions open only between compatible processes of one cluster, and deliver frames complete and
//! in order.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use bytes::Bytes;
use catkinlatch_base::Incarnation;
use catkinlatch_wire::{Error, Frame, Hello, Secret, Session, connect, serve};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};
use test_case::test_case;
use tokio::{net::TcpListener, sync::Notify};

#[derive(Default)]
struct Received {
    payloads: Mutex<Vec<Bytes>>,
    added: Notify,
}

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

/// Starts a server that echoes each frame and records the payloads that it received.
async fn start(received: Arc<Received>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = move |_remote: Hello, frame: Frame| {
        let received = received.clone();
        async move {
            received.payloads.lock().unwrap().push(frame.payload.clone());
            received.added.notify_one();
            Some(frame)
        }
    };
    tokio::spawn(serve(listener, hello("host-2"), Secret::new("secret"), handler));
    address
}

async fn open(address: SocketAddr, local: &Hello, secret: &str) -> Result<Session, Error> {
    let (session, driver) = connect(address, local, &Secret::new(secret)).await?;
    tokio::spawn(driver);
    Ok(session)
}

#[tokio::test]
async fn a_call_of_one_mebibyte_is_answered_completely() {
    let address = start(Arc::default()).await;
    let session = open(address, &hello("host-1"), "secret").await.unwrap();
    assert_eq!(session.remote().host.as_str(), "host-2");
    let frame = Frame::new(Bytes::from(vec![42; 1 << 20])).with_term(9).with_clock(5, 6);
    assert_eq!(session.call(&frame).await.unwrap(), frame);
}

#[tokio::test]
async fn a_lane_preserves_order() {
    let received = Arc::new(Received::default());
    let session = open(start(received.clone()).await, &hello("host-1"), "secret").await.unwrap();
    let mut lane = session.open_lane().await.unwrap();
    let sent: Vec<Bytes> = (0..500_u32).map(|n| Bytes::from(n.to_be_bytes().to_vec())).collect();
    for payload in &sent {
        lane.send(&Frame::new(payload.clone())).await.unwrap();
    }
    while received.payloads.lock().unwrap().len() < sent.len() {
        received.added.notified().await;
    }
    assert_eq!(*received.payloads.lock().unwrap(), sent);
}

#[test_case(Hello { cluster: "other".parse().unwrap(), ..hello("host-1") }, "secret"; "other cluster")]
#[test_case(Hello { settings_digest: [2; 32], ..hello("host-1") }, "secret"; "other settings")]
#[test_case(Hello { protocol: 2, ..hello("host-1") }, "secret"; "other protocol")]
#[test_case(hello("host-1"), "wrong"; "wrong secret")]
#[tokio::test]
async fn an_incompatible_process_is_refused(local: Hello, secret: &str) {
    let received = Arc::new(Received::default());
    let address = start(received.clone()).await;
    let refused = open(address, &local, secret).await;
    assert!(matches!(refused.err(), Some(Error::Protocol { .. })));
}

#[tokio::test]
async fn a_process_that_skips_the_challenge_is_refused() {
    let received = Arc::new(Received::default());
    let address = start(received.clone()).await;
    let socket = tokio::net::TcpStream::connect(address).await.unwrap();
    let (sender, connection) = h2::client::handshake(socket).await.unwrap();
    tokio::spawn(connection);
    let mut sender = sender.ready().await.unwrap();
    let request = http::Request::post("http://catkinlatch/call").body(()).unwrap();
    let (response, mut stream) = sender.send_request(request, false).unwrap();
    stream.send_data(Frame::new(Bytes::from_static(b"x")).encode(), true).unwrap();
    assert_eq!(response.await.unwrap().status(), http::StatusCode::FORBIDDEN);
    assert!(received.payloads.lock().unwrap().is_empty());
}
