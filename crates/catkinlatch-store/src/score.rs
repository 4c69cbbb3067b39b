//! Calls the scoring service for a generated sample.

use crate::{
    allowance::{self, SendError},
    host::Host,
    observation, patience, places,
    shared::Shared,
};
use catkinlatch_base::TargetId;
use catkinlatch_ledger::{
    Configuration, Job, Target, balancer, job::Scorer, observation::Event, suspect::Change,
};
use catkinlatch_platform::header;
use catkinlatch_runtime::http::{Body, BodyError, Failure, Repeatable, full};
use catkinlatch_state::suspect::{Fingerprint, Reply as Verdict};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use log::info;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::time;

/// Timeout for one scoring call until some were late. It is short because another target may answer
/// sooner.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The largest share of a target's slots that scoring calls may use. The rest is reserved for live
/// requests, whose callers wait.
const MAX_SLOT_SHARE: f64 = 0.6;

/// Delay before a call is retried, and the longest wait for a free slot.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Interval at which a refused call checks whether it was cleared, or its job is over.
const REFUSED_INTERVAL: Duration = Duration::from_millis(500);

/// The largest accepted answer of a scoring service.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The outcome of scoring a sample.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Score {
    /// The service answered; contains the signature of its answer.
    Signed(String),
    /// The service failed as often as allowed.
    Failed,
    /// The call crashed too many targets, and the time of the job is over.
    Refused,
}

/// The outcome of one scoring call.
enum Attempt {
    Signed(String),
    /// The service reported a failure.
    Failed,
    /// There was no answer, or an invalid one.
    Unanswered,
    /// There was no answer in time.
    Late,
    /// The connection broke, as it does when the target crashes.
    Broken,
    /// The target had no free slot and did not run the call.
    Full,
}

/// Calls the scoring service for an item until it answers, or has failed as often as both the job
/// and the route allow.
pub async fn score(host: &Host, shared: &Shared, job: &Job, scorer: &Scorer) -> Score {
    let max_failures = job.max_attempts;
    let fingerprint =
        Fingerprint::of_request(["", &scorer.host, "POST", &scorer.path], &scorer.body);
    let (mut failures, mut late) = (0, 0);
    let mut tried = BTreeSet::new();
    let mut place = host.places.call(job.priority);
    loop {
        let configuration = host
            .replica
            .read(|state| state.document.as_ref().map(|document| document.configuration.clone()));
        let Some((target, route_max_failures)) =
            target(host, shared, configuration, scorer, &tried, &mut place)
        else {
            tried.clear();
            let _ = time::timeout(RETRY_INTERVAL, shared.slot_freed().notified()).await;
            continue;
        };
        let id = scorer.id.as_str();
        let limit = patience::timeout(CALL_TIMEOUT, late);
        let is_suspect = host.suspects.lock().suspects().get(&fingerprint).is_some();
        if is_suspect && !start_trial(host, fingerprint, &target, limit) {
            place.end(host.clock.now());
            if !host.suspects.lock().suspects().is_refused(&fingerprint) {
                time::sleep(RETRY_INTERVAL).await;
            } else if job.give_up_ms.is_some_and(|give_up| host.clock.wall_ms() > give_up) {
                return Score::Refused;
            } else {
                time::sleep(REFUSED_INTERVAL).await;
            }
            continue;
        }
        let attempt = call(host, shared, scorer, &target, limit).await;
        place.end(host.clock.now());
        if is_suspect {
            host.change_suspects(&end_of_trial(host, fingerprint, &attempt));
        }
        match attempt {
            Attempt::Signed(signature) => return Score::Signed(signature),
            Attempt::Broken => {
                info!(
                    request = id, target_id:% = target.id, fingerprint:% = fingerprint;
                    "score: the connection broke under a call"
                );
                let (boot, ran_alone) = (target.boot(), is_suspect);
                host.change_suspects(&Change::Crashed { fingerprint, boot, ran_alone });
                tried.insert(target.id);
            }
            Attempt::Failed => {
                failures += 1;
                info!(
                    request = id, target_id:% = target.id, failures = failures;
                    "score: service failed"
                );
                if failures >= max_failures.max(route_max_failures) {
                    return Score::Failed;
                }
            }
            Attempt::Full => {
                tried.insert(target.id);
                continue;
            }
            Attempt::Unanswered => {
                info!(request = id, target_id:% = target.id; "score: no valid answer");
                tried.insert(target.id);
            }
            Attempt::Late => {
                late += 1;
                info!(request = id, target_id:% = target.id, late = late; "score: no answer in time");
                tried.insert(target.id);
            }
        }
        time::sleep(RETRY_INTERVAL).await;
    }
}

/// Asks to run a call that may crash targets alone on a target; returns whether it may run.
fn start_trial(host: &Host, fingerprint: Fingerprint, target: &Target, limit: Duration) -> bool {
    let start = Change::StartTrial {
        fingerprint,
        target: target.id.clone(),
        process: host.peers.local().incarnation,
        for_ms: limit.as_millis() as u64,
    };
    match host.change_suspects(&start) {
        Verdict::Granted | Verdict::NotSuspect => true,
        Verdict::Busy | Verdict::Refused | Verdict::Done => false,
    }
}

/// Returns the change of the suspects that follows a call which ran alone.
fn end_of_trial(host: &Host, fingerprint: Fingerprint, attempt: &Attempt) -> Change {
    match attempt {
        Attempt::Signed(_) | Attempt::Failed => Change::Clear { fingerprint },
        Attempt::Unanswered | Attempt::Late | Attempt::Broken | Attempt::Full => {
            Change::EndTrial { fingerprint, process: host.peers.local().incarnation }
        }
    }
}

/// Returns the target to call, and how many failures its route allows. Returns `None` if no target
/// is available.
fn target(
    host: &Host,
    shared: &Shared,
    configuration: Option<Arc<Configuration>>,
    scorer: &Scorer,
    tried: &BTreeSet<TargetId>,
    place: &mut places::Call,
) -> Option<(Target, u32)> {
    let configuration = configuration?;
    let route = configuration.route(&scorer.host, &scorer.path)?;
    let service = route.service(fastrand::f64())?;
    observation::update(host);
    let soft = host.soft_state();
    let balancer = shared.balancer();
    let now = host.clock.now();
    let has_room = |target: &&Target| {
        let limit = f64::from(soft.registry.usable_slots(target, now)) * MAX_SLOT_SHARE;
        f64::from(balancer.running(&target.id)) < limit
    };
    let targets = soft.registry.targets().filter(|target| target.service == *service);
    let available = targets.filter(has_room);
    let available: Vec<&Target> = available.collect();
    let target = if available.iter().any(|target| host.allowance.room(target, now).is_some()) {
        host.allowance
            .pick(&balancer, available.into_iter(), &host.settings.zone, tried, now)?
            .clone()
    } else {
        observation::pick(host, &balancer, service, available.into_iter(), tried, now)?.clone()
    };
    drop((soft, balancer));
    if !place.take(host, service) {
        return None;
    }
    Some((target, route.max_attempts))
}

async fn call(
    host: &Host,
    shared: &Shared,
    scorer: &Scorer,
    target: &Target,
    limit: Duration,
) -> Attempt {
    shared.balancer().begin(&target.id);
    let began = host.clock.now();
    let request = request(scorer, target, limit);
    let answer = time::timeout(limit, exchange(host, target, request)).await;
    let (answer, attempt) = match answer.unwrap_or(Err(Attempt::Late)) {
        Ok(answer) => {
            let attempt = classify(scorer, &answer);
            (Some(answer), attempt)
        }
        Err(attempt) => (None, attempt),
    };
    let now = host.clock.now();
    let (verdict, event) = match attempt {
        Attempt::Signed(_) => (balancer::Verdict::Answered(now - began), Event::Answered),
        Attempt::Failed => (balancer::Verdict::Answered(now - began), Event::Failed),
        Attempt::Full => (balancer::Verdict::Full, Event::Refused),
        Attempt::Unanswered | Attempt::Late | Attempt::Broken => {
            (balancer::Verdict::Failed, Event::Failed)
        }
    };
    shared.slot_freed().notify_one();
    let mut balancer = shared.balancer();
    balancer.end(&target.id, verdict, now);
    let load = answer.as_ref().and_then(|answer| header::target_load(answer.headers()));
    if let Some(load) = load {
        balancer.report(&target.id, load.running, load.waiting, now);
    }
    let own = balancer.running(&target.id);
    drop(balancer);
    observation::record(host, target, event, now - began, load, own);
    attempt
}

/// Sends a call and reads the complete answer.
///
/// # Errors
///
/// Returns how the call ended if there is no answer.
async fn exchange(
    host: &Host,
    target: &Target,
    request: Request<Body>,
) -> Result<Response<bytes::Bytes>, Attempt> {
    let sent = allowance::send(host, target, request).await;
    let exchange = sent.map_err(|failure| match failure {
        SendError::Withheld => Attempt::Full,
        SendError::Failed(Failure::NotSent(_) | Failure::Malformed(_) | Failure::Lost(_)) => {
            Attempt::Unanswered
        }
        SendError::Failed(Failure::Unknown(_)) => Attempt::Broken,
    })?;
    host.record_response(target, &exchange.response);
    let read = exchange.read_body(MAX_ANSWER_BYTES).await;
    read.map_err(|error| match error {
        BodyError::TooLong
        | BodyError::Malformed(_)
        | BodyError::NoMemory
        | BodyError::TooSlow
        | BodyError::Lost(_) => Attempt::Unanswered,
        BodyError::Broken(_) => Attempt::Broken,
    })
}

fn request(scorer: &Scorer, target: &Target, limit: Duration) -> Request<Body> {
    let mut request = Request::new(full(scorer.body.clone()));
    request.extensions_mut().insert(Repeatable);
    *request.method_mut() = http::Method::POST;
    if let Ok(uri) = scorer.path.parse() {
        *request.uri_mut() = uri;
    }
    let deadline = limit.as_millis().to_string();
    let headers: [(HeaderName, &str); 4] = [
        (http::header::HOST, &scorer.host),
        (header::REQUEST_ID, scorer.id.as_str()),
        (header::EXPECTED_TARGET, target.id.as_str()),
        (header::DEADLINE, &deadline),
    ];
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            request.headers_mut().insert(name, value);
        }
    }
    request
}

fn classify(scorer: &Scorer, answer: &Response<bytes::Bytes>) -> Attempt {
    let headers = answer.headers();
    let echo = header::text(headers, &header::REQUEST_ID);
    if echo.is_some_and(|echo| echo != scorer.id.as_str()) {
        return Attempt::Unanswered;
    }
    let signature = header::text(headers, &header::SIGNATURE);
    match (answer.status(), signature) {
        _ if headers.contains_key(&header::NOT_RUN) => Attempt::Full,
        (status, Some(signature)) if status.is_success() => Attempt::Signed(signature.to_owned()),
        (StatusCode::INTERNAL_SERVER_ERROR, _) => Attempt::Failed,
        (StatusCode::GATEWAY_TIMEOUT, _) => Attempt::Late,
        _ => Attempt::Unanswered,
    }
}
