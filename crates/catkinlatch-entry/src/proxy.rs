//! Passes live requests on to targets.

use crate::{
    answer,
    attempt::{self, Outcome},
    front::InboundRequest,
    host::Host,
    stream::{self, Attempts},
};
use catkinlatch_base::Instant;
use catkinlatch_ledger::{Target, config::Kind};
use catkinlatch_platform::header;
use catkinlatch_runtime::http::{Body, full};
use http::{Response, StatusCode};
use log::info;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::time;

/// How long a request is kept waiting whose caller and route name no time.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// How many times its objective a try may take before an idempotent request goes elsewhere.
const ATTEMPT_OBJECTIVES: u32 = 3;

/// How long to rest before full targets are asked again.
const FULL_RETRY_PAUSE: Duration = Duration::from_millis(15);

/// The share of its objective for which a request asks full targets again.
const FULL_RETRY_SHARE: f64 = 0.24;

/// The shortest time that is worth another try.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);

/// When a caller should come back that found no target with room: about one request's work.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(150);

/// When a caller should come back that found no target at all: about the rest of a failed one.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The most bytes of an answer that is kept whole before it is passed on.
pub const MAX_ANSWER_BYTES: usize = 64 << 20;

/// How the tries of a request ended.
enum End {
    /// A target answered.
    Answered(Response<Body>),
    /// No target has run it.
    NotRun(Duration),
    /// A target may have run it.
    MayHaveRun,
    /// Its time is over, and a target may have run it.
    TimedOut,
}

/// Answers a request by sending it to one target after another, as its route allows.
pub async fn serve(host: &Arc<Host>, inbound: InboundRequest, arrived: Instant) -> Response<Body> {
    let began_ms = host.clock.wall_ms();
    let mut attempt_log = Vec::new();
    let inbound = Arc::new(inbound);
    let end = try_targets(host, &inbound, arrived, &mut attempt_log).await;
    let has_run = !matches!(end, End::NotRun(_));
    if let Some(team) = inbound.team.as_ref().filter(|_| has_run) {
        host.count_request(team, began_ms);
    }
    let response = match end {
        End::Answered(response) => response,
        End::NotRun(after) => answer::refusal(after),
        End::MayHaveRun => answer::status(StatusCode::BAD_GATEWAY),
        End::TimedOut => answer::status(StatusCode::GATEWAY_TIMEOUT),
    };
    let elapsed = host.clock.now() - arrived;
    let is_plain = response.status().is_success() && attempt_log.len() == 1;
    metrics::counter!("catkinlatch_entry_requests").increment(1);
    metrics::histogram!("catkinlatch_entry_seconds").record(elapsed.as_secs_f64());
    if !is_plain {
        info!(
            request = inbound.id().unwrap_or_default(),
            route = inbound.route.name.as_str(), status = response.status().as_u16(),
            ms = elapsed.as_millis() as u64, tries = attempt_log.join("; ");
            "entry: request"
        );
    }
    response
}

async fn try_targets(
    host: &Arc<Host>,
    inbound: &Arc<InboundRequest>,
    arrived: Instant,
    attempt_log: &mut Vec<String>,
) -> End {
    let deadline = arrived + time_limit(inbound);
    let full_retry_deadline = arrived + full_retry_limit(inbound);
    let is_stream = inbound.route.kind == Kind::Stream;
    let is_idempotent = inbound.route.may_repeat();
    let mut tried = BTreeSet::new();
    let (mut sends, mut may_have_run) = (0, false);
    loop {
        let now = host.clock.now();
        let left = deadline - now;
        if left < MIN_ATTEMPT_TIME && sends > 0 || left.is_zero() {
            return if may_have_run { End::TimedOut } else { End::NotRun(FULL_RETRY_AFTER) };
        }
        let target =
            (sends < inbound.route.max_attempts).then(|| pick_target(host, inbound, &tried, now));
        let Some(target) = target.flatten() else {
            if !may_have_run
                && sends > 0
                && host.clock.now() + FULL_RETRY_PAUSE < full_retry_deadline
            {
                // All that it was sent to are full; a request's work ends within moments.
                time::sleep(FULL_RETRY_PAUSE).await;
                tried.clear();
                sends = 0;
                continue;
            }
            let after = if sends == 0 { NO_TARGET_RETRY_AFTER } else { FULL_RETRY_AFTER };
            return if may_have_run { End::MayHaveRun } else { End::NotRun(after) };
        };
        sends += 1;
        let is_last = sends >= inbound.route.max_attempts || !is_idempotent;
        let limit = if is_last { left } else { left.min(attempt_limit(inbound, left)) };
        let outcome = if is_stream {
            let attempts = Attempts { sends, tried: tried.clone(), arrived, deadline };
            match stream::open(host, inbound, &target, attempts, limit).await {
                Ok(response) => {
                    attempt_log.push(format!("{} streams", target.id));
                    return End::Answered(response);
                }
                Err(outcome) => outcome,
            }
        } else {
            attempt::send(host, inbound, &target, left, limit, MAX_ANSWER_BYTES).await
        };
        match outcome {
            Outcome::Answer(answer) => {
                attempt_log.push(format!("{} answered", target.id));
                let is_retried = is_idempotent
                    && answer.status() == StatusCode::INTERNAL_SERVER_ERROR
                    && sends < inbound.route.max_attempts;
                if !is_retried {
                    return End::Answered(caller_response(answer));
                }
                may_have_run = true;
            }
            Outcome::NotRun(reason) => attempt_log.push(format!("{} not run: {reason}", target.id)),
            Outcome::MayHaveRun(reason) => {
                attempt_log.push(format!("{} unknown: {reason}", target.id));
                may_have_run = true;
                if !is_idempotent {
                    let is_over = host.clock.now() >= deadline;
                    return if is_over { End::TimedOut } else { End::MayHaveRun };
                }
            }
        }
        tried.insert(target.id.clone());
    }
}

/// Returns the time after which the caller gets its final answer.
fn time_limit(inbound: &InboundRequest) -> Duration {
    let caller =
        header::number(&inbound.head.headers, &header::DEADLINE).map(Duration::from_millis);
    let route = inbound.route.timeout_ms.map(Duration::from_millis);
    [caller, route].into_iter().flatten().min().unwrap_or(DEFAULT_TIMEOUT)
}

/// Returns how long full targets are asked again, so that the caller still gets its answer, or the
/// refusal, early.
fn full_retry_limit(inbound: &InboundRequest) -> Duration {
    let objective = inbound.route.objective_ms.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    objective.mul_f64(FULL_RETRY_SHARE)
}

/// Returns how long a try may take that can be repeated elsewhere.
fn attempt_limit(inbound: &InboundRequest, left: Duration) -> Duration {
    let objective = inbound.route.objective_ms.map(Duration::from_millis);
    objective.map_or(left / 2, |objective| (objective * ATTEMPT_OBJECTIVES).min(left / 2))
}

pub fn pick_target(
    host: &Host,
    inbound: &InboundRequest,
    tried: &BTreeSet<catkinlatch_base::TargetId>,
    now: Instant,
) -> Option<Target> {
    // Leaving targets are learnt of while a request is tried, so what is known now decides.
    let view = host.view();
    let service = inbound.route.service(fastrand::f64())?;
    host.choice().pick(view.targets(service), &host.settings.zone, tried, now).cloned()
}

/// Returns a target's answer as the caller gets it.
fn caller_response(answer: Response<bytes::Bytes>) -> Response<Body> {
    let (head, body) = answer.into_parts();
    let mut response = Response::new(full(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = header::passed_on(&head.headers);
    response
}
