//! Schema of a settings file: its fields and the values that they accept.

use super::Role;
use catkinlatch_base::{ClusterId, HostId, RegionId, ZoneId};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;
use std::net::SocketAddr;

/// A field of an object in the file.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The name of the field in the file.
    pub name: &'static str,
    /// Whether the field must be present.
    pub required: bool,
    /// The values that the field accepts.
    pub shape: Shape,
}

/// The values that a field accepts.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// A value that passes a check.
    Value {
        /// What to write instead, as the hint of a finding.
        expected: &'static str,
        /// Returns an error text if a value is not valid.
        check: fn(&Value) -> Result<(), String>,
    },
    /// A whole number within inclusive bounds.
    Number {
        /// The lower bound.
        min: u64,
        /// The upper bound.
        max: u64,
    },
    /// A credential as a string, or an object that names the file that holds it.
    Credential,
    /// A list of values that each pass a check.
    List {
        /// What to write instead of an element, as the hint of a finding.
        expected: &'static str,
        /// Returns an error text if an element is not valid.
        check: fn(&Value) -> Result<(), String>,
    },
    /// A list of objects with these fields.
    Objects(&'static [Field]),
}

/// The upper bound of durations: one day.
const MAX_DURATION_MS: u64 = 86_400_000;

/// The bounds of `memory_mb`.
const MIN_MEMORY_MB: u64 = 16;
const MAX_MEMORY_MB: u64 = 1 << 24;

/// The bounds of `descriptors`; the first 200 are for files.
const MIN_DESCRIPTORS: u64 = 256;
const MAX_DESCRIPTORS: u64 = 1 << 24;

/// The upper bound of `timeline_events`.
const MAX_TIMELINE_EVENTS: u64 = 1 << 20;

const ADDRESS: &str = "write an IP address and a port, such as \"10.0.0.1:7100\"";
const ID: &str = "write an id of that form";
const TEXT: &str = "write a text in double quotes";
const BOOLEAN: &str = "write true or false";
const ROLES: &str = "use any of \"entry\", \"control\" and \"relay\"";

/// The top-level fields of a settings file.
pub const SETTINGS: &[Field] = &[
    required("cluster", id::<ClusterId>()),
    required("host", id::<HostId>()),
    required("zone", id::<ZoneId>()),
    optional("region", id::<RegionId>()),
    required("listen", listen_address()),
    required("operator_listen", listen_address()),
    required("peer_listen", listen_address()),
    optional("advertise", remote_address()),
    optional("data_folder", Shape::Value { expected: TEXT, check: deserializes::<String> }),
    optional("roles", Shape::List { expected: ROLES, check: deserializes::<Role> }),
    optional("peers", Shape::Objects(PEER)),
    optional("initial_voters", Shape::List { expected: ID, check: deserializes::<HostId> }),
    optional("beat_ms", millis(10)),
    optional("lease_ms", millis(40)),
    optional("drift_margin_ms", millis(1)),
    optional("configuration_lease_ms", millis(100)),
    optional("repair_after_ms", millis(100)),
    optional("platform", remote_address()),
    optional("weight_store", remote_address()),
    optional("target_credential", Shape::Credential),
    optional("operator_token", Shape::Credential),
    optional("cluster_secret", Shape::Credential),
    optional("usage_window_ms", millis(1_000)),
    optional("timeline_events", Shape::Number { min: 1, max: MAX_TIMELINE_EVENTS }),
    optional("address_time_to_live_ms", millis(0)),
    optional("stream_grace_ms", millis(0)),
    optional("memory_mb", Shape::Number { min: MIN_MEMORY_MB, max: MAX_MEMORY_MB }),
    optional("descriptors", Shape::Number { min: MIN_DESCRIPTORS, max: MAX_DESCRIPTORS }),
];

/// The fields of an entry of `peers`.
const PEER: &[Field] = &[
    required("host", id::<HostId>()),
    required("zone", id::<ZoneId>()),
    optional("region", id::<RegionId>()),
    required("peer_address", remote_address()),
    required("advertise", remote_address()),
    required("operator_address", remote_address()),
    optional("disk", Shape::Value { expected: BOOLEAN, check: deserializes::<bool> }),
];

const fn required(name: &'static str, shape: Shape) -> Field {
    Field { name, required: true, shape }
}

const fn optional(name: &'static str, shape: Shape) -> Field {
    Field { name, required: false, shape }
}

const fn id<T: DeserializeOwned>() -> Shape {
    Shape::Value { expected: ID, check: deserializes::<T> }
}

const fn listen_address() -> Shape {
    Shape::Value { expected: ADDRESS, check: deserializes::<SocketAddr> }
}

const fn remote_address() -> Shape {
    Shape::Value { expected: ADDRESS, check: is_connectable }
}

const fn millis(min: u64) -> Shape {
    Shape::Number { min, max: MAX_DURATION_MS }
}

/// Checks that a value can be deserialized as a type.
fn deserializes<T: DeserializeOwned>(value: &Value) -> Result<(), String> {
    T::deserialize(value).map(|_| ()).map_err(|error| error.to_string())
}

/// Checks that a value is an address that other processes can connect to, so not port 0.
fn is_connectable(value: &Value) -> Result<(), String> {
    let address = SocketAddr::deserialize(value).map_err(|error| error.to_string())?;
    if address.port() == 0 { Err("port 0 cannot be connected to".to_owned()) } else { Ok(()) }
}
