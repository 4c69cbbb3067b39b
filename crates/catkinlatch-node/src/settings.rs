//! Settings of a node, read from a file in JSON with comments.

mod credential;
mod document;
mod example;
mod load;
mod peer;
mod role;
mod rule;
mod schema;
mod shared_digests;

pub use self::{
    credential::Credential,
    example::{Example, ExampleError, File},
    peer::Peer,
    role::Role,
    shared_digests::SharedDigests,
};

use catkinlatch_base::{ClusterId, HostId, RegionId, ZoneId, derive_value};
use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};

derive_value! {
    /// The settings of a node, in the form of its settings file.
    #[serde(deny_unknown_fields)]
    pub struct Settings {
        /// The cluster; sessions with nodes of another cluster are refused.
        pub cluster: ClusterId,
        /// The name of the host, unique in the cluster.
        pub host: HostId,
        /// The availability zone of the host.
        pub zone: ZoneId,
        /// The region of the zone, if named.
        #[serde(default)]
        pub region: Option<RegionId>,
        /// The listen address for callers, trainers and targets.
        pub listen: SocketAddr,
        /// The listen address for operators.
        pub operator_listen: SocketAddr,
        /// The listen address for other nodes.
        pub peer_listen: SocketAddr,
        /// The address that the node advertises to callers, as `host:port`; `listen` if absent.
        #[serde(default)]
        pub advertise: Option<String>,
        /// The folder for the node's state; absent on a host without a disk.
        #[serde(default)]
        pub data_folder: Option<PathBuf>,
        /// The roles of the node; all by default.
        #[serde(default = "Role::all")]
        pub roles: Vec<Role>,
        /// All nodes of the cluster, including this one; equal on all hosts. Empty for a cluster of
        /// one node.
        #[serde(default)]
        pub peers: Vec<Peer>,
        /// The voters of the control log at its first start.
        #[serde(default)]
        pub initial_voters: Vec<HostId>,
        /// The interval between heartbeats of the leader, in milliseconds.
        #[serde(default = "default::beat_ms")]
        pub beat_ms: u64,
        /// The duration of the leader lease after a heartbeat that a quorum has acknowledged, in
        /// milliseconds; also the minimum election timeout.
        #[serde(default = "default::lease_ms")]
        pub lease_ms: u64,
        /// How much earlier the leader ends its lease, to allow for clock drift, in milliseconds.
        #[serde(default = "default::drift_margin_ms")]
        pub drift_margin_ms: u64,
        /// The duration of a configuration lease, in milliseconds: how long a node may serve after
        /// the leader last confirmed its configuration.
        #[serde(default = "default::configuration_lease_ms")]
        pub configuration_lease_ms: u64,
        /// How long a voter may be unresponsive before it is replaced, in milliseconds.
        #[serde(default = "default::repair_after_ms")]
        pub repair_after_ms: u64,
        /// The address of the platform, which receives orders and usage reports, as `host:port`;
        /// absent if there is none.
        #[serde(default)]
        pub platform: Option<String>,
        /// The address of the weight store, as `host:port`; absent if there is none.
        #[serde(default)]
        pub weight_store: Option<String>,
        /// The credential sent to targets; absent if they check none.
        #[serde(default)]
        pub target_credential: Option<Credential>,
        /// The credential that operators must present; if absent, the operator interface requires
        /// none.
        #[serde(default)]
        pub operator_token: Option<Credential>,
        /// The shared secret by which nodes of the cluster authenticate each other.
        #[serde(default)]
        pub cluster_secret: Option<Credential>,
        /// The length of a usage window, in milliseconds.
        #[serde(default = "default::usage_window_ms")]
        pub usage_window_ms: u64,
        /// The number of events that the timeline keeps.
        #[serde(default = "default::timeline_events")]
        pub timeline_events: usize,
        /// How long callers may use the addresses that they were given, in milliseconds; a draining
        /// node keeps serving for this time.
        #[serde(default = "default::address_time_to_live_ms")]
        pub address_time_to_live_ms: u64,
        /// How long a running stream may continue after its API key was withdrawn, in milliseconds.
        #[serde(default = "default::stream_grace_ms")]
        pub stream_grace_ms: u64,
        /// The memory that the node may use, in megabytes, from which the limits on clients derive;
        /// those of 2 GiB if absent.
        #[serde(default)]
        pub memory_mb: Option<u64>,
        /// The number of files and connections that the node may open, from which the limits on
        /// clients derive; those of 16,384 if absent.
        #[serde(default)]
        pub descriptors: Option<u64>,
    }
}

/// Defaults of settings that may be omitted.
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
    /// Returns settings for a single node on ephemeral loopback ports, with its state in memory.
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
            memory_mb: None,
            descriptors: None,
        }
    }

    /// Sets the address of the platform, as `host:port`.
    pub fn with_platform(self, address: String) -> Self {
        Self { platform: Some(address), ..self }
    }

    /// Sets the credential sent to targets.
    pub fn with_target_credential(self, credential: String) -> Self {
        Self { target_credential: Some(Credential::new(credential)), ..self }
    }

    /// Sets the length of a usage window, in milliseconds.
    pub fn with_usage_window_ms(self, usage_window_ms: u64) -> Self {
        Self { usage_window_ms, ..self }
    }

    /// Returns the address that the node advertises to callers, as `host:port`.
    pub fn public_address(&self) -> String {
        self.advertise.clone().unwrap_or_else(|| self.listen.to_string())
    }

    /// Returns whether the node has a role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    /// Returns the digests of the settings that must be equal on all hosts.
    pub fn shared_digests(&self) -> SharedDigests {
        SharedDigests::new(self)
    }
}
