//! Handles the evacuation of zones and its end.

use super::{await_propagation, leads, propose};
use crate::{evacuation, host::Host};
use catkinlatch_base::{Term, ZoneId};
use catkinlatch_ledger::Command;
use catkinlatch_runtime::Reply;
use log::info;
use std::sync::Arc;

/// Evacuates a zone; answers once entry hosts in touch send nothing more to its targets.
pub async fn evacuate(host: &Arc<Host>, term: Term, zone: ZoneId) -> Reply {
    let command = Command::Evacuate { zone: zone.clone() };
    decide(host, term, command, &zone, "control: evacuated a zone").await
}

/// Ends the evacuation of a zone; answers once entry hosts in touch use its targets again.
pub async fn restore(host: &Arc<Host>, term: Term, zone: ZoneId) -> Reply {
    let command = Command::Restore { zone: zone.clone() };
    decide(host, term, command, &zone, "control: restored a zone").await
}

/// Commits a decision and waits until entry hosts hold the resulting view.
///
/// A repeated decision changes nothing, but is answered as late as the first one, since its first
/// answer may have been lost before entry hosts held the view.
async fn decide(
    host: &Arc<Host>,
    term: Term,
    command: Command,
    zone: &ZoneId,
    event: &str,
) -> Reply {
    let reply = propose(host, command).await;
    if matches!(reply, Reply::Done) {
        evacuation::apply(host);
        let is_propagated = await_propagation(host, term, None).await;
        info!(zone:% = zone, held_by_all = is_propagated; "{event}");
        if !leads(host, term) {
            // Only the next leader can tell whether entry hosts hold the view.
            return Reply::NotLeader(host.other_leader());
        }
    }
    reply
}
