//! Why an entry was not let in.

use catkin_types::Code;
use std::time::Duration;

/// The reason, and when to come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Rejected {
    /// The queue is full.
    #[display("the queue is full")]
    Full {
        /// When to come again.
        retry_after: Duration,
    },
    /// The expected wait is longer than the row's bound.
    #[display("the expected wait is {} ms", expected.as_millis())]
    TooLong {
        /// The expected wait.
        expected: Duration,
        /// When to come again.
        retry_after: Duration,
    },
}

impl Rejected {
    /// The result code.
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Self::Full { .. } => Code::QUEUE_FULL,
            Self::TooLong { .. } => Code::WAIT_TOO_LONG,
        }
    }

    /// When to come again.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Full { retry_after } | Self::TooLong { retry_after, .. } => *retry_after,
        }
    }
}
