//! Submission and queries of batch jobs, forwarded to the leader.

use crate::{answer, front::InboundRequest, host::Host};
use bytes::Bytes;
use catkinlatch_base::{JobId, TeamId};
use catkinlatch_platform::{JobContext, decode_job, encode_results, header};
use catkinlatch_runtime::{
    Answer, Message, Reply,
    http::{Body, full, inbound::Reader},
};
use http::{Response, StatusCode};
use log::{info, warn};
use std::{sync::Arc, time::Duration};

/// Timeout for submitting a job to the leader.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Timeout for a query about a job or for ending one, including the time that the caller waits for
/// results.
pub const QUERY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Longest time a caller may wait for results, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;

/// Delay after which a caller should retry if no leader answered.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// Delay after which a caller should retry if other jobs take the memory: about the time that the
/// leader takes to accept one.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Copies of a job's body while it is submitted: its items, and the message to the leader with its
/// parts on their way.
const JOB_COPIES: usize = 3;

/// Submits a batch job.
pub async fn submit(host: &Host, inbound: &InboundRequest) -> Response<Body> {
    let id = header::text(&inbound.head.headers, &header::REQUEST_ID).map(str::parse::<JobId>);
    let Some(Ok(id)) = id else {
        return answer::text(StatusCode::BAD_REQUEST, "the job has no id");
    };
    let Some(service) = inbound.route.service(fastrand::f64()).cloned() else {
        return answer::status(StatusCode::SERVICE_UNAVAILABLE);
    };
    let context = JobContext {
        id: id.clone(),
        team: inbound.team.clone(),
        route: &inbound.route,
        service,
        priority: inbound.priority,
        now_ms: host.clock.wall_ms(),
    };
    let reader = inbound.head.extensions.get::<Reader>();
    let claim = reader.map(|reader| reader.claim(inbound.body.len() * JOB_COPIES)).transpose();
    let Ok(_claim) = claim else {
        metrics::counter!("catkinlatch_entry_memory_refusals").increment(1);
        info!(job:% = id; "entry: refused a job, too little memory to decode it");
        return answer::refusal(MEMORY_RETRY_AFTER);
    };
    let job = match decode_job(&inbound.body, context) {
        Ok(job) => job,
        Err(error) => {
            warn!(job:% = id, error:% = error; "entry: refused a malformed job");
            return answer::text(StatusCode::BAD_REQUEST, error.to_string());
        }
    };
    let items = job.items.len();
    let message = Message::Submit(Arc::new(job));
    let answer =
        host.leader_client.call(&message, Duration::from_millis(300), SUBMIT_TIMEOUT).await;
    let response = match &answer {
        Answer::Reply(Reply::Done) => answer::status(StatusCode::ACCEPTED),
        // A refusal promises that the job was not accepted, so it is returned only if no leader
        // can have accepted the job.
        Answer::NotDone => answer::refusal(RETRY_AFTER),
        Answer::Reply(_) | Answer::Unknown => answer::status(StatusCode::GATEWAY_TIMEOUT),
    };
    info!(
        job:% = id, items = items, status = response.status().as_u16();
        "entry: answered a job submission"
    );
    response
}

/// Returns results of a job from position `after` on, waiting up to `wait_ms` for the first.
pub async fn results(
    host: &Host,
    job: JobId,
    team: Option<TeamId>,
    after: u64,
    wait_ms: u64,
) -> Response<Body> {
    let wait_ms = wait_ms.min(MAX_WAIT_MS);
    let message = Message::Read { job: job.clone(), team, after, wait_ms };
    match host.leader_client.call(&message, Duration::from_millis(wait_ms), QUERY_TIMEOUT).await {
        Answer::Reply(Reply::Results(results)) => {
            let page = encode_results(results.total, results.next, &results.list);
            send_kept(host, &job, page, answer::json)
        }
        other => error_response(&job, &other),
    }
}

/// Returns the body of a job's item.
pub async fn item_body(
    host: &Host,
    job: JobId,
    team: Option<TeamId>,
    item: String,
) -> Response<Body> {
    let message = Message::Body { job: job.clone(), team, item };
    match host.leader_client.call(&message, Duration::ZERO, QUERY_TIMEOUT).await {
        Answer::Reply(Reply::Body(body)) => {
            send_kept(host, &job, body, |body| Response::new(full(body)))
        }
        other => error_response(&job, &other),
    }
}

/// Returns a response whose body counts as memory until its caller has read it, or a refusal if the
/// bodies that callers have not read yet take too much.
fn send_kept(
    host: &Host,
    job: &JobId,
    body: impl Into<Bytes>,
    response: impl FnOnce(Bytes) -> Response<Body>,
) -> Response<Body> {
    let body = body.into();
    let length = body.len();
    host.client.budget().keep(body).map_or_else(
        || {
            metrics::counter!("catkinlatch_entry_memory_refusals").increment(1);
            info!(job:% = job, bytes = length; "entry: refused a read, too little memory");
            answer::refusal(MEMORY_RETRY_AFTER)
        },
        response,
    )
}

/// Ends a job at its caller's request.
pub async fn end(host: &Host, job: JobId, team: Option<TeamId>) -> Response<Body> {
    let message = Message::End { job: job.clone(), team };
    match host.leader_client.call(&message, Duration::from_millis(300), QUERY_TIMEOUT).await {
        Answer::Reply(Reply::Done) => answer::status(StatusCode::OK),
        other => error_response(&job, &other),
    }
}

fn error_response(job: &JobId, answer: &Answer) -> Response<Body> {
    info!(job:% = job, answer:? = answer; "entry: job request failed");
    match answer {
        Answer::Reply(Reply::NotFound) => answer::status(StatusCode::NOT_FOUND),
        Answer::Reply(_) | Answer::NotDone | Answer::Unknown => answer::refusal(RETRY_AFTER),
    }
}
