//! Authorization of operators.

use crate::Node;
use dropshot::{ClientErrorStatusCode, HttpError, RequestContext};
use http::header;
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Checks the operator token of a request, if the settings name one, and returns the node.
///
/// # Errors
///
/// Returns 401 Unauthorized if the token is missing or wrong.
pub fn authorize(context: &RequestContext<Arc<Node>>) -> Result<&Arc<Node>, HttpError> {
    let node = context.context();
    let Some(token) = &node.settings.operator_token else { return Ok(node) };
    let given = context.request.headers().get(header::AUTHORIZATION);
    let given = given.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    // Digests are compared so that the time taken does not depend on where the tokens differ.
    if given.is_some_and(|given| Sha256::digest(given) == Sha256::digest(token.expose())) {
        return Ok(node);
    }
    let message = "the operator token is missing or wrong; send it as a bearer token".to_owned();
    Err(HttpError::for_client_error(None, ClientErrorStatusCode::UNAUTHORIZED, message))
}
