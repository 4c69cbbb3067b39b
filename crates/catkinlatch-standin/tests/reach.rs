//! A node that loses its paths to all targets, while callers and other nodes reach it.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use bytes::Bytes;
use catkinlatch_node::{
    Server, Settings,
    settings::{Credential, Peer},
};
use catkinlatch_runtime::http::dialer;
use catkinlatch_standin::{
    client::Client,
    cut::{self, Cut},
    service::Service,
};
use catkinlatch_state::config::{Change, Edit, Key, Kind, Route, Secret, Team};
use http::{Method, StatusCode};
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Duration,
};
use test_case::test_case;
use tokio::{sync::watch, time};

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

/// Returns the settings of three hosts without disks, all of them initial voters.
fn settings() -> Vec<Settings> {
    let free_address = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr();
    let peer = |number: usize| Peer {
        host: id(&format!("host-{number}")),
        zone: id(&format!("zone-{number}")),
        region: None,
        peer_address: free_address().unwrap().to_string(),
        advertise: "127.0.0.1:1".to_owned(),
        operator_address: "127.0.0.1:2".to_owned(),
        disk: false,
    };
    let peers: Vec<Peer> = (1..=3).map(peer).collect();
    let node = |own: &Peer| Settings {
        peer_listen: own.peer_address.parse().unwrap(),
        initial_voters: peers.iter().map(|peer| peer.host.clone()).collect(),
        peers: peers.clone(),
        cluster_secret: Some(Credential::new("a secret of the test")),
        ..Settings::loopback(own.host.clone(), own.zone.clone())
    };
    peers.iter().map(node).collect()
}

/// Three nodes, of which the first can be cut off, with two stand-in services.
struct Setup {
    servers: Vec<Server>,
    services: Vec<Service>,
    cut: watch::Sender<Cut>,
    caller: Client,
}

impl Setup {
    async fn start() -> Self {
        let cut = watch::Sender::new(Cut::None);
        let mut servers = Vec::new();
        for (number, settings) in settings().into_iter().enumerate() {
            let connect = match number {
                0 => cut::connect(cut.subscribe()),
                _ => dialer::tcp(false),
            };
            servers.push(Server::start_with(settings, connect).await.unwrap());
        }
        let nodes: Vec<SocketAddr> = servers.iter().map(Server::address).collect();
        let mut services = Vec::new();
        for name in ["survey-1", "survey-2"] {
            let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let service =
                Service::start(id(name), id("survey"), id("zone-1"), listen, nodes.clone());
            services.push(service.await.unwrap());
        }
        let secret = Secret::generate_insecure(id("key-1"), &mut fastrand::Rng::with_seed(1));
        let edits = vec![
            Edit::PutTeam(Team::new(id("surveyors"))),
            Edit::PutKey(Key::new(id("surveyors"), &secret)),
            Edit::PutRoute(Route::new(id("survey"), Kind::Service).with_idempotent(true)),
        ];
        let change = Change { request: id("setup"), base: None, edits };
        let caller = Client::new(servers[0].address()).with_key(secret.reveal());
        let setup = Self { servers, services, cut, caller };
        let operator = Client::new(setup.servers[1].operator_address());
        let ready = async {
            while !operator
                .post("/v1/config/changes", &change)
                .await
                .is_ok_and(|answer| answer.status().is_success())
            {
                time::sleep(Duration::from_millis(100)).await;
            }
            while setup.serve(1).await == 0 {}
        };
        time::timeout(Duration::from_secs(60), ready).await.unwrap();
        setup
    }

    /// Sends requests to the first node, one each 100 ms; returns how many were served.
    async fn serve(&self, count: usize) -> usize {
        let mut served = 0;
        for _ in 0..count {
            let path = "/v1/services/survey/records/7";
            let answer = self.caller.send(Method::POST, path, &[], Bytes::from("record")).await;
            served += usize::from(answer.is_ok_and(|answer| answer.status() == StatusCode::OK));
            time::sleep(Duration::from_millis(100)).await;
        }
        served
    }

    async fn stop(self) {
        for server in self.servers {
            server.stop().await.unwrap();
        }
        for service in self.services {
            service.stop().await.unwrap();
        }
    }
}

#[test_case(Cut::Silent; "silent")]
#[test_case(Cut::Reset; "reset")]
#[test_case(Cut::Close; "close")]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_node_cut_off_from_all_targets_are_served(cut: Cut) {
    let setup = Setup::start().await;
    setup.cut.send_replace(cut);
    setup.serve(1).await;
    assert_eq!(setup.serve(10).await, 10);
    setup.cut.send_replace(Cut::None);
    assert_eq!(setup.serve(20).await, 20);
    setup.stop().await;
}
