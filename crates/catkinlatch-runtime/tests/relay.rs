//! Sessions between a host and those that relay its connections.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::Incarnation;
use catkinlatch_route::reach::Helper;
use catkinlatch_runtime::{
    Clock,
    http::{Dialer, dialer},
    relay,
};
use catkinlatch_wire::{Frame, Hello, Offer, Secret};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::TcpListener, task::JoinSet};

/// Number of connections that are opened at once.
const TUNNELS: usize = 8;

fn hello(host: &str) -> Hello {
    Hello {
        protocol: catkinlatch_wire::PROTOCOL,
        cluster: "catkinlatch".parse().unwrap(),
        host: host.parse().unwrap(),
        incarnation: Incarnation::new(1),
        zone: "zone-0".parse().unwrap(),
        settings_digest: [0; 32],
    }
}

/// Returns a client that relays through the given hosts.
fn client(host: &str, helpers: Vec<(Helper, String)>) -> relay::Client {
    relay::Client::new(hello(host), Secret::new(""), Clock::new(), move || helpers.clone())
}

/// Starts a target that accepts connections; returns its address.
async fn start_target() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            listener.accept().await.unwrap();
        }
    });
    address
}

/// Starts a host that relays connections to any address.
async fn start_helper() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let relay = client("helper", Vec::new());
    let dialer = Arc::new(Dialer::new(dialer::tcp(false), Clock::new(), relay, Vec::new));
    let server = Arc::new(relay::Server::new(dialer, usize::MAX, |_| None));
    let tunnels = move |remote: Hello, frame: Frame, offer: Offer| {
        let server = server.clone();
        async move { server.serve(remote, frame, offer).await }
    };
    let refuse = |_: Hello, _: Frame| async { None };
    let (local, secret) = (hello("helper"), Secret::new(""));
    tokio::spawn(catkinlatch_wire::serve_with_tunnels(listener, local, secret, refuse, tunnels));
    address
}

/// Guards against a session that replaces another one, and ends its tunnels, on several threads.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn tunnels_opened_at_once_share_a_session() {
    let target = start_target().await;
    let at = start_helper().await.to_string();
    for round in 0..100 {
        let helper = Helper { host: "helper".parse().unwrap(), zone: None, is_reserve: false };
        let client = Arc::new(client("host", vec![(helper, at.clone())]));
        let mut opening = JoinSet::new();
        for _ in 0..TUNNELS {
            let (client, address) = (client.clone(), target.clone());
            opening.spawn(async move { client.open(&address, Duration::from_secs(5)).await });
        }
        let opened = opening.join_all().await;
        let failed = opened.iter().filter(|opened| opened.is_err()).count();
        assert_eq!(failed, 0, "in round {round}");
    }
}
