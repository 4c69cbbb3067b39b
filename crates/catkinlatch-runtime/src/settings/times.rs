//! Times that the deployment sets.

use serde::Deserialize;
use std::time::Duration;

/// Times that the deployment sets, in the unit that each name ends with.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Times {
    /// How often targets say that they live.
    pub heartbeat_ms: u64,
    /// How long a target that leaves still takes work after that was acknowledged.
    pub drain_ms: u64,
    /// How long a process may take to stop after it was told to.
    pub grace_s: f64,
    /// Within which time the processes of one duty must not alternate.
    pub lease_ms: u64,
    /// The length of a usage window.
    pub report_window_s: f64,
    /// How long after a window's end its report is due.
    pub report_due_s: f64,
    /// How long results are kept after their job was handed in.
    pub results_kept_s: f64,
    /// Within which time an end of a job must be carried out.
    pub cancel_ms: u64,
    /// How long a change may take until it is in force.
    pub apply_ms: u64,
    /// The longest time for which callers may keep addresses.
    pub address_ttl_s: f64,
}

impl Times {
    /// Returns the time in which a process must have stopped.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the time for which duties rest after a change of their holder.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the length of a usage window, in milliseconds.
    pub fn report_window_ms(&self) -> u64 {
        (self.report_window_s * 1_000.0) as u64
    }

    /// Returns how long results are kept, in milliseconds.
    pub fn results_kept_ms(&self) -> u64 {
        (self.results_kept_s * 1_000.0) as u64
    }

    /// Returns the longest time for which callers may keep addresses, in milliseconds.
    pub fn address_ttl_ms(&self) -> u64 {
        (self.address_ttl_s * 1_000.0) as u64
    }
}
