//! Proxying of live requests to targets.

use crate::{
    answer,
    attempt::Outcome,
    front::InboundRequest,
    host::Host,
    observation,
    second::{self, Sent},
    stream::{self, Attempts},
    suspect::{self, Permit},
};
use catkinlatch_base::{Instant, TargetId};
use catkinlatch_ledger::{Target, config::Kind};
use catkinlatch_platform::header;
use catkinlatch_runtime::http::{Body, full};
use http::{Response, StatusCode};
use log::info;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::time;

/// Timeout for requests whose caller and route set none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of an attempt as a multiple of the route's latency objective, if the request may be
/// retried on another target.
const ATTEMPT_OBJECTIVES: u32 = 3;

/// Pause before full targets are tried again.
const FULL_RETRY_PAUSE: Duration = Duration::from_millis(15);

/// Share of the latency objective during which full targets are tried again.
const FULL_RETRY_SHARE: f64 = 0.24;

/// Shortest remaining time in which another attempt is made.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);

/// Delay after which a caller should retry if all targets were full: about the duration of one
/// request.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Delay after which a caller should retry if no target was available: about the backoff of a
/// failed target.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Share of a request's time in which a suspect waits for a run of its own.
const TRIAL_WAIT_SHARE: f64 = 0.5;

/// Largest response that is buffered before it is forwarded, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Outcome of all attempts of a request.
enum End {
    /// A target answered; holds the response for the caller.
    Answered(Response<Body>),
    /// No target has run the request; holds the delay after which to retry.
    NotRun(Duration),
    /// A target may have run the request.
    MayHaveRun,
    /// The deadline passed, and a target may have run the request.
    TimedOut,
}

/// Sends a request to targets, with retries as its route allows, and returns the response.
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

/// Tries targets; a target's own failure is the answer if no other target gives a better one.
async fn try_targets(
    host: &Arc<Host>,
    inbound: &Arc<InboundRequest>,
    arrived: Instant,
    attempt_log: &mut Vec<String>,
) -> End {
    let mut failure = None;
    let end = try_until_answered(host, inbound, arrived, attempt_log, &mut failure).await;
    match (end, failure) {
        (End::MayHaveRun | End::TimedOut, Some(failure)) => End::Answered(failure),
        (end, _) => end,
    }
}

/// Tries targets until one answers; keeps the last failure that a target answered with in
/// `failure`.
async fn try_until_answered(
    host: &Arc<Host>,
    inbound: &Arc<InboundRequest>,
    arrived: Instant,
    attempt_log: &mut Vec<String>,
    failure: &mut Option<Response<Body>>,
) -> End {
    let deadline = arrived + time_limit(inbound);
    let full_retry_deadline = arrived + full_retry_limit(inbound);
    let trial_deadline = arrived + time_limit(inbound).mul_f64(TRIAL_WAIT_SHARE);
    let is_stream = inbound.route.kind == Kind::Stream;
    let is_idempotent = inbound.route.may_repeat();
    observation::refresh(host, &inbound.route).await;
    let mut tried = BTreeSet::new();
    let (mut sends, mut may_have_run) = (0, false);
    loop {
        let now = host.clock.now();
        let left = deadline - now;
        if left < MIN_ATTEMPT_TIME && sends > 0 || left.is_zero() {
            return if may_have_run { End::TimedOut } else { End::NotRun(FULL_RETRY_AFTER) };
        }
        let target = match sends < inbound.route.max_attempts {
            true => observation::next_target(host, inbound, &tried).await,
            false => None,
        };
        let Some(mut target) = target else {
            if !may_have_run
                && sends > 0
                && host.clock.now() + FULL_RETRY_PAUSE < full_retry_deadline
            {
                // Every target tried was full; requests are short, so slots soon become free.
                time::sleep(FULL_RETRY_PAUSE).await;
                tried.clear();
                sends = 0;
                continue;
            }
            let after = if sends == 0 { NO_TARGET_RETRY_AFTER } else { FULL_RETRY_AFTER };
            return if may_have_run { End::MayHaveRun } else { End::NotRun(after) };
        };
        let permit = suspect::admit(host, inbound, &target, left).await;
        match permit {
            Permit::Plain | Permit::Trial => {}
            Permit::Busy if host.clock.now() < trial_deadline => {
                time::sleep(suspect::TRIAL_PAUSE).await;
                continue;
            }
            Permit::Busy | Permit::Refused => {
                attempt_log.push(format!("{} not sent: {permit}", target.id));
                metrics::counter!("catkinlatch_entry_suspects_not_sent").increment(1);
                let after =
                    if permit == Permit::Busy { FULL_RETRY_AFTER } else { retraction_time(host) };
                return if may_have_run { End::MayHaveRun } else { End::NotRun(after) };
            }
        }
        // A suspect may have waited for the leader's word.
        let left = deadline - host.clock.now();
        sends += 1;
        let is_last = sends >= inbound.route.max_attempts || !is_idempotent;
        let limit = if is_last { left } else { left.min(attempt_limit(inbound, left)) };
        let is_trial = permit == Permit::Trial;
        let outcome = if is_stream {
            let attempts = Attempts { sends, tried: tried.clone(), arrived, deadline, is_trial };
            match stream::open(host, inbound, &target, attempts, limit).await {
                Ok(response) => {
                    attempt_log.push(format!("{} streams", target.id));
                    return End::Answered(response);
                }
                Err(outcome) => outcome,
            }
        } else {
            let attempts = Attempts { sends, tried: tried.clone(), arrived, deadline, is_trial };
            let sent = second::send(host, inbound, &target, &attempts, limit).await;
            let Sent { target: answered, outcome, other } = sent;
            if let Some((other, other_outcome)) = other {
                sends += 1;
                attempt_log.push(format!("{} with a second send: {other_outcome}", other.id));
                may_have_run |= !matches!(other_outcome, Outcome::NotRun(_));
                if let Outcome::Answer(answer) = other_outcome {
                    *failure = Some(caller_response(answer));
                }
                tried.insert(other.id);
            }
            target = answered;
            outcome
        };
        record(host, inbound, &target, permit, &outcome).await;
        match outcome {
            Outcome::Answer(answer) => {
                attempt_log.push(format!("{} answered", target.id));
                let is_retried = is_idempotent
                    && answer.status() == StatusCode::INTERNAL_SERVER_ERROR
                    && sends < inbound.route.max_attempts;
                if !is_retried {
                    return End::Answered(caller_response(answer));
                }
                *failure = Some(caller_response(answer));
                may_have_run = true;
            }
            Outcome::NotRun(reason) => attempt_log.push(format!("{} not run: {reason}", target.id)),
            outcome @ (Outcome::MayHaveRun(_) | Outcome::Silent(_) | Outcome::Broken(_)) => {
                attempt_log.push(format!("{} unknown: {outcome}", target.id));
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

/// Records what an attempt tells about whether the request crashes targets. Only a crash is waited
/// for, since the next attempt must not run beside another.
pub async fn record(
    host: &Arc<Host>,
    inbound: &InboundRequest,
    target: &Target,
    permit: Permit,
    outcome: &Outcome,
) {
    match outcome {
        Outcome::Broken(_) => {
            suspect::record_break(host, inbound, target, permit == Permit::Trial).await;
        }
        Outcome::Silent(_) => suspect::record_silence(host, inbound, target, permit),
        Outcome::Answer(_) if permit == Permit::Trial => {
            suspect::record_answer(host, inbound);
        }
        Outcome::NotRun(_) | Outcome::MayHaveRun(_) if permit == Permit::Trial => {
            suspect::end_trial(host, inbound);
        }
        Outcome::Answer(_) | Outcome::NotRun(_) | Outcome::MayHaveRun(_) => {}
    }
}

/// Returns the time in which a target that still runs announces itself twice more, so that a
/// request that is refused by mistake runs then.
fn retraction_time(host: &Host) -> Duration {
    Duration::from_millis(host.settings.times.heartbeat_ms) * 3
}

/// Returns the time from arrival within which the caller must get its response.
fn time_limit(inbound: &InboundRequest) -> Duration {
    let caller =
        header::number(&inbound.head.headers, &header::DEADLINE).map(Duration::from_millis);
    let route = inbound.route.timeout_ms.map(Duration::from_millis);
    [caller, route].into_iter().flatten().min().unwrap_or(DEFAULT_TIMEOUT)
}

/// Returns how long full targets are tried again, so that the caller still gets its response or
/// refusal early.
fn full_retry_limit(inbound: &InboundRequest) -> Duration {
    let objective = inbound.route.objective_ms.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    objective.mul_f64(FULL_RETRY_SHARE)
}

/// Returns the timeout of an attempt that can be retried on another target.
fn attempt_limit(inbound: &InboundRequest, left: Duration) -> Duration {
    let objective = inbound.route.objective_ms.map(Duration::from_millis);
    objective.map_or(left / 2, |objective| (objective * ATTEMPT_OBJECTIVES).min(left / 2))
}

/// Picks a target for a service of the route, leaving out those already tried.
pub fn pick_target(
    host: &Host,
    inbound: &InboundRequest,
    tried: &BTreeSet<TargetId>,
    now: Instant,
) -> Option<Target> {
    // Targets may start draining between attempts, so each attempt uses the latest view.
    let view = host.view();
    let service = inbound.route.service(fastrand::f64())?;
    let leaving = host.leaving();
    let pick = |left_out: &BTreeSet<TargetId>| {
        let staying = view.targets(service).filter(|target| !leaving.contains(target));
        observation::pick(host, service, staying, left_out, now)
    };
    let trial_targets = host.suspects().trial_targets(host.clock.wall_ms());
    if trial_targets.is_empty() {
        return pick(tried);
    }
    pick(&(tried | &trial_targets)).or_else(|| pick(tried))
}

/// Converts a target's response into the response for the caller.
fn caller_response(answer: Response<bytes::Bytes>) -> Response<Body> {
    let (head, body) = answer.into_parts();
    let mut response = Response::new(full(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = header::forwardable(&head.headers);
    response
}
