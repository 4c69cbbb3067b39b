//! The call that scores a sample.

use crate::{host::Host, shared::Shared};
use catkinlatch_base::TargetId;
use catkinlatch_ledger::{Configuration, Target, choice::Verdict, job::Scorer};
use catkinlatch_platform::header;
use catkinlatch_runtime::http::{Body, full};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use log::info;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::time;

/// How long one scoring call may take; it is short, and another target may be quicker.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The share of a target's slots that scoring calls take: the others are for live requests, whose
/// callers wait.
const SLOT_SHARE: f64 = 0.6;

/// How long to rest before a call is repeated.
const PAUSE: Duration = Duration::from_millis(60);

/// The most bytes of a scoring service's answer.
const ANSWER_BYTES: usize = 1 << 20;

/// What became of the scoring of a sample.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Score {
    /// The signature of the answer.
    Signed(String),
    /// The service failed as often as it may.
    Failed,
}

/// What one call came to.
enum Called {
    Signed(String),
    /// The service says that it failed.
    Failed,
    /// It was not answered, or not as it should be.
    Unsure,
    /// The target had no room.
    Full,
}

/// Calls the scoring service until it answers, or has failed as often as it may.
pub async fn score(host: &Host, shared: &Shared, scorer: &Scorer, max_failures: u32) -> Score {
    let mut failures = 0;
    let mut tried = BTreeSet::new();
    loop {
        let configuration = host
            .replica
            .read(|state| state.document.as_ref().map(|document| document.configuration.clone()));
        let Some((target, most)) = target(host, shared, configuration, scorer, &tried) else {
            tried.clear();
            let _ = time::timeout(PAUSE, shared.freed().notified()).await;
            continue;
        };
        let id = scorer.id.as_str();
        match call(host, shared, scorer, &target).await {
            Called::Signed(signature) => return Score::Signed(signature),
            Called::Failed => {
                failures += 1;
                info!(request = id, target_id:% = target.id, failures = failures; "score: failed");
                if failures >= max_failures.max(most) {
                    return Score::Failed;
                }
            }
            Called::Full => {
                tried.insert(target.id);
                continue;
            }
            Called::Unsure => {
                info!(request = id, target_id:% = target.id; "score: not answered");
                tried.insert(target.id);
            }
        }
        time::sleep(PAUSE).await;
    }
}

/// Returns the target that should score, and how often its route lets a call fail.
fn target(
    host: &Host,
    shared: &Shared,
    configuration: Option<Arc<Configuration>>,
    scorer: &Scorer,
    tried: &BTreeSet<TargetId>,
) -> Option<(Target, u32)> {
    let configuration = configuration?;
    let route = configuration.route(&scorer.host, &scorer.path)?;
    let service = route.service(fastrand::f64())?;
    let soft = host.soft();
    let choice = shared.choice();
    let has_room = |target: &&Target| {
        let most = f64::from(target.slots) * SLOT_SHARE;
        f64::from(choice.running(&target.id)) < most
    };
    let targets = soft.registry.targets().filter(|target| target.service == *service);
    let now = host.clock.now();
    let open = targets.filter(has_room);
    let target = choice.pick(open, &host.settings.zone, tried, now)?.clone();
    Some((target, route.max_attempts))
}

async fn call(host: &Host, shared: &Shared, scorer: &Scorer, target: &Target) -> Called {
    shared.choice().begin(&target.id);
    let began = host.clock.now();
    let request = request(scorer, target);
    let answer = host.client.ask(&target.address, request, CALL_TIMEOUT, ANSWER_BYTES).await;
    let called = judge(scorer, answer.as_ref());
    let now = host.clock.now();
    let verdict = match called {
        Called::Signed(_) | Called::Failed => Verdict::Answered(now - began),
        Called::Full => Verdict::Full,
        Called::Unsure => Verdict::Failed,
    };
    shared.freed().notify_one();
    let mut choice = shared.choice();
    choice.end(&target.id, verdict, now);
    let load = answer.as_ref().and_then(|answer| header::load(answer.headers()));
    if let Some((running, waiting)) = load {
        choice.report(&target.id, running, waiting, now);
    }
    called
}

fn request(scorer: &Scorer, target: &Target) -> Request<Body> {
    let mut request = Request::new(full(scorer.body.clone()));
    *request.method_mut() = http::Method::POST;
    if let Ok(uri) = scorer.path.parse() {
        *request.uri_mut() = uri;
    }
    let deadline = CALL_TIMEOUT.as_millis().to_string();
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

fn judge(scorer: &Scorer, answer: Option<&Response<bytes::Bytes>>) -> Called {
    let Some(answer) = answer else { return Called::Unsure };
    let headers = answer.headers();
    let echo = header::text(headers, &header::REQUEST_ID);
    if echo.is_some_and(|echo| echo != scorer.id.as_str()) {
        return Called::Unsure;
    }
    let signature = header::text(headers, &header::SIGNATURE);
    match (answer.status(), signature) {
        _ if headers.contains_key(&header::NOT_RUN) => Called::Full,
        (status, Some(signature)) if status.is_success() => Called::Signed(signature.to_owned()),
        (StatusCode::INTERNAL_SERVER_ERROR, _) => Called::Failed,
        _ => Called::Unsure,
    }
}
