//! Proxying of live requests to targets.

use crate::{
    admission, allowance, answer,
    attempt::{self, Outcome},
    build::{self, Required},
    drain,
    front::InboundRequest,
    host::Host,
    observation,
    second::{self, Sent},
    stream::{self, Attempts},
    suspect::{self, Permit},
};
use catkinlatch_base::{Instant, ServiceId, TargetId};
use catkinlatch_ledger::{Target, config::Kind};
use catkinlatch_platform::header;
use catkinlatch_route::drain::Step;
use catkinlatch_runtime::http::{Body, Framing, full, streamed};
use http::{Response, StatusCode};
use log::info;
use std::{collections::BTreeSet, convert::Infallible, mem, sync::Arc, time::Duration};
use tokio::time;

/// Timeout for requests whose caller and route set none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of an attempt as a multiple of the route's latency objective, if the request may be
/// retried on another target.
const ATTEMPT_OBJECTIVES: u32 = 3;

/// Pause before limited targets are tried again.
pub const FULL_RETRY_PAUSE: Duration = Duration::from_millis(15);

/// Share of the latency objective during which a request waits for a free slot.
const FULL_RETRY_SHARE: f64 = 0.24;

/// Time before the end of the wait in which no attempt starts any more, so that refusals by all
/// targets arrive within it.
const LAST_ATTEMPT_TIME: Duration = Duration::from_millis(15);

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
    let end = tokio::select! {
        end = try_targets(host, &inbound, arrived, &mut attempt_log) => end,
        () = host.last_answers() => {
            drain::log_unfinished(host, &inbound, arrived);
            End::MayHaveRun
        }
    };
    let has_run = !matches!(end, End::NotRun(_));
    if let Some(team) = inbound.team.as_ref().filter(|_| has_run) {
        host.count_request(team, began_ms);
    }
    let response = match end {
        End::Answered(response) => response,
        // Callers do not wait longer than a third of their time before they return.
        End::NotRun(after) => answer::refusal(after.min(admission::most_retry_after(&inbound))),
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
            ms = elapsed.as_millis() as u64, waited_ms = inbound.waited.as_millis() as u64,
            tries = attempt_log.join("; ");
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
    let longest_wait = full_retry_limit(inbound).min(time_limit(inbound));
    let give_up_at = arrived + longest_wait.saturating_sub(LAST_ATTEMPT_TIME);
    let trial_deadline = arrived + time_limit(inbound).mul_f64(TRIAL_WAIT_SHARE);
    let is_stream = inbound.route.kind == Kind::Stream;
    let is_idempotent = inbound.route.may_repeat();
    if drain::next(host, inbound, arrived) == Step::Refuse {
        drain::log_refusal(host, inbound);
        return End::NotRun(drain::RETRY_AFTER);
    }
    observation::refresh(host, &inbound.route).await;
    let required = build::required(host, inbound).await;
    if !build::is_served(host, inbound, &required) {
        attempt_log.push("no target may go on with the stream".to_owned());
        metrics::counter!("catkinlatch_entry_streams_without_build").increment(1);
        return End::NotRun(NO_TARGET_RETRY_AFTER);
    }
    let mut tried = BTreeSet::new();
    // Full targets are tried again, but all tries together reach `max_attempts` targets.
    let mut reached = BTreeSet::new();
    let (mut sends, mut may_have_run) = (0, false);
    let (mut is_first, mut spends_retry) = (true, false);
    loop {
        let now = host.clock.now();
        let left = deadline - now;
        if left < MIN_ATTEMPT_TIME && sends > 0 || left.is_zero() {
            return if may_have_run { End::TimedOut } else { End::NotRun(FULL_RETRY_AFTER) };
        }
        let place = match enter(host, inbound, arrived, give_up_at).await {
            Ok(place) => place,
            Err(end) => return end,
        };
        let picked = match sends < inbound.route.max_attempts {
            true => {
                let left_out = left_out(host, inbound, &tried, &reached, &required);
                next_target(host, inbound, place, sends, &left_out).await
            }
            false => None,
        };
        let now = host.clock.now();
        let Some(mut target) = picked else {
            let is_limited = allowance::may_wait(host, inbound, &tried, now);
            if sends == 0 && is_limited && now + FULL_RETRY_PAUSE < give_up_at {
                // The targets left are limited, and this host lacks a share of them.
                time::sleep(FULL_RETRY_PAUSE).await;
                continue;
            }
            if let Some(place) = place.filter(|_| !may_have_run && sends > 0) {
                // Every target tried was full; requests are short, so slots soon become free.
                if let Err(refusal) = admission::wait_again(host, inbound, place, arrived).await {
                    return End::NotRun(refusal.after);
                }
                tried.clear();
                sends = 0;
                continue;
            }
            if is_limited {
                metrics::counter!("catkinlatch_entry_cold_refused").increment(1);
                attempt_log.push("only limited targets without a share are left".to_owned());
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
        // The request may have waited for a place, and a suspect for the leader's word.
        if !may_have_run && drain::next(host, inbound, arrived) == Step::Refuse {
            if permit == Permit::Trial {
                suspect::end_trial(host, inbound);
            }
            drain::log_refusal(host, inbound);
            return End::NotRun(drain::RETRY_AFTER);
        }
        let now = host.clock.now();
        let left = deadline - now;
        if mem::take(&mut is_first) {
            host.admission.earn_retry(&inbound.route, now);
        }
        if spends_retry && !host.admission.take_retry(&inbound.route, now) {
            if permit == Permit::Trial {
                suspect::end_trial(host, inbound);
            }
            attempt_log.push("no retry left in the budget of the route".to_owned());
            metrics::counter!("catkinlatch_entry_retries_refused").increment(1);
            return if left.is_zero() { End::TimedOut } else { End::MayHaveRun };
        }
        sends += 1;
        let is_last = sends >= inbound.route.max_attempts || !is_idempotent;
        let limit = if is_last { left } else { left.min(attempt_limit(inbound, left)) };
        let is_trial = permit == Permit::Trial;
        let outcome = if is_stream {
            let attempts = Attempts { sends, tried: tried.clone(), arrived, deadline, is_trial };
            match stream::open(host, inbound, &target, attempts, &required, limit).await {
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
                reached.insert(other.id.clone());
                tried.insert(other.id);
            }
            target = answered;
            outcome
        };
        record(host, inbound, &target, permit, &outcome).await;
        if !matches!(outcome, Outcome::NotRun(attempt::NO_CONNECTION)) {
            reached.insert(target.id.clone());
        }
        let is_lost = matches!(outcome, Outcome::Lost(_));
        spends_retry = !is_lost && !matches!(outcome, Outcome::NotRun(_));
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
            outcome @ (Outcome::MayHaveRun(_)
            | Outcome::Silent(_)
            | Outcome::Broken(_)
            | Outcome::Lost(_)) => {
                attempt_log.push(format!("{} unknown: {outcome}", target.id));
                may_have_run = true;
                if !is_idempotent {
                    let is_over = host.clock.now() >= deadline;
                    return if is_over { End::TimedOut } else { End::MayHaveRun };
                }
            }
        }
        if !is_lost {
            tried.insert(target.id.clone());
        }
    }
}

/// Waits for a place in the queue of a service, if the request has none yet.
///
/// Returns `None` if its route names no service.
///
/// # Errors
///
/// Returns the end of the request if it cannot run within its time.
async fn enter<'a>(
    host: &Arc<Host>,
    inbound: &'a InboundRequest,
    arrived: Instant,
    give_up_at: Instant,
) -> Result<Option<&'a admission::Place>, End> {
    if inbound.place.get().is_none()
        && let Some(service) = inbound.route.service(fastrand::f64())
    {
        let entered = admission::enter(host, inbound, service, arrived, give_up_at).await;
        let place = entered.map_err(|refusal| End::NotRun(refusal.after))?;
        let _ = inbound.place.set(place);
    }
    Ok(inbound.place.get())
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
        Outcome::NotRun(_) | Outcome::MayHaveRun(_) | Outcome::Lost(_)
            if permit == Permit::Trial =>
        {
            suspect::end_trial(host, inbound);
        }
        Outcome::Answer(_) | Outcome::NotRun(_) | Outcome::MayHaveRun(_) | Outcome::Lost(_) => {}
    }
}

/// Returns the time in which a target that still runs announces itself twice more, so that a
/// request that is refused by mistake runs then.
fn retraction_time(host: &Host) -> Duration {
    Duration::from_millis(host.settings.times.heartbeat_ms) * 3
}

/// Returns the time from arrival within which the caller must get its response.
pub fn time_limit(inbound: &InboundRequest) -> Duration {
    let caller =
        header::number(&inbound.head.headers, &header::DEADLINE).map(Duration::from_millis);
    let route = inbound.route.timeout_ms.map(Duration::from_millis);
    let limit = [caller, route].into_iter().flatten().min().unwrap_or(DEFAULT_TIMEOUT);
    limit.saturating_sub(inbound.waited)
}

/// Returns how long a request waits for a free slot, so that the caller still gets its response or
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

/// Returns the target of the next attempt: one in cooldown if this host may retry it now, or else
/// the one that is expected to answer first.
async fn next_target(
    host: &Host,
    inbound: &InboundRequest,
    place: Option<&admission::Place>,
    sends: u32,
    left_out: &BTreeSet<TargetId>,
) -> Option<Target> {
    if let Some(target) = observation::request_retry(host, inbound, left_out).await {
        return Some(target);
    }
    let now = host.clock.now();
    match (sends, place) {
        (0, Some(place)) => pick_from(host, place.service(), left_out, now),
        _ => pick_target(host, inbound, left_out, now),
    }
}

/// Returns the targets that a request must not be sent to now: those that were tried in this round,
/// those whose build may not go on with the stream, and all others once it has reached as many as its
/// route allows.
fn left_out(
    host: &Host,
    inbound: &InboundRequest,
    tried: &BTreeSet<TargetId>,
    reached: &BTreeSet<TargetId>,
    required: &Required,
) -> BTreeSet<TargetId> {
    let mut left_out = tried.clone();
    left_out.extend(build::excluded(host, required));
    if reached.len() >= inbound.route.max_attempts as usize {
        let view = host.view();
        let others = view.targets.iter().filter(|target| !reached.contains(&target.id));
        left_out.extend(others.map(|target| target.id.clone()));
    }
    left_out
}

/// Picks a target for a service of the route, leaving out those already tried.
pub fn pick_target(
    host: &Host,
    inbound: &InboundRequest,
    tried: &BTreeSet<TargetId>,
    now: Instant,
) -> Option<Target> {
    pick_from(host, inbound.route.service(fastrand::f64())?, tried, now)
}

/// Picks a target of a service, leaving out those already tried.
fn pick_from(
    host: &Host,
    service: &ServiceId,
    tried: &BTreeSet<TargetId>,
    now: Instant,
) -> Option<Target> {
    // Targets may start draining between attempts, so each attempt uses the latest view.
    let view = host.view();
    let leaving = host.leaving();
    let ramp = host.ramp().clone();
    let pick_admitted = |left_out: &BTreeSet<TargetId>, random: f64| {
        let balancer = host.balancer();
        let admits = |target: &&Target| {
            ramp.admits(&target.zone, target.slots, balancer.load(&target.id, now), random, now)
        };
        let staying = view.targets(service).filter(|target| !leaving.contains(target));
        let admitted: Vec<&Target> = staying.filter(admits).collect();
        drop(balancer);
        if host.allowance.any_limited(&admitted, now) {
            return allowance::pick(host, admitted.into_iter(), left_out, now).cloned();
        }
        observation::pick(host, service, admitted.into_iter(), left_out, now)
    };
    let pick = |left_out: &BTreeSet<TargetId>| {
        pick_admitted(left_out, fastrand::f64()).or_else(|| pick_admitted(left_out, 0.0))
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
    let framing = head.extensions.get().copied().unwrap_or(Framing::Explicit);
    let body = match framing {
        Framing::Explicit => full(body),
        Framing::Connection | Framing::Missing => {
            streamed(Some(body), async |body| Some((Ok::<_, Infallible>(body?), None)))
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = header::forwardable(&head.headers);
    answer::with_framing(response, framing)
}
