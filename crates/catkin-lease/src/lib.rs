//! State machines for the leases of shards and workers. They take the time and messages, return messages and events,
//! and do no I/O.
//!
//! [`owner::Owner`] is the owner of a shard, [`worker::Worker`] the behaviour that is required of a worker, and
//! [`term::Term`] the durable row that names the owner of a shard.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod error;
pub mod message;
pub mod owner;
pub mod term;
pub mod worker;

use std::time::Duration;

/// Time bounds of the lease protocol. Owners and workers have to use the same values.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// The lease length: how long a worker runs tasks after the stamp that the last renewal carried.
    pub length: Duration,
    /// How long an owner may act without confirming that its row in the table is unchanged.
    pub autonomy: Duration,
    /// The bound on the difference between the rates of two clocks, in parts per million.
    pub drift_ppm: u32,
    /// The time between two lease renewals when there is nothing else to send.
    pub renew_interval: Duration,
    /// The time to the next poll of a worker on which tasks have just started or ended. It grows with each reply that
    /// reports no ended task, up to `renew_interval`.
    pub busy_interval: Duration,
    /// How long the owner waits for a reply before it treats the message as lost.
    pub reply_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(10),
            autonomy: Duration::from_mins(65),
            drift_ppm: 1_000,
            renew_interval: Duration::from_secs(3),
            busy_interval: Duration::from_millis(100),
            reply_timeout: Duration::from_secs(1),
        }
    }
}

impl Options {
    /// Returns `d` extended by twice the drift bound, rounded up: once it has passed on the fastest clock within the
    /// bound, `d` has passed on the slowest one.
    #[must_use]
    pub fn with_drift_margin(&self, d: Duration) -> Duration {
        let ppm = 2 * u64::from(self.drift_ppm);
        let nanos = d.as_nanos().saturating_mul(u128::from(ppm)).div_ceil(1_000_000);
        d.saturating_add(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
    }
}
