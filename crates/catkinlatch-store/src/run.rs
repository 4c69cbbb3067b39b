//! Runs one item of a job on an engine.

use crate::{
    allowance::{self, SendError},
    host::Host,
    patience,
    shared::Shared,
};
use catkinlatch_base::{Instant, Version};
use catkinlatch_ledger::{Job, Target, job::Progress, schedule::End};
use catkinlatch_platform::{Event, EventParser, Parsed, header};
use catkinlatch_runtime::http::{
    BodyError, Exchange, Failure, Framing, Repeatable, full, is_event_stream, record_end,
};
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::time;

/// Timeout for the first event of a run.
///
/// Responsive engines take less than 0.1 s, and a few tenths of a second more if they process
/// other prompts first.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Timeout between two events of a run. Slow engines take about a third of it.
const NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a run waits for events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Timeout for the first event.
    pub first: Duration,
    /// Timeout between two events.
    pub next: Duration,
}

impl Patience {
    /// Returns the timeouts of a run after `late_runs` of the item were given up as late.
    pub fn new(late_runs: u32) -> Self {
        Self {
            first: patience::timeout(FIRST_EVENT_TIMEOUT, late_runs),
            next: patience::timeout(NEXT_EVENT_TIMEOUT, late_runs),
        }
    }
}

/// The progress of a run, shared with the runner, which may cancel the run.
pub type SharedProgress = Arc<Mutex<Progress>>;

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Summary {
    /// How the run ended.
    pub end: End,
    /// The output up to the last complete event, including that of earlier runs.
    pub progress: Progress,
    /// The version of the weights that the engine used last; `None` if it named none.
    pub version: Option<Version>,
    /// Why the run ended, for the log; empty if the text is complete.
    pub reason: String,
    /// Time from the request to the first event; zero if there was none.
    pub first_event: Duration,
    /// The longest time between two reads that completed events.
    pub longest_gap: Duration,
    /// Whether the connection broke, as it does when the engine crashes.
    pub is_disconnect: bool,
    /// Whether the run was given up since the next event was late.
    pub is_late: bool,
}

impl Summary {
    /// Creates the summary of a run that is interrupted before it generates anything.
    fn new(progress: Progress) -> Self {
        Self {
            end: End::Broken,
            progress,
            version: None,
            reason: String::new(),
            first_event: Duration::ZERO,
            longest_gap: Duration::ZERO,
            is_disconnect: false,
            is_late: false,
        }
    }
}

/// Runs an item on an engine, resuming after the last event of its progress.
pub async fn run(
    host: &Host,
    shared: &Shared,
    job: &Job,
    item: usize,
    engine: &Target,
    shared_progress: &SharedProgress,
    patience: Patience,
) -> Summary {
    let progress = shared_progress.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let mut summary = Summary::new(progress);
    let began = host.clock.now();
    let request = request(job, item, &summary.progress, engine);
    let sent = time::timeout(patience.first, allowance::send(host, engine, request)).await;
    let exchange = match sent {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(SendError::Withheld)) => {
            summary.end = End::Refused;
            summary.reason = SendError::Withheld.to_string();
            return summary;
        }
        Ok(Err(SendError::Failed(failure))) => {
            let may_have_run = !matches!(failure, Failure::NotSent(_));
            summary.end = if may_have_run { End::Broken } else { End::Unreachable };
            summary.is_disconnect = matches!(failure, Failure::Unknown(_));
            summary.reason = failure.to_string();
            return summary;
        }
        Err(_) => {
            summary.is_late = true;
            summary.reason = "no answer in time".to_owned();
            return summary;
        }
    };
    host.record_response(engine, &exchange.response);
    let id = job.items[item].id.as_str();
    match end_from_head(&exchange, id) {
        Some(end) => {
            summary.end = end;
            summary.reason = format!("status {}", exchange.response.status().as_u16());
        }
        None => {
            let run = Run { host, shared, job, engine, shared_progress, patience, began };
            run.read(exchange, &mut summary).await;
        }
    }
    summary
}

/// Builds the request for an item, which resumes after the last event of `progress`.
fn request(
    job: &Job,
    item: usize,
    progress: &Progress,
    engine: &Target,
) -> Request<catkinlatch_runtime::http::Body> {
    let item = &job.items[item];
    let mut request = Request::new(full(item.body.clone()));
    request.extensions_mut().insert(Repeatable);
    *request.method_mut() = http::Method::POST;
    if let Ok(uri) = item.path.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = item_headers(&item.headers);
    let headers = request.headers_mut();
    let mut set = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(http::header::HOST, &job.host);
    set(header::REQUEST_ID, item.id.as_str());
    set(header::EXPECTED_TARGET, engine.id.as_str());
    if let Some(team) = &job.team {
        set(header::TEAM, team.as_str());
    }
    if progress.last_event > 0 {
        set(header::LAST_EVENT, &progress.last_event.to_string());
    }
    request
}

/// Returns the headers that an item's request takes from the item: those that a live request could
/// take from its caller. Where a run begins is not the caller's to say.
fn item_headers(headers: &[(String, String)]) -> HeaderMap {
    let parse = |(name, value): &(String, String)| {
        Some((HeaderName::from_bytes(name.as_bytes()).ok()?, HeaderValue::from_str(value).ok()?))
    };
    let mut headers = header::forwardable(&headers.iter().filter_map(parse).collect());
    headers.remove(&header::LAST_EVENT);
    headers
}

/// Returns how the run ended according to the response head, or `None` if events follow.
fn end_from_head(exchange: &Exchange, id: &str) -> Option<End> {
    let headers = exchange.response.headers();
    if header::text(headers, &header::REQUEST_ID).is_some_and(|echo| echo != id) {
        return Some(End::Broken);
    }
    match exchange.response.status() {
        StatusCode::MISDIRECTED_REQUEST => Some(End::OtherTarget),
        _ if headers.contains_key(&header::NOT_RUN) => Some(End::Refused),
        StatusCode::UNPROCESSABLE_ENTITY => Some(End::Impossible),
        StatusCode::INTERNAL_SERVER_ERROR => Some(End::Failed),
        StatusCode::OK if is_event_stream(headers) => None,
        _ => Some(End::Broken),
    }
}

/// A run whose response body is being read.
struct Run<'a> {
    host: &'a Host,
    shared: &'a Shared,
    job: &'a Job,
    engine: &'a Target,
    shared_progress: &'a SharedProgress,
    patience: Patience,
    began: Instant,
}

impl Run<'_> {
    /// Reads events until the text is complete or the stream fails.
    async fn read(&self, mut exchange: Exchange, summary: &mut Summary) {
        summary.version = header::version(exchange.response.headers());
        let mut parser = EventParser::new(self.host.client.limits().event);
        let mut last = None;
        let opened = time::Instant::now();
        loop {
            if summary.version.is_some() && self.is_outdated(summary.version) {
                return mark_outdated(summary);
            }
            // Parts that complete no event do not extend the wait.
            let until = match last {
                Some(last) => self.host.clock.timer(last + self.patience.next),
                None => opened + self.patience.first,
            };
            let part = match time::timeout_at(until, exchange.next()).await {
                Ok(Ok(Some(part))) => part,
                Ok(Ok(None)) if parser.is_partial() || summary.progress.text.is_empty() => {
                    summary.reason = "the stream ended within an event".to_owned();
                    return;
                }
                Ok(Ok(None)) if exchange.framing != Framing::Explicit => {
                    return self.end_with_connection(summary).await;
                }
                Ok(Ok(None)) => {
                    summary.end = End::Whole;
                    exchange.release();
                    return;
                }
                Ok(Err(error)) => {
                    summary.reason = error.to_string();
                    summary.is_disconnect = matches!(error, BodyError::Broken(_));
                    return;
                }
                Err(_) => {
                    summary.is_late = true;
                    summary.reason = "timed out waiting for the next event".to_owned();
                    return;
                }
            };
            let Parsed { list: complete, fault } = parser.parse(&part);
            if !complete.is_empty() {
                self.record_pace(&mut last, complete.len() as u32, summary);
            }
            match self.append(complete, summary) {
                Ok(true) => {}
                Ok(false) => return mark_outdated(summary),
                Err(reason) => {
                    summary.reason = reason;
                    return;
                }
            }
            if fault.is_some() {
                record_end(&self.engine.address, "event");
            }
            let held = exchange.hold(parser.buffered()).map_err(|error| error.to_string());
            if let Err(reason) = fault.map_or(held, Err) {
                summary.reason = reason;
                return;
            }
        }
    }

    /// Records the end of a stream that ended with its connection. If the engine refuses another one,
    /// it has crashed.
    async fn end_with_connection(&self, summary: &mut Summary) {
        let has_crashed = self.host.work_client.is_refused_by(&self.engine.address).await;
        let reason = if has_crashed {
            summary.is_disconnect = true;
            "the engine ended the connection and refuses others"
        } else {
            summary.end = End::Unconfirmed;
            "the stream ended with its connection"
        };
        summary.reason = reason.to_owned();
    }

    /// Records how long the engine took for the latest events.
    fn record_pace(&self, last: &mut Option<Instant>, events: u32, summary: &mut Summary) {
        let now = self.host.clock.now();
        match last.replace(now) {
            Some(last) => {
                let gap = now - last;
                summary.longest_gap = summary.longest_gap.max(gap);
                self.shared.balancer().record_event_latency(&self.engine.id, gap / events, now);
            }
            None => summary.first_event = now - self.began,
        }
    }

    /// Returns whether a version is older than the job allows. A missing version counts as older
    /// than any.
    fn is_outdated(&self, version: Option<Version>) -> bool {
        version < self.job.min_version
    }

    /// Appends events to the progress; returns false if one comes from weights that are too old.
    ///
    /// An answer without events may lack a version, since its text was complete before.
    ///
    /// # Errors
    ///
    /// Returns an error if the event ids are not consecutive.
    fn append(&self, complete: Vec<Event>, summary: &mut Summary) -> Result<bool, String> {
        for event in complete {
            if event.id != summary.progress.last_event + 1 {
                return Err(format!("event {} is out of order", event.id));
            }
            summary.version = event.version.or(summary.version);
            if self.is_outdated(summary.version) {
                return Ok(false);
            }
            let mut shared_progress =
                self.shared_progress.lock().unwrap_or_else(PoisonError::into_inner);
            shared_progress.push(event.id, event.data.clone(), summary.version);
            summary.progress.push(event.id, event.data, summary.version);
        }
        Ok(true)
    }
}

fn mark_outdated(summary: &mut Summary) {
    summary.end = End::Outdated(summary.version);
    summary.reason = "the weights are too old".to_owned();
}
