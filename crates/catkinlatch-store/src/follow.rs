//! Keeps a host that does not lead ready to lead.

use crate::host::Host;
use catkinlatch_runtime::{
    Answer, Message, Reply,
    message::{Follow, Role, Seen},
};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// How long the leader may hold a question back until it knows something new.
const WAIT: Duration = Duration::from_millis(500);

/// How long one question may take in all.
const LIMIT: Duration = Duration::from_millis(2_000);

/// How long to rest while there is no leader, or while this host leads.
const PAUSE: Duration = Duration::from_millis(100);

/// Follows the leader for as long as the process runs.
pub async fn run(host: Arc<Host>) {
    let mut seen = Seen::default();
    loop {
        let Some(leader) = host.other_leader() else {
            seen = Seen::default();
            time::sleep(PAUSE).await;
            continue;
        };
        host.guide.hint(Some(&leader));
        match host.guide.ask(&Message::Follow(follow(&host, seen)), WAIT, LIMIT).await {
            Answer::Reply(Reply::Followed(view)) => {
                if view.seen != seen && host.other_leader().is_some() {
                    host.soft().adopt(&view, host.clock.now());
                    host.guide.learn(&view.stores);
                    host.announce();
                }
                seen = view.seen;
            }
            Answer::Reply(Reply::Nothing) => {}
            Answer::Reply(_) | Answer::NotDone | Answer::Unknown => time::sleep(PAUSE).await,
        }
    }
}

fn follow(host: &Host, seen: Seen) -> Follow {
    Follow {
        host: host.settings.host.clone(),
        name: host.settings.name.clone(),
        incarnation: host.peers.local().incarnation,
        role: Role::Store,
        seen,
        // The configuration comes with the log.
        version: Some(u64::MAX),
        wait_ms: WAIT.as_millis() as u64,
        counts: Vec::new(),
    }
}
