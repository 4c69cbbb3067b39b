//! Who may use the operator interface.

use crate::Node;
use dropshot::{ClientErrorStatusCode, HttpError, RequestContext};
use http::header;
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Refuses a request without the operator's token, where the settings name one.
pub fn authorize(context: &RequestContext<Arc<Node>>) -> Result<&Arc<Node>, HttpError> {
    let node = context.context();
    let Some(token) = &node.settings.operator_token else { return Ok(node) };
    let given = context.request.headers().get(header::AUTHORIZATION);
    let given = given.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    // Comparing digests takes the same time wherever the tokens differ.
    if given.is_some_and(|given| Sha256::digest(given) == Sha256::digest(token.expose())) {
        return Ok(node);
    }
    let message = "the operator token is missing or wrong; send it as a bearer token".to_owned();
    Err(HttpError::for_client_error(None, ClientErrorStatusCode::UNAUTHORIZED, message))
}
