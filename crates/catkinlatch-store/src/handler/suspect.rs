//! Handles messages about requests that may crash targets.

use crate::host::Host;
use bytes::Bytes;
use catkinlatch_ledger::suspect::Change;
use catkinlatch_runtime::{Reply, message::ViewVersion};
use catkinlatch_wire::codec;
use log::info;
use std::time::Duration;
use tokio::time::{self, Instant};

/// Applies a change of the suspects that an entry host reports or asks for.
pub fn change(host: &Host, change: &Change) -> Reply {
    let reply = host.change_suspects(change);
    match change {
        Change::Crashed { fingerprint, boot, ran_alone } => {
            let is_refused = host.suspects.lock().suspects().is_refused(fingerprint);
            info!(
                fingerprint:% = fingerprint, boot:% = boot, alone = ran_alone,
                refused = is_refused;
                "suspects: a connection broke under a request"
            );
        }
        Change::StartTrial { fingerprint, target, .. } => info!(
            fingerprint:% = fingerprint, target_id:% = target, reply:? = reply;
            "suspects: asked to run a suspect"
        ),
        Change::Clear { fingerprint } => {
            info!(fingerprint:% = fingerprint; "suspects: a suspect was answered");
        }
        Change::Survived { boot } => info!(boot:% = boot; "suspects: the target is still running"),
        Change::Silent { .. } | Change::EndTrial { .. } => {}
    }
    Reply::Suspect(reply)
}

/// Returns the encoded suspects once the process's version of them is out of date, or
/// [`Reply::Nothing`] when its wait has elapsed.
pub async fn answer_follow(host: &Host, known: ViewVersion, wait_ms: u64) -> Bytes {
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut revision = host.suspects.revision();
    loop {
        let Some(term) = host.replica.fencing_token() else {
            return codec::encode(&Reply::NotLeader(host.other_leader()));
        };
        let version = ViewVersion { term, revision: *revision.borrow_and_update() };
        if version != known {
            return host.suspects.encoded(version);
        }
        tokio::select! {
            _ = revision.changed() => {}
            () = time::sleep_until(until) => {
                let leads = host.replica.fencing_token() == Some(term);
                let other = || Reply::NotLeader(host.other_leader());
                return codec::encode(&if leads { Reply::Nothing } else { other() });
            }
        }
    }
}
