//! What a job keeps of the settings of its queue.

use super::{AdviceSettings, Queue};
use crate::worker::millis;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The settings of a job's queue when the job was accepted. They hold for a job whose queue is no longer configured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// As [`Queue::max_attempts`].
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// As [`Queue::priority`].
    pub priority: u32,
    /// As [`Queue::advice`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdvicePolicy>,
}

/// As [`AdviceSettings`], in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AdvicePolicy {
    /// The fixed time of one call, in milliseconds.
    pub call_ms: u64,
    /// The additional time for each worker, in milliseconds.
    pub worker_ms: f64,
    /// How long a ticket is valid, in milliseconds.
    pub ticket_ms: u64,
}

/// The policy of a job that was accepted by an earlier version, which stored none: the strictest one.
const UNKNOWN: Policy = Policy { max_attempts: 1, priority: 1, advice: None };

impl Policy {
    /// Returns what a job keeps of the settings of its queue.
    #[must_use]
    pub fn of(queue: &Queue) -> Self {
        let advice = queue.advice.map(|a| AdvicePolicy {
            call_ms: millis(a.per_call),
            worker_ms: a.per_worker.as_secs_f64() * 1_000.0,
            ticket_ms: millis(a.ticket_lifetime),
        });
        Self { max_attempts: queue.max_attempts, priority: queue.priority, advice }
    }
}

impl Queue {
    /// Returns the settings for jobs of a queue that is not configured, with the service and the policy of one of them.
    #[must_use]
    pub fn unconfigured(service: &str, policy: Option<Policy>) -> Self {
        let policy = policy.unwrap_or(UNKNOWN);
        let advice = policy.advice.map(|a| AdviceSettings {
            per_call: Duration::from_millis(a.call_ms),
            per_worker: Duration::try_from_secs_f64(a.worker_ms / 1_000.0).unwrap_or_default(),
            ticket_lifetime: Duration::from_millis(a.ticket_ms),
        });
        Self {
            service: service.to_owned(),
            priority: policy.priority,
            max_attempts: policy.max_attempts,
            advice,
            ..Self::default()
        }
    }
}
