//! Bounds on what callers may send.

use catkinlatch_base::derive_value;

derive_value! {
    /// Bounds on what callers may send.
    pub struct Limits {
        /// The most bytes of a request's head.
        pub header_bytes: usize,
        /// The most bytes of a request's body.
        pub body_bytes: usize,
        /// How long a head may take to arrive, in milliseconds.
        pub header_timeout_ms: u64,
        /// How long a connection may stay idle, in milliseconds.
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
