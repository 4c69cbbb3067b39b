//! The settings of one node.

mod agreement;
mod credential;
mod document;
mod example;
mod load;
mod peer;
mod role;
mod rule;
mod schema;

pub use self::{
    agreement::Agreement,
    credential::Credential,
    example::{Example, ExampleError, File},
    peer::Peer,
    role::Role,
};

use catkinlatch_base::{ClusterId, HostId, RegionId, ZoneId, derive_value};
use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};

derive_value! {
    /// The settings of one node.
    #[serde(deny_unknown_fields)]
    pub struct Settings {
        /// The cluster; nodes of another cluster are refused.
        pub cluster: ClusterId,
        /// The host's name.
        pub host: HostId,
        /// The availability zone.
        pub zone: ZoneId,
        /// The region that the zone lies in.
        #[serde(default)]
        pub region: Option<RegionId>,
        /// Where callers, trainers and targets connect.
        pub listen: SocketAddr,
        /// Where operators connect.
        pub operator_listen: SocketAddr,
        /// Where other nodes connect.
        pub peer_listen: SocketAddr,
        /// The address that callers are told to use, as `host:port`; `listen` if absent.
        #[serde(default)]
        pub advertise: Option<String>,
        /// Where the node keeps its state; absent on a host without a disk.
        #[serde(default)]
        pub data_folder: Option<PathBuf>,
        /// What the node does.
        #[serde(default = "Role::all")]
        pub roles: Vec<Role>,
        /// All nodes of the cluster, this one included; equal on all hosts.
        #[serde(default)]
        pub peers: Vec<Peer>,
        /// The hosts that form the control log at the first start.
        #[serde(default)]
        pub initial_voters: Vec<HostId>,
        /// How often the leader sends a heartbeat, in milliseconds.
        #[serde(default = "default::beat_ms")]
        pub beat_ms: u64,
        /// How long a heartbeat that a quorum acknowledged makes the leader's lease last, in
        /// milliseconds.
        #[serde(default = "default::lease_ms")]
        pub lease_ms: u64,
        /// By how much the leader ends its lease early, since clocks differ in rate, in
        /// milliseconds.
        #[serde(default = "default::drift_margin_ms")]
        pub drift_margin_ms: u64,
        /// How long a node may serve with the configuration that it last heard confirmed, in
        /// milliseconds.
        #[serde(default = "default::configuration_lease_ms")]
        pub configuration_lease_ms: u64,
        /// How long a voter may be silent before a spare takes its place, in milliseconds.
        #[serde(default = "default::repair_after_ms")]
        pub repair_after_ms: u64,
        /// Where the platform takes orders and usage reports, as `host:port`, if there is one.
        #[serde(default)]
        pub platform: Option<String>,
        /// Where the weight store is, as `host:port`, if there is one.
        #[serde(default)]
        pub weight_store: Option<String>,
        /// The credential that targets get, if they check one.
        #[serde(default)]
        pub target_credential: Option<Credential>,
        /// The credential that operators present; without one the operator port is open.
        #[serde(default)]
        pub operator_token: Option<Credential>,
        /// The secret by which nodes of the cluster know each other.
        #[serde(default)]
        pub cluster_secret: Option<Credential>,
        /// How long a usage window lasts, in milliseconds.
        #[serde(default = "default::usage_window_ms")]
        pub usage_window_ms: u64,
        /// How many events of the time line are kept.
        #[serde(default = "default::timeline_events")]
        pub timeline_events: usize,
        /// How long a caller may use the addresses that it was given, in milliseconds; a node
        /// that drains serves for as long.
        #[serde(default = "default::address_time_to_live_ms")]
        pub address_time_to_live_ms: u64,
        /// How long a running stream goes on after its key was withdrawn, in milliseconds.
        #[serde(default = "default::stream_grace_ms")]
        pub stream_grace_ms: u64,
    }
}

/// Values of settings that are left out.
mod default {
    pub fn beat_ms() -> u64 {
        200
    }

    pub fn lease_ms() -> u64 {
        1_000
    }

    pub fn drift_margin_ms() -> u64 {
        250
    }

    pub fn configuration_lease_ms() -> u64 {
        5_000
    }

    pub fn repair_after_ms() -> u64 {
        10_000
    }

    pub fn usage_window_ms() -> u64 {
        60_000
    }

    pub fn timeline_events() -> usize {
        4_096
    }

    pub fn address_time_to_live_ms() -> u64 {
        5_000
    }

    pub fn stream_grace_ms() -> u64 {
        1_000
    }
}

impl Settings {
    /// Returns settings for one node on ephemeral loopback ports, with its state in memory.
    pub fn loopback(host: HostId, zone: ZoneId) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            cluster: "loopback".parse().expect("the id is valid"),
            host,
            zone,
            region: None,
            listen: any_port,
            operator_listen: any_port,
            peer_listen: any_port,
            advertise: None,
            data_folder: None,
            roles: Role::all(),
            peers: Vec::new(),
            initial_voters: Vec::new(),
            beat_ms: default::beat_ms(),
            lease_ms: default::lease_ms(),
            drift_margin_ms: default::drift_margin_ms(),
            configuration_lease_ms: default::configuration_lease_ms(),
            repair_after_ms: default::repair_after_ms(),
            platform: None,
            weight_store: None,
            target_credential: None,
            operator_token: None,
            cluster_secret: None,
            usage_window_ms: default::usage_window_ms(),
            timeline_events: default::timeline_events(),
            address_time_to_live_ms: default::address_time_to_live_ms(),
            stream_grace_ms: default::stream_grace_ms(),
        }
    }

    /// Sets where the platform is.
    pub fn with_platform(self, address: String) -> Self {
        Self { platform: Some(address), ..self }
    }

    /// Sets the credential that targets get.
    pub fn with_target_credential(self, credential: String) -> Self {
        Self { target_credential: Some(Credential::new(credential)), ..self }
    }

    /// Sets how long a usage window lasts, in milliseconds.
    pub fn with_usage_window_ms(self, usage_window_ms: u64) -> Self {
        Self { usage_window_ms, ..self }
    }

    /// Returns the address that callers are told to use, as `host:port`.
    pub fn public_address(&self) -> String {
        self.advertise.clone().unwrap_or_else(|| self.listen.to_string())
    }

    /// Returns whether the node has a role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    /// Returns digests of the settings that must be equal on all hosts.
    pub fn agreement(&self) -> Agreement {
        Agreement::new(self)
    }
}
