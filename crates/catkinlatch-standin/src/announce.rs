//! Sends a target's announcements to all nodes.

use crate::client::Client;
use catkinlatch_route::Announcement;
use std::{net::SocketAddr, time::Duration};

/// Interval at which a target repeats its announcement.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of an announcement to one node.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Announces a target once to each node, concurrently, and returns when all nodes have answered or
/// timed out. Failures are only logged.
pub async fn announce(nodes: &[SocketAddr], announcement: &Announcement) {
    let all = nodes.iter().map(|node| announce_to(*node, announcement));
    futures::future::join_all(all).await;
}

async fn announce_to(node: SocketAddr, announcement: &Announcement) {
    let client = Client::new(node);
    let sending = client.post("/v1/targets/announce", announcement);
    match tokio::time::timeout(TIMEOUT, sending).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => {
            log::debug!("standin: cannot announce {}: {error}", announcement.id);
        }
        Err(_) => log::debug!(
            "standin: {node} did not answer the announcement of {} in time",
            announcement.id
        ),
    }
}
