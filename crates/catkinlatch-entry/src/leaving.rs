//! Targets that say in an answer that they leave.

use crate::host::Host;
use catkinlatch_ledger::Target;
use catkinlatch_platform::header;
use catkinlatch_runtime::Message;
use http::{Response, StatusCode};
use log::info;
use std::{sync::Arc, time::Duration};

/// Timeout of the report to the leader, which this host does not depend on.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2_000);

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
    let host = host.clone();
    tokio::spawn(async move {
        let message = Message::Leaving { target: id, born_ms };
        let _ = host.leader_client.call(&message, Duration::ZERO, REPORT_TIMEOUT).await;
    });
}
