//! The rows that the daemons store in the platform's table.
//!
//! | key | value | writer |
//! | --- | --- | --- |
//! | `shard/REGION/ZONE/KIND/N` | [`Shard`] | the owner, or its successor, by compare-and-set |
//! | `hosts/REGION/ZONE/KIND/N` | list of [`Member`] | the owner |
//! | `job/ID` | [`Job`] | the gate that accepts it |
//! | `key/BORROWER/KEY` | [`IdempotencyKey`] | the gate that accepts it |
//! | `chunk/SHARD/ID/N` | [`Chunk`] | the gate at first, then the shard's owner |
//! | `ended/ID/N` | [`Chunk`] | the shard's owner |
//! | `cancel/SHARD/ID` | empty | the gate; removed by the owner |
//! | `intent/BORROWER/ROW/KEY` | [`Intent`] | the gate |
//! | `limits/version` | the version of `limits/current` | the gate that accepts a change, in the same transaction |
//! | `limits/current` | the table of weights and limits | the gate that accepts a change |
//! | `quota/ROW` | [`catkin_share::grant::Divider`] | the daemon that divides the limit, by compare-and-set |
//! | `quota-ack/SHARD` | [`Acks`] | the shard's owner |
//! | `audit/DAY/TIME-N` | [`Audit`] | the gate that makes the change, in the same transaction |

mod bits;

pub use bits::BitSet;

use catkin_lease::term::Term;
use catkin_limits::edit::Change;
use catkin_store::hosts::{Host, Kind};
use catkin_types::{JobId, Region, Resources, RowName, ShardId, TaskId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The key of the table of weights and limits.
pub const LIMITS_KEY: &str = "limits/current";
/// The key of that table's version alone, which is written in the same transaction and polled by every daemon.
pub const LIMITS_VERSION_KEY: &str = "limits/version";

/// A shard and its ownership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The owner's term.
    #[serde(flatten)]
    pub term: Term,
    /// The region of its hosts.
    pub region: Region,
    /// Whether its hosts are workers or executors.
    pub kind: Kind,
    /// The service that its executors run. Empty for workers.
    pub service: String,
}

/// A host of a shard, an element of the row `hosts/SHARD`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host as the platform's list has it.
    #[serde(flatten)]
    pub host: Host,
    /// Whether the host is known to run no task of this shard: an owner saw its lease expire, and no task was started
    /// there since. A new owner need not wait for it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub vacant: bool,
}

/// Returns the id of a shard: `REGION/ZONE/KIND/N`, where KIND is `workers` or the name of the service.
#[must_use]
pub fn shard_id(region: &str, zone: &str, kind: Kind, service: &str, n: usize) -> ShardId {
    let kind = match kind {
        Kind::Worker => "workers",
        Kind::Executor => service,
    };
    format!("{region}/{zone}/{kind}/{n}")
}

/// Returns the zone in the id of a shard.
#[must_use]
pub fn zone_of(shard: &str) -> &str {
    shard.split('/').nth(1).unwrap_or_default()
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The job's id, as 16 hexadecimal digits.
    pub id: String,
    /// The row of weights and limits that the job is charged to.
    pub row: RowName,
    /// The borrower of the row at the time when the job was accepted.
    pub borrower: String,
    /// The number of tasks.
    pub tasks: u32,
    /// The resources of each task.
    pub size: Resources,
    /// The program that each task runs.
    pub program: String,
    /// Whether the tasks are a gang: all of them start together or none does.
    pub gang: bool,
    /// The parts of the job, in order of their tasks.
    pub chunks: Vec<Part>,
    /// Whether cancellation was requested.
    pub cancelled: bool,
}

/// A range of a job's tasks and the shard that runs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The shard that runs the tasks.
    pub shard: ShardId,
    /// The index of the first task.
    pub from: u32,
    /// The index after the last task.
    pub to: u32,
}

/// The job that was accepted under a caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The job's id, as 16 hexadecimal digits.
    pub job: String,
    /// The SHA-256 digest of the request, to detect a different request under the same key.
    pub digest: String,
}

/// A part of a job: the unit in which a shard's work is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The job's id, as 16 hexadecimal digits.
    pub job: String,
    /// The row of weights and limits that the job is charged to.
    pub row: RowName,
    /// The epoch of the shard's term in which the chunk was accepted. Owners of earlier terms never saw it.
    pub epoch: u64,
    /// The index of the first task.
    pub from: u32,
    /// The index after the last task.
    pub to: u32,
    /// The resources of each task.
    pub size: Resources,
    /// The program that each task runs.
    pub program: String,
    /// Whether the tasks are a gang: all of them start together or none does.
    pub gang: bool,
    /// The tasks that ended, successfully or not, as indices within the chunk.
    pub ended: BitSet,
    /// The tasks that failed and are not retried, as indices within the chunk.
    pub failed: BitSet,
    /// Whether the tasks that had not ended were cancelled.
    pub cancelled: bool,
    /// Why tasks failed. Empty if none did.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
}

impl Chunk {
    /// Returns the job's id as a number.
    #[must_use]
    pub fn job_id(&self) -> JobId {
        catkin_types::id::parse_job(&self.job).unwrap_or_default()
    }

    /// Returns the tasks that have not ended.
    pub fn open_tasks(&self) -> impl Iterator<Item = TaskId> + '_ {
        let job = self.job_id();
        let index = (self.from..self.to).filter(|i| !self.ended.contains(i - self.from));
        index.map(move |i| TaskId::new(job, i))
    }

    /// Returns the number of tasks, ended or not.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.to - self.from
    }

    /// Returns whether the range of tasks is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.to == self.from
    }

    /// Returns whether no task is left to run.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.cancelled || self.ended.count() == self.len()
    }

    /// Returns the key of the row that holds the chunk until it is complete.
    #[must_use]
    pub fn key(&self, shard: &str) -> String {
        format!("chunk/{shard}/{}/{}", self.job, self.from)
    }

    /// Returns the key of the row that holds the chunk once it is complete.
    #[must_use]
    pub fn ended_key(&self) -> String {
        format!("ended/{}/{}", self.job, self.from)
    }
}

/// The record of an at-most-once request, written before the request is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The id of the daemon that sends the request.
    pub daemon: String,
    /// A random id of this attempt.
    pub nonce: String,
    /// The SHA-256 digest of the request's body.
    pub digest: String,
    /// The target's response. `None` until it is recorded.
    pub result: Option<RecordedAnswer>,
}

/// The recorded response to an at-most-once request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type` header. Empty if there was none.
    pub content_type: String,
    /// The body, if it is short and valid UTF-8.
    pub text: Option<String>,
    /// The name of the object that holds the body otherwise.
    pub object: Option<String>,
}

/// A shard owner's acknowledgements of its shares of limits, by row.
pub type Acks = BTreeMap<RowName, Ack>;

/// A shard owner's acknowledgement of its share of one limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    /// The sequence number of the newest grant whose share covers the shard's use.
    pub seq: u64,
    /// The fraction of the whole limit that the shard's running and waiting work would use.
    pub want: f64,
}

/// An entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    /// The name of the operator's or caller's token.
    pub by: String,
    /// The time of the action, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The action, such as `limits edit` or `cancel`.
    pub action: String,
    /// The version of the table of weights and limits before an edit. 0 for other actions.
    pub from_version: u64,
    /// The version of the table after an edit. 0 for other actions.
    pub to_version: u64,
    /// The edited rows before the edit. The row of a change is `None` if it did not exist.
    pub old: Vec<Change>,
    /// The edited rows after the edit. The row of a change is `None` if it was removed.
    pub new: Vec<Change>,
    /// The object of an action other than an edit, such as a job id.
    #[serde(default)]
    pub subject: String,
}

const MS_PER_DAY: u64 = 86_400_000;

impl Audit {
    /// Returns a unique key for the entry. It begins with the number of days since the Unix epoch, so that the entries
    /// of a single day can be read by prefix.
    #[must_use]
    pub fn key(&self) -> String {
        let nonce = uuid::Uuid::new_v4().simple().to_string();
        format!("audit/{:06}/{:015}-{}", self.at_ms / MS_PER_DAY, self.at_ms, &nonce[..8])
    }
}

/// Returns the wall clock time, in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_clock_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Serializes a row's value.
#[must_use]
pub fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Deserializes a row's value. If that fails, logs the error and returns `None`.
pub fn from_json<T: for<'de> Deserialize<'de>>(row: &catkin_store::Row) -> Option<T> {
    match serde_json::from_str(&row.value) {
        Ok(value) => Some(value),
        Err(e) => {
            tracing::error!("rows: cannot parse {}, ignoring the row: {e}", row.key);
            None
        }
    }
}
