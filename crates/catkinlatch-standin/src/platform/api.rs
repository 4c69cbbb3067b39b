//! The HTTP interface of the stand-in platform.

use super::{Fault, Report, Shared, Verdict, lock};
use catkinlatch_base::{OrderId, Term, derive_schema};
use catkinlatch_fleet::placement::Listed;
use catkinlatch_node::order::{FENCE_HEADER, PlatformOrder, Receipt};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, ClientErrorStatusCode, HttpError, HttpResponseOk,
    HttpResponseUpdatedNoContent, Path, RequestContext, TypedBody, endpoint,
};
use std::{future, sync::Arc};

type Context = RequestContext<Arc<Shared>>;

/// Registers the endpoints.
pub fn register(api: &mut ApiDescription<Arc<Shared>>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(take_order)?;
    api.register(get_order)?;
    api.register(list_targets)?;
    api.register(take_report)?;
    api.register(get_reports)
}

derive_schema! {
    /// The path parameters of an order.
    struct OrderPath {
        /// The id of the order.
        order: OrderId,
    }
}

/// Executes an order to start or stop a target.
#[endpoint { method = POST, path = "/v1/orders" }]
async fn take_order(
    context: Context,
    body: TypedBody<PlatformOrder>,
) -> Result<HttpResponseOk<Receipt>, HttpError> {
    let shared = context.context();
    let fault = lock(&shared.faults).pop_front();
    if fault == Some(Fault::Ignored) {
        return future::pending().await;
    }
    let receipt = lock(&shared.market).submit(body.into_inner());
    apply_fault(fault).await?;
    Ok(HttpResponseOk(receipt))
}

/// Returns the receipt of an order, or 404 Not Found if the order was never received.
#[endpoint { method = GET, path = "/v1/orders/{order}" }]
async fn get_order(
    context: Context,
    path: Path<OrderPath>,
) -> Result<HttpResponseOk<Receipt>, HttpError> {
    let order = path.into_inner().order;
    let missing = || HttpError::for_not_found(None, format!("order {order} never came"));
    let receipt = lock(&context.context().market).receipt(&order).cloned();
    receipt.map(HttpResponseOk).ok_or_else(missing)
}

/// Lists the running targets.
#[endpoint { method = GET, path = "/v1/targets" }]
async fn list_targets(context: Context) -> Result<HttpResponseOk<Vec<Listed>>, HttpError> {
    let market = lock(&context.context().market);
    Ok(HttpResponseOk(market.running().map(|run| run.listed.clone()).collect()))
}

/// Receives a usage report.
#[endpoint { method = POST, path = "/v1/usage" }]
async fn take_report(
    context: Context,
    body: TypedBody<Report>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let shared = context.context();
    let fault = lock(&shared.faults).pop_front();
    if fault == Some(Fault::Ignored) {
        return future::pending().await;
    }
    let header = context.request.headers().get(FENCE_HEADER);
    let fence = header.and_then(|value| value.to_str().ok()?.parse::<Term>().ok());
    let verdict = lock(&shared.reports).submit(body.into_inner(), fence.unwrap_or_default());
    apply_fault(fault).await?;
    match verdict {
        Verdict::Accepted | Verdict::Repeated => Ok(HttpResponseUpdatedNoContent()),
        Verdict::Conflict => Err(conflict("the window was reported with other figures")),
        Verdict::OldFence => Err(conflict("the fencing number is old")),
    }
}

/// Returns the usage reports that were accepted, in order.
#[endpoint { method = GET, path = "/standin/reports" }]
async fn get_reports(context: Context) -> Result<HttpResponseOk<Vec<Report>>, HttpError> {
    Ok(HttpResponseOk(lock(&context.context().reports).accepted().to_vec()))
}

/// Applies a fault to the response of a call that was already executed.
async fn apply_fault(fault: Option<Fault>) -> Result<(), HttpError> {
    match fault {
        None => Ok(()),
        Some(Fault::Late(delay)) => {
            tokio::time::sleep(delay).await;
            Ok(())
        }
        Some(Fault::Lost | Fault::Ignored) => future::pending().await,
        Some(Fault::Error) => Err(HttpError::for_internal_error("the answer is lost".to_owned())),
    }
}

fn conflict(message: &str) -> HttpError {
    HttpError::for_client_error(None, ClientErrorStatusCode::CONFLICT, message.to_owned())
}
