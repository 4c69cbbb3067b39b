//! Requests that a draining host no longer accepts, since they would be cut when it ends.

use crate::{answer, front::InboundRequest, host::Host, proxy};
use catkinlatch_base::Instant;
use catkinlatch_ledger::config::Kind;
use catkinlatch_platform::header;
use catkinlatch_route::drain::{self, Step};
use catkinlatch_runtime::http::Body;
use http::{Response, StatusCode};
use log::info;
use std::{future::Future, time::Duration};

/// Delay after which a refused caller should retry: other hosts can serve it at once.
pub const RETRY_AFTER: Duration = Duration::ZERO;

/// Returns what to do with a request that has not run.
pub fn next(host: &Host, inbound: &InboundRequest, arrived: Instant) -> Step {
    let Some(left) = host.time_left() else { return Step::Run };
    let now = host.clock.now();
    let limit = longest_time(inbound).map(|limit| limit.saturating_sub(now - arrived));
    let expected = host.durations().expected(&inbound.route.name, now);
    drain::next(left, limit, expected)
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

/// Logs and counts a request that is refused because this host ends too soon.
pub fn log_refusal(host: &Host, inbound: &InboundRequest) {
    metrics::counter!("catkinlatch_entry_drain_refusals").increment(1);
    info!(
        request = inbound.id().unwrap_or_default(), route = inbound.route.name.as_str(),
        left_ms = host.time_left().unwrap_or_default().as_millis() as u64;
        "entry: refused, this host ends before the request could"
    );
}

/// Records how long a request took from its arrival to the end of its response.
pub fn record_duration(host: &Host, inbound: &InboundRequest, arrived: Instant) {
    let now = host.clock.now();
    host.durations().record(&inbound.route.name, now - arrived, now);
}

/// Returns the answer to a call about a job. If this host ends first, the call may have been carried
/// out.
pub async fn answer_job(host: &Host, call: impl Future<Output = Response<Body>>) -> Response<Body> {
    tokio::select! {
        response = call => response,
        () = host.last_answers() => {
            info!("entry: this host ends before a call about a job is answered");
            answer::status(StatusCode::GATEWAY_TIMEOUT)
        }
    }
}
