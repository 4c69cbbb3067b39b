//! How each kind of order reads on the wire, and what its receiver's answers mean.

use super::send::{Fault, MAX_ANSWER_BYTES, send};
use crate::{Node, upstream, usage};
use bytes::Bytes;
use catkinlatch_base::{ModelId, OrderId, TargetId, Term, Version, ZoneId, derive_schema};
use catkinlatch_fleet::order::{Finding, Outcome, Permit};
use catkinlatch_state::order::Action;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use std::sync::Arc;
use tokio::time;

/// The header with the fencing number of the sender, which may be newer than that in the body.
pub const FENCE_HEADER: &str = "catkinlatch-fence";

derive_schema! {
    /// An order as the platform gets it.
    pub struct PlatformOrder {
        /// Identifies the order, so that a resend is recognised.
        pub order: OrderId,
        /// The fencing number; the platform refuses an older one than it has seen.
        pub fence: Term,
        /// What is asked for.
        pub ask: Ask,
    }
}

derive_schema! {
    /// What the platform is asked for.
    #[serde(rename_all = "snake_case")]
    pub enum Ask {
        /// To start a target.
        Start {
            /// The model or service that it shall serve.
            role: String,
            /// The zone.
            zone: ZoneId,
            /// The price class.
            price_class: String,
        },
        /// To stop a target.
        Stop {
            /// The target.
            target: TargetId,
        },
    }
}

derive_schema! {
    /// What the platform says about an order.
    pub struct Receipt {
        /// What became of it.
        pub verdict: Verdict,
        /// The target that was started or stopped.
        pub target: Option<TargetId>,
    }
}

derive_schema! {
    /// What became of an order on the platform.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Verdict {
        /// The order was carried out.
        Taken,
        /// The order was refused, for instance under an old fencing number.
        Refused,
        /// There is nothing of this kind to give at present.
        Unavailable,
    }
}

derive_schema! {
    /// An order as an engine gets it.
    pub struct EngineOrder {
        /// Identifies the order, so that a resend is recognised.
        pub order: OrderId,
        /// The fencing number; an older one than the target has seen is to be refused.
        pub fence: Term,
        /// The model.
        pub model: ModelId,
        /// The version to load.
        pub version: Version,
        /// The engine to load it from, as `host:port`; the weight store if absent.
        pub source: Option<String>,
    }
}

/// A request of an order and where it goes.
struct Message {
    address: String,
    path: &'static str,
    body: Vec<u8>,
}

/// Writes an order to its receiver.
pub async fn write(node: &Arc<Node>, permit: &Permit) -> Outcome {
    let Some(message) = message(node, permit) else { return Outcome::NotSent };
    let request = Request::post(message.path)
        .header(header::CONTENT_TYPE, "application/json")
        .header(FENCE_HEADER, permit.fence.get())
        .body(Full::new(Bytes::from(message.body)))
        .expect("the parts are valid");
    let (checker, checked) = (node.clone(), permit.clone());
    let may_write = move || checked.check(checker.control.lease(), checker.clock.now()).is_ok();
    let deadline = node.clock.timer(permit.deadline);
    match send(&message.address, request, deadline, may_write).await {
        Ok(answer) => read_answer(&permit.action, &answer),
        Err(Fault::NotSent) => Outcome::NotSent,
        Err(Fault::NoAnswer) => Outcome::NoAnswer,
    }
}

/// Asks the receiver what became of an order.
pub async fn inquire(node: &Node, id: &OrderId, action: &Action) -> Finding {
    match action {
        Action::LoadVersion { .. } | Action::Report { .. } => return Finding::Idempotent,
        Action::Start { .. } | Action::Stop { .. } => {}
    }
    let Some(platform) = &node.settings.platform else { return Finding::NoAnswer };
    let Some(uri) = upstream::uri(platform, &format!("/v1/orders/{id}")) else {
        return Finding::NoAnswer;
    };
    let request = Request::get(uri).body(Full::default()).expect("the parts are valid");
    let limit = node.desk().timing().deadline;
    let asked = time::timeout(limit, node.upstream.call(request, MAX_ANSWER_BYTES)).await;
    let Ok(Ok(answer)) = asked else { return Finding::NoAnswer };
    if answer.status() == StatusCode::NOT_FOUND {
        return Finding::Absent;
    }
    read_receipt(&answer).map_or(Finding::NoAnswer, |receipt| match receipt.verdict {
        Verdict::Taken => Finding::Taken { target: receipt.target },
        Verdict::Refused => Finding::Refused,
        Verdict::Unavailable => Finding::Unavailable,
    })
}

/// Returns the request that carries an order, unless its receiver is not known.
fn message(node: &Node, permit: &Permit) -> Option<Message> {
    let (order, fence) = (permit.id.clone(), permit.fence);
    match &permit.action {
        Action::Start { role, zone, price_class } => {
            let (role, zone) = (role.clone(), zone.clone());
            let ask = Ask::Start { role, zone, price_class: price_class.clone() };
            platform_message(node, &PlatformOrder { order, fence, ask })
        }
        Action::Stop { target } => {
            let ask = Ask::Stop { target: target.clone() };
            platform_message(node, &PlatformOrder { order, fence, ask })
        }
        Action::LoadVersion { target, model, version, source } => {
            let address = address(node, target)?;
            let source = source.as_ref().and_then(|source| self::address(node, source));
            let (model, version) = (model.clone(), *version);
            let order = EngineOrder { order, fence, model, version, source };
            let body = serde_json::to_vec(&order).expect("the project's own types serialize");
            Some(Message { address, path: "/v1/orders", body })
        }
        Action::Report { window, .. } => {
            let address = node.settings.platform.clone()?;
            let body = usage::report_bytes(node, *window)?;
            Some(Message { address, path: "/v1/usage", body })
        }
    }
}

/// Returns where a target takes orders.
fn address(node: &Node, target: &TargetId) -> Option<String> {
    let table = node.table();
    let entry = table.entries().find(|(_, entry)| entry.announcement.id == *target)?.1;
    Some(entry.announcement.address.clone())
}

fn platform_message(node: &Node, order: &PlatformOrder) -> Option<Message> {
    let address = node.settings.platform.clone()?;
    let body = serde_json::to_vec(order).expect("the project's own types serialize");
    Some(Message { address, path: "/v1/orders", body })
}

/// Returns what an answer to an order means.
fn read_answer(action: &Action, answer: &Response<Bytes>) -> Outcome {
    let status = answer.status();
    if status.is_server_error() {
        return Outcome::NoAnswer;
    }
    if !status.is_success() {
        return Outcome::Refused;
    }
    match action {
        Action::LoadVersion { .. } | Action::Report { .. } => Outcome::Done { target: None },
        Action::Start { .. } | Action::Stop { .. } => {
            read_receipt(answer).map_or(Outcome::NoAnswer, |receipt| match receipt.verdict {
                Verdict::Taken => Outcome::Done { target: receipt.target },
                Verdict::Refused => Outcome::Refused,
                Verdict::Unavailable => Outcome::Unavailable,
            })
        }
    }
}

fn read_receipt(answer: &Response<Bytes>) -> Option<Receipt> {
    serde_json::from_slice(answer.body()).ok()
}
