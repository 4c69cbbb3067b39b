//! The platform's HTTP interface.

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

/// Adds the endpoints.
pub fn register(api: &mut ApiDescription<Arc<Shared>>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(take_order)?;
    api.register(get_order)?;
    api.register(list_targets)?;
    api.register(take_report)?;
    api.register(get_reports)
}

derive_schema! {
    /// Names an order.
    struct OrderPath {
        /// The order.
        order: OrderId,
    }
}

/// Takes an order for a target.
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
    let receipt = lock(&shared.market).take(body.into_inner());
    suffer(fault).await?;
    Ok(HttpResponseOk(receipt))
}

/// Returns what became of an order.
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

/// Lists the targets that run.
#[endpoint { method = GET, path = "/v1/targets" }]
async fn list_targets(context: Context) -> Result<HttpResponseOk<Vec<Listed>>, HttpError> {
    let market = lock(&context.context().market);
    Ok(HttpResponseOk(market.running().map(|run| run.listed.clone()).collect()))
}

/// Takes a usage report.
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
    let verdict = lock(&shared.reports).take(body.into_inner(), fence.unwrap_or_default());
    suffer(fault).await?;
    match verdict {
        Verdict::Taken | Verdict::Repeated => Ok(HttpResponseUpdatedNoContent()),
        Verdict::Conflict => Err(conflict("the window was reported with other figures")),
        Verdict::OldFence => Err(conflict("the fencing number is old")),
    }
}

/// Returns the reports that were taken, in order.
#[endpoint { method = GET, path = "/standin/reports" }]
async fn get_reports(context: Context) -> Result<HttpResponseOk<Vec<Report>>, HttpError> {
    Ok(HttpResponseOk(lock(&context.context().reports).taken().to_vec()))
}

/// Lets a fault delay or replace the answer to what was carried out.
async fn suffer(fault: Option<Fault>) -> Result<(), HttpError> {
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
