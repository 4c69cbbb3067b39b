//! Forwarding of event streams as they arrive.

use crate::{
    allowance,
    attempt::{self, Call, Outcome},
    build::{self, Required},
    drain::OpenStream,
    front::InboundRequest,
    host::Host,
    proxy,
    suspect::{self, Permit},
};
use bytes::Bytes;
use catkinlatch_base::{Instant, TargetId};
use catkinlatch_ledger::Target;
use catkinlatch_platform::{EventParser, Parsed, header};
use catkinlatch_runtime::http::{Body, BodyError, Framing, is_event_stream, record_end, streamed};
use http::{HeaderValue, Request, Response, StatusCode};
use log::info;
use std::{
    collections::{BTreeSet, VecDeque},
    mem,
    pin::pin,
    sync::Arc,
    time::Duration,
};
use tokio::time;

/// Longest pause between two events before a stream is resumed at another target. A slow target
/// pauses for a third of this, and callers disconnect after two seconds.
const EVENT_TIMEOUT: Duration = Duration::from_millis(800);

/// How long the call of a late target is kept once the stream was sent to another one, which would
/// otherwise work on it as well.
const OVERLAP: Duration = Duration::from_millis(300);

/// Longest pause between two events of a stream that no other target takes.
const LATE_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Attempts of a request so far.
pub struct Attempts {
    /// Number of attempts that count towards the limit of the route.
    pub sends: u32,
    /// The targets that failed or refused the request.
    pub tried: BTreeSet<TargetId>,
    /// When the request arrived.
    pub arrived: Instant,
    /// Deadline for the first event; later events are bound by the caller's deadline alone.
    pub deadline: Instant,
    /// Whether the current attempt is the run of a request that may crash targets.
    pub is_trial: bool,
}

/// A stream that is being forwarded to the caller.
struct Relay {
    host: Arc<Host>,
    inbound: Arc<InboundRequest>,
    attempts: Attempts,
    target: Target,
    call: Option<Call>,
    /// The call of a late target, while another one is tried.
    late_call: Option<Call>,
    parser: EventParser,
    /// Complete blocks of events that have not been forwarded yet.
    ready: VecDeque<Bytes>,
    /// Why the stream failed for good; the caller learns it after the blocks in `ready`.
    failure: Option<String>,
    /// How long this host has waited for data since the last complete event.
    waited: Duration,
    /// Whether events were late and no other target takes the stream.
    is_patient: bool,
    /// Id of the last event received, or else of the last one that the caller had before this
    /// request.
    last_event: Option<u64>,
    /// Whether an event has been received for this request.
    has_begun: bool,
    /// How the response of the first target tells where it ends.
    framing: Framing,
    /// The last event of a target that ended the stream with its connection.
    ended_after: Option<u64>,
    /// The builds at which the stream may go on.
    required: Required,
    /// Lists the stream among those that this host cuts if it ends.
    _open: OpenStream,
}

/// Outcome of a read from the target.
enum Read {
    /// Complete blocks were added to `ready`, possibly none.
    Blocks,
    /// The stream ended between two events.
    End,
    /// The next event is late.
    Late,
    /// The stream failed.
    Failed {
        /// The reason for the log.
        reason: String,
        /// What that shows about the target.
        cause: Cause,
    },
}

/// What the failure of a stream shows about its target.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// The connection broke, as it does when the target crashes.
    Break,
    /// The path to the target was lost, which shows nothing about it.
    Loss,
    /// The target failed in another way.
    Other,
}

impl Read {
    fn failed(reason: impl ToString) -> Self {
        Self::Failed { reason: reason.to_string(), cause: Cause::Other }
    }

    fn broken(reason: impl ToString) -> Self {
        Self::Failed { reason: reason.to_string(), cause: Cause::Break }
    }
}

/// Sends a request whose response is a stream; returns once the response head has arrived.
///
/// # Errors
///
/// Returns the outcome of the attempt if the target sends no stream.
pub async fn open(
    host: &Arc<Host>,
    inbound: &Arc<InboundRequest>,
    target: &Target,
    attempts: Attempts,
    required: &Required,
    limit: Duration,
) -> Result<Response<Body>, Outcome> {
    let left = attempts.deadline - host.clock.now();
    let request = attempt::build_request(inbound, target, left);
    let mut call = attempt::open(host, request, inbound.id(), target, limit).await?;
    if call.exchange.response.status() != StatusCode::OK {
        let limit = limit.min(attempts.deadline - host.clock.now());
        return Err(attempt::read_answer(host, call, limit).await);
    }
    if !is_stream(&call) {
        call.guard.record_failure();
        return Err(Outcome::MayHaveRun("the response is no stream of events".to_owned()));
    }
    let resumed = header::text(&inbound.head.headers, &header::RESUMED);
    if inbound.head.headers.contains_key(header::LAST_EVENT) {
        info!(
            request = inbound.id().unwrap_or_default(), resumed = resumed.unwrap_or_default(),
            target_id:% = target.id, build:% = target.build;
            "entry: a caller resumes a stream"
        );
    }
    let framing = call.exchange.framing;
    let head = &call.exchange.response;
    let (status, headers) = (head.status(), header::forwardable(head.headers()));
    let open = OpenStream::new(host, inbound, attempts.arrived);
    let relay = Relay {
        host: host.clone(),
        inbound: inbound.clone(),
        attempts,
        target: target.clone(),
        call: Some(call),
        late_call: None,
        parser: EventParser::new(host.client.limits().event),
        ready: VecDeque::new(),
        failure: None,
        waited: Duration::ZERO,
        is_patient: false,
        last_event: header::number(&inbound.head.headers, &header::LAST_EVENT),
        has_begun: false,
        framing,
        ended_after: None,
        required: required.clone(),
        _open: open,
    };
    let body = streamed(relay, async |mut relay| {
        let part = relay.next().await?;
        Some((part, relay))
    });
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Returns whether a response is a stream of events.
fn is_stream(call: &Call) -> bool {
    let head = &call.exchange.response;
    head.status() == StatusCode::OK && is_event_stream(head.headers())
}

impl Relay {
    /// Returns the next block for the caller, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns why the stream failed, so that the caller does not take it for complete.
    async fn next(&mut self) -> Option<Result<Bytes, String>> {
        loop {
            if let Some(block) = self.ready.pop_front() {
                return Some(Ok(block));
            }
            if let Some(reason) = self.failure.take() {
                return Some(Err(reason));
            }
            match self.read().await {
                Read::Blocks => {}
                Read::End if self.may_be_cut() => {
                    let reason = "the stream ended with its connection";
                    self.log(reason);
                    if mem::take(&mut self.attempts.is_trial) {
                        suspect::end_trial(&self.host, &self.inbound);
                    }
                    if let Some(call) = &mut self.call {
                        call.guard.record_loss();
                    }
                    if !self.resume(false).await {
                        self.call = None;
                        if self.framing == Framing::Explicit {
                            self.failure = Some(reason.to_owned());
                        }
                    }
                }
                Read::End => {
                    if let Some(call) = self.call.take() {
                        call.exchange.release();
                        self.log("whole");
                    }
                    if mem::take(&mut self.attempts.is_trial) {
                        suspect::record_answer(&self.host, &self.inbound);
                    }
                    return None;
                }
                Read::Late => self.replace_late().await,
                Read::Failed { reason, cause } => {
                    if cause == Cause::Break {
                        self.record_break().await;
                    } else if self.attempts.is_trial {
                        suspect::end_trial(&self.host, &self.inbound);
                    }
                    if let Some(call) = &mut self.call {
                        match cause {
                            Cause::Loss => call.guard.record_loss(),
                            Cause::Break | Cause::Other => call.guard.record_failure(),
                        }
                    }
                    self.log(&reason);
                    if !self.resume(cause != Cause::Loss).await {
                        self.call = None;
                        self.failure = Some(reason);
                    }
                }
            }
        }
    }

    /// Reads the next part of the body and splits it into complete blocks.
    async fn read(&mut self) -> Read {
        let left = self.remaining(self.host.clock.now());
        // Parts that complete no event do not extend the wait. The time that the caller takes for
        // events is left out.
        let event_limit = if self.is_patient { LATE_TIMEOUT } else { EVENT_TIMEOUT };
        let event_limit = event_limit.saturating_sub(self.waited);
        let limit = if self.inbound.route.may_repeat() { left.min(event_limit) } else { left };
        let Some(call) = &mut self.call else { return Read::End };
        let began = self.host.clock.now();
        let received = time::timeout(limit, call.exchange.next()).await;
        self.waited += self.host.clock.now() - began;
        let part = match received {
            Ok(Ok(Some(part))) => part,
            Ok(Ok(None)) if self.parser.is_partial() => {
                return Read::broken("the stream ended within an event");
            }
            Ok(Ok(None)) if call.exchange.framing == Framing::Explicit => return Read::End,
            Ok(Ok(None)) => {
                let has_crashed = self.host.client.is_refused_by(&self.target.address).await;
                return if has_crashed { Read::broken(attempt::ENDED) } else { Read::End };
            }
            Ok(Err(error @ BodyError::Broken(_))) => return Read::broken(error),
            Ok(Err(error @ BodyError::Lost(_))) => {
                return Read::Failed { reason: error.to_string(), cause: Cause::Loss };
            }
            Ok(Err(error)) => return Read::failed(error),
            Err(_) if limit < left && self.may_be_late() => return Read::Late,
            Err(_) => return Read::failed("timed out waiting for the next event"),
        };
        let Parsed { list, fault } = self.parser.parse_raw(&part);
        for (id, block) in list {
            if let Some(id) = id {
                if let Some(last) = self.last_event.filter(|last| id <= *last) {
                    return Read::failed(format!("event {id} comes after {last}"));
                }
                if !self.has_begun {
                    let elapsed = self.host.clock.now() - call.guard.started();
                    call.guard.record_answer(elapsed);
                    build::record(&self.host, &self.inbound, &self.target.build);
                    self.required = Required::Only(self.target.build.clone());
                }
                (self.last_event, self.has_begun) = (Some(id), true);
                self.waited = Duration::ZERO;
            }
            self.ready.push_back(block);
        }
        if fault.is_some() {
            record_end(&self.target.address, "event");
        }
        let held = call.exchange.hold(self.parser.buffered()).map_err(|error| error.to_string());
        fault.map_or(held, Err).map_or_else(Read::failed, |()| Read::Blocks)
    }

    /// Returns the remaining time.
    ///
    /// Once events have arrived, only the caller's own deadline applies, since the caller is no
    /// longer waiting for a first event.
    fn remaining(&self, now: Instant) -> Duration {
        let left = self.attempts.deadline - now;
        if !self.has_begun {
            return left;
        }
        let caller = header::number(&self.inbound.head.headers, &header::DEADLINE);
        let caller =
            caller.map(|caller| self.attempts.arrived + Duration::from_millis(caller) - now);
        let caller = caller.map(|left| left.saturating_sub(self.inbound.waited));
        caller.unwrap_or(proxy::DEFAULT_TIMEOUT.saturating_sub(self.waited))
    }

    /// Returns whether a stream that ended without an error may have been cut.
    ///
    /// Where it may be resumed, a second target that ends it after the same event confirms that nothing
    /// follows.
    fn may_be_cut(&mut self) -> bool {
        let framing = self.call.as_ref().map(|call| call.exchange.framing);
        let is_explicit = framing.is_none_or(|framing| framing == Framing::Explicit);
        if is_explicit || !self.inbound.route.may_repeat() {
            return false;
        }
        let last_event = self.last_event.unwrap_or_default();
        self.ended_after.replace(last_event) != Some(last_event)
    }

    /// Returns whether a late event shows no more than a slow target. One that falls silent under a
    /// request that may crash targets has failed.
    fn may_be_late(&self) -> bool {
        !self.is_patient && !self.attempts.is_trial
    }

    /// Resumes a late stream at another target, or waits on for this one if none takes it: it may be
    /// slow.
    async fn replace_late(&mut self) {
        self.log("the next event is late");
        let began = self.host.clock.now();
        let (target, waited) = (self.target.clone(), self.waited);
        let parser = EventParser::new(self.host.client.limits().event);
        self.late_call = self.call.take();
        let parser = mem::replace(&mut self.parser, parser);
        let is_resumed = self.resume(true).await;
        let late_call = self.late_call.take();
        if is_resumed {
            if let Some(mut late_call) = late_call {
                late_call.guard.record_failure();
            }
            return;
        }
        if late_call.is_none() {
            self.failure = Some("no other target took the stream of a late one".to_owned());
        }
        (self.target, self.call, self.parser) = (target, late_call, parser);
        self.waited = waited + (self.host.clock.now() - began);
        self.is_patient = true;
    }

    /// Sends a request to the next target. If that takes long, the call of the late target is ended.
    async fn open_next(
        &mut self,
        request: Request<Body>,
        target: &Target,
        limit: Duration,
    ) -> Result<Call, Outcome> {
        let (host, inbound) = (self.host.clone(), self.inbound.clone());
        let mut opening = pin!(attempt::open(&host, request, inbound.id(), target, limit));
        if self.late_call.is_none() {
            return opening.await;
        }
        if let Ok(opened) = time::timeout(OVERLAP, &mut opening).await {
            return opened;
        }
        if let Some(mut late_call) = self.late_call.take() {
            late_call.guard.record_failure();
        }
        opening.await
    }

    /// Resumes the stream at another target after the last event, if the route allows it; returns
    /// whether that succeeded. `spends_retry` says whether the first attempt counts against the
    /// route's budget of retries.
    async fn resume(&mut self, mut spends_retry: bool) -> bool {
        self.parser = EventParser::new(self.host.client.limits().event);
        self.waited = Duration::ZERO;
        let give_up_at = self.host.clock.now() + EVENT_TIMEOUT;
        while self.inbound.route.may_repeat()
            && self.attempts.sends < self.inbound.route.max_attempts
        {
            let now = self.host.clock.now();
            let left = self.remaining(now);
            if left < proxy::MIN_ATTEMPT_TIME {
                return false;
            }
            self.attempts.tried.insert(self.target.id.clone());
            let mut left_out = self.attempts.tried.clone();
            left_out.extend(build::excluded(&self.host, &self.required));
            let Some(target) = proxy::pick_target(&self.host, &self.inbound, &left_out, now) else {
                let may_wait = allowance::may_wait(&self.host, &self.inbound, &left_out, now);
                if may_wait && now < give_up_at {
                    time::sleep(proxy::FULL_RETRY_PAUSE).await;
                    continue;
                }
                return false;
            };
            match suspect::admit(&self.host, &self.inbound, &target, left).await {
                permit @ (Permit::Plain | Permit::Trial) => {
                    self.attempts.is_trial = permit == Permit::Trial;
                }
                Permit::Busy if now < give_up_at => {
                    time::sleep(suspect::TRIAL_PAUSE).await;
                    continue;
                }
                Permit::Busy | Permit::Refused => return false,
            }
            let route = &self.inbound.route;
            if spends_retry && !self.host.admission.take_retry(route, self.host.clock.now()) {
                if mem::take(&mut self.attempts.is_trial) {
                    suspect::end_trial(&self.host, &self.inbound);
                }
                self.log("no retry left in the budget of the route");
                return false;
            }
            spends_retry = true;
            // A suspect may have waited for the leader's word.
            let left = self.remaining(self.host.clock.now());
            self.attempts.sends += 1;
            self.target = target.clone();
            let mut request = attempt::build_request(&self.inbound, &target, left);
            if let Some(last) = self.last_event {
                request.headers_mut().insert(header::LAST_EVENT, HeaderValue::from(last));
            }
            let limit = left.min(EVENT_TIMEOUT);
            match self.open_next(request, &target, limit).await {
                Ok(call) if is_stream(&call) => {
                    (self.call, self.is_patient) = (Some(call), false);
                    return true;
                }
                Ok(mut call) => {
                    if call.exchange.response.status().is_success() {
                        call.guard.record_failure();
                    }
                    self.log("the next target did not return a stream");
                }
                Err(Outcome::NotRun(reason)) => {
                    spends_retry = false;
                    self.log(reason);
                }
                Err(Outcome::Lost(reason)) => {
                    spends_retry = false;
                    self.log(&reason);
                }
                Err(Outcome::MayHaveRun(reason)) => self.log(&reason),
                Err(Outcome::Silent(reason)) => self.log(reason),
                Err(Outcome::Broken(reason)) => {
                    self.log(&reason);
                    self.record_break().await;
                }
                Err(Outcome::Answer(_)) => {}
            }
        }
        false
    }

    async fn record_break(&self) {
        let ran_alone = self.attempts.is_trial;
        suspect::record_break(&self.host, &self.inbound, &self.target, ran_alone).await;
    }

    /// Logs how the stream ended at the current target.
    fn log(&self, outcome: &str) {
        info!(
            request = self.inbound.id().unwrap_or_default(), target_id:% = self.target.id,
            build:% = self.target.build,
            last_event = self.last_event.unwrap_or_default(), sends = self.attempts.sends,
            outcome = outcome;
            "entry: stream"
        );
    }
}
