//! The HTTP server of the stand-ins.

use dropshot::{
    ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder, ServerContext,
};
use slog::Drain;
use std::net::SocketAddr;

/// Size limit of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Starts an HTTP server, whose handlers are canceled when the client disconnects.
///
/// # Errors
///
/// Returns an error if the server can't listen on `address`.
pub fn start<C: ServerContext>(
    api: ApiDescription<C>,
    context: C,
    address: SocketAddr,
) -> Result<HttpServer<C>, String> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!());
    let built = ServerBuilder::new(api, context, log).config(config).start();
    built.map_err(|error| format!("cannot listen on {address}: {error}"))
}
