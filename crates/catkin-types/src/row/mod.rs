//! A row of the table of weights and limits.

use crate::{Resources, RowName};
use serde::{Deserialize, Serialize};

/// How soon work of a row has to start when there is contention inside its share.
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
    /// May wait.
    #[default]
    #[display("low")]
    Low,
    /// Ordinary.
    #[display("normal")]
    Normal,
    /// Somebody waits for it.
    #[display("urgent")]
    Urgent,
}

/// Weight and limits of one kind of work or one borrower.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Row {
    /// The name; unique in the table.
    pub name: RowName,
    /// The borrower on whose account the row's work runs.
    pub borrower: String,
    /// The service whose executors take the row's requests. Empty for rows of tasks.
    pub service: String,
    /// The weight in weighted max-min sharing. At least 1.
    pub weight: u32,
    /// What the row gets before any sharing.
    pub guaranteed: Resources,
    /// What the row may hold at most, in the whole cell. Zero stands for no limit.
    pub limit: Resources,
    /// How many tasks or requests may run at once, in the whole cell. Zero stands for no limit.
    pub max_running: u64,
    /// The urgency.
    pub urgency: Urgency,
    /// How many tasks or requests may wait at one owner.
    pub queue_bound: u64,
    /// The longest wait, in milliseconds, that is worth queueing for.
    pub max_wait_ms: u64,
    /// Whether the row's tasks may be stopped for others that are owed more.
    pub preemptible: bool,
    /// Whether requests of the row run at most once, under the caller's key.
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
