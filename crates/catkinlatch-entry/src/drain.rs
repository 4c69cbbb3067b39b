//! Requests that a draining host no longer accepts, since they would be cut when it ends.

use crate::{answer, front::InboundRequest, host::Host, proxy};
use catkinlatch_base::Instant;
use catkinlatch_ledger::config::Kind;
use catkinlatch_platform::header;
use catkinlatch_route::drain::{self, Step};
use catkinlatch_runtime::http::Body;
use http::{Response, StatusCode};
use log::{info, warn};
use std::{future::Future, sync::Arc, time::Duration};

/// Delay after which a refused caller should retry: other hosts can serve it at once.
pub const RETRY_AFTER: Duration = Duration::ZERO;

/// Returns what to do with a request that has not run.
pub fn next(host: &Host, inbound: &InboundRequest, arrived: Instant) -> Step {
    let Some(left) = host.time_left() else { return Step::Run };
    let now = host.clock.now();
    let limit = longest_time(inbound).map(|limit| limit.saturating_sub(now - arrived));
    drain::next(left, limit)
}

/// Returns the time from its arrival after which a request ends in any case; nothing bounds a stream
/// but its caller's deadline.
fn longest_time(inbound: &InboundRequest) -> Option<Duration> {
    if inbound.route.kind != Kind::Stream {
        return Some(proxy::time_limit(inbound));
    }
    let caller = header::number(&inbound.head.headers, &header::DEADLINE);
    caller.map(|caller| Duration::from_millis(caller).saturating_sub(inbound.waited))
}

/// Logs and counts a request that is refused because this host may end before it.
pub fn log_refusal(host: &Host, inbound: &InboundRequest) {
    metrics::counter!("catkinlatch_entry_drain_refusals").increment(1);
    info!(
        request = inbound.id().unwrap_or_default(), route = inbound.route.name.as_str(),
        left_ms = host.time_left().unwrap_or_default().as_millis() as u64,
        limit_ms:? = longest_time(inbound).map(|limit| limit.as_millis());
        "entry: refused, this host may end before the request"
    );
}

/// A stream that is being forwarded to its caller; ends when it is dropped.
pub struct OpenStream {
    host: Arc<Host>,
    key: usize,
}

/// What is logged of a stream that this host cuts when it ends.
pub struct StreamRecord {
    request: String,
    route: String,
    arrived: Instant,
}

impl OpenStream {
    /// Records that a stream to a caller begins.
    pub fn new(host: &Arc<Host>, inbound: &InboundRequest, arrived: Instant) -> Self {
        let request = inbound.id().unwrap_or_default().to_owned();
        let record = StreamRecord { request, route: inbound.route.name.clone(), arrived };
        Self { host: host.clone(), key: host.streams().insert(record) }
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.host.streams().try_remove(self.key);
    }
}

/// Logs and counts the streams that end unfinished with this host.
pub fn log_cut_streams(host: &Host) {
    let now = host.clock.now();
    for (_, StreamRecord { request, route, arrived }) in host.streams().iter() {
        metrics::counter!("catkinlatch_entry_drain_cuts").increment(1);
        warn!(
            request = request.as_str(), route = route.as_str(),
            age_ms = (now - *arrived).as_millis() as u64;
            "entry: cut a stream, this host ends before it"
        );
    }
}

/// Logs and counts a request whose outcome is not known when this host ends.
pub fn log_unfinished(host: &Host, inbound: &InboundRequest, arrived: Instant) {
    metrics::counter!("catkinlatch_entry_drain_cuts").increment(1);
    warn!(
        request = inbound.id().unwrap_or_default(), route = inbound.route.name.as_str(),
        age_ms = (host.clock.now() - arrived).as_millis() as u64;
        "entry: gave a request up, this host ends before it"
    );
}

/// Returns the answer to a call about a job, which takes `limit` at most. A call that this host may
/// not live to answer is refused.
pub async fn answer_job(
    host: &Host,
    limit: Duration,
    call: impl Future<Output = Response<Body>>,
) -> Response<Body> {
    if host.time_left().is_some_and(|left| drain::next(left, Some(limit)) == Step::Refuse) {
        metrics::counter!("catkinlatch_entry_drain_refusals").increment(1);
        info!("entry: refused a call about a job, this host may end before it");
        return answer::refusal(RETRY_AFTER);
    }
    // A call that began before this host drains may last longer and may have been carried out.
    tokio::select! {
        response = call => response,
        () = host.last_answers() => {
            info!("entry: this host ends before a call about a job is answered");
            answer::status(StatusCode::GATEWAY_TIMEOUT)
        }
    }
}
