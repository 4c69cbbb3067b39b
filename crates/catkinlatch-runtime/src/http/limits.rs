//! Limits on the memory that messages from other processes take, derived from the host's memory.

/// Memory of a host whose settings have none, in bytes.
const DEFAULT_MEMORY: u64 = 2 << 30;

/// Share of the host's memory for all responses in flight, as a divisor.
const IN_FLIGHT_DIVISOR: u64 = 4;

/// Share of the host's memory for the body of one control call, as a divisor. Two configurations of
/// 11.5 MB at once, decoded, logged, sent again and passed to the other hosts, took 260 MB.
const CONTROL_BODY_DIVISOR: u64 = 32;

/// Limits on the memory of messages from other processes, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// All responses in flight together.
    pub in_flight: usize,
    /// The body of one response that is read whole.
    pub body: usize,
    /// One event of a stream.
    pub event: usize,
    /// The body of one control call.
    pub control_body: usize,
}

impl Limits {
    /// Largest body of a response on a host with ample memory.
    const MAX_BODY: u64 = 64 << 20;

    /// Largest event on a host with ample memory; engines send a few tokens in one event.
    const MAX_EVENT: u64 = 1 << 20;

    /// Largest body of a control call on a host with ample memory.
    const MAX_CONTROL_BODY: u64 = 48 << 20;

    /// Lower bound of each limit, so that small messages pass whatever the settings say.
    const MIN: u64 = 64 << 10;

    /// Derives the limits for a host with `memory_mb` megabytes, or with ample memory if `None`.
    ///
    /// One response may take half of what all may take together, so that a second one has room.
    pub fn new(memory_mb: Option<u64>) -> Self {
        let memory = memory_mb.map_or(DEFAULT_MEMORY, |mb| mb.saturating_mul(1_000_000));
        let in_flight = memory / IN_FLIGHT_DIVISOR;
        let limit = |bytes: u64, most: u64| bytes.clamp(Self::MIN, most) as usize;
        Self {
            in_flight: limit(in_flight, u64::MAX),
            body: limit(in_flight / 2, Self::MAX_BODY),
            event: limit(in_flight / 32, Self::MAX_EVENT),
            control_body: limit(memory / CONTROL_BODY_DIVISOR, Self::MAX_CONTROL_BODY),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self::new(None)
    }
}
