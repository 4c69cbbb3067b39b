//! One try of a request at a target.

use crate::{front::InboundRequest, host::Host};
use bytes::Bytes;
use catkinlatch_base::{Instant, TargetId};
use catkinlatch_ledger::{Target, choice::Verdict};
use catkinlatch_platform::header;
use catkinlatch_runtime::http::{Body, Exchange, Failure, full};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// What a try came to.
pub enum Outcome {
    /// The target's whole answer.
    Answer(Response<Bytes>),
    /// The target did not run it.
    NotRun(&'static str),
    /// The target may have run it.
    MayHaveRun(String),
}

/// Counts a try as under way until it is dropped, also where its caller leaves.
pub struct Guard {
    host: Arc<Host>,
    target: TargetId,
    started: Instant,
    verdict: Verdict,
}

impl Guard {
    /// Returns when the try began.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Notes that the target answered whole, in the time until now or until its first event.
    pub fn record_answer(&mut self, elapsed: Duration) {
        self.verdict = Verdict::Answered(elapsed);
    }

    /// Notes that the target failed.
    pub fn record_failure(&mut self) {
        self.verdict = Verdict::Failed;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.host.choice().end(&self.target, self.verdict, self.host.clock.now());
    }
}

/// A target's answer to this request, whose body is still to be read.
pub struct Call {
    /// The answer.
    pub exchange: Exchange,
    /// Counts the try.
    pub guard: Guard,
}

/// Sends a request to a target and reads the whole answer.
pub async fn send(
    host: &Arc<Host>,
    inbound: &InboundRequest,
    target: &Target,
    left: Duration,
    limit: Duration,
    max_bytes: usize,
) -> Outcome {
    match open(host, build_request(inbound, target, left), inbound.id(), target, limit).await {
        Ok(call) => read_answer(host, call, limit, max_bytes).await,
        Err(outcome) => outcome,
    }
}

/// Sends a request and reads the head of the answer, which must be to this request.
///
/// # Errors
///
/// Returns what the try came to if no answer to this request follows.
pub async fn open(
    host: &Arc<Host>,
    request: Request<Body>,
    id: Option<&str>,
    target: &Target,
    limit: Duration,
) -> Result<Call, Outcome> {
    let started = host.clock.now();
    host.choice().begin(&target.id);
    let verdict = Verdict::Unknown;
    let mut guard = Guard { host: host.clone(), target: target.id.clone(), started, verdict };
    let exchange = match time::timeout(limit, host.client.send(&target.address, request)).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(Failure::NotSent(_))) => {
            guard.verdict = Verdict::Failed;
            return Err(Outcome::NotRun("no connection"));
        }
        Ok(Err(Failure::Unknown(reason))) => {
            guard.verdict = Verdict::Failed;
            return Err(Outcome::MayHaveRun(reason));
        }
        Err(_) => {
            guard.verdict = Verdict::Failed;
            return Err(Outcome::MayHaveRun("no answer in time".to_owned()));
        }
    };
    if let Some((running, waiting)) = header::load(exchange.response.headers()) {
        host.choice().report(&target.id, running, waiting, host.clock.now());
    }
    if let Some(outcome) = check_answer(&exchange, id) {
        let is_full = matches!(outcome, Outcome::NotRun(_));
        guard.verdict = if is_full { Verdict::Full } else { Verdict::Failed };
        return Err(outcome);
    }
    Ok(Call { exchange, guard })
}

/// Reads the rest of an answer.
pub async fn read_answer(host: &Host, call: Call, limit: Duration, max_bytes: usize) -> Outcome {
    let Call { exchange, mut guard } = call;
    let reason = match time::timeout(limit, exchange.whole(max_bytes)).await {
        Ok(Ok(answer)) => {
            guard.record_answer(host.clock.now() - guard.started);
            return Outcome::Answer(answer);
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => "the answer did not end in time".to_owned(),
    };
    guard.record_failure();
    Outcome::MayHaveRun(reason)
}

/// Returns what a try came to whose answer is none to this request.
fn check_answer(exchange: &Exchange, id: Option<&str>) -> Option<Outcome> {
    let headers = exchange.response.headers();
    let status = exchange.response.status();
    let echo = header::text(headers, &header::REQUEST_ID);
    if echo.is_some() && echo != id {
        return Some(Outcome::MayHaveRun("the answer belongs to another request".to_owned()));
    }
    if headers.contains_key(&header::NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Outcome::NotRun("the target refused it"));
    }
    let is_success = status.is_success();
    if is_success && (echo.is_none() || !headers.contains_key(&header::SIGNATURE)) {
        return Some(Outcome::MayHaveRun("the answer is not signed".to_owned()));
    }
    None
}

/// Builds the request for the target: the caller's, without its key.
pub fn build_request(inbound: &InboundRequest, target: &Target, left: Duration) -> Request<Body> {
    let mut request = Request::new(full(inbound.body.clone()));
    *request.method_mut() = inbound.head.method.clone();
    *request.uri_mut() = inbound.head.uri.clone();
    *request.headers_mut() = header::passed_on(&inbound.head.headers);
    let left = left.as_millis().to_string();
    let mut set = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            request.headers_mut().insert(name, value);
        }
    };
    set(header::DEADLINE, &left);
    set(header::EXPECTED_TARGET, target.id.as_str());
    if let Some(team) = &inbound.team {
        set(header::TEAM, team.as_str());
    }
    request
}
