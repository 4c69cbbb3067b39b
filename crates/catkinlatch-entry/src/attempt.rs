//! A single attempt to run a request on a target.

use crate::{front::InboundRequest, host::Host, leaving, observation, suspect};
use bytes::Bytes;
use catkinlatch_base::Instant;
use catkinlatch_ledger::{Target, balancer::Verdict, observation::Event};
use catkinlatch_platform::header;
use catkinlatch_runtime::http::{Body, BodyError, Exchange, Failure, Framing, Repeatable, full};
use derive_more::Display;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use log::info;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Why an attempt did not reach its target.
pub const NO_CONNECTION: &str = "no connection";

/// Why a response that ends with its connection is not whole.
pub const ENDED: &str = "the target ended the connection and refuses others";

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
    /// The path to the target was lost, which shows nothing about the target; it may have run the
    /// request. Holds the reason for the log.
    Lost(String),
}

/// Counts an attempt as in flight until dropped, including when the caller disconnects.
pub struct Guard {
    host: Arc<Host>,
    target: Target,
    started: Instant,
    verdict: Verdict,
    /// What the attempt shows other senders, if that is not what the verdict says.
    event: Option<Event>,
    /// Whether the attempt shows other senders nothing, since the path may have failed.
    is_private: bool,
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

    /// Records that the target failed, as far as this host can tell the target from the path.
    pub fn record_failure(&mut self) {
        let is_direct = self.host.client.dialer().is_none_or(|dialer| dialer.is_direct());
        (self.verdict, self.is_private) = (Verdict::Failed, !is_direct);
    }

    /// Records that the path to the target was lost.
    pub fn record_loss(&mut self) {
        self.verdict = Verdict::Unknown;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.host.balancer().end(&self.target.id, self.verdict, self.host.clock.now());
        if !self.is_private {
            observation::record(&self.host, &self.target, self.verdict, self.event);
        }
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
/// the response head and to the body separately; both together end at the deadline.
pub async fn send(
    host: &Arc<Host>,
    inbound: &InboundRequest,
    target: &Target,
    left: Duration,
    limit: Duration,
) -> Outcome {
    match open(host, build_request(inbound, target, left), inbound.id(), target, limit).await {
        Ok(call) => {
            let elapsed = host.clock.now() - call.guard.started;
            read_answer(host, call, limit.min(left.saturating_sub(elapsed))).await
        }
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
    host.confirm_view().await;
    // The zone may have been evacuated while the request waited for a permit.
    if host.view().is_evacuated(&target.id) {
        return Err(Outcome::NotRun("the target's zone is evacuated"));
    }
    host.balancer().begin(&target.id);
    let verdict = Verdict::Unknown;
    let (held_host, held_target) = (host.clone(), target.clone());
    let mut guard = Guard {
        host: held_host,
        target: held_target,
        started,
        verdict,
        event: None,
        is_private: false,
    };
    let (mut sent, mut is_withheld) = (None, false);
    let prepare = |request: &mut Request<Body>| {
        let now = host.clock.now();
        // Opening a connection can take longer than a target's work, and the view may have had to
        // be confirmed.
        shorten_deadline(request, now - started);
        (sent, is_withheld) =
            (Some(now), !host.allowance.admit(target, host.hosts_without_leader(), now));
        !is_withheld
    };
    let sending = host.client.send_prepared(&target.address, request, prepare);
    let exchange = match time::timeout(limit, sending).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(Failure::NotSent(_))) if is_withheld => {
            return Err(Outcome::NotRun("the target is limited, and this host has no share of it"));
        }
        Ok(Err(Failure::NotSent(_))) => {
            guard.record_failure();
            return Err(Outcome::NotRun(NO_CONNECTION));
        }
        Ok(Err(Failure::Unknown(reason))) => {
            guard.record_failure();
            return Err(Outcome::Broken(reason));
        }
        Ok(Err(failure @ Failure::Malformed(_))) => {
            guard.record_failure();
            return Err(Outcome::MayHaveRun(failure.to_string()));
        }
        Ok(Err(Failure::Lost(reason))) => return Err(Outcome::Lost(reason)),
        Err(_) => {
            guard.record_failure();
            guard.event = Some(Event::Silent);
            return Err(Outcome::Silent("no answer in time"));
        }
    };
    suspect::record_response(host, target, started);
    leaving::record_response(host, target, &exchange.response);
    host.allowance.record_response(target, &exchange.response, sent, host.clock.now());
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

/// Takes the time that has passed from the time that the target is given; returns whether any is
/// left.
fn shorten_deadline(request: &mut Request<Body>, passed: Duration) -> bool {
    let Some(given) = header::number(request.headers(), &header::DEADLINE) else { return true };
    let left = given.saturating_sub(passed.as_millis() as u64);
    request.headers_mut().insert(header::DEADLINE, HeaderValue::from(left));
    left > 0
}

/// Reads the response body to its end.
pub async fn read_answer(host: &Host, call: Call, limit: Duration) -> Outcome {
    let Call { exchange, mut guard } = call;
    let max_bytes = host.client.limits().body;
    let framing = exchange.framing;
    let reading = async {
        let answer = exchange.read_body(max_bytes).await?;
        let may_be_cut = framing != Framing::Explicit;
        if may_be_cut && host.client.is_refused_by(&guard.target.address).await {
            return Err(BodyError::Broken(ENDED.to_owned()));
        }
        Ok(answer)
    };
    let outcome = match time::timeout(limit, reading).await {
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
        Ok(Err(BodyError::Lost(reason))) => {
            guard.record_loss();
            return Outcome::Lost(reason);
        }
        Ok(Err(error)) => Outcome::MayHaveRun(error.to_string()),
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
    if inbound.route.may_repeat() {
        request.extensions_mut().insert(Repeatable);
    }
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
