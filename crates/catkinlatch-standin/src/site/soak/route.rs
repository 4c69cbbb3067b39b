//! The routes of the soak test.

use crate::site::{COLD_PER_SECOND, HOST, configuration::configuration as with_routes};
use serde_json::{Value, json};

/// Returns the configuration of the soak test as the platform's JSON document.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({"name": name, "host": HOST, "path_prefix": format!("/{name}/"),
               "kind": kind, "timeout_ms": 2000, "target_latency_ms": 400, "priority": 1,
               "service": service, "max_attempts": attempts, "public": name == "score",
               "resumable": true, "due_ms": 7500, "max_wait_s": 60})
    };
    let document = with_routes(
        version,
        &[
            route("survey", "idempotent", "survey", 4),
            route("single", "non_idempotent", "survey", 2),
            route("score", "idempotent", "survey", 4),
            route("chat", "stream", "drafts", 3),
            route("drafts", "rollout", "drafts", 50),
        ],
    );
    let mut document: Value = serde_json::from_str(&document).unwrap_or_default();
    document["services"][0]["cold_per_s"] = json!(COLD_PER_SECOND);
    document.to_string()
}
