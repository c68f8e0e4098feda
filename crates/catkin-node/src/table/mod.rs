//! The rows that the daemons keep in the table service.
//!
//! | table | part | key | value | written by |
//! | --- | --- | --- | --- | --- |
//! | `cell` | | `lead` | [`Lead`] | the owner, each [`crate::leadership::RENEW`]; whoever takes over |
//! | `shard` | `0`.. | `head` | [`Head`] | the owner, with every write of jobs of the part |
//! | `job` | `0`.. | job | [`catkin_cell::Job`] | the daemon that accepts or cancels it; the owner drops it |
//! | `progress` | `0`.. | job | [`Progress`] | the owner |
//! | `ended` | `0`.. | job | [`End`] | the owner |

pub mod client;

use catkin_cell::{Progress, State};
use catkin_platform::store::{Key, Row, Transaction};
use catkin_types::id::format_job;
use catkin_types::{DaemonId, Epoch, JobId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// Into how many parts jobs are divided. Each takes one transaction at a time.
pub const PART_COUNT: usize = 4;

/// The names of the parts.
const PART_NAMES: [&str; PART_COUNT] = ["0", "1", "2", "3"];

/// Who owns the cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The term.
    pub epoch: Epoch,
    /// The daemon.
    pub daemon: DaemonId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Where it takes calls; empty once it has let go.
    pub address: String,
    /// When it wrote this, in milliseconds on the table's clock.
    pub renewed_ms: u64,
}

/// Who may write the jobs of a part, and how often that was done in the term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The term.
    pub epoch: Epoch,
    /// The writes of the term so far.
    pub writes: u64,
}

/// The end of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// How it ended.
    pub state: State,
    /// When, in milliseconds on the table's clock.
    pub at_ms: u64,
}

/// The table of jobs.
pub const JOBS: &str = "job";
/// The table of their progress.
pub const PROGRESS: &str = "progress";
/// The table of their ends.
pub const ENDED: &str = "ended";

/// The part of a job.
#[must_use]
pub fn part_of(job: JobId) -> usize {
    usize::try_from(job % PART_COUNT as u64).unwrap_or(0)
}

/// The name of a part.
#[must_use]
pub fn part_name(part: usize) -> &'static str {
    PART_NAMES[part % PART_COUNT]
}

fn key(table: &'static str, part: &'static str, key: impl Into<String>) -> Key {
    Key { table: Cow::Borrowed(table), part: Cow::Borrowed(part), key: key.into() }
}

/// The row of who owns the cell.
#[must_use]
pub fn owner_key() -> Key {
    key("cell", "", "lead")
}

/// The row of a part.
#[must_use]
pub fn head_key(part: usize) -> Key {
    key("shard", part_name(part), "head")
}

/// A row of a job.
#[must_use]
pub fn job_key(table: &'static str, job: JobId) -> Key {
    key(table, part_name(part_of(job)), format_job(job))
}

/// What accepts a job, unless it was accepted before.
#[must_use]
pub fn accept_changes(id: JobId, job: &catkin_cell::Job) -> Changes {
    Changes {
        expect: vec![(job_key(JOBS, id), 0), (job_key(ENDED, id), 0)],
        put: vec![(job_key(JOBS, id), to_json(job))],
        remove: Vec::new(),
    }
}

/// The rows of jobs, of those that changed, that were accepted or cancelled after their part was read, each as it is
/// now. `read` has the version of each part.
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

/// The bytes of a row.
#[must_use]
pub fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_else(|e| {
        tracing::error!("table: a row can't be written: {e}");
        Vec::new()
    })
}

/// What a row holds, nothing if it can't be read.
#[must_use]
pub fn decode<T: DeserializeOwned>(row: &Row) -> Option<T> {
    let value = row.value.as_ref()?;
    serde_json::from_slice(value)
        .inspect_err(|e| tracing::error!("table: row {} can't be read: {e}", row.key))
        .ok()
}

/// The changes of a batch of writes of one part.
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
        preconditions: vec![(head_key(part), head_version)],
        put: vec![(head_key(part), to_json(&head))],
        remove: Vec::new(),
    };
    for w in writes {
        match w {
            Write::Progress(id, progress) => put_progress(&mut changes, *id, progress),
            Write::Ended(id, state) => {
                let end = End { state: *state, at_ms: now_ms };
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
