//! An entry host whose view is older than what the leader has told other hosts.

use super::{configuration, ok, wait_until};
use catkinlatch_platform::{decode_configuration, decode_registration};
use catkinlatch_runtime::{
    Message, Reply,
    message::{View, ViewVersion},
};
use catkinlatch_standin::site::{self, Engine, Shape, Site};
use catkinlatch_wire::{Frame, Hello, PROTOCOL, Secret, codec};
use http::StatusCode;
use serde_json::json;
use std::{
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, time};

/// The address of the stand-in for the leader.
const LEADER: &str = "127.0.0.99";

/// What the stand-in for the leader tells the host that follows it.
struct Leader {
    view: View,
    /// Whether waiting polls miss changes of the view, as if the answer were lost on its way.
    loses_news: bool,
}

/// Answers a message as a leader does that knows no origin of any stream.
async fn answer(leader: Arc<Mutex<Leader>>, frame: Frame) -> Option<Frame> {
    let reply = match codec::decode(&frame.payload).ok()? {
        Message::Greeting => Reply::Nothing,
        Message::FindOrigin(_) => Reply::Origin(None),
        Message::Follow(follow) => {
            let until = Instant::now() + Duration::from_millis(follow.wait_ms);
            loop {
                let newer = {
                    let leader = leader.lock().unwrap();
                    let is_newer = leader.view.view_version != follow.view_version;
                    let is_lost = leader.loses_news && follow.wait_ms > 0;
                    (is_newer && !is_lost).then(|| leader.view.clone())
                };
                match newer {
                    Some(view) => break Reply::Followed(Box::new(view)),
                    None if Instant::now() >= until => break Reply::Nothing,
                    None => time::sleep(Duration::from_millis(5)).await,
                }
            }
        }
        _ => Reply::Done,
    };
    Some(Frame::new(codec::encode(&reply)))
}

/// Starts the stand-in for the leader at the port that the hosts of `site` use.
async fn serve(site: &Site, leader: Arc<Mutex<Leader>>) {
    let local = Hello {
        protocol: PROTOCOL,
        cluster: "catkinlatch".parse().unwrap(),
        host: LEADER.parse().unwrap(),
        incarnation: catkinlatch_base::Incarnation::new(7),
        zone: "zone-0".parse().unwrap(),
        settings_digest: [0; 32],
    };
    let listener = TcpListener::bind((LEADER, site.ports.peers)).await.unwrap();
    let handler = move |_: Hello, frame: Frame| answer(leader.clone(), frame);
    tokio::spawn(catkinlatch_wire::serve(listener, local, Secret::new(""), handler));
}

/// Adds an engine of a build to the view.
async fn add_engine(leader: &Mutex<Leader>, id: &str, build: &str) -> Engine {
    let nowhere = vec!["127.0.0.1:9".to_owned()];
    let engine = Engine::start_build("zone-0", id, "drafts", nowhere, build).await.unwrap();
    let body = json!({
        "service": "drafts", "address": engine.target.address, "zone": "zone-0", "version": build,
        "slots": 8, "state": "ready", "models": [{"name": "model", "version": 1}], "seq": 1,
    });
    let target = decode_registration(id.parse().unwrap(), body.to_string().as_bytes(), 0).unwrap();
    let mut leader = leader.lock().unwrap();
    leader.view.targets.push(target);
    leader.view.view_version.revision += 1;
    engine
}

/// Takes up a stream that no host knows after its second event; returns the status.
async fn resume(site: &Site, id: &str) -> Option<StatusCode> {
    let request = site::request("POST", "/chat/1", id, Duration::from_secs(5));
    let request = request.header("last-event-id", "2").header("resumes", format!("before-{id}"));
    let address = site.entries()[0].address(site.ports.callers);
    let answer = site.call(&address, request.body(b"ask".to_vec()).unwrap()).await;
    answer.map(|answer| answer.status())
}

/// Guards against a host that takes the one build of an old view for the one that began a stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_with_an_old_view_goes_on_with_no_stream_of_a_newer_build() {
    let folder = tempfile::tempdir().unwrap();
    let program = PathBuf::from(env!("CARGO_BIN_EXE_catkinlatch"));
    let adjust = |_: usize, settings: &mut serde_json::Value| {
        settings["seeds"] = json!([format!("{LEADER}:1")]);
    };
    let shape = Shape { stores: 0, entries: 1, adjust: &adjust };
    let site = Site::start_shaped(&program, folder.path(), &shape).await.unwrap();
    let configuration = decode_configuration(configuration(1).as_bytes()).unwrap();
    let view = View {
        view_version: ViewVersion { term: catkinlatch_base::Term::new(1), revision: 1 },
        configuration: Some(Arc::new(configuration)),
        targets: Vec::new(),
        tombstones: Vec::new(),
        entries: Vec::new(),
        stores: vec![LEADER.parse().unwrap()],
    };
    let leader = Arc::new(Mutex::new(Leader { view, loses_news: false }));
    let _first = add_engine(&leader, "engine-1", "v1").await;
    serve(&site, leader.clone()).await;
    wait_until("the host serves streams", || async {
        let request = site::request("POST", "/chat/1", "first", Duration::from_secs(5));
        let address = site.entries()[0].address(site.ports.callers);
        site.call(&address, request.body(b"ask".to_vec()).unwrap()).await.is_some_and(ok)
    })
    .await;
    assert_eq!(resume(&site, "only-build").await, Some(StatusCode::OK));
    leader.lock().unwrap().loses_news = true;
    let _newer = add_engine(&leader, "engine-2", "v2").await;
    let status = resume(&site, "old-view").await;
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE), "{}", site.entries()[0].log());
}
