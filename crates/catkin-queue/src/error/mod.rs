//! Reasons for rejecting an entry.

use catkin_types::Code;
use std::time::Duration;

/// The reason why an entry was rejected, with the delay before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Rejected {
    /// The row's queue, or all queues together, are at their bound.
    #[display("the queue is full")]
    Full {
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
    /// The expected wait is longer than the row's bound.
    #[display("the expected wait is {} ms", expected.as_millis())]
    WaitTooLong {
        /// How long the entry would have waited.
        expected: Duration,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
}

impl Rejected {
    /// Returns the result code for the caller.
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Self::Full { .. } => Code::QUEUE_FULL,
            Self::WaitTooLong { .. } => Code::WAIT_TOO_LONG,
        }
    }

    /// Returns how long the caller should wait before it retries.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Full { retry_after } | Self::WaitTooLong { retry_after, .. } => *retry_after,
        }
    }
}
