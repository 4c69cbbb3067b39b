//! Configurations that operators send, valid and invalid.

use catkinlatch_standin::site;
use serde_json::{Value, json};

/// `max_attempts` of the routes.
pub const MAX_ATTEMPTS: u32 = 3;

/// `timeout_ms` of the routes.
pub const TIMEOUT_MS: u64 = 2_000;

/// The number of latest versions whose routes a configuration has.
const KEPT_VERSIONS: u64 = 60;

/// What is wrong with an invalid configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Truncated,
    UnknownService,
    SamePlace,
    NoWeight,
    NoTimeout,
    SharedKey,
    /// A split whose weights add up to 0, beside a single service.
    NoWeightBesideService,
}

/// All kinds of invalid configurations.
pub const FAULTS: [Fault; 7] = [
    Fault::Truncated,
    Fault::UnknownService,
    Fault::SamePlace,
    Fault::NoWeight,
    Fault::NoTimeout,
    Fault::SharedKey,
    Fault::NoWeightBesideService,
];

/// Returns the path that is served from this version on.
pub fn path(version: u64) -> String {
    format!("/v{version}/1")
}

/// Returns the path that is served only if an invalid configuration of this version is in force.
pub fn invalid_path(version: u64) -> String {
    format!("/invalid-{version}/1")
}

/// Returns a valid configuration; those of one version that two operators send differ.
pub fn valid(version: u64, operator: usize) -> String {
    document(version, &format!("operator-{operator}")).to_string()
}

/// Returns an invalid configuration.
pub fn invalid(version: u64, fault: Fault, random: &mut fastrand::Rng) -> String {
    let mut document = document(version, "operator-invalid");
    let marked = route(&format!("invalid-{version}"));
    document["routes"].as_array_mut().unwrap().push(marked);
    let first = &mut document["routes"][0];
    let no_weight = json!([{"service": "survey", "weight": 0}, {"service": "drafts", "weight": 0}]);
    match fault {
        Fault::Truncated => {
            let text = document.to_string();
            return text[..random.usize(..text.len())].to_owned();
        }
        Fault::UnknownService => first["service"] = json!("nowhere"),
        Fault::SamePlace => {
            let again = first.clone();
            document["routes"].as_array_mut().unwrap().push(again);
        }
        Fault::NoWeight => {
            first.as_object_mut().unwrap().remove("service");
            first["traffic_split"] = no_weight;
        }
        Fault::NoWeightBesideService => first["traffic_split"] = no_weight,
        Fault::NoTimeout => first["timeout_ms"] = json!(0),
        Fault::SharedKey => {
            let key = document["tenants"][0]["api_keys"].clone();
            let other = json!({"name": "other", "api_keys": key});
            document["tenants"].as_array_mut().unwrap().push(other);
        }
    }
    document.to_string()
}

fn document(version: u64, operator: &str) -> Value {
    let kept = version.saturating_sub(KEPT_VERSIONS).max(1)..=version;
    let mut routes = vec![route("survey"), route(operator)];
    routes.extend(kept.map(|version| route(&format!("v{version}"))));
    serde_json::from_str(&site::configuration(version, &routes)).unwrap()
}

fn route(name: &str) -> Value {
    json!({"name": name, "host": site::HOST, "path_prefix": format!("/{name}/"),
           "kind": "idempotent", "timeout_ms": TIMEOUT_MS, "target_latency_ms": 400, "priority": 2,
           "service": "survey", "max_attempts": MAX_ATTEMPTS, "public": false})
}
