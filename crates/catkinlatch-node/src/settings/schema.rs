//! The fields that settings may have, and what each may hold.

use super::Role;
use catkinlatch_base::{ClusterId, HostId, RegionId, ZoneId};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;
use std::net::SocketAddr;

/// One field.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The name in the file.
    pub name: &'static str,
    /// Whether it must be given.
    pub required: bool,
    /// What it may hold.
    pub shape: Shape,
}

/// What a field may hold.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// A value that a function checks.
    Value {
        /// What is expected, for the hint.
        expected: &'static str,
        /// Checks one value.
        check: fn(&Value) -> Result<(), String>,
    },
    /// A whole number within bounds.
    Number {
        /// The least.
        min: u64,
        /// The greatest.
        max: u64,
    },
    /// A text, or an object that names the file that holds it.
    Credential,
    /// A list of values that a function checks.
    List {
        /// What each element is, for the hint.
        expected: &'static str,
        /// Checks one element.
        check: fn(&Value) -> Result<(), String>,
    },
    /// A list of objects.
    Objects(&'static [Field]),
}

/// The longest time that a setting may name, in milliseconds: one day.
const MAX_MS: u64 = 86_400_000;

/// The most events of the time line that may be kept.
const MAX_EVENTS: u64 = 1 << 20;

const ADDRESS: &str = "write an IP address and a port, such as \"10.0.0.1:7100\"";
const ID: &str = "write an id of that form";
const TEXT: &str = "write a text in double quotes";
const BOOLEAN: &str = "write true or false";
const ROLES: &str = "use any of \"entry\", \"control\" and \"relay\"";

/// The fields of the settings.
pub const SETTINGS: &[Field] = &[
    required("cluster", id::<ClusterId>()),
    required("host", id::<HostId>()),
    required("zone", id::<ZoneId>()),
    optional("region", id::<RegionId>()),
    required("listen", socket()),
    required("operator_listen", socket()),
    required("peer_listen", socket()),
    optional("advertise", remote()),
    optional("data_folder", Shape::Value { expected: TEXT, check: reads::<String> }),
    optional("roles", Shape::List { expected: ROLES, check: reads::<Role> }),
    optional("peers", Shape::Objects(PEER)),
    optional("initial_voters", Shape::List { expected: ID, check: reads::<HostId> }),
    optional("beat_ms", millis(10)),
    optional("lease_ms", millis(40)),
    optional("drift_margin_ms", millis(1)),
    optional("configuration_lease_ms", millis(100)),
    optional("repair_after_ms", millis(100)),
    optional("platform", remote()),
    optional("weight_store", remote()),
    optional("target_credential", Shape::Credential),
    optional("operator_token", Shape::Credential),
    optional("cluster_secret", Shape::Credential),
    optional("usage_window_ms", millis(1_000)),
    optional("timeline_events", Shape::Number { min: 1, max: MAX_EVENTS }),
    optional("address_time_to_live_ms", millis(0)),
    optional("stream_grace_ms", millis(0)),
];

/// The fields of one peer.
const PEER: &[Field] = &[
    required("host", id::<HostId>()),
    required("zone", id::<ZoneId>()),
    optional("region", id::<RegionId>()),
    required("peer_address", remote()),
    required("advertise", remote()),
    required("operator_address", remote()),
    optional("disk", Shape::Value { expected: BOOLEAN, check: reads::<bool> }),
];

const fn required(name: &'static str, shape: Shape) -> Field {
    Field { name, required: true, shape }
}

const fn optional(name: &'static str, shape: Shape) -> Field {
    Field { name, required: false, shape }
}

const fn id<T: DeserializeOwned>() -> Shape {
    Shape::Value { expected: ID, check: reads::<T> }
}

const fn socket() -> Shape {
    Shape::Value { expected: ADDRESS, check: reads::<SocketAddr> }
}

const fn remote() -> Shape {
    Shape::Value { expected: ADDRESS, check: is_remote }
}

const fn millis(min: u64) -> Shape {
    Shape::Number { min, max: MAX_MS }
}

/// Checks that a value reads as a type.
fn reads<T: DeserializeOwned>(value: &Value) -> Result<(), String> {
    T::deserialize(value).map(|_| ()).map_err(|error| error.to_string())
}

/// Checks that a value is an address that others can connect to.
fn is_remote(value: &Value) -> Result<(), String> {
    let address = SocketAddr::deserialize(value).map_err(|error| error.to_string())?;
    if address.port() == 0 { Err("port 0 cannot be connected to".to_owned()) } else { Ok(()) }
}
