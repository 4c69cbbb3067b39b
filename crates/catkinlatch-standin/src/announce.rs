//! Repeats a target's announcement to all nodes.

use crate::client::Client;
use catkinlatch_route::Announcement;
use std::{net::SocketAddr, time::Duration};

/// How often a target renews its announcement.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// How long a node may take to answer an announcement.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Announces a target to each node once; a node that does not answer delays no other.
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
            log::debug!("standin: {} cannot announce itself: {error}", announcement.id);
        }
        Err(_) => log::debug!("standin: {node} does not answer {}", announcement.id),
    }
}
