//! The configuration that all tests of a site share, and requests of its only team.

use http::request::{self, Request};
use serde_json::{Value, json};
use std::time::Duration;

/// The API key of the only team.
const KEY: &str = "key-of-the-team";

/// The host name that the routes match.
pub const HOST: &str = "site.example";

/// Returns a configuration with these routes as the platform's JSON document.
pub fn configuration(version: u64, routes: &[Value]) -> String {
    json!({
        "version": version,
        "routes": routes,
        "services": [{"name": "survey", "health_path": "/health", "max_conns": 96},
                     {"name": "drafts", "health_path": "/health", "max_conns": 96, "engine": {}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "team", "api_keys": [KEY], "priority": 1}],
    })
    .to_string()
}

/// Returns a request of the team without a body; `id` identifies the attempt.
pub fn request(method: &str, path: &str, id: &str, deadline: Duration) -> request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("x-api-key", KEY)
        .header("attempt-id", id)
        .header("deadline-ms", deadline.as_millis().to_string())
}
