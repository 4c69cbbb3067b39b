//! End-to-end tests of a cluster of six processes on loopback: killed, paused, isolated and wiped
//! hosts.
//!
//! The tests poll for an expected state instead of sleeping for a fixed time; a state that is not
//! reached within a minute fails the test.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::RequestId;
use catkinlatch_standin::{
    cluster::{Caller, Cluster, Layout, Outcomes},
    engine::{self, Engine},
    platform::Platform,
    service::Service,
};
use catkinlatch_state::config::{Edit, Key, Kind, Model, Route, Secret, Team};
use http::StatusCode;
use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::{Duration, Instant},
};
use tempfile::TempDir;
use tokio::time;

const HOSTS: usize = 6;

/// Pause between two requests that wait for a target.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time in which a target announces itself to a host that has restarted: it does so every second.
const ANNOUNCED_WITHIN: Duration = Duration::from_secs(3);

/// A running cluster with stand-ins for an engine, a service and the platform, and a configuration
/// in force.
struct Setup {
    cluster: Cluster,
    engine: Engine,
    service: Service,
    platform: Platform,
    secret: Secret,
    revision: u64,
    _folder: TempDir,
}

impl Setup {
    async fn start() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = Platform::start(any_port).await.unwrap();
        let folder = tempfile::tempdir().unwrap();
        let layout = Layout {
            program: PathBuf::from(env!("CARGO_BIN_EXE_catkinlatch")),
            folder: folder.path().to_path_buf(),
            hosts: HOSTS,
            disks: 3,
            platform: Some(platform.address()),
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
        let nodes = cluster.addresses();
        let (zone, options) = ("zone-1".parse().unwrap(), engine::Options::default());
        let (id, model) = ("engine-1".parse().unwrap(), "draft".parse().unwrap());
        let engine =
            Engine::start(id, model, zone, options, any_port, nodes.clone()).await.unwrap();
        let (id, route) = ("survey-1".parse().unwrap(), "survey".parse().unwrap());
        let zone = "zone-1".parse().unwrap();
        let service = Service::start(id, route, zone, any_port, nodes).await.unwrap();
        Self { cluster, engine, service, platform, secret, revision, _folder: folder }
    }

    fn caller(&self, name: &str) -> Caller {
        Caller::new(&self.cluster, &self.secret, name)
    }

    /// Waits until restarted hosts can reach both targets, which announce themselves there again one
    /// after the other; returns the outcomes of the service's requests meanwhile.
    async fn wait_for_targets(&self, caller: &mut Caller, hosts: &[usize]) -> Outcomes {
        let mut outcomes = Outcomes::default();
        for (served, host) in hosts.iter().enumerate() {
            let is_served = async || caller.chat(*host).await == Some(StatusCode::OK);
            self.cluster.wait("the engine on a restarted host", is_served).await.unwrap();
            let end = Instant::now() + ANNOUNCED_WITHIN;
            while outcomes.answered.len() <= served {
                assert!(Instant::now() < end, "no service on restarted host {host}");
                caller.send_request(*host, &mut outcomes).await;
                time::sleep(POLL_INTERVAL).await;
            }
        }
        outcomes
    }

    async fn stop(mut self) {
        self.cluster.kill_all().unwrap();
        self.engine.stop().await.unwrap();
        self.service.stop().await.unwrap();
        self.platform.stop().await.unwrap();
    }
}

fn configuration(secret: &Secret) -> Vec<Edit> {
    let team = Team::new("surveyors".parse().unwrap());
    let model = Model::new("draft".parse().unwrap());
    let draft = Route::new("draft".parse().unwrap(), Kind::Model(model.id.clone()));
    vec![
        Edit::PutTeam(team.clone()),
        Edit::PutKey(Key::new(team.id, secret)),
        Edit::PutModel(model),
        Edit::PutRoute(draft.with_idempotent(true)),
        Edit::PutRoute(Route::new("survey".parse().unwrap(), Kind::Service)),
    ]
}

/// Sends a service request and a chat request through each host and expects both to succeed.
async fn expect_responses(caller: &mut Caller, hosts: &[usize]) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for host in hosts {
        caller.send_request(*host, &mut outcomes).await;
        assert_eq!(caller.chat(*host).await, Some(StatusCode::OK), "host {host}");
    }
    assert_eq!(outcomes.answered.len(), hosts.len(), "{outcomes:?}");
    outcomes
}

fn no_violations() -> Vec<String> {
    Vec::new()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_through_each_host_reaches_a_target_once() {
    let setup = Setup::start().await;
    let outcomes = expect_responses(&mut setup.caller("each"), &[0, 1, 2, 3, 4, 5]).await;
    let runs: Vec<RequestId> = setup.service.runs();
    assert_eq!(outcomes.violations(&runs), no_violations());
    assert_eq!(runs.len(), HOSTS);
    setup.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_it_leaves_gets_nothing_more_though_it_announces_itself() {
    let setup = Setup::start().await;
    setup.service.set_leaving(true);
    let mut caller = setup.caller("leaving");
    let mut outcomes = Outcomes::default();
    caller.send_request(0, &mut outcomes).await;
    assert_eq!(outcomes.answered.len(), 1);
    setup.service.set_leaving(false);
    caller.send_request(0, &mut outcomes).await;
    assert_eq!(outcomes.not_run.len(), 1, "at once on the host that heard it");
    // Longer than two announcements.
    tokio::time::sleep(std::time::Duration::from_millis(2_500)).await;
    for host in 0..HOSTS {
        caller.send_request(host, &mut outcomes).await;
    }
    assert_eq!((outcomes.answered.len(), outcomes.not_run.len()), (1, 1 + HOSTS));
    assert_eq!(outcomes.violations(&setup.service.runs()), no_violations());
    setup.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_leader_is_replaced_and_rejoins_after_a_restart() {
    let mut setup = Setup::start().await;
    let mut caller = setup.caller("killed");
    let leader = setup.cluster.wait_for_leader(None).await.unwrap();
    setup.cluster.process(leader).kill().unwrap();
    setup.cluster.wait_for_leader(Some(leader)).await.unwrap();
    let rest: Vec<usize> = (0..HOSTS).filter(|host| *host != leader).collect();
    let mut outcomes = expect_responses(&mut caller, &rest).await;
    setup.cluster.process(leader).start().unwrap();
    setup.cluster.wait_until_serving(&[leader], setup.revision).await.unwrap();
    outcomes.add(setup.wait_for_targets(&mut caller, &[leader]).await);
    outcomes.add(expect_responses(&mut caller, &[leader]).await);
    assert_eq!(outcomes.violations(&setup.service.runs()), no_violations());
    setup.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_on_all_hosts_even_with_one_cut_off() {
    let setup = Setup::start().await;
    let leader = setup.cluster.wait_for_leader(None).await.unwrap();
    let isolated = (leader + 1) % HOSTS;
    setup.cluster.isolate(isolated);
    let edits = vec![Edit::WithdrawKey("surveyors".parse().unwrap())];
    setup.cluster.change(leader, "withdraw", edits).await.unwrap();
    let ready = setup.cluster.operator(isolated).get::<serde_json::Value>("/v1/ready").await;
    assert!(ready.is_err(), "an isolated host reports that it is ready");
    let mut caller = setup.caller("withdrawn");
    let mut outcomes = Outcomes::default();
    for host in 0..HOSTS {
        caller.send_request(host, &mut outcomes).await;
    }
    assert_eq!(outcomes.not_run.len(), HOSTS, "{outcomes:?}");
    assert!(setup.service.runs().is_empty());
    setup.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_leader_follows_the_new_leader_when_resumed() {
    let mut setup = Setup::start().await;
    let leader = setup.cluster.wait_for_leader(None).await.unwrap();
    setup.cluster.process(leader).pause().unwrap();
    let next = setup.cluster.wait_for_leader(Some(leader)).await.unwrap();
    let edits = vec![Edit::PutTeam(Team::new("harbour".parse().unwrap()))];
    let changed = setup.cluster.change(next, "while-paused", edits).await.unwrap();
    setup.cluster.process(leader).resume().unwrap();
    setup.cluster.wait_until_serving(&[leader], changed).await.unwrap();
    let outcomes = expect_responses(&mut setup.caller("paused"), &[leader, next]).await;
    assert_eq!(outcomes.violations(&setup.service.runs()), no_violations());
    setup.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_a_restart_of_all_hosts() {
    let mut setup = Setup::start().await;
    setup.cluster.kill_all().unwrap();
    setup.cluster.start_all().unwrap();
    let all: Vec<usize> = (0..HOSTS).collect();
    setup.cluster.wait_until_serving(&all, setup.revision).await.unwrap();
    let mut caller = setup.caller("restarted");
    let mut outcomes = setup.wait_for_targets(&mut caller, &all).await;
    outcomes.add(expect_responses(&mut caller, &all).await);
    assert_eq!(outcomes.violations(&setup.service.runs()), no_violations());
    setup.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wiped_voter_rejoins_and_a_killed_voter_is_replaced() {
    let mut setup = Setup::start().await;
    let leader = setup.cluster.wait_for_leader(None).await.unwrap();
    let wiped = (0..3).find(|host| *host != leader).unwrap();
    setup.cluster.process(wiped).kill().unwrap();
    setup.cluster.wipe(wiped).unwrap();
    setup.cluster.process(wiped).start().unwrap();
    setup.cluster.wait_until_serving(&[wiped], setup.revision).await.unwrap();
    let second = (0..3).find(|host| *host != leader && *host != wiped).unwrap();
    setup.cluster.process(second).kill().unwrap();
    setup
        .cluster
        .wait("a repair without the second host", async || {
            let status = setup.cluster.status(leader).await;
            let name = format!("host-{}", second + 1);
            status.is_some_and(|s| s.voters.iter().all(|voter| voter.as_str() != name))
        })
        .await
        .unwrap();
    let third = (3..HOSTS).find(|host| *host != leader).unwrap();
    setup.cluster.process(third).kill().unwrap();
    let left: Vec<usize> = (0..HOSTS).filter(|host| *host != second && *host != third).collect();
    setup.cluster.wait_until_serving(&left, setup.revision).await.unwrap();
    let mut caller = setup.caller("repaired");
    let mut outcomes = setup.wait_for_targets(&mut caller, &left).await;
    outcomes.add(expect_responses(&mut caller, &left).await);
    assert_eq!(outcomes.violations(&setup.service.runs()), no_violations());
    setup.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_overrides_permanently_lost_voters() {
    let mut setup = Setup::start().await;
    for lost in [0, 1, 3] {
        setup.cluster.process(lost).kill().unwrap();
    }
    setup.cluster.wait("no leader", async || setup.cluster.leader().await.is_none()).await.unwrap();
    let operator = setup.cluster.operator(2);
    let hosts = serde_json::json!({ "hosts": ["host-3", "host-5", "host-6"] });
    setup
        .cluster
        .wait("the override", async || {
            let answer = operator.post("/v1/cluster/override", &hosts).await;
            answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
        })
        .await
        .unwrap();
    setup.cluster.wait_until_serving(&[2, 4, 5], setup.revision).await.unwrap();
    let mut caller = setup.caller("overridden");
    let mut outcomes = setup.wait_for_targets(&mut caller, &[2, 4, 5]).await;
    outcomes.add(expect_responses(&mut caller, &[2, 4, 5]).await);
    assert_eq!(outcomes.violations(&setup.service.runs()), no_violations());
    setup.stop().await;
}
