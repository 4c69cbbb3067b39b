//! HTTP endpoints for operators to read usage windows.

use super::View;
use crate::Node;
use catkinlatch_base::{WindowId, derive_schema};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, HttpError, HttpResponseOk, Path, RequestContext,
    endpoint,
};
use std::sync::Arc;

/// Registers the endpoint.
pub fn register(api: &mut ApiDescription<Arc<Node>>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(get_window)
}

derive_schema! {
    /// The path parameters of a usage window.
    struct WindowPath {
        /// The window id: the start of the window, in milliseconds since the Unix epoch, divided by
        /// the window length.
        window: WindowId,
    }
}

/// Returns the figures of a closed usage window and the records that they are derived from.
#[endpoint { method = GET, path = "/v1/usage/windows/{window}" }]
async fn get_window(
    context: RequestContext<Arc<Node>>,
    path: Path<WindowPath>,
) -> Result<HttpResponseOk<View>, HttpError> {
    let window = path.into_inner().window;
    let missing = || {
        let message = format!("window {window} is not closed yet, or is no longer kept");
        HttpError::for_not_found(None, message)
    };
    View::new(context.context(), window).map(HttpResponseOk).ok_or_else(missing)
}
