//! Reasons for which a request is refused.

use derive_more::{Display, Error};
use std::time::Duration;

/// The reason for which a request was refused. The request was not run.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Denial {
    /// The team reached its limit of requests per minute.
    #[display("the team's limit of requests a minute is reached; retry in {} ms", retry_after.as_millis())]
    Requests {
        /// Time until the limit allows the request.
        retry_after: Duration,
    },
    /// The team reached its limit of tokens per minute.
    #[display("the team's limit of tokens a minute is reached; retry in {} ms", retry_after.as_millis())]
    Tokens {
        /// Time until the limit allows the request.
        retry_after: Duration,
    },
    /// The team has the maximum number of requests waiting on this node.
    #[display("the team's queue is full; retry in {} ms", retry_after.as_millis())]
    QueueFull {
        /// Expected time until the queue has advanced.
        retry_after: Duration,
    },
    /// The request cannot be answered before its deadline.
    #[display("the deadline cannot be met; retry in {} ms", retry_after.as_millis())]
    TooLate {
        /// Expected time until the queue has advanced.
        retry_after: Duration,
    },
}

impl Denial {
    /// Returns how long the caller should wait before a retry.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Requests { retry_after }
            | Self::Tokens { retry_after }
            | Self::QueueFull { retry_after }
            | Self::TooLate { retry_after } => *retry_after,
        }
    }
}
