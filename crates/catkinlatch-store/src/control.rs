//! The control interface: HTTP calls of targets, trainers and operators.

use crate::host::Host;
use catkinlatch_base::TargetId;
use catkinlatch_ledger::{config::Document, registry};
use catkinlatch_platform::{
    DecodeError,
    call::{self, ControlCall},
    decode_configuration, decode_registration, decode_version, decode_withdrawal,
    encode_retirement,
};
use catkinlatch_runtime::{
    Answer, Message, Reply,
    http::{Body, BodyError, closing, json, receive, status, text},
};
use http::{Response, StatusCode};
use hyper::{Request, body::Incoming};
use log::{info, warn};
use std::{
    future::{self, Future},
    pin::Pin,
    sync::Arc,
    time::Duration,
};
use tokio::sync::watch;

/// Timeout for calls from targets, which fail over to another host after one second.
const TARGET_CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Time within which the body of a call must have arrived whole.
const MAX_BODY_TIME: Duration = Duration::from_secs(30);

type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Returns the request handler of the control interface, which answers what is still under way once
/// `ending` becomes true.
pub fn handler(
    host: Arc<Host>,
    ending: watch::Receiver<bool>,
) -> impl Fn(Request<Incoming>) -> ResponseFuture + Send + Sync {
    move |request| Box::pin(answer(host.clone(), request, ending.clone()))
}

/// Waits until the process is about to end.
async fn last_answers(mut ending: watch::Receiver<bool>) {
    if ending.wait_for(|ending| *ending).await.is_err() {
        future::pending().await
    }
}

async fn answer(
    host: Arc<Host>,
    request: Request<Incoming>,
    ending: watch::Receiver<bool>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let call = call::control_call(&head.method, &head.uri);
    let limit = host.client.limits().control_body;
    let received = tokio::select! {
        received = receive(&head, body, limit, MAX_BODY_TIME) => received,
        () = last_answers(ending.clone()) => {
            info!(path = head.uri.path(); "control: this host ends before a request body is complete");
            return closing(status(StatusCode::SERVICE_UNAVAILABLE));
        }
    };
    let body = match received {
        Ok(body) => body,
        Err(error @ BodyError::TooLong) => {
            warn!(path = head.uri.path(), error:% = error; "control: refused a request body");
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        }
        Err(BodyError::NoMemory) => {
            warn!(path = head.uri.path(); "control: refused a request, too little memory for its body");
            return closing(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        Err(BodyError::TooSlow) => {
            warn!(path = head.uri.path(); "control: refused a request, its body takes too long");
            return closing(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        Err(error) => {
            warn!(path = head.uri.path(), error:% = error; "control: cannot read a request body");
            return status(StatusCode::BAD_REQUEST);
        }
    };
    let timeout = match call {
        ControlCall::Register(_) | ControlCall::Withdraw(_) => TARGET_CALL_TIMEOUT,
        _ => host.settings.times.waits().call,
    };
    match decode(call, &body, host.clock.wall_ms()) {
        Decoded::Message(message) => tokio::select! {
            answer = host.ask_leader(message, timeout) => respond(answer),
            () = last_answers(ending) => {
                info!(path = head.uri.path(); "control: this host ends before a call is answered");
                closing(status(StatusCode::GATEWAY_TIMEOUT))
            }
        },
        Decoded::Invalid(reason) => {
            warn!(
                path = head.uri.path(), reason = reason.as_str();
                "control: rejected an invalid call"
            );
            text(StatusCode::BAD_REQUEST, reason)
        }
        Decoded::Unknown => {
            info!(path = head.uri.path(); "control: unknown call");
            status(StatusCode::NOT_FOUND)
        }
    }
}

/// A decoded call.
enum Decoded {
    /// A message for the leader.
    Message(Message),
    /// The body cannot be decoded or is invalid; the text is returned to the caller.
    Invalid(String),
    /// No call has this method and path.
    Unknown,
}

impl From<Result<Message, DecodeError>> for Decoded {
    fn from(decoded: Result<Message, DecodeError>) -> Self {
        decoded.map_or_else(|error| Self::Invalid(error.to_string()), Self::Message)
    }
}

fn decode(call: ControlCall, body: &bytes::Bytes, wall_ms: u64) -> Decoded {
    match call {
        ControlCall::Register(id) => {
            let target = decode_registration(id, body, wall_ms);
            target.map(|target| Message::Register(Box::new(target))).into()
        }
        ControlCall::Withdraw(id) => withdrawal(id, body, wall_ms),
        ControlCall::PutConfiguration => configuration(body),
        ControlCall::GetConfiguration => Decoded::Message(Message::Configuration),
        ControlCall::NameVersion => {
            let version = decode_version(body);
            version.map(|(model, version)| Message::RecordVersion { model, version }).into()
        }
        ControlCall::Retire(name) => Decoded::Message(Message::Retire(name)),
        ControlCall::RetirementStatus(name) => Decoded::Message(Message::Retirement(name)),
        ControlCall::Evacuate(zone) => Decoded::Message(Message::Evacuate(zone)),
        ControlCall::Restore(zone) => Decoded::Message(Message::Restore(zone)),
        ControlCall::Unknown => Decoded::Unknown,
    }
}

/// Decodes a withdrawal; a start that lies too far in the future would cover all later ones.
fn withdrawal(target: TargetId, body: &bytes::Bytes, wall_ms: u64) -> Decoded {
    match decode_withdrawal(body) {
        Ok(None) => Decoded::Message(Message::Withdraw(target)),
        Ok(Some(born_ms)) => match registry::check_start(born_ms, wall_ms) {
            Ok(()) => Decoded::Message(Message::WithdrawStart { target, born_ms }),
            Err(flaw) => Decoded::Invalid(flaw.to_string()),
        },
        Err(error) => Decoded::Invalid(error.to_string()),
    }
}

/// Decodes and validates a configuration; reports all of its faults in one text.
fn configuration(body: &bytes::Bytes) -> Decoded {
    let configuration = match decode_configuration(body) {
        Ok(configuration) => configuration,
        Err(error) => return Decoded::Invalid(error.to_string()),
    };
    let faults: Vec<String> = configuration.faults().iter().map(ToString::to_string).collect();
    if !faults.is_empty() {
        return Decoded::Invalid(faults.join("; "));
    }
    let configuration = Arc::new(configuration);
    Decoded::Message(Message::Configure(Document { configuration, source: body.clone() }))
}

fn respond(answer: Answer) -> Response<Body> {
    let reply = match answer {
        Answer::Reply(reply) => reply,
        Answer::NotDone => return status(StatusCode::SERVICE_UNAVAILABLE),
        Answer::Unknown => return status(StatusCode::GATEWAY_TIMEOUT),
    };
    match reply {
        Reply::Done => json(b"{}".to_vec()),
        Reply::NotFound => status(StatusCode::NOT_FOUND),
        Reply::TooFew => text(StatusCode::CONFLICT, "too few hosts would be left"),
        Reply::Configuration(Some(source)) => json(source),
        Reply::Retired(is_done) => json(encode_retirement(is_done)),
        Reply::Configuration(None)
        | Reply::Nothing
        | Reply::NotLeader(_)
        | Reply::Unknown
        | Reply::Followed(_)
        | Reply::Results(_)
        | Reply::Body(_)
        | Reply::Suspect(_)
        | Reply::Suspects { .. }
        | Reply::Exchanged(_)
        | Reply::Place(_)
        | Reply::Retry(_)
        | Reply::Origin(_) => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}
