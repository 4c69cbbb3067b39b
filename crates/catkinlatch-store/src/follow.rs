//! Replicates the leader's soft state to a follower, so that it can take over.

use crate::host::Host;
use catkinlatch_runtime::{
    Answer, Message, Reply,
    message::{Follow, Role, ViewVersion},
};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// How long the leader may hold a long poll open until its view changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for one long poll, including all attempts to find the leader.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay before the next attempt while no other host leads, or after a failed poll.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// How long the leader may hold a long poll for the suspects open.
const SUSPECTS_POLL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Timeout for one long poll for the suspects, including all attempts to find the leader.
const SUSPECTS_REQUEST_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Delay after a failed poll for the suspects.
const SUSPECTS_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the leader for changes of its view; never returns.
pub async fn run(host: Arc<Host>) {
    let mut view_version = ViewVersion::default();
    let mut status = host.replica.status();
    loop {
        status.mark_unchanged();
        let Some(leader) = host.other_leader() else {
            view_version = ViewVersion::default();
            // What a new leader learns is lost with it until another host has polled it.
            let _ = time::timeout(RETRY_INTERVAL, status.changed()).await;
            continue;
        };
        host.leader_client.set_leader(Some(&leader));
        match host
            .leader_client
            .call(
                &Message::Follow(follow_request(&host, view_version)),
                LONG_POLL_TIMEOUT,
                REQUEST_TIMEOUT,
            )
            .await
        {
            Answer::Reply(Reply::Followed(view)) => {
                if view.view_version != view_version && host.other_leader().is_some() {
                    host.soft_state().adopt(&view, host.clock.now());
                    host.allowance.observe_view(&view.targets, host.clock.now());
                    host.leader_client.set_hosts(&view.stores);
                    host.publish_soon();
                }
                view_version = view.view_version;
            }
            Answer::Reply(Reply::Nothing) => {}
            Answer::Reply(_) | Answer::NotDone | Answer::Unknown => {
                time::sleep(RETRY_INTERVAL).await
            }
        }
    }
}

/// Polls the leader for changes of the suspects; never returns.
pub async fn run_suspects(host: Arc<Host>) {
    let mut known = ViewVersion::default();
    loop {
        let Some(leader) = host.other_leader() else {
            time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        host.leader_client.set_leader(Some(&leader));
        let wait_ms = SUSPECTS_POLL_TIMEOUT.as_millis() as u64;
        let message = Message::FollowSuspects { known, wait_ms };
        let answer =
            host.leader_client.call(&message, SUSPECTS_POLL_TIMEOUT, SUSPECTS_REQUEST_TIMEOUT);
        match answer.await {
            Answer::Reply(Reply::Suspects { version, suspects }) => {
                if host.other_leader().is_some() {
                    host.suspects.lock().adopt(*suspects);
                }
                known = version;
            }
            Answer::Reply(Reply::Nothing) => {}
            Answer::Reply(_) | Answer::NotDone | Answer::Unknown => {
                time::sleep(SUSPECTS_RETRY_INTERVAL).await;
            }
        }
    }
}

fn follow_request(host: &Host, view_version: ViewVersion) -> Follow {
    Follow {
        host: host.settings.host.clone(),
        name: host.settings.name.clone(),
        incarnation: host.peers.local().incarnation,
        role: Role::Store,
        view_version,
        // Stores receive the configuration through the replicated log.
        version: Some(u64::MAX),
        wait_ms: LONG_POLL_TIMEOUT.as_millis() as u64,
        counts: Vec::new(),
    }
}
