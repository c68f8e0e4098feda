//! What goes wrong at the platform, changed while it runs.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// How the table service and the object store fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// They don't.
    #[default]
    None,
    /// They refuse every request, without an effect.
    Refuse,
    /// They take a request and never answer, without an effect.
    Hang,
}

/// Faults that are in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The outage.
    pub outage: Outage,
    /// The time that every exchange takes, in milliseconds.
    pub latency_ms: u64,
    /// How many of the next transactions take effect and give no answer.
    pub lose_answers: u64,
    /// How far the host list lags, in milliseconds.
    pub hosts_lag_ms: u64,
    /// How many transactions a second are taken. 0 stands for no bound.
    pub writes_per_s: u64,
    /// How many reads a second are taken. 0 stands for no bound.
    pub reads_per_s: u64,
}

/// How many requests of one kind are left in the present second.
#[derive(Debug)]
pub(crate) struct Rate {
    since: Instant,
    used: u64,
}

const WINDOW: Duration = Duration::from_secs(1);

impl Rate {
    pub fn new() -> Self {
        Self { since: Instant::now(), used: 0 }
    }

    /// Takes one request, unless `bound` are used up.
    pub fn take(&mut self, bound: u64) -> bool {
        if self.since.elapsed() >= WINDOW {
            *self = Self::new();
        }
        self.used += 1;
        bound == 0 || self.used <= bound
    }
}
