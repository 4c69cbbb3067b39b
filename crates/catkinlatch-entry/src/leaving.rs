//! Targets that leave, as far as this host has heard.

use crate::host::Host;
use catkinlatch_base::TargetId;
use catkinlatch_ledger::{Target, registry::Phase};
use catkinlatch_platform::header;
use catkinlatch_runtime::{Message, message::View};
use http::{Response, StatusCode};
use log::info;
use std::{sync::Arc, time::Duration};

/// Timeout of the report to the leader, which this host does not depend on.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Remembers the targets that leave or have withdrawn according to a view, and tells a leader that
/// takes one of them to be ready. A leader whose predecessors all lost their memory may have that
/// from a heartbeat that was delayed.
pub fn observe_view(host: &Arc<Host>, view: &View) {
    let now = host.clock.now();
    let mut leaving = host.leaving();
    let draining = view.targets.iter().filter(|target| target.phase == Phase::Draining);
    for target in draining {
        leaving.insert(&target.id, target.born_ms, now);
    }
    let term = view.view_version.term;
    for tombstone in &view.tombstones {
        leaving.insert_listed(&tombstone.id, tombstone.born_ms, term, now);
    }
    leaving.retain(view.targets.iter(), now);
    for target in view.targets.iter().filter(|target| target.is_ready()) {
        if leaving.remove_listed(target, term) {
            info!(target_id:% = target.id, born_ms = target.born_ms; "entry: a target is back in use");
        } else if leaving.contains(target) {
            report(host, target.id.clone(), target.born_ms);
        }
    }
}

/// Sends nothing new to a target from now on if its response says that it leaves, and reports that
/// to the leader.
///
/// A misdirected request was answered by another target, whose start is not known.
pub fn record_response<B>(host: &Arc<Host>, target: &Target, response: &Response<B>) {
    let is_other = response.status() == StatusCode::MISDIRECTED_REQUEST;
    if is_other || !header::is_leaving(response.headers()) {
        return;
    }
    let (id, born_ms) = (target.id.clone(), target.born_ms);
    if !host.leaving().insert(&id, born_ms, host.clock.now()) {
        return;
    }
    info!(target_id:% = id, born_ms = born_ms; "entry: a target says that it leaves");
    host.client.forget(&target.address);
    report(host, id, born_ms);
}

/// Tells the leader that a start of a target leaves.
fn report(host: &Arc<Host>, target: TargetId, born_ms: u64) {
    let host = host.clone();
    tokio::spawn(async move {
        let message = Message::Leaving { target, born_ms };
        let _ = host.leader_client.call(&message, Duration::ZERO, REPORT_TIMEOUT).await;
    });
}
