//! An entry host that loses its paths to all targets, while callers and other hosts reach it.

use super::{Setup, list, ok, wait_until};
use catkinlatch_runtime::{
    Settings,
    http::{Client, full},
};
use catkinlatch_standin::{
    cut::{self, Cut},
    site::{self, Host},
};
use http::StatusCode;
use std::{ops::RangeInclusive, sync::atomic::Ordering, time::Duration};
use test_case::test_case;
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{self, Instant},
};

/// Hosts that are cut off, which run in the process of the test.
struct CutHosts {
    cut: watch::Sender<Cut>,
    _stop: watch::Sender<bool>,
    running: Vec<JoinHandle<()>>,
}

impl Drop for CutHosts {
    fn drop(&mut self) {
        self.running.iter().for_each(JoinHandle::abort);
    }
}

/// The number of the entry host that is cut off.
const CUT_OFF: usize = 1;

/// Starts a deployment whose second entry host can be cut off.
async fn start() -> (Setup, CutHosts) {
    let mut setup = Setup::start().await;
    let hosts = run_here(&mut setup, 3 + CUT_OFF..=3 + CUT_OFF);
    wait_until("the host serves again", || async {
        setup.request(CUT_OFF, "POST", "/survey/1", "again", "").await.is_some_and(ok)
    })
    .await;
    (setup, hosts)
}

/// Restarts hosts of a deployment in this process, so that they can be cut off.
fn run_here(setup: &mut Setup, numbers: RangeInclusive<usize>) -> CutHosts {
    let (cut, (stop, stopped)) = (watch::Sender::new(Cut::None), watch::channel(false));
    let run = |host: &mut Host| {
        host.kill().unwrap();
        let settings = Settings::load(host.settings()).unwrap();
        let (connect, stopped) = (cut::connect(cut.subscribe()), stopped.clone());
        tokio::spawn(async move {
            if settings.control_address.is_some() {
                catkinlatch_store::run_with(settings, connect, stopped).await.unwrap();
            } else {
                catkinlatch_entry::run_with(settings, connect, stopped).await.unwrap();
            }
        })
    };
    let running = setup.site.hosts[numbers].iter_mut().map(run).collect();
    CutHosts { cut, _stop: stop, running }
}

/// Sends requests to the host that is cut off, one each 100 ms; returns how many were served.
async fn serve(setup: &Setup, path: &str, name: &str, count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let began = Instant::now();
        let id = format!("{name}-{number}");
        let answer = setup.request(CUT_OFF, "POST", path, &id, "").await;
        if let Some(answer) = answer.filter(|answer| answer.status() == StatusCode::OK) {
            assert_eq!(answer.headers()["server-seal"], format!("seal-of-{id}"));
            assert_eq!(answer.body(), &format!("answer to {id}"));
            served += 1;
        }
        time::sleep_until(began + Duration::from_millis(100)).await;
    }
    served
}

#[test_case(Cut::Silent; "silent")]
#[test_case(Cut::Reset; "reset")]
#[test_case(Cut::Refuse; "refuse")]
#[test_case(Cut::Close; "close")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_a_host_cut_off_from_all_targets_are_served(cut: Cut) {
    let (setup, host) = start().await;
    host.cut.send_replace(cut);
    serve(&setup, "/survey/1", "first", 1).await;
    assert_eq!(serve(&setup, "/survey/1", "cut", 20).await, 20);
    host.cut.send_replace(Cut::None);
    assert_eq!(serve(&setup, "/survey/1", "after", 20).await, 20);
}

#[test_case(Cut::Silent; "silent")]
#[test_case(Cut::Close; "close")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_through_another_host_that_may_run_once_run_once(cut: Cut) {
    let (setup, host) = start().await;
    host.cut.send_replace(cut);
    serve(&setup, "/survey/1", "first", 1).await;
    assert_eq!(serve(&setup, "/file/1", "once", 10).await, 10);
    for number in 0..10 {
        assert_eq!(setup.service.runs(&format!("once-{number}")), 1);
    }
    let headers = setup.service.headers_of_runs.lock().unwrap()["once-3"][0].clone();
    assert_eq!((headers["tenant"].as_str(), headers.contains_key("x-api-key")), ("team", false));
    let deadline: u64 = headers["deadline-ms"].parse().unwrap();
    assert!((1_000..=2_000).contains(&deadline), "{deadline}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_was_sent_before_the_cut_and_may_run_once_runs_once() {
    let (setup, host) = start().await;
    *setup.service.run_time.lock().unwrap() = Duration::from_millis(200);
    let cutting = async {
        time::sleep(Duration::from_millis(100)).await;
        host.cut.send_replace(Cut::Silent);
    };
    let sending = setup.request(CUT_OFF, "POST", "/file/1", "lost", "");
    let (answer, ()) = tokio::join!(sending, cutting);
    let status = answer.unwrap().status();
    assert!(status == StatusCode::BAD_GATEWAY || status == StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(setup.service.runs("lost"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_stops_work_on_a_relayed_request_whose_caller_has_left() {
    let (setup, host) = start().await;
    host.cut.send_replace(Cut::Silent);
    serve(&setup, "/survey/1", "first", 2).await;
    *setup.service.run_time.lock().unwrap() = Duration::from_millis(1_500);
    let before = setup.service.abandoned.load(Ordering::Relaxed);
    let request = setup.request(CUT_OFF, "POST", "/survey/1", "left", "");
    assert!(time::timeout(Duration::from_millis(200), request).await.is_err());
    let abandoned = async {
        while setup.service.abandoned.load(Ordering::Relaxed) == before {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(time::timeout(Duration::from_millis(500), abandoned).await.is_ok());
}

#[test_case(false; "killed")]
#[test_case(true; "paused")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_loss_of_the_host_that_relays_costs_no_further_request(is_paused: bool) {
    let (mut setup, host) = start().await;
    host.cut.send_replace(Cut::Silent);
    serve(&setup, "/survey/1", "first", 5).await;
    let helper = &mut setup.site.hosts[3];
    if is_paused {
        helper.pause().unwrap();
    } else {
        helper.kill().unwrap();
    }
    // Those with a disk relay when no other entry host does.
    serve(&setup, "/survey/1", "lost", 3).await;
    assert_eq!(serve(&setup, "/survey/1", "cut", 10).await, 10);
    setup.site.hosts[3].resume().unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_through_another_host_when_its_path_is_cut() {
    let (setup, host) = start().await;
    let mut stream = super::Stream::open_at(&setup, CUT_OFF, "/chat/1", "talk").await;
    stream.read_events(1).await;
    host.cut.send_replace(Cut::Silent);
    assert!(stream.read_to_end().await);
    assert_eq!(stream.events(), [1, 2, 3, 4, 5]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_are_accepted_and_read_at_a_host_cut_off_from_targets() {
    let (setup, host) = start().await;
    host.cut.send_replace(Cut::Silent);
    setup.submit("job-1", 1, 4).await;
    let results = setup.results(CUT_OFF, "job-1", 4).await;
    super::check(&results, &[1]);
    let answer = setup.request(CUT_OFF, "GET", "/lots/job-1?after=0", "", "").await.unwrap();
    assert_eq!(list(&answer), results);
}

#[test_case(Cut::Silent; "silent")]
#[test_case(Cut::Close; "close")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_run_while_the_leader_is_cut_off_from_targets(cut: Cut) {
    let mut setup = Setup::start().await;
    let hosts = run_here(&mut setup, 0..=2);
    setup.submit("job-1", 1, 4).await;
    super::check(&setup.results(0, "job-1", 4).await, &[1]);
    hosts.cut.send_replace(cut);
    setup.submit("job-2", 1, 6).await;
    super::check(&setup.results(0, "job-2", 6).await, &[1]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relayed_request_that_may_run_once_is_not_said_to_be_unrun_when_its_relay_dies() {
    let (mut setup, host) = start().await;
    host.cut.send_replace(Cut::Silent);
    serve(&setup, "/survey/1", "first", 5).await;
    *setup.service.run_time.lock().unwrap() = Duration::from_millis(600);
    let address = setup.site.entries()[CUT_OFF].address(setup.site.ports.callers);
    let request = site::request("POST", "/file/1", "once", Duration::from_secs(3));
    let request = request.body(full("")).unwrap();
    let sending = tokio::spawn(async move {
        Client::new().fetch(&address, request, Duration::from_secs(5), 1 << 20).await
    });
    let arrivals = setup.service.arrivals.clone();
    wait_until("the request runs", || async { arrivals.lock().unwrap().contains_key("once") })
        .await;
    setup.site.hosts[3].kill().unwrap();
    let status = sending.await.unwrap().unwrap().status();
    assert!(status == StatusCode::BAD_GATEWAY || status == StatusCode::GATEWAY_TIMEOUT, "{status}");
    assert_eq!(arrivals.lock().unwrap()["once"].len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_relays_to_known_targets_of_authenticated_hosts_only() {
    use catkinlatch_runtime::relay::{Answer, Request};
    use catkinlatch_wire::{Frame, Hello, Secret, codec, connect_for_tunnels};

    let (setup, _host) = start().await;
    let address = setup.site.entries()[0].address(setup.site.ports.peers).parse().unwrap();
    let hello = Hello {
        protocol: catkinlatch_wire::PROTOCOL,
        cluster: "catkinlatch".parse().unwrap(),
        host: "127.0.0.99".parse().unwrap(),
        incarnation: catkinlatch_base::Incarnation::new(9),
        zone: "zone-0".parse().unwrap(),
        settings_digest: [0; 32],
    };
    let wrong = connect_for_tunnels(address, &hello, &Secret::new("wrong")).await;
    assert!(wrong.is_err());
    let (session, driver) = connect_for_tunnels(address, &hello, &Secret::new("")).await.unwrap();
    tokio::spawn(driver);
    let known = setup.service.target.address.to_string();
    let unknown = setup.site.stores()[0].address(setup.site.ports.control);
    for (address, expected) in [(known, Answer::Opened), (unknown, Answer::UnknownTarget)] {
        let frame = Frame::new(codec::encode(&Request { address }));
        let (answer, _tunnel) = session.open_tunnel(&frame).await.unwrap();
        assert_eq!(codec::decode::<Answer>(&answer.payload).unwrap(), expected);
    }
}
