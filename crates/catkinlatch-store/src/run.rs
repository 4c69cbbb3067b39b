//! One run of an item on an engine.

use crate::{host::Host, shared::Shared};
use catkinlatch_base::{Instant, Version};
use catkinlatch_ledger::{Job, Target, job::Progress, schedule::End};
use catkinlatch_platform::{Event, Events, header};
use catkinlatch_runtime::http::{Exchange, Failure, full};
use http::{HeaderName, HeaderValue, Request, StatusCode};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::time;

/// How long an engine may take until the first event: live ones take under 0.1 s, and those that
/// read other requests in before some tenths more.
const FIRST_TIMEOUT: Duration = Duration::from_millis(1_300);

/// How long an engine may pause between two events; a slow one pauses a third of that.
const PAUSE_TIMEOUT: Duration = Duration::from_millis(800);

/// What a run has generated, as those who may cut it see it.
pub type Shown = Arc<Mutex<Progress>>;

/// A run and how it ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// How it ended.
    pub end: End,
    /// What was generated up to the last whole event, earlier runs included.
    pub progress: Progress,
    /// The version that the engine ran last.
    pub version: Option<Version>,
    /// Why, for the log.
    pub reason: String,
    /// How long the first event took.
    pub first: Duration,
    /// The longest pause between two events.
    pub pause: Duration,
}

impl Ended {
    /// Creates a run that has broken off before it generated anything.
    fn new(progress: Progress) -> Self {
        Self {
            end: End::Broken,
            progress,
            version: None,
            reason: String::new(),
            first: Duration::ZERO,
            pause: Duration::ZERO,
        }
    }
}

/// Runs an item from where its progress ends.
pub async fn run(
    host: &Host,
    shared: &Shared,
    job: &Job,
    item: usize,
    engine: &Target,
    shown: &Shown,
) -> Ended {
    let progress = shown.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let mut ended = Ended::new(progress);
    let began = host.clock.now();
    let request = request(job, item, &ended.progress, engine);
    let sent = time::timeout(FIRST_TIMEOUT, host.client.send(&engine.address, request)).await;
    let exchange = match sent {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(failure)) => {
            let is_sent = matches!(failure, Failure::Unknown(_));
            ended.end = if is_sent { End::Broken } else { End::Unreachable };
            ended.reason = failure.to_string();
            return ended;
        }
        Err(_) => {
            ended.reason = "no answer in time".to_owned();
            return ended;
        }
    };
    let id = job.items[item].id.as_str();
    match judge(&exchange, id) {
        Some(end) => {
            ended.end = end;
            ended.reason = format!("status {}", exchange.response.status().as_u16());
        }
        None => {
            let run = Run { host, shared, job, engine, shown, began };
            run.read(exchange, &mut ended).await;
        }
    }
    ended
}

/// Builds the request of an item.
fn request(
    job: &Job,
    item: usize,
    progress: &Progress,
    engine: &Target,
) -> Request<catkinlatch_runtime::http::Body> {
    let item = &job.items[item];
    let mut request = Request::new(full(item.body.clone()));
    *request.method_mut() = http::Method::POST;
    if let Ok(uri) = item.path.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    let mut set = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    for (name, value) in &item.headers {
        if let Ok(name) = HeaderName::from_bytes(name.as_bytes()) {
            set(name, value);
        }
    }
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

/// Returns how the run ended by the head of the answer, or nothing if its events follow.
fn judge(exchange: &Exchange, id: &str) -> Option<End> {
    let headers = exchange.response.headers();
    if header::text(headers, &header::REQUEST_ID).is_some_and(|echo| echo != id) {
        return Some(End::Broken);
    }
    match exchange.response.status() {
        StatusCode::MISDIRECTED_REQUEST => Some(End::OtherTarget),
        _ if headers.contains_key(&header::NOT_RUN) => Some(End::Refused),
        StatusCode::UNPROCESSABLE_ENTITY => Some(End::Impossible),
        StatusCode::INTERNAL_SERVER_ERROR => Some(End::Failed),
        StatusCode::OK => None,
        _ => Some(End::Broken),
    }
}

/// A run whose events follow.
struct Run<'a> {
    host: &'a Host,
    shared: &'a Shared,
    job: &'a Job,
    engine: &'a Target,
    shown: &'a Shown,
    began: Instant,
}

impl Run<'_> {
    /// Reads events until the text is whole or breaks off.
    async fn read(&self, mut exchange: Exchange, ended: &mut Ended) {
        ended.version = header::version(exchange.response.headers());
        let mut events = Events::default();
        let mut last = None;
        loop {
            if ended.version.is_some() && self.is_outdated(ended.version) {
                return outdated(ended);
            }
            let limit = if last.is_some() { PAUSE_TIMEOUT } else { FIRST_TIMEOUT };
            let part = match time::timeout(limit, exchange.next()).await {
                Ok(Ok(Some(part))) => part,
                Ok(Ok(None)) if events.is_partial() || ended.progress.text.is_empty() => {
                    ended.reason = "the stream ended within an event".to_owned();
                    return;
                }
                Ok(Ok(None)) => {
                    ended.end = End::Whole;
                    exchange.keep();
                    return;
                }
                Ok(Err(error)) => {
                    ended.reason = error.to_string();
                    return;
                }
                Err(_) => {
                    ended.reason = "the stream fell silent".to_owned();
                    return;
                }
            };
            let whole = match events.push(&part) {
                Ok(whole) => whole,
                Err(reason) => {
                    ended.reason = reason;
                    return;
                }
            };
            if !whole.is_empty() {
                self.note_pace(&mut last, whole.len() as u32, ended);
            }
            match self.take(whole, ended) {
                Ok(true) => {}
                Ok(false) => return outdated(ended),
                Err(reason) => {
                    ended.reason = reason;
                    return;
                }
            }
        }
    }

    /// Notes how long the engine took for events.
    fn note_pace(&self, last: &mut Option<Instant>, events: u32, ended: &mut Ended) {
        let now = self.host.clock.now();
        match last.replace(now) {
            Some(last) => {
                let pause = now - last;
                ended.pause = ended.pause.max(pause);
                self.shared.choice().pace(&self.engine.id, pause / events, now);
            }
            None => ended.first = now - self.began,
        }
    }

    /// Returns whether a version may not make events; an engine that names none may not.
    fn is_outdated(&self, version: Option<Version>) -> bool {
        version < self.job.min_version
    }

    /// Appends events, which must follow each other; returns false at one of weights too old.
    ///
    /// An answer without events may lack a version: the text was whole before.
    fn take(&self, whole: Vec<Event>, ended: &mut Ended) -> Result<bool, String> {
        for event in whole {
            if event.id != ended.progress.last_event + 1 {
                return Err(format!("event {} is out of order", event.id));
            }
            ended.version = event.version.or(ended.version);
            if self.is_outdated(ended.version) {
                return Ok(false);
            }
            let mut shown = self.shown.lock().unwrap_or_else(PoisonError::into_inner);
            shown.push(event.id, event.data.clone(), ended.version);
            ended.progress.push(event.id, event.data, ended.version);
        }
        Ok(true)
    }
}

fn outdated(ended: &mut Ended) {
    ended.end = End::Outdated(ended.version);
    ended.reason = "the weights are too old".to_owned();
}
