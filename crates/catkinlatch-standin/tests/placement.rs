//! Placement of targets over the zones of a platform.

use catkinlatch_base::{HostId, ZoneId};
use catkinlatch_node::{Server, Settings};
use catkinlatch_standin::platform::Platform;
use catkinlatch_state::{
    Command,
    config::{Change, Edit, Model, PriceClass, Zone},
};
use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Minimum number of targets that must be left after the loss of any one zone.
const LIVE_FLOOR: usize = 2;

fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("the id is valid")
}

/// Starts a platform and a node with three zones, two price classes and a model with a live floor.
async fn start() -> (Server, Platform) {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let platform = Platform::start(any_port).await.expect("the port is free");
    let settings = Settings::loopback(id::<HostId>("host-1"), id::<ZoneId>("zone-a"))
        .with_platform(platform.address().to_string());
    let server = Server::start(settings).await.expect("the ports are free");
    let mut edits: Vec<Edit> = ZONES.map(|zone| Edit::PutZone(Zone::new(id(zone)))).into();
    edits.push(Edit::PutPriceClass(PriceClass::new(id("full"), 1_000)));
    let cheap = PriceClass::new(id("cheap"), 350).with_may_vanish(true);
    edits.push(Edit::PutPriceClass(cheap));
    let model = Model::new(id("draft")).with_live_floor(LIVE_FLOOR as u32);
    edits.push(Edit::PutModel(model));
    let change = Change { request: id("setup"), base: None, edits };
    server.node().control.propose(Command::Config(change)).await.expect("there is a leader");
    (server, platform)
}

/// Returns the number of targets that the node knows to be running.
fn running(server: &Server) -> usize {
    server.node().control.state().orders().billing_periods().running().count()
}

/// Waits until the platform runs `count` targets and the node has recorded as many.
async fn wait_for(server: &Server, platform: &Platform, count: usize) {
    while platform.targets().len() != count || running(server) != count {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns whether the live floor is still met after the loss of any one zone.
fn survives_a_zone(platform: &Platform) -> bool {
    let targets = platform.targets();
    let left =
        |zone: &&str| targets.iter().filter(|run| run.listed.zone != id::<ZoneId>(zone)).count();
    ZONES.iter().all(|zone| left(zone) >= LIVE_FLOOR)
}

#[tokio::test]
async fn live_floor_is_spread_over_zones_and_restored_after_a_loss() {
    let (server, platform) = start().await;
    wait_for(&server, &platform, LIVE_FLOOR + 1).await;
    let zones: BTreeSet<ZoneId> =
        platform.targets().into_iter().map(|run| run.listed.zone).collect();
    assert_eq!(zones.len(), ZONES.len());
    assert!(platform.targets().iter().all(|run| run.listed.price_class == "cheap"));
    platform.set_available(&id("zone-b"), "cheap", false);
    platform.reclaim(&id("zone-b"), "cheap");
    while running(&server) != platform.targets().len() || !survives_a_zone(&platform) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    server.stop().await.expect("the server stops");
    platform.stop().await.expect("the platform stops");
}
