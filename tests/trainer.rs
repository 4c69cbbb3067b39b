//! End-to-end tests of a trainer and a cluster of six processes on loopback.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use bytes::Bytes;
use catkinlatch_standin::{
    client::Client,
    cluster::{Cluster, Layout},
    engine::{Engine, Options},
};
use catkinlatch_state::config::{Edit, Key, Kind, Model, Route, Secret, Team, Trainer};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};
use tokio::time::{self, Instant};

const HOSTS: usize = 6;

/// The host that becomes the trainer's coordinator, since it is asked first.
const COORDINATOR: usize = 5;

/// The host that keeps the second copy: the first one in a zone other than the coordinator's.
const SECOND_HOLDER: usize = 0;

/// The host that the trainer asks while the others are stopped.
const ASKED: usize = 3;

/// How long both holders are stopped; longer than the delay after which another host takes over.
const PAUSE: Duration = Duration::from_secs(8);

/// Pause between two requests.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

const GROUPS: &str = "/v1/trainers/defects/groups";

fn configuration(secret: &Secret) -> Vec<Edit> {
    let team = Team::new("surveyors".parse().unwrap());
    let model = Model::new("draft".parse().unwrap());
    let trainer = Trainer::new("defects".parse().unwrap(), team.id.clone(), model.id.clone(), 2);
    vec![
        Edit::PutTeam(team.clone()),
        Edit::PutKey(Key::new(team.id, secret)),
        Edit::PutRoute(Route::new("draft".parse().unwrap(), Kind::Model(model.id.clone()))),
        Edit::PutModel(model.with_trainer(trainer.id.clone())),
        Edit::PutTrainer(trainer),
    ]
}

async fn take(client: &Client, number: u64) -> Option<(StatusCode, Bytes)> {
    let path = format!("/v1/trainers/defects/batches/{number}");
    let answer = client.send(Method::GET, &path, &[], Bytes::new());
    let answer = time::timeout(Duration::from_secs(6), answer).await.ok()?.ok()?;
    Some((answer.status(), answer.into_body()))
}

/// Asks until the batch comes; fails if it is called lost before.
async fn take_in_time(client: &Client, number: u64) -> Bytes {
    let until = Instant::now() + Duration::from_secs(60);
    while Instant::now() < until {
        match take(client, number).await {
            Some((StatusCode::OK, body)) => return body,
            Some((status, body)) => assert_ne!(status, StatusCode::GONE, "{body:?}"),
            None => {}
        }
        time::sleep(RETRY_PAUSE).await;
    }
    panic!("batch {number} does not come");
}

async fn post_group(cluster: &Cluster, client: &Client, name: &str) {
    let group = json!({ "id": name, "prompts": ["a crack", "a stain"], "max_tokens": 8 });
    let is_posted = async || {
        let answer = client.post(GROUPS, &group).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    };
    cluster.wait("a group is posted", is_posted).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_whose_holders_are_stopped_is_not_lost_and_not_delivered_again() {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let folder = tempfile::tempdir().unwrap();
    let layout = Layout {
        program: PathBuf::from(env!("CARGO_BIN_EXE_catkinlatch")),
        folder: folder.path().to_path_buf(),
        hosts: HOSTS,
        disks: 3,
        platform: None,
        usage_window_ms: 2_000,
        repair_after_ms: 3_000,
    };
    let mut cluster = Cluster::new(&layout).await.unwrap();
    cluster.start_all().unwrap();
    let all: Vec<usize> = (0..HOSTS).collect();
    cluster.wait_until_serving(&all, 0).await.unwrap();
    let secret = Secret::parse("ck_surveyors_0123456789abcdef0123456789abcdef").unwrap();
    let revision = cluster.change(0, "setup", configuration(&secret)).await.unwrap();
    cluster.wait_until_serving(&all, revision).await.unwrap();
    let client = |host: usize| Client::new(cluster.address(host)).with_key(secret.reveal());
    let (first, asked) = (client(COORDINATOR), client(ASKED));
    let engine = Engine::start(
        "engine-1".parse().unwrap(),
        "draft".parse().unwrap(),
        "zone-1".parse().unwrap(),
        Options::default(),
        any_port,
        cluster.addresses(),
    );
    let engine = engine.await.unwrap();

    post_group(&cluster, &first, "group-1").await;
    let batch = take_in_time(&first, 1).await;
    for holder in [COORDINATOR, SECOND_HOLDER] {
        cluster.process(holder).pause().unwrap();
    }
    let until = Instant::now() + PAUSE;
    let mut is_unknown = false;
    while Instant::now() < until {
        if let Some((status, body)) = take(&asked, 1).await {
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{body:?}");
            let refusal: Value = serde_json::from_slice(&body).unwrap_or_default();
            is_unknown |= refusal["error_code"] == "not_known_yet";
        }
        time::sleep(RETRY_PAUSE).await;
    }
    for holder in [COORDINATOR, SECOND_HOLDER] {
        cluster.process(holder).resume().unwrap();
    }
    assert!(is_unknown, "nobody was told that the batch may be lost");
    assert_eq!(take_in_time(&asked, 1).await, batch, "a holder returns the same bytes");
    post_group(&cluster, &asked, "group-2").await;
    let next = take_in_time(&asked, 2).await;
    assert!(!String::from_utf8_lossy(&next).contains("group-1"), "{next:?}");
    cluster.kill_all().unwrap();
    engine.stop().await.unwrap();
}
