//! Answers targets, trainers and operators.

use crate::host::Host;
use catkinlatch_ledger::config::Document;
use catkinlatch_platform::{
    DecodeError,
    call::{self, ControlCall},
    decode_configuration, decode_registration, decode_version, encode_retirement,
};
use catkinlatch_runtime::{
    Answer, Message, Reply,
    http::{Body, collect, json, status, text},
};
use http::{Response, StatusCode};
use hyper::{Request, body::Incoming};
use log::{info, warn};
use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

/// The most bytes of a call's body.
const BODY_BYTES: usize = 48 << 20;

/// How long a call of a target may take; it turns to another host after a second.
const TARGET_LIMIT: Duration = Duration::from_millis(900);

/// How long another call may take.
const CALL_LIMIT: Duration = Duration::from_millis(3_000);

type Answered = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Returns what answers the calls.
pub fn handler(host: Arc<Host>) -> impl Fn(Request<Incoming>) -> Answered + Send + Sync {
    move |request| Box::pin(answer(host.clone(), request))
}

async fn answer(host: Arc<Host>, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let call = call::control_call(&head.method, &head.uri);
    let body = match collect(body, BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => {
            warn!(path = head.uri.path(), error:% = error; "control: a call cannot be read");
            return status(StatusCode::BAD_REQUEST);
        }
    };
    let limit = match call {
        ControlCall::Register(_) | ControlCall::Withdraw(_) => TARGET_LIMIT,
        _ => CALL_LIMIT,
    };
    match decode(call, &body) {
        Decoded::Message(message) => respond(host.ask(message, limit).await),
        Decoded::Unreadable(reason) => {
            warn!(path = head.uri.path(), reason = reason.as_str(); "control: refused a call");
            text(StatusCode::BAD_REQUEST, reason)
        }
        Decoded::Unknown => {
            info!(path = head.uri.path(); "control: no such call");
            status(StatusCode::NOT_FOUND)
        }
    }
}

/// What a call turned out to be.
enum Decoded {
    /// Something that the leader answers.
    Message(Message),
    /// It cannot be understood, or is not valid.
    Unreadable(String),
    /// There is no such call.
    Unknown,
}

impl From<Result<Message, DecodeError>> for Decoded {
    fn from(decoded: Result<Message, DecodeError>) -> Self {
        decoded.map_or_else(|error| Self::Unreadable(error.to_string()), Self::Message)
    }
}

fn decode(call: ControlCall, body: &bytes::Bytes) -> Decoded {
    match call {
        ControlCall::Register(id) => {
            let target = decode_registration(id, body);
            target.map(|target| Message::Register(Box::new(target))).into()
        }
        ControlCall::Withdraw(id) => Decoded::Message(Message::Withdraw(id)),
        ControlCall::PutConfiguration => configuration(body),
        ControlCall::GetConfiguration => Decoded::Message(Message::Configuration),
        ControlCall::NameVersion => {
            let version = decode_version(body);
            version.map(|(model, version)| Message::NameVersion { model, version }).into()
        }
        ControlCall::Retire(name) => Decoded::Message(Message::Retire(name)),
        ControlCall::Retirement(name) => Decoded::Message(Message::Retirement(name)),
        ControlCall::Unknown => Decoded::Unknown,
    }
}

/// Checks a configuration, and reports all that is wrong with it together.
fn configuration(body: &bytes::Bytes) -> Decoded {
    let configuration = match decode_configuration(body) {
        Ok(configuration) => configuration,
        Err(error) => return Decoded::Unreadable(error.to_string()),
    };
    let faults: Vec<String> = configuration.faults().iter().map(ToString::to_string).collect();
    if !faults.is_empty() {
        return Decoded::Unreadable(faults.join("; "));
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
        | Reply::Body(_) => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}
