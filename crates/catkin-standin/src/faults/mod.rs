//! Injected faults of the simulated platform. They can be changed while it runs.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// An outage of the table service and the object store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Every request is refused and has no effect.
    Refuse,
    /// Requests are accepted but not answered, and have no effect.
    Hang,
}

/// The faults that are active.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The current outage. [`Outage::None`] if absent.
    pub outage: Outage,
    /// Latency added to every request, in milliseconds.
    pub latency_ms: u64,
    /// The number of next transactions that take effect but are not answered in time. Counts down with each one.
    pub lose_answers: u64,
    /// The age of the host list that is returned, in milliseconds.
    pub hosts_lag_ms: u64,
    /// The number of write requests that are accepted per second. 0 means no limit.
    pub writes_per_s: u64,
    /// The number of read requests that are accepted per second. 0 means no limit.
    pub reads_per_s: u64,
}

/// A limit on the requests of one kind in a fixed window of one second.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    window_start: Instant,
    count: u64,
}

const RATE_WINDOW: Duration = Duration::from_secs(1);

impl RateLimiter {
    pub fn new() -> Self {
        Self { window_start: Instant::now(), count: 0 }
    }

    /// Counts one request. Returns whether it is within `limit` requests per window. 0 means no limit.
    pub fn try_acquire(&mut self, limit: u64) -> bool {
        if self.window_start.elapsed() >= RATE_WINDOW {
            *self = Self::new();
        }
        self.count += 1;
        limit == 0 || self.count <= limit
    }
}
