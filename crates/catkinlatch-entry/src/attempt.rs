//! One try of a request at a target.

use crate::{front::Asked, host::Host};
use bytes::Bytes;
use catkinlatch_base::Instant;
use catkinlatch_ledger::{Target, choice::Verdict};
use catkinlatch_platform::header;
use catkinlatch_runtime::http::{Body, Exchange, Failure, full};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use std::time::Duration;
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
struct UnderWay<'a> {
    host: &'a Host,
    target: &'a Target,
    began: Instant,
    verdict: Verdict,
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.host.choice().end(&self.target.id, self.verdict, self.host.clock.now());
    }
}

/// Sends a request to a target and reads the whole answer.
pub async fn send(
    host: &Host,
    asked: &Asked,
    target: &Target,
    left: Duration,
    limit: Duration,
    most_bytes: usize,
) -> Outcome {
    let began = host.clock.now();
    host.choice().begin(&target.id);
    let mut under_way = UnderWay { host, target, began, verdict: Verdict::Unknown };
    let request = request(asked, target, left);
    let exchange = match time::timeout(limit, host.client.send(&target.address, request)).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(Failure::NotSent(_))) => {
            under_way.verdict = Verdict::Failed;
            return Outcome::NotRun("no connection");
        }
        Ok(Err(Failure::Unknown(reason))) => {
            under_way.verdict = Verdict::Failed;
            return Outcome::MayHaveRun(reason);
        }
        Err(_) => {
            under_way.verdict = Verdict::Failed;
            return Outcome::MayHaveRun("no answer in time".to_owned());
        }
    };
    if let Some((running, waiting)) = header::load(exchange.response.headers()) {
        host.choice().report(&target.id, running, waiting, host.clock.now());
    }
    let outcome = read(asked, exchange, limit, most_bytes).await;
    under_way.verdict = match &outcome {
        Outcome::Answer(_) => Verdict::Answered(host.clock.now() - under_way.began),
        Outcome::NotRun(_) => Verdict::Full,
        Outcome::MayHaveRun(_) => Verdict::Failed,
    };
    outcome
}

/// Reads the answer, which must be whole and for this request.
async fn read(asked: &Asked, exchange: Exchange, limit: Duration, most_bytes: usize) -> Outcome {
    let id = header::text(&asked.head.headers, &header::REQUEST_ID);
    let headers = exchange.response.headers();
    let status = exchange.response.status();
    let echo = header::text(headers, &header::REQUEST_ID);
    if echo.is_some() && echo != id {
        return Outcome::MayHaveRun("the answer belongs to another request".to_owned());
    }
    if headers.contains_key(&header::NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun("the target refused it");
    }
    let is_success = status.is_success();
    if is_success && (echo.is_none() || !headers.contains_key(&header::SIGNATURE)) {
        return Outcome::MayHaveRun("the answer is not signed".to_owned());
    }
    match time::timeout(limit, exchange.whole(most_bytes)).await {
        Ok(Ok(answer)) => Outcome::Answer(answer),
        Ok(Err(error)) => Outcome::MayHaveRun(error.to_string()),
        Err(_) => Outcome::MayHaveRun("the answer did not end in time".to_owned()),
    }
}

/// Builds the request for the target: the caller's, without its key.
fn request(asked: &Asked, target: &Target, left: Duration) -> Request<Body> {
    let mut request = Request::new(full(asked.body.clone()));
    *request.method_mut() = asked.head.method.clone();
    *request.uri_mut() = asked.head.uri.clone();
    *request.headers_mut() = header::passed_on(&asked.head.headers);
    let left = left.as_millis().to_string();
    let mut set = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            request.headers_mut().insert(name, value);
        }
    };
    set(header::DEADLINE, &left);
    set(header::EXPECTED_TARGET, target.id.as_str());
    if let Some(team) = &asked.team {
        set(header::TEAM, team.as_str());
    }
    request
}
