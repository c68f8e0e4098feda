//! Leases of shards and workers as pure state machines: time and messages in, messages and events out.
//!
//! [`owner::Owner`] is the owner of a shard, [`worker::Worker`] the contract that a worker keeps, and
//! [`term::Term`] the durable row that says who owns a shard. None of them does any I/O.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod error;
pub mod message;
pub mod owner;
pub mod term;
pub mod worker;

use std::time::Duration;

/// The durations that owner and worker agree on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// How long a worker runs tasks after the stamp that the last renewal cited.
    pub length: Duration,
    /// How long an owner acts without a confirmation of its row.
    pub autonomy: Duration,
    /// The bound on the rate difference of two clocks, in parts per million.
    pub drift_ppm: u32,
    /// How often a worker's lease is renewed when there is nothing else to send.
    pub renew_interval: Duration,
    /// How soon a worker is asked again after tasks started or ended there. The time grows with each answer that brings
    /// nothing new, up to `renew_every`.
    pub busy_interval: Duration,
    /// How long an answer is awaited before the message counts as lost.
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
    /// `d` as the slowest clock within the drift bound measures it, seen from the fastest one.
    #[must_use]
    pub fn with_drift_margin(&self, d: Duration) -> Duration {
        let ppm = 2 * u64::from(self.drift_ppm);
        let nanos = d.as_nanos().saturating_mul(u128::from(ppm)).div_ceil(1_000_000);
        d.saturating_add(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
    }
}
