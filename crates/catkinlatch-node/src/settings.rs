//! The settings of one node.

use catkinlatch_base::{HostId, ZoneId, derive_value};
use std::net::{Ipv4Addr, SocketAddr};

derive_value! {
    /// The settings of one node.
    #[serde(deny_unknown_fields)]
    pub struct Settings {
        /// The host's name.
        pub host: HostId,
        /// The availability zone.
        pub zone: ZoneId,
        /// Where callers, trainers and targets connect.
        pub listen: SocketAddr,
        /// Where operators connect.
        pub operator_listen: SocketAddr,
        /// Where the platform takes orders and usage reports, as `host:port`, if there is one.
        pub platform: Option<String>,
        /// The credential that targets get, if they check one.
        pub target_credential: Option<String>,
        /// How long a usage window lasts, in milliseconds.
        pub usage_window_ms: u64,
        /// How many events of the time line are kept.
        pub timeline_events: usize,
    }
}

impl Settings {
    /// Returns settings for one node on ephemeral loopback ports, with its state in memory.
    pub fn loopback(host: HostId, zone: ZoneId) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            host,
            zone,
            listen: any_port,
            operator_listen: any_port,
            platform: None,
            target_credential: None,
            usage_window_ms: 60_000,
            timeline_events: 4096,
        }
    }

    /// Sets where the platform is.
    pub fn with_platform(self, address: String) -> Self {
        Self { platform: Some(address), ..self }
    }

    /// Sets the credential that targets get.
    pub fn with_target_credential(self, credential: String) -> Self {
        Self { target_credential: Some(credential), ..self }
    }

    /// Sets how long a usage window lasts, in milliseconds.
    pub fn with_usage_window_ms(self, usage_window_ms: u64) -> Self {
        Self { usage_window_ms, ..self }
    }
}
