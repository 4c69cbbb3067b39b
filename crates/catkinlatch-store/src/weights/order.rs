//! Orders a load from an engine and waits for its completion.

use crate::{allowance, host::Host};
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

/// Timeout for an engine's answer to an order or a report request.
pub(super) const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which a loading engine is polled for a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(350);

/// The typical duration of a load; the engine is polled only after it.
pub(super) const TYPICAL_LOAD_TIME: Duration = Duration::from_millis(950);

/// How long the leader waits for a load, after its typical duration, before it counts as failed.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_millis(15_000);

/// The largest accepted answer of an engine.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Identifies one start of an engine: its id, and when it started in milliseconds since the Unix
/// epoch.
type EngineStart = (TargetId, u64);

/// Orders a load and waits until the engine holds the version or the load has failed.
pub(super) async fn run_load(
    host: &Host,
    term: Term,
    target: &Target,
    model: &ModelId,
    version: Version,
) -> Outcome {
    let start: EngineStart = (target.id.clone(), target.born_ms);
    let accepted = match accepted_orders(host, &start) {
        Some(accepted) => accepted,
        None => match report(host, target).await {
            Some(report) if !report.is_busy => {
                record_report(host, target, &report);
                if report.models.get(model).is_some_and(|held| *held >= version) {
                    return Outcome::Loaded;
                }
                report.accepted_orders
            }
            _ => return Outcome::Failed,
        },
    };
    host.soft_state().begin_load(&target.id, model, host.clock.now() + LOAD_TIMEOUT);
    let order = WeightOrder {
        model,
        version,
        waits_for_runs: false,
        holder: &host.settings.name,
        fence: term,
        expected_orders: Some(accepted),
    };
    let answer = post(host, term, target, order.encode()).await;
    host.record_action(term);
    info!(
        target_id:% = target.id, model:% = model, version = version.get(), term = term.get(),
        accepted = accepted, answer:? = answer;
        "weights: ordered a load"
    );
    match answer {
        Some(OrderAnswer::Accepted) => {
            host.soft_state().orders.insert(start, accepted.saturating_add(1));
            time::sleep(TYPICAL_LOAD_TIME).await;
            await_load(host, target, model, version).await
        }
        Some(OrderAnswer::Holds) => {
            host.soft_state().registry.record_version(target, model, version);
            Outcome::Loaded
        }
        Some(_) | None => {
            // The engine may still carry out the order, so the count must be read from a report.
            host.soft_state().orders.remove(&start);
            Outcome::Failed
        }
    }
}

/// Waits until an engine reports the version, and fails on timeout or if the engine restarts or
/// leaves.
async fn await_load(host: &Host, target: &Target, model: &ModelId, version: Version) -> Outcome {
    let until = host.clock.now() + LOAD_TIMEOUT;
    while host.clock.now() < until {
        let seen = {
            let soft = host.soft_state();
            let known = soft.registry.registered(target).filter(|known| known.is_ready());
            known.map(|known| known.models.clone())
        };
        let Some(seen) = seen else { return Outcome::Failed };
        if seen.get(model).is_some_and(|held| *held >= version) {
            return Outcome::Loaded;
        }
        match report(host, target).await {
            Some(report) => {
                record_report(host, target, &report);
                let holds = report.models.get(model).is_some_and(|held| *held >= version);
                if holds && !report.is_busy {
                    return Outcome::Loaded;
                }
            }
            None => warn!(target_id:% = target.id; "weights: no report from a loading engine"),
        }
        time::sleep(REPORT_INTERVAL).await;
    }
    host.soft_state().orders.remove(&(target.id.clone(), target.born_ms));
    Outcome::Failed
}

fn accepted_orders(host: &Host, start: &EngineStart) -> Option<u64> {
    host.soft_state().orders.get(start).copied()
}

/// Records the order count and versions that an engine reports.
fn record_report(host: &Host, target: &Target, report: &EngineReport) {
    let mut soft = host.soft_state();
    soft.orders.insert((target.id.clone(), target.born_ms), report.accepted_orders);
    for (model, version) in &report.models {
        soft.registry.record_version(target, model, *version);
    }
}

async fn report(host: &Host, target: &Target) -> Option<EngineReport> {
    let request = request(target, Method::GET, REPORT_PATH, empty());
    let answer = async {
        let exchange = allowance::send(host, target, request).await.ok()?;
        exchange.read_body(MAX_ANSWER_BYTES).await.ok()
    };
    let answer = time::timeout(ORDER_TIMEOUT, answer).await.ok().flatten()?;
    host.record_response(target, &answer);
    if !answer.status().is_success() {
        return None;
    }
    decode_report(answer.body()).ok()
}

/// Sends an order while this host leads `term`, and returns the engine's answer.
async fn post(host: &Host, term: Term, target: &Target, order: Vec<u8>) -> Option<OrderAnswer> {
    let mut request = request(target, Method::POST, ORDER_PATH, full(order));
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(http::header::CONTENT_TYPE, json);
    let may_send = || {
        host.record_action(term);
        // Since the engine was chosen, it may have started again or its zone been evacuated.
        let is_ready = host.soft_state().registry.registered(target).is_some_and(Target::is_ready);
        is_ready && host.replica.fencing_token() == Some(term)
    };
    let answer = async {
        let exchange = allowance::send_if(host, target, request, may_send).await.ok()?;
        host.record_response(target, &exchange.response);
        exchange.read_body(MAX_ANSWER_BYTES).await.ok()
    };
    let answer = time::timeout(ORDER_TIMEOUT, answer).await.ok().flatten()?;
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
