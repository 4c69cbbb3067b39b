//! The configuration of the runs.

use serde_json::json;

/// The key of the only team.
pub const KEY: &str = "key-of-the-team";

/// Returns the configuration in the platform's form.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({"name": name, "host": "site.example", "path_prefix": format!("/{name}/"),
               "kind": kind, "timeout_ms": 2000, "target_latency_ms": 400, "priority": 1,
               "service": service, "max_attempts": attempts, "public": name == "score",
               "resumable": true, "due_ms": 7500, "max_wait_s": 60})
    };
    json!({
        "version": version,
        "routes": [
            route("survey", "idempotent", "survey", 4),
            route("single", "non_idempotent", "survey", 2),
            route("score", "idempotent", "survey", 4),
            route("chat", "stream", "drafts", 3),
            route("drafts", "rollout", "drafts", 50),
        ],
        "services": [{"name": "survey", "health_path": "/health", "max_conns": 96},
                     {"name": "drafts", "health_path": "/health", "max_conns": 96, "engine": {}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "team", "api_keys": [KEY], "priority": 1}],
    })
    .to_string()
}
