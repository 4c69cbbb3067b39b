//! Why a request is not admitted.

use derive_more::{Display, Error};
use std::time::Duration;

/// Says why a request was not admitted; it was not run.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Denial {
    /// The team started as many requests as it may.
    #[display("the team's limit of requests a minute is reached; retry in {} ms", retry_after.as_millis())]
    Requests {
        /// When the limit has room again.
        retry_after: Duration,
    },
    /// The team used as many tokens as it may.
    #[display("the team's limit of tokens a minute is reached; retry in {} ms", retry_after.as_millis())]
    Tokens {
        /// When the limit has room again.
        retry_after: Duration,
    },
    /// The team has as many requests waiting as a node keeps.
    #[display("the team's queue is full; retry in {} ms", retry_after.as_millis())]
    QueueFull {
        /// When the queue is expected to have moved on.
        retry_after: Duration,
    },
    /// The deadline cannot be met.
    #[display("the deadline cannot be met; retry in {} ms", retry_after.as_millis())]
    TooLate {
        /// When the queue is expected to have moved on.
        retry_after: Duration,
    },
}

impl Denial {
    /// Returns when a retry is worthwhile.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Requests { retry_after }
            | Self::Tokens { retry_after }
            | Self::QueueFull { retry_after }
            | Self::TooLate { retry_after } => *retry_after,
        }
    }
}
