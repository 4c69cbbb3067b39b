//! Times set by the deployment.

use super::Waits;
use serde::Deserialize;
use std::time::Duration;

/// Times set by the deployment, in the unit given by each name's suffix.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Times {
    /// Interval between heartbeats of a target.
    pub heartbeat_ms: u64,
    /// Time for which a withdrawn target still accepts work after its withdrawal was acknowledged.
    pub drain_ms: u64,
    /// Time within which a process must exit after it was asked to stop.
    pub grace_s: f64,
    /// Time within which two processes must not alternate as the holder of the same duty.
    pub lease_ms: u64,
    /// Whether the platform and all engines refuse calls with an old fencing token.
    #[serde(default)]
    pub checks_fences: bool,
    /// Length of a usage window.
    pub report_window_s: f64,
    /// Time after the end of a usage window by which its report is due.
    pub report_due_s: f64,
    /// Time for which results are kept after their job was submitted.
    pub results_kept_s: f64,
    /// Time within which the end of a job must take effect.
    pub cancel_ms: u64,
    /// Time within which a change of the configuration must be in force.
    pub apply_ms: u64,
    /// Maximum time for which callers may cache addresses of entry hosts.
    pub address_ttl_s: f64,
    /// Time without contact after which a host is not held to the times above.
    #[serde(default)]
    pub contact_ms: Option<u64>,
    /// Time within which operators must get the acknowledgement of a change.
    #[serde(default)]
    pub ack_ms: Option<u64>,
    /// Time after the acknowledgement of an evacuation from which nothing may reach the zone's
    /// targets; `None` if the deployment has no evacuations.
    #[serde(default)]
    pub evacuate_ms: Option<u64>,
}

impl Times {
    /// Derives the waits on the way of a change to the hosts that must obey it.
    pub fn waits(&self) -> Waits {
        Waits::new(self)
    }

    /// Returns the time within which a process must exit after it was asked to stop.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the time within which two processes must not alternate as holder of the same duty.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the length of a usage window in milliseconds, rounded down.
    pub fn report_window_ms(&self) -> u64 {
        (self.report_window_s * 1_000.0) as u64
    }

    /// Returns the time for which results are kept after their job was submitted, in milliseconds.
    pub fn results_kept_ms(&self) -> u64 {
        (self.results_kept_s * 1_000.0) as u64
    }

    /// Returns the maximum time for which callers may cache addresses, in milliseconds.
    pub fn address_ttl_ms(&self) -> u64 {
        (self.address_ttl_s * 1_000.0) as u64
    }
}
