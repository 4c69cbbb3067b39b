//! Orders a load, and follows it to its end.

use crate::host::Host;
use catkinlatch_base::{ModelId, TargetId, Term, Version};
use catkinlatch_ledger::Target;
use catkinlatch_platform::{
    EngineReport, ORDER_PATH, OrderAnswer, REPORT_PATH, WeightOrder, decode_report, header,
};
use catkinlatch_rollout::weights::Outcome;
use catkinlatch_runtime::http::{Body, empty, full};
use http::{HeaderValue, Method, Request};
use log::{info, warn};
use std::time::Duration;
use tokio::time;

/// How long an engine may take to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How often an engine that loads is asked how far it is.
const REPORT_INTERVAL: Duration = Duration::from_millis(350);

/// How long a load usually takes; an engine is not asked before.
pub(super) const LOAD_TIME: Duration = Duration::from_millis(950);

/// How long a load may take before it counts as failed.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_millis(15_000);

/// The most bytes of an engine's answer.
const ANSWER_BYTES: usize = 1 << 20;

/// An engine and its start.
type Start = (TargetId, u64);

/// Orders a load and waits for its end.
pub(super) async fn bring(
    host: &Host,
    term: Term,
    target: &Target,
    model: &ModelId,
    version: Version,
) -> Outcome {
    let start: Start = (target.id.clone(), target.born_ms);
    let accepted = match known_orders(host, &start) {
        Some(accepted) => accepted,
        None => match report(host, target).await {
            Some(report) if !report.is_busy => {
                learn(host, target, &report);
                if report.models.get(model).is_some_and(|held| *held >= version) {
                    return Outcome::Loaded;
                }
                report.accepted
            }
            _ => return Outcome::Failed,
        },
    };
    if host.replica.fencing() != Some(term) {
        return Outcome::Failed;
    }
    host.soft().loads(&target.id, model, host.clock.now() + LOAD_TIMEOUT);
    let order = WeightOrder {
        model,
        version,
        waits_for_runs: false,
        holder: &host.settings.name,
        fence: term,
        accepted: Some(accepted),
    };
    host.acts();
    let answer = post(host, target, order.encode()).await;
    info!(
        target_id:% = target.id, model:% = model, version = version.get(), term = term.get(),
        accepted = accepted, answer:? = answer;
        "weights: order"
    );
    match answer {
        Some(OrderAnswer::Accepted) => {
            host.soft().orders.insert(start, accepted + 1);
            time::sleep(LOAD_TIME).await;
            await_load(host, target, model, version).await
        }
        Some(OrderAnswer::Holds) => {
            host.soft().registry.saw_version(&target.id, model, version);
            Outcome::Loaded
        }
        Some(_) | None => {
            // It may be carried out later; a report tells the count of orders then.
            host.soft().orders.remove(&start);
            Outcome::Failed
        }
    }
}

/// Waits until an engine reports the version.
async fn await_load(host: &Host, target: &Target, model: &ModelId, version: Version) -> Outcome {
    let until = host.clock.now() + LOAD_TIMEOUT;
    while host.clock.now() < until {
        let seen = {
            let soft = host.soft();
            let known = soft.registry.target(&target.id);
            known.filter(|known| known.born_ms == target.born_ms).map(|known| known.models.clone())
        };
        let Some(seen) = seen else { return Outcome::Failed };
        if seen.get(model).is_some_and(|held| *held >= version) {
            return Outcome::Loaded;
        }
        match report(host, target).await {
            Some(report) => {
                learn(host, target, &report);
                let holds = report.models.get(model).is_some_and(|held| *held >= version);
                if holds && !report.is_busy {
                    return Outcome::Loaded;
                }
            }
            None => warn!(target_id:% = target.id; "weights: no report from a loading engine"),
        }
        time::sleep(REPORT_INTERVAL).await;
    }
    host.soft().orders.remove(&(target.id.clone(), target.born_ms));
    Outcome::Failed
}

fn known_orders(host: &Host, start: &Start) -> Option<u64> {
    host.soft().orders.get(start).copied()
}

/// Takes what an engine reports.
fn learn(host: &Host, target: &Target, report: &EngineReport) {
    let mut soft = host.soft();
    soft.orders.insert((target.id.clone(), target.born_ms), report.accepted);
    for (model, version) in &report.models {
        soft.registry.saw_version(&target.id, model, *version);
    }
}

async fn report(host: &Host, target: &Target) -> Option<EngineReport> {
    let request = request(target, Method::GET, REPORT_PATH, empty());
    let answer = host.client.ask(&target.address, request, ORDER_TIMEOUT, ANSWER_BYTES).await?;
    if !answer.status().is_success() {
        return None;
    }
    decode_report(answer.body()).ok()
}

async fn post(host: &Host, target: &Target, order: Vec<u8>) -> Option<OrderAnswer> {
    let mut request = request(target, Method::POST, ORDER_PATH, full(order));
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(http::header::CONTENT_TYPE, json);
    let answer = host.client.ask(&target.address, request, ORDER_TIMEOUT, ANSWER_BYTES).await?;
    Some(OrderAnswer::new(answer.status()))
}

fn request(target: &Target, method: Method, path: &'static str, body: Body) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = http::Uri::from_static(path);
    for (name, value) in [
        (http::header::HOST, target.address.as_str()),
        (header::EXPECTED_TARGET, target.id.as_str()),
    ] {
        if let Ok(value) = HeaderValue::from_str(value) {
            request.headers_mut().insert(name, value);
        }
    }
    request
}
