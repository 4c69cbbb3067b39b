//! What all runs of a site configure alike, and how their callers ask.

use http::request::{self, Request};
use serde_json::{Value, json};
use std::time::Duration;

/// The key of the only team.
const KEY: &str = "key-of-the-team";

/// The host that the routes belong to.
pub const HOST: &str = "site.example";

/// Returns a configuration with these routes in the platform's form.
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

/// Begins a request of the team.
pub fn request(method: &str, path: &str, id: &str, deadline: Duration) -> request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("x-api-key", KEY)
        .header("attempt-id", id)
        .header("deadline-ms", deadline.as_millis().to_string())
}
