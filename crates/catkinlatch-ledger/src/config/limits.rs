//! Limits on the size and duration of requests.

use catkinlatch_base::derive_value;

derive_value! {
    /// Limits on the size and duration of requests.
    pub struct Limits {
        /// The maximum size of a request's head, in bytes.
        pub header_bytes: usize,
        /// The maximum size of a request's body, in bytes.
        pub body_bytes: usize,
        /// The timeout for receiving a request's head, in milliseconds.
        pub header_timeout_ms: u64,
        /// The time after which an idle connection is closed, in milliseconds.
        pub idle_timeout_ms: u64,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 32 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
