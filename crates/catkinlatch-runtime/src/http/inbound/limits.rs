//! Limits on what clients hold, derived from the resources of the host.

use crate::settings::Resources;
use catkinlatch_ledger::config;
use std::time::Duration;

/// Memory of a host whose settings have none, in bytes.
const DEFAULT_MEMORY: u64 = 2 << 30;

/// Descriptors of a host whose settings have none.
const DEFAULT_DESCRIPTORS: u64 = 16 << 10;

/// Descriptors that the platform sets aside for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Share of the host's memory for the requests of all clients, as a divisor.
const REQUESTS_DIVISOR: u64 = 4;

/// Share of the host's memory for connections, as a divisor.
const CONNECTIONS_DIVISOR: u64 = 16;

/// Memory of a connection without a request, in bytes.
const CONNECTION_BYTES: u64 = 12 << 10;

/// Share of the host's memory for bytes that have arrived and are not yet read, as a divisor.
const UNREAD_DIVISOR: u64 = 64;

/// Smallest buffer for the head of a request, in bytes.
const MIN_HEAD_BYTES: usize = 64 << 10;

/// Room for the request line beside the configured size of a head, in bytes.
const REQUEST_LINE_BYTES: usize = 8 << 10;

/// Share of the descriptors beside those for files for sessions of other processes that have not
/// proved who they are, as a divisor.
const SESSIONS_DIVISOR: u64 = 8;

/// Limits on what all clients of a process hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory of the requests of all clients, in bytes.
    pub bytes: usize,
    /// Open connections of all listeners.
    pub connections: usize,
    /// Sessions of other processes that have not proved who they are.
    pub sessions: usize,
    /// Size of the buffer for a request's head, in bytes.
    pub head_bytes: usize,
    /// Time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
    /// Bytes of all clients that have arrived and are not yet read.
    pub unread_bytes: usize,
}

impl Limits {
    /// Derives the limits for a host; the configuration's limits on clients are the usual ones.
    ///
    /// An eighth of the descriptors remains for targets, authenticated sessions and the disk.
    pub fn new(resources: &Resources) -> Self {
        let memory = resources.memory_mb.map_or(DEFAULT_MEMORY, |mb| mb.saturating_mul(1_000_000));
        let descriptors = resources.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let connections = (descriptors.saturating_mul(3) / 4)
            .min(memory / CONNECTIONS_DIVISOR / CONNECTION_BYTES);
        let limits = Self {
            bytes: (memory / REQUESTS_DIVISOR) as usize,
            connections: connections.max(1) as usize,
            sessions: (descriptors / SESSIONS_DIVISOR).max(1) as usize,
            head_bytes: MIN_HEAD_BYTES,
            head_time: Duration::ZERO,
            idle_time: Duration::ZERO,
            unread_bytes: (memory / UNREAD_DIVISOR) as usize,
        };
        limits.with_configured(&config::Limits::default())
    }

    /// Sets the memory of the requests of all clients, in bytes.
    pub fn with_bytes(self, bytes: usize) -> Self {
        Self { bytes, ..self }
    }

    /// Divides the number of open connections, where each takes further descriptors.
    pub fn with_connections_divided_by(self, divisor: usize) -> Self {
        Self { connections: (self.connections / divisor).max(1), ..self }
    }

    /// Sets the time for which a connection may be idle.
    pub fn with_idle_time(self, idle_time: Duration) -> Self {
        Self { idle_time, ..self }
    }

    fn with_configured(mut self, configured: &config::Limits) -> Self {
        self.configure(configured);
        self
    }

    /// Adopts the limits that the configuration sets for clients.
    pub fn configure(&mut self, configured: &config::Limits) {
        let head_bytes = configured.header_bytes.saturating_add(REQUEST_LINE_BYTES);
        self.head_bytes = head_bytes.max(MIN_HEAD_BYTES);
        self.head_time = Duration::from_millis(configured.header_timeout_ms);
        self.idle_time = Duration::from_millis(configured.idle_timeout_ms);
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self::new(&Resources::default())
    }
}
