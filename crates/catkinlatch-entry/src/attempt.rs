//! A single attempt to run a request on a target.

use crate::{front::InboundRequest, host::Host, leaving, observation, suspect};
use bytes::Bytes;
use catkinlatch_base::Instant;
use catkinlatch_ledger::{Target, balancer::Verdict, observation::Event};
use catkinlatch_platform::header;
use catkinlatch_runtime::http::{Body, BodyError, Exchange, Failure, full};
use derive_more::Display;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use log::info;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Outcome of an attempt.
#[derive(Display)]
pub enum Outcome {
    /// The target's complete response.
    #[display("answered")]
    Answer(Response<Bytes>),
    /// The target did not run the request; holds the reason for the log.
    NotRun(&'static str),
    /// The target may have run the request; holds the reason for the log.
    MayHaveRun(String),
    /// The target did not answer in time, and may have run the request; holds the reason for the
    /// log.
    Silent(&'static str),
    /// The connection broke while the target may have run the request, as it does when the target
    /// crashes; holds the reason for the log.
    Broken(String),
}

/// Counts an attempt as in flight until dropped, including when the caller disconnects.
pub struct Guard {
    host: Arc<Host>,
    target: Target,
    started: Instant,
    verdict: Verdict,
    /// What the attempt shows other senders, if that is not what the verdict says.
    event: Option<Event>,
}

impl Guard {
    /// Returns when the attempt started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Records a successful response.
    ///
    /// `elapsed` is the time until the response was complete, or until the first event of a
    /// stream.
    pub fn record_answer(&mut self, elapsed: Duration) {
        self.verdict = Verdict::Answered(elapsed);
    }

    /// Records that the target failed.
    pub fn record_failure(&mut self) {
        self.verdict = Verdict::Failed;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.host.balancer().end(&self.target.id, self.verdict, self.host.clock.now());
        observation::record(&self.host, &self.target, self.verdict, self.event);
    }
}

/// An attempt whose response head has arrived and whose body has not been read to its end.
pub struct Call {
    /// The response head, and the connection that delivers the body.
    pub exchange: Exchange,
    /// Counts the attempt as in flight.
    pub guard: Guard,
}

/// Sends a request to a target and reads the complete response.
///
/// `left` is the time until the request's deadline, which the target is sent. `limit` applies to
/// the response head and to the body separately; the body may have `max_bytes`.
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

/// Sends a request, reads the response head and checks that it belongs to this request.
///
/// # Errors
///
/// Returns the outcome of the attempt if no usable response to this request arrived within
/// `limit`.
pub async fn open(
    host: &Arc<Host>,
    request: Request<Body>,
    id: Option<&str>,
    target: &Target,
    limit: Duration,
) -> Result<Call, Outcome> {
    let started = host.clock.now();
    host.balancer().begin(&target.id);
    let verdict = Verdict::Unknown;
    let (held_host, held_target) = (host.clone(), target.clone());
    let mut guard = Guard { host: held_host, target: held_target, started, verdict, event: None };
    let exchange = match time::timeout(limit, host.client.send(&target.address, request)).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(Failure::NotSent(_))) => {
            guard.verdict = Verdict::Failed;
            return Err(Outcome::NotRun("no connection"));
        }
        Ok(Err(Failure::Unknown(reason))) => {
            guard.verdict = Verdict::Failed;
            return Err(Outcome::Broken(reason));
        }
        Err(_) => {
            guard.verdict = Verdict::Failed;
            guard.event = Some(Event::Silent);
            return Err(Outcome::Silent("no answer in time"));
        }
    };
    suspect::record_response(host, target, started);
    leaving::record_response(host, target, &exchange.response);
    if let Some(load) = header::target_load(exchange.response.headers()) {
        host.balancer().report(&target.id, load.running, load.waiting, host.clock.now());
        observation::record_load(host, target, load);
    }
    if let Some(outcome) = check_answer(&exchange, id) {
        let is_full = matches!(outcome, Outcome::NotRun(_));
        guard.verdict = if is_full { Verdict::Full } else { Verdict::Failed };
        return Err(outcome);
    }
    Ok(Call { exchange, guard })
}

/// Reads the response body to its end.
pub async fn read_answer(host: &Host, call: Call, limit: Duration, max_bytes: usize) -> Outcome {
    let Call { exchange, mut guard } = call;
    let outcome = match time::timeout(limit, exchange.read_body(max_bytes)).await {
        Ok(Ok(answer)) => {
            let elapsed = host.clock.now() - guard.started;
            guard.record_answer(elapsed);
            if answer.status() == StatusCode::INTERNAL_SERVER_ERROR {
                guard.event = Some(Event::Failed);
            } else {
                observation::record_duration(&guard.host, &guard.target, elapsed);
            }
            return Outcome::Answer(answer);
        }
        Ok(Err(error @ BodyError::Broken(_))) => Outcome::Broken(error.to_string()),
        Ok(Err(error @ BodyError::TooLong)) => Outcome::MayHaveRun(error.to_string()),
        Err(_) => {
            guard.event = Some(Event::Silent);
            Outcome::Silent("the response did not end in time")
        }
    };
    guard.record_failure();
    outcome
}

/// Logs that the connection to a target broke under a request.
pub fn log_break(inbound: &InboundRequest, target: &Target) {
    metrics::counter!("catkinlatch_entry_broken_connections").increment(1);
    info!(
        request = inbound.id().unwrap_or_default(), fingerprint:% = inbound.fingerprint(),
        target_id:% = target.id, born_ms = target.born_ms;
        "entry: the connection broke under a request"
    );
}

/// Returns the outcome of an attempt whose response cannot be used, or `None` if it can.
fn check_answer(exchange: &Exchange, id: Option<&str>) -> Option<Outcome> {
    let headers = exchange.response.headers();
    let status = exchange.response.status();
    let echo = header::text(headers, &header::REQUEST_ID);
    if echo.is_some() && echo != id {
        return Some(Outcome::MayHaveRun("the response belongs to another request".to_owned()));
    }
    if headers.contains_key(&header::NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Outcome::NotRun("the target refused the request"));
    }
    let is_success = status.is_success();
    if is_success && (echo.is_none() || !headers.contains_key(&header::SIGNATURE)) {
        return Some(Outcome::MayHaveRun("the response is not signed".to_owned()));
    }
    None
}

/// Builds the request for the target: the caller's request without its API key.
pub fn build_request(inbound: &InboundRequest, target: &Target, left: Duration) -> Request<Body> {
    let mut request = Request::new(full(inbound.body.clone()));
    *request.method_mut() = inbound.head.method.clone();
    *request.uri_mut() = inbound.head.uri.clone();
    *request.headers_mut() = header::forwardable(&inbound.head.headers);
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
