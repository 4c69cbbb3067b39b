//! A trainer whose coordinator runs on another host, or is stopped.

use bytes::Bytes;
use catkinlatch_base::{TeamId, TrainerId};
use catkinlatch_node::{
    Server, Settings,
    settings::{Credential, Peer},
};
use catkinlatch_rollout::pool::Group;
use catkinlatch_standin::{
    client::Client,
    engine::{Engine, Options},
};
use catkinlatch_state::config::{Change, Edit, Key, Kind, Model, Route, Secret, Team, Trainer};
use http::{Method, StatusCode};
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Duration,
};

/// How long a test waits for a final answer.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause of a client before it sends a request again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the id is valid")
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    listener.local_addr().expect("the port is bound")
}

/// Returns the settings of three hosts without disks, all of them initial voters.
fn settings() -> Vec<Settings> {
    let peer = |number: usize| Peer {
        host: id(&format!("host-{number}")),
        zone: id(&format!("zone-{number}")),
        region: None,
        peer_address: free_address().to_string(),
        advertise: "127.0.0.1:1".to_owned(),
        operator_address: "127.0.0.1:2".to_owned(),
        disk: false,
    };
    let peers: Vec<Peer> = (1..=3).map(peer).collect();
    let node = |own: &Peer| Settings {
        peer_listen: own.peer_address.parse().expect("the address is valid"),
        initial_voters: peers.iter().map(|peer| peer.host.clone()).collect(),
        peers: peers.clone(),
        cluster_secret: Some(Credential::new("a secret of the test")),
        ..Settings::loopback(own.host.clone(), own.zone.clone())
    };
    peers.iter().map(node).collect()
}

/// Sends a request, with retries on connection errors, 503 Service Unavailable and 408 Request
/// Timeout, and returns the first other answer.
async fn send_with_retries(
    client: &Client,
    method: Method,
    path: &str,
    body: Bytes,
) -> (StatusCode, Bytes) {
    let retries = async {
        loop {
            let answer = client.send(method.clone(), path, &[], body.clone()).await;
            if let Ok(answer) = answer
                && answer.status() != StatusCode::SERVICE_UNAVAILABLE
                && answer.status() != StatusCode::REQUEST_TIMEOUT
            {
                return (answer.status(), answer.into_body());
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, retries).await.expect("a final answer arrives in time")
}

async fn post(client: &Client, name: &str) {
    let group = Group { id: id(name), prompts: vec!["a crack".to_owned(); 2], max_tokens: 8 };
    let body = Bytes::from(serde_json::to_vec(&group).expect("a group serializes"));
    let (status, body) =
        send_with_retries(client, Method::POST, "/v1/trainers/defects/groups", body).await;
    assert!(status.is_success(), "{status}: {body:?}");
}

async fn take(client: &Client, number: u64) -> Bytes {
    let path = format!("/v1/trainers/defects/batches/{number}");
    let (status, body) = send_with_retries(client, Method::GET, &path, Bytes::new()).await;
    assert_eq!(status, StatusCode::OK, "{body:?}");
    body
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_and_open_groups_survive_the_loss_of_the_coordinator() {
    let mut servers = Vec::new();
    for settings in settings() {
        servers.push(Server::start(settings).await.expect("the node starts"));
    }
    let nodes: Vec<SocketAddr> = servers.iter().map(Server::address).collect();
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let options = Options::default();
    let engine = Engine::start(id("engine-1"), id("draft"), id("zone-1"), options, listen, nodes);
    let _engine = engine.await.expect("the engine starts");
    let secret = Secret::generate_insecure(id("surveyors-1"), &mut fastrand::Rng::with_seed(1));
    let (team, trainer): (TeamId, TrainerId) = (id("surveyors"), id("defects"));
    let edits = vec![
        Edit::PutTeam(Team::new(team.clone())),
        Edit::PutKey(Key::new(team.clone(), &secret)),
        Edit::PutModel(Model::new(id("draft")).with_trainer(trainer.clone())),
        Edit::PutRoute(Route::new(id("draft"), Kind::Model(id("draft")))),
        Edit::PutTrainer(Trainer::new(trainer, team, id("draft"), 2)),
    ];
    let change = Change { request: id("setup"), base: None, edits };
    let operator = Client::new(servers[1].operator_address());
    let body = Bytes::from(serde_json::to_vec(&change).expect("a change serializes"));
    let changed = send_with_retries(&operator, Method::POST, "/v1/config/changes", body).await;
    assert!(changed.0.is_success(), "{changed:?}");
    let client = |server: &Server| Client::new(server.address()).with_key(secret.reveal());
    let (first, second) = (client(&servers[0]), client(&servers[1]));
    post(&first, "group-1").await;
    let batch = take(&second, 1).await;
    assert_eq!(take(&first, 1).await, batch, "the coordinator returns the same bytes");
    post(&second, "group-2").await;
    drop(servers.remove(0));
    assert_eq!(take(&second, 1).await, batch, "a replica returns the same bytes");
    let next = take(&second, 2).await;
    assert!(String::from_utf8_lossy(&next).contains("group-2"));
    assert_eq!(take(&second, 2).await, next);
}
