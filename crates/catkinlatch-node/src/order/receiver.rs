//! HTTP requests for each kind of order, and the interpretation of their responses.

use super::send::{Fault, MAX_RESPONSE_BYTES, send};
use crate::{Node, targets, upstream, usage};
use bytes::Bytes;
use catkinlatch_base::{ModelId, OrderId, TargetId, Term, Version, ZoneId, derive_schema};
use catkinlatch_fleet::order::{InquiryOutcome, Outcome, Permit};
use catkinlatch_state::order::Action;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use std::sync::Arc;
use tokio::time;

/// The header with the sender's fencing token, which may be newer than the one in the body.
pub const FENCE_HEADER: &str = "catkinlatch-fence";

derive_schema! {
    /// An order to the platform.
    pub struct PlatformOrder {
        /// The order id, the same in each attempt, so that a resend is recognized.
        pub order: OrderId,
        /// The fencing token; the platform refuses a token older than one that it has seen.
        pub fence: Term,
        /// The requested action.
        pub ask: PlatformAction,
    }
}

derive_schema! {
    /// The action that an order requests of the platform.
    #[serde(rename_all = "snake_case")]
    pub enum PlatformAction {
        /// Start a target.
        Start {
            /// The model or service that the target is to serve.
            role: String,
            /// The availability zone to start it in.
            zone: ZoneId,
            /// The id of the price class to start it under.
            price_class: String,
        },
        /// Stop a target.
        Stop {
            /// The target to stop.
            target: TargetId,
        },
    }
}

derive_schema! {
    /// The platform's response to an order.
    pub struct Receipt {
        /// The outcome of the order.
        pub verdict: Verdict,
        /// The target that was started or stopped; absent if the order had no effect.
        pub target: Option<TargetId>,
    }
}

derive_schema! {
    /// The outcome of an order to the platform.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Verdict {
        /// The order was carried out.
        Taken,
        /// The order was refused, for example because its fencing token is too old.
        Refused,
        /// No target of this kind is available at present.
        Unavailable,
    }
}

derive_schema! {
    /// An order to an engine to load weights.
    pub struct EngineOrder {
        /// The order id, the same in each attempt, so that a resend is recognized.
        pub order: OrderId,
        /// The fencing token; the engine must refuse a token older than one that it has seen.
        pub fence: Term,
        /// The model whose weights are to be loaded.
        pub model: ModelId,
        /// The weight version to load.
        pub version: Version,
        /// The address of the engine to load the weights from, as `host:port`; absent for the
        /// weight store.
        pub source: Option<String>,
    }
}

/// The HTTP request of an order and its destination.
struct Message {
    address: String,
    path: &'static str,
    body: Vec<u8>,
}

/// Sends an order to its receiver while the permit is valid.
pub async fn send_order(node: &Arc<Node>, permit: &Permit) -> Outcome {
    let Some(message) = message(node, permit) else { return Outcome::NotSent };
    let request = Request::post(message.path)
        .header(header::CONTENT_TYPE, "application/json")
        .header(FENCE_HEADER, permit.fence.get())
        .body(Full::new(Bytes::from(message.body)))
        .expect("the parts are valid");
    let (guard_node, guard_permit) = (node.clone(), permit.clone());
    let may_write =
        move || guard_permit.check(guard_node.control.lease(), guard_node.clock.now()).is_ok();
    let deadline = node.clock.timer(permit.deadline);
    match send(&message.address, request, deadline, may_write).await {
        Ok(response) => {
            record_response(node, &permit.action, &response);
            parse_outcome(&permit.action, &response)
        }
        Err(Fault::NotSent) => Outcome::NotSent,
        Err(Fault::NoAnswer) => Outcome::NoAnswer,
    }
}

/// Records whether an engine says in its response to an order that it leaves.
fn record_response(node: &Node, action: &Action, response: &Response<Bytes>) {
    let Action::LoadVersion { target, .. } = action else { return };
    let boot = node.table().entries().find_map(|(_, entry)| {
        let announcement = &entry.announcement;
        (announcement.id == *target).then(|| announcement.boot.clone())
    });
    if let Some(boot) = boot {
        targets::record_response(node, target, &boot, response);
    }
}

/// Queries the receiver for the outcome of an order.
///
/// Only start and stop orders can be queried; the other kinds are idempotent.
pub async fn inquire(node: &Node, id: &OrderId, action: &Action) -> InquiryOutcome {
    match action {
        Action::LoadVersion { .. } | Action::Report { .. } => return InquiryOutcome::Idempotent,
        Action::Start { .. } | Action::Stop { .. } => {}
    }
    let Some(platform) = &node.settings.platform else { return InquiryOutcome::NoAnswer };
    let Some(uri) = upstream::uri(platform, &format!("/v1/orders/{id}")) else {
        return InquiryOutcome::NoAnswer;
    };
    let request = Request::get(uri).body(Full::default()).expect("the parts are valid");
    let limit = node.dispatcher().timing().deadline;
    let result = time::timeout(limit, node.upstream.call(request, MAX_RESPONSE_BYTES)).await;
    let Ok(Ok(response)) = result else { return InquiryOutcome::NoAnswer };
    if response.status() == StatusCode::NOT_FOUND {
        return InquiryOutcome::Absent;
    }
    parse_receipt(&response).map_or(InquiryOutcome::NoAnswer, |receipt| match receipt.verdict {
        Verdict::Taken => InquiryOutcome::Taken { target: receipt.target },
        Verdict::Refused => InquiryOutcome::Refused,
        Verdict::Unavailable => InquiryOutcome::Unavailable,
    })
}

/// Returns the request for an order, or `None` if its receiver is unknown or the window that it
/// reports is not kept.
fn message(node: &Node, permit: &Permit) -> Option<Message> {
    let (order, fence) = (permit.id.clone(), permit.fence);
    match &permit.action {
        Action::Start { role, zone, price_class } => {
            let (role, zone) = (role.clone(), zone.clone());
            let ask = PlatformAction::Start { role, zone, price_class: price_class.clone() };
            platform_message(node, &PlatformOrder { order, fence, ask })
        }
        Action::Stop { target } => {
            let ask = PlatformAction::Stop { target: target.clone() };
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

/// Returns the address at which a target accepts orders, if the target is announced and its zone is
/// not evacuated.
fn address(node: &Node, target: &TargetId) -> Option<String> {
    let table = node.table();
    let entry = table.entries().find(|(_, entry)| entry.announcement.id == *target)?.1;
    let announcement = &entry.announcement;
    (!table.is_evacuated(&announcement.zone)).then(|| announcement.address.clone())
}

fn platform_message(node: &Node, order: &PlatformOrder) -> Option<Message> {
    let address = node.settings.platform.clone()?;
    let body = serde_json::to_vec(order).expect("the project's own types serialize");
    Some(Message { address, path: "/v1/orders", body })
}

/// Returns the outcome of an order from the receiver's response.
///
/// A server error or an unreadable receipt leaves the outcome open.
fn parse_outcome(action: &Action, response: &Response<Bytes>) -> Outcome {
    let status = response.status();
    if status.is_server_error() {
        return Outcome::NoAnswer;
    }
    if !status.is_success() {
        return Outcome::Refused;
    }
    match action {
        Action::LoadVersion { .. } | Action::Report { .. } => Outcome::Done { target: None },
        Action::Start { .. } | Action::Stop { .. } => {
            parse_receipt(response).map_or(Outcome::NoAnswer, |receipt| match receipt.verdict {
                Verdict::Taken => Outcome::Done { target: receipt.target },
                Verdict::Refused => Outcome::Refused,
                Verdict::Unavailable => Outcome::Unavailable,
            })
        }
    }
}

fn parse_receipt(response: &Response<Bytes>) -> Option<Receipt> {
    serde_json::from_slice(response.body()).ok()
}
