//! HTTP front end for callers: authorizes requests and dispatches them.

use crate::{admission::Place, answer, batch, drain, host::Host, proxy};
use catkinlatch_base::TeamId;
use catkinlatch_ledger::config::{Configuration, Kind, Route};
use catkinlatch_platform::{
    call::{self, EntryCall},
    header,
};
use catkinlatch_runtime::http::{Body, BodyError, receive};
use catkinlatch_state::suspect::Fingerprint;
use http::{Method, Response, StatusCode, request::Parts};
use hyper::{Request, body::Incoming};
use log::info;
use std::{
    future::Future,
    pin::Pin,
    sync::{Arc, OnceLock},
    time::Duration,
};

/// Delay after which a caller should retry while this host has no configuration: about the time
/// in which a starting host finds the leader.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(450);

/// Delay after which a caller should retry if the bodies of others took all memory: about the time
/// after which a client that sends nothing more is slow.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Time within which a body must have arrived whole if neither caller nor route sets one.
const MAX_BODY_TIME: Duration = Duration::from_secs(30);

/// The retry delay is at most the caller's deadline divided by this.
const DEADLINE_DIVISOR: u32 = 3;

type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// An authorized request of a caller, with the configuration that applies to it.
pub struct InboundRequest {
    /// The method, URI and headers.
    pub head: Parts,
    /// The body.
    pub body: bytes::Bytes,
    /// The route that matches the request.
    pub route: Route,
    /// The team that owns the caller's API key; `None` if the request has no valid key.
    pub team: Option<TeamId>,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// How long the request may have waited before this process read it; its time runs meanwhile.
    pub waited: Duration,
    /// The fingerprint, once it was asked for.
    fingerprint: OnceLock<Fingerprint>,
    /// The place in the queue of a service, which the request holds until it and its response end.
    pub place: OnceLock<Place>,
}

impl InboundRequest {
    /// Returns the id that the caller gave the request.
    pub fn id(&self) -> Option<&str> {
        header::text(&self.head.headers, &header::REQUEST_ID)
    }

    /// Returns the caller's API key, valid or not.
    pub fn key(&self) -> Option<&str> {
        header::text(&self.head.headers, &header::KEY)
    }

    /// Returns the fingerprint, which is the same for each attempt of a caller at this request.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let team = self.team.as_ref().map_or("", TeamId::as_str);
            let path = self.head.uri.path_and_query().map_or("", |path| path.as_str());
            let head = [team, &self.route.name, self.head.method.as_str(), path];
            Fingerprint::of_request(head, &self.body)
        })
    }
}

/// Returns the handler of the HTTP server for callers.
pub fn handler(host: Arc<Host>) -> impl Fn(Request<Incoming>) -> ResponseFuture + Send + Sync {
    move |request| Box::pin(respond(host.clone(), request))
}

async fn respond(host: Arc<Host>, request: Request<Incoming>) -> Response<Body> {
    let (arrived, waited) = (host.clock.now(), host.waited());
    let (head, body) = request.into_parts();
    host.confirm_view().await;
    let view = host.view();
    let Some(configuration) = view.configuration.clone() else {
        let after = retry_after(&head, NOT_READY_RETRY_AFTER);
        info!(
            request = request_id(&head), after_ms = after.as_millis() as u64;
            "entry: refused, no configuration is known yet"
        );
        return answer::refusal(after);
    };
    let call = call::entry_call(&head.method, &head.uri);
    let authorized = authorize(&configuration, &head, &call);
    let (route, team) = match authorized {
        Ok(authorized) => authorized,
        Err(code) => {
            metrics::counter!("catkinlatch_entry_refused").increment(1);
            info!(
                request = request_id(&head), status = code.as_u16(), path = head.uri.path(),
                version = configuration.version;
                "entry: refused"
            );
            return answer::status(code);
        }
    };
    let (fingerprint, place) = (OnceLock::new(), OnceLock::new());
    let body_time = body_time(&head, route.as_ref(), waited);
    let received = tokio::select! {
        received = receive(&head, body, configuration.limits.body_bytes, body_time) => received,
        () = host.last_answers() => {
            info!(request = request_id(&head); "entry: refused, this host ends before the body does");
            return answer::refusal(drain::RETRY_AFTER);
        }
    };
    let body = match received {
        Ok(body) => body,
        Err(BodyError::TooLong) => {
            info!(request = request_id(&head); "entry: refused, the body is too long");
            return answer::status(StatusCode::PAYLOAD_TOO_LARGE);
        }
        Err(BodyError::NoMemory) => {
            metrics::counter!("catkinlatch_entry_memory_refusals").increment(1);
            info!(request = request_id(&head); "entry: refused, too little memory for the body");
            return answer::closing(answer::refusal(retry_after(&head, MEMORY_RETRY_AFTER)));
        }
        Err(BodyError::TooSlow) => {
            info!(request = request_id(&head); "entry: refused, the body takes too long");
            return answer::closing(answer::refusal(retry_after(&head, MEMORY_RETRY_AFTER)));
        }
        Err(error) => {
            info!(
                request = request_id(&head), reason:% = error;
                "entry: refused, the body could not be read"
            );
            return answer::status(StatusCode::BAD_REQUEST);
        }
    };
    match (call, route) {
        (EntryCall::Results { job, after }, _) => {
            let wait = header::number(&head.headers, &header::WAIT).unwrap_or_default();
            let results = batch::results(&host, job, team, after, wait);
            drain::answer_job(&host, batch::QUERY_TIMEOUT, results).await
        }
        (EntryCall::ItemBody { job, item }, _) => {
            let body = batch::item_body(&host, job, team, item);
            drain::answer_job(&host, batch::QUERY_TIMEOUT, body).await
        }
        (EntryCall::EndJob { job }, _) => {
            drain::answer_job(&host, batch::QUERY_TIMEOUT, batch::end(&host, job, team)).await
        }
        (EntryCall::Request, Some(route)) if route.kind == Kind::Rollout => {
            if head.method != Method::POST {
                return answer::status(StatusCode::METHOD_NOT_ALLOWED);
            }
            let priority = configuration.priority(&route, team.as_ref());
            let inbound =
                InboundRequest { head, body, route, team, priority, waited, fingerprint, place };
            let submission = batch::submit(&host, &inbound);
            drain::answer_job(&host, batch::SUBMIT_TIMEOUT, submission).await
        }
        (EntryCall::Request, Some(route)) => {
            let priority = configuration.priority(&route, team.as_ref());
            let inbound =
                InboundRequest { head, body, route, team, priority, waited, fingerprint, place };
            proxy::serve(&host, inbound, arrived).await
        }
        (EntryCall::Request, None) => answer::status(StatusCode::NOT_FOUND),
    }
}

/// Returns the id of a request for log lines; empty if it has none.
fn request_id(head: &Parts) -> &str {
    header::text(&head.headers, &header::REQUEST_ID).unwrap_or_default()
}

/// Returns the delay after which a caller should retry: `after`, or less if its time is short.
fn retry_after(head: &Parts, after: Duration) -> Duration {
    let left = header::number(&head.headers, &header::DEADLINE).map(Duration::from_millis);
    left.map_or(after, |left| after.min(left / DEADLINE_DIVISOR))
}

/// Returns the time within which a body must have arrived whole: beyond it, the caller's or the
/// route's time is over.
fn body_time(head: &Parts, route: Option<&Route>, waited: Duration) -> Duration {
    let caller = header::number(&head.headers, &header::DEADLINE).map(Duration::from_millis);
    let route = route.and_then(|route| route.timeout_ms).map(Duration::from_millis);
    let limit = [caller, route].into_iter().flatten().min().unwrap_or(MAX_BODY_TIME);
    limit.saturating_sub(waited)
}

/// Returns the route and team of a request.
///
/// # Errors
///
/// Returns the HTTP status if no route matches or a required key is missing or unknown.
fn authorize(
    configuration: &Configuration,
    head: &Parts,
    call: &EntryCall,
) -> Result<(Option<Route>, Option<TeamId>), StatusCode> {
    let host = header::text(&head.headers, &http::header::HOST).unwrap_or_default();
    let route = match call {
        EntryCall::Request => {
            let route = configuration.route(host, head.uri.path());
            Some(route.ok_or(StatusCode::NOT_FOUND)?)
        }
        EntryCall::Results { .. } | EntryCall::ItemBody { .. } | EntryCall::EndJob { .. } => None,
    };
    let key = header::text(&head.headers, &header::KEY);
    let team = key.and_then(|key| configuration.team_of(key)).cloned();
    let is_open = configuration.teams.is_empty() || route.is_some_and(|route| route.is_open);
    if team.is_none() && !is_open {
        return Err(StatusCode::UNAUTHORIZED);
    }
    Ok((route.cloned(), team))
}
