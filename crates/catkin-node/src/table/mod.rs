//! The rows that the daemons store in the table service.
//!
//! | table | part | key | value | written by |
//! | --- | --- | --- | --- | --- |
//! | `cell` | | `lead` | [`OwnerRecord`] | the owner, each [`crate::leadership::renewal::RENEW_INTERVAL`]; its successor |
//! | `shard` | `0`.. | `head` | [`Head`] | the owner, in every transaction on jobs of the part |
//! | `job` | `0`.. | job | [`catkin_cell::Job`] | the daemon that accepts or cancels it; the owner removes it |
//! | `progress` | `0`.. | job | [`Progress`] | the owner |
//! | `ended` | `0`.. | job | [`End`] | the owner; the daemon that cancels a job that is not accepted |

pub mod availability;
pub mod client;
pub mod clock;
pub mod jobs;
pub mod latency;
pub mod record;

use crate::leadership::term::AUTONOMY_LIMIT;
use catkin_cell::worker::millis;
use catkin_cell::{Progress, State};
use catkin_platform::store::{Key, MAX_VALUE_BYTES, Row, Transaction};
use catkin_types::id::format_job;
use catkin_types::{DaemonId, Epoch, JobId, WorkerId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// The number of parts into which jobs are divided by their identifiers. Each part takes one transaction at a time.
pub const PART_COUNT: usize = 4;

/// The names of the parts in the table service.
const PART_NAMES: [&str; PART_COUNT] = ["0", "1", "2", "3"];

/// The record of the owner of the cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The term of the owner; it grows with each takeover.
    pub epoch: Epoch,
    /// The daemon that owns the cell in this term.
    pub daemon: DaemonId,
    /// The number that the owner's process drew at its start.
    pub incarnation: u64,
    /// Where the owner takes calls of other daemons; empty after it released the cell.
    pub address: String,
    /// When the owner last renewed the record, in milliseconds on the table's clock.
    pub renewed_ms: u64,
    /// Where the daemons take calls that the owner has heard of lately.
    #[serde(default)]
    pub peers: Vec<String>,
    /// How long after the record was written owners of earlier terms may still act, in milliseconds.
    #[serde(default = "full_autonomy_ms")]
    pub earlier_owners_ms: u64,
    /// How long after the record was written tasks may still run on workers that do not answer, in milliseconds. The owner
    /// uses none of these workers before it has written a record without it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub silent_workers_ms: BTreeMap<WorkerId, u64>,
}

/// Returns how long earlier owners may act at most, for a record that does not tell.
fn full_autonomy_ms() -> u64 {
    millis(AUTONOMY_LIMIT)
}

/// The fencing row of a part: the term that may write its jobs, and the number of writes in this term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The only term whose owner may write the part.
    pub epoch: Epoch,
    /// The number of transactions on the part in this term so far.
    pub writes: u64,
}

/// The record of a job that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The final state of the job.
    pub state: State,
    /// When the end was written, in milliseconds on the table's clock.
    pub at_ms: u64,
    /// Whether the job was cancelled before it was accepted: it never existed for clients.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub withdrawn: bool,
}

/// The table of jobs that have not ended.
pub const JOBS: &str = "job";
/// The table of the progress of these jobs.
pub const PROGRESS: &str = "progress";
/// The table of jobs that have ended.
pub const ENDED: &str = "ended";

/// The largest row of a job when it is accepted, in bytes. Its cancellation makes it longer.
const MAX_JOB_BYTES: usize = MAX_VALUE_BYTES - 100;

/// Returns whether the row of a job fits the table service, also after the job's cancellation.
#[must_use]
pub fn fits_row(job: &catkin_cell::Job) -> bool {
    to_json(job).len() <= MAX_JOB_BYTES
}

/// Returns the index of the part that holds a job.
#[must_use]
pub fn part_of(job: JobId) -> usize {
    usize::try_from(job % PART_COUNT as u64).unwrap_or(0)
}

/// Returns the name of a part in the table service.
#[must_use]
pub fn part_name(part: usize) -> &'static str {
    PART_NAMES[part % PART_COUNT]
}

fn key(table: &'static str, part: &'static str, key: impl Into<String>) -> Key {
    Key { table: Cow::Borrowed(table), part: Cow::Borrowed(part), key: key.into() }
}

/// Returns the key of the [`OwnerRecord`] row.
#[must_use]
pub fn owner_key() -> Key {
    key("cell", "", "lead")
}

/// Returns the key of the [`Head`] row of a part.
#[must_use]
pub fn head_key(part: usize) -> Key {
    key("shard", part_name(part), "head")
}

/// Returns the key of a job's row in `table`.
#[must_use]
pub fn job_key(table: &'static str, job: JobId) -> Key {
    key(table, part_name(part_of(job)), format_job(job))
}

/// Returns the changes that accept a job, on the condition that it has not been accepted before.
#[must_use]
pub fn accept_changes(id: JobId, job: &catkin_cell::Job) -> Transaction {
    Transaction {
        expected_versions: vec![(job_key(JOBS, id), 0), (job_key(ENDED, id), 0)],
        put: vec![(job_key(JOBS, id), to_json(job))],
        remove: Vec::new(),
    }
}

/// Filters changed rows of jobs: returns the newest row of each job that was accepted or cancelled after its part was
/// read and still exists. `read_versions` holds the version at which each part was read.
#[must_use]
pub fn accepted_since(rows: Vec<Row>, read_versions: &[u64]) -> Vec<Row> {
    let mut newest: BTreeMap<String, Row> = BTreeMap::new();
    for row in rows {
        let part = PART_NAMES.iter().position(|name| *name == row.part);
        let already_read =
            part.and_then(|p| read_versions.get(p)).is_some_and(|read| row.version <= *read);
        if !already_read {
            newest.insert(row.key.clone(), row);
        }
    }
    newest.into_values().filter(|r| r.value.is_some()).collect()
}

/// Encodes the value of a row as JSON.
#[must_use]
pub fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_else(|e| {
        tracing::error!("table: encoding a row failed: {e}");
        Vec::new()
    })
}

/// Decodes a value.
fn read<T: DeserializeOwned>(value: &[u8]) -> serde_json::Result<T> {
    serde_json::from_slice(value)
}

/// Decodes the value of a row. Returns `None` if the row has no value or can't be decoded.
#[must_use]
pub fn decode<T: DeserializeOwned>(row: &Row) -> Option<T> {
    read(row.value.as_ref()?)
        .inspect_err(|e| tracing::error!("table: decoding row {} failed: {e}", row.key))
        .ok()
}

/// Returns whether the row is the end of a job that was cancelled before it was accepted.
#[must_use]
pub fn is_withdrawn(row: &Row) -> bool {
    let value = row.value.as_deref().unwrap_or_default();
    // Other rows are no ends, and not wrong.
    read::<End>(value).is_ok_and(|end| end.withdrawn)
}

/// Returns the changes of a batch of writes of one part, on the condition that its [`Head`] row still has the version
/// `head_version`.
#[must_use]
pub fn batch_changes(
    part: usize,
    head_version: u64,
    head: Head,
    writes: &[catkin_cell::Write],
    now_ms: u64,
) -> Transaction {
    use catkin_cell::Write;
    let mut changes = Transaction {
        expected_versions: vec![(head_key(part), head_version)],
        put: vec![(head_key(part), to_json(&head))],
        remove: Vec::new(),
    };
    for w in writes {
        match w {
            Write::Progress(id, progress) => put_progress(&mut changes, *id, progress),
            Write::Ended(id, state) => {
                let end = End { state: *state, at_ms: now_ms, withdrawn: false };
                changes.put.push((job_key(ENDED, *id), to_json(&end)));
                changes.remove.push(job_key(JOBS, *id));
                changes.remove.push(job_key(PROGRESS, *id));
            }
        }
    }
    changes
}

fn put_progress(changes: &mut Transaction, id: JobId, progress: &Progress) {
    changes.put.push((job_key(PROGRESS, id), to_json(progress)));
}
