//! One row of the table of weights and limits.

use crate::{Resources, RowName};
use serde::{Deserialize, Serialize};

/// The priority of a row's work when there is contention inside its share.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// The work can wait.
    #[default]
    #[display("low")]
    Low,
    /// The default of a row.
    #[display("normal")]
    Normal,
    /// A user waits for the result.
    #[display("urgent")]
    Urgent,
}

/// The weight and limits of one kind of work or of one borrower.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Row {
    /// Unique in the table.
    pub name: RowName,
    /// The customer on whose account the row's work runs.
    pub borrower: String,
    /// The service whose executors run the row's requests. Empty for a row of tasks.
    pub service: String,
    /// The weight in weighted max-min sharing. At least 1.
    pub weight: u32,
    /// The amount that the row gets before the rest is shared by weight.
    pub guaranteed: Resources,
    /// The most that the row may hold in the whole cell. Zero means no limit.
    pub limit: Resources,
    /// How many tasks or requests may run at the same time in the whole cell. Zero means no limit.
    pub max_running: u64,
    /// The priority inside the row's share.
    pub urgency: Urgency,
    /// How many tasks or requests may wait at one shard owner.
    pub queue_bound: u64,
    /// The longest wait in the queue, in milliseconds. Work with a longer expected wait is refused.
    pub max_wait_ms: u64,
    /// Whether the row's tasks may be preempted for rows that are below their share.
    pub preemptible: bool,
    /// Whether each request of the row runs at most once, identified by the caller's idempotency key.
    pub at_most_once: bool,
}

impl Default for Row {
    fn default() -> Self {
        Self {
            name: String::new(),
            borrower: String::new(),
            service: String::new(),
            weight: 1,
            guaranteed: Resources::default(),
            limit: Resources::default(),
            max_running: 0,
            urgency: Urgency::Normal,
            queue_bound: 1_000,
            max_wait_ms: 10_000,
            preemptible: true,
            at_most_once: false,
        }
    }
}
