//! Orders and usage reports from a node to a platform whose answers are late or lost.

use catkinlatch_base::{HostId, OrderId, ZoneId};
use catkinlatch_node::{Server, Settings, order};
use catkinlatch_standin::platform::{Fault, Market, Platform, Reports};
use catkinlatch_state::order::{Action, Stage};
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use test_case::test_case;

/// Length of a usage window, in milliseconds.
const WINDOW_MS: u64 = 200;

/// A node connected to a stand-in platform.
struct Setup {
    server: Server,
    platform: Platform,
}

impl Setup {
    async fn start(checks_fencing: bool) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (market, reports) = (Market::new(checks_fencing), Reports::new(checks_fencing));
        let platform = Platform::start_with(any_port, market, reports).await;
        let platform = platform.expect("the port is free");
        let host: HostId = "host-1".parse().expect("the id is valid");
        let settings = Settings::loopback(host, zone())
            .with_platform(platform.address().to_string())
            .with_usage_window_ms(WINDOW_MS);
        let server = Server::start(settings).await.expect("the ports are free");
        Self { server, platform }
    }

    async fn execute(&self, id: &str, action: Action) -> Option<Stage> {
        let id: OrderId = id.parse().expect("the id is valid");
        order::execute(self.server.node(), id, action).await
    }

    async fn stop(self) {
        self.server.stop().await.expect("the server stops");
        self.platform.stop().await.expect("the platform stops");
    }
}

fn zone() -> ZoneId {
    "zone-a".parse().expect("the id is valid")
}

fn start() -> Action {
    Action::Start { role: "draft".into(), zone: zone(), price_class: "cheap".into() }
}

#[test_case(None, 1; "answered")]
#[test_case(Some(Fault::Late(Duration::from_secs(3))), 1; "late")]
#[test_case(Some(Fault::Lost), 1; "lost")]
#[test_case(Some(Fault::Error), 1; "error")]
#[test_case(Some(Fault::Ignored), 1; "ignored")]
#[tokio::test]
async fn one_order_starts_one_target(fault: Option<Fault>, targets: usize) {
    let setup = Setup::start(true).await;
    fault.into_iter().for_each(|fault| setup.platform.fail_next(fault));
    assert_eq!(setup.execute("start-1", start()).await, Some(Stage::Done));
    assert_eq!(setup.platform.targets().len(), targets);
    let node = setup.server.node();
    assert_eq!(node.control.state().orders().billing_periods().running().count(), targets);
    setup.stop().await;
}

#[tokio::test]
async fn an_order_without_capacity_is_unavailable() {
    let setup = Setup::start(true).await;
    setup.platform.set_available(&zone(), "cheap", false);
    assert_eq!(setup.execute("start-1", start()).await, Some(Stage::Unavailable));
    assert!(setup.platform.targets().is_empty());
    setup.stop().await;
}

#[tokio::test]
async fn an_order_without_any_answer_has_an_unknown_outcome() {
    let setup = Setup::start(true).await;
    let settings = &setup.server.node().settings;
    assert_eq!(settings.platform, Some(setup.platform.address().to_string()));
    (0..20).for_each(|_| setup.platform.fail_next(Fault::Ignored));
    assert_eq!(setup.execute("start-1", start()).await, Some(Stage::Unknown));
    setup.stop().await;
}

#[test_case(true; "fencing checked")]
#[test_case(false; "fencing ignored")]
#[tokio::test]
async fn lost_confirmations_leave_one_report_per_window(checks_fencing: bool) {
    let setup = Setup::start(checks_fencing).await;
    [Fault::Lost, Fault::Error, Fault::Ignored]
        .into_iter()
        .for_each(|fault| setup.platform.fail_next(fault));
    let mut changes = setup.server.node().control.changes();
    let confirmed = || {
        let state = setup.server.node().control.state();
        state.windows().list().values().filter(|window| window.reported).count()
    };
    while confirmed() < 3 {
        changes.changed().await.expect("the node runs");
    }
    let windows: Vec<_> = setup.platform.reports().iter().map(|report| report.window).collect();
    let mut unique = windows.clone();
    unique.dedup();
    assert_eq!((windows, setup.platform.conflicts()), (unique, 0));
    setup.stop().await;
}
