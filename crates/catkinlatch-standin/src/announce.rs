//! Repeats a target's announcement to all nodes.

use crate::client::Client;
use catkinlatch_route::Announcement;
use std::{net::SocketAddr, time::Duration};

/// How often a target renews its announcement.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// Announces a target to each node once.
pub async fn announce(nodes: &[SocketAddr], announcement: &Announcement) {
    for node in nodes {
        let sent = Client::new(*node).post("/v1/targets/announce", announcement).await;
        if let Err(error) = sent {
            log::debug!("standin: {} cannot announce itself: {error}", announcement.id);
        }
    }
}
