//! Credentials of callers, which are never forwarded to a target.

use super::request::REQUEST_ID;
use http::{HeaderMap, HeaderName, header};

/// Headers that may contain a caller's credential.
const SECRET_HEADERS: [HeaderName; 4] = [
    header::AUTHORIZATION,
    header::PROXY_AUTHORIZATION,
    header::COOKIE,
    HeaderName::from_static("x-api-key"),
];

/// Hop-by-hop headers, and headers that this node sets itself.
const CONNECTION_HEADERS: [&str; 11] = [
    REQUEST_ID,
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// Query parameters that may contain a caller's credential, in lower case.
const SECRET_PARAMETERS: [&str; 4] = ["key", "api_key", "apikey", "access_token"];

/// Returns the API key of a request: the `x-api-key` header, or a bearer token.
pub fn presented_key(headers: &HeaderMap) -> Option<&str> {
    if let Some(value) = headers.get("x-api-key") {
        return value.to_str().ok();
    }
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Returns the headers that may be forwarded to a target.
pub fn forwardable_headers(headers: &HeaderMap) -> HeaderMap {
    let passes = |name: &HeaderName| {
        !SECRET_HEADERS.contains(name) && !CONNECTION_HEADERS.contains(&name.as_str())
    };
    headers
        .iter()
        .filter(|(name, _)| passes(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Removes parameters that may contain a caller's credential from a query string.
pub fn strip_query(query: &str) -> String {
    let is_kept = |pair: &&str| {
        let name = pair.split('=').next().unwrap_or_default().to_ascii_lowercase();
        !SECRET_PARAMETERS.contains(&name.as_str())
    };
    let kept: Vec<&str> = query.split('&').filter(is_kept).collect();
    kept.join("&")
}
