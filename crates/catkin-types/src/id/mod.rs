//! Identifiers. Plain aliases, except for tasks, which have two parts.

use serde::de::{self, Deserialize, Deserializer, Visitor};
use serde::ser::{Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// The customer on whose account work runs.
pub type Borrower = String;
/// A daemon, named by its settings.
pub type DaemonId = String;
/// The number of an ownership term of a shard. It only grows.
pub type Epoch = u64;
/// A number that a worker draws when it starts, so that a restart is seen.
pub type Incarnation = u64;
/// A job, a random number.
pub type JobId = u64;
/// A region, named by the platform.
pub type Region = String;
/// The name of a row of weights and limits.
pub type RowName = String;
/// A shard, `zone/kind/number`.
pub type ShardId = String;
/// A worker, named by the platform.
pub type WorkerId = String;
/// An availability zone, named by the platform.
pub type Zone = String;

/// A task: the job and the index of the task in it. Written as `job-index` in hexadecimal and decimal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The index in the job.
    pub index: u32,
}

impl TaskId {
    /// The task `index` of `job`.
    #[must_use]
    pub fn new(job: JobId, index: u32) -> Self {
        Self { job, index }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.job, self.index)
    }
}

/// The text is not a task id.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("not a task id")]
pub struct ParseTaskIdError;

impl FromStr for TaskId {
    type Err = ParseTaskIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (job, index) = s.split_once('-').ok_or(ParseTaskIdError)?;
        let job = parse_job(job).ok_or(ParseTaskIdError)?;
        let index = index.parse().map_err(|_| ParseTaskIdError)?;
        Ok(Self { job, index })
    }
}

/// Reads a job id from its 16 hexadecimal digits.
#[must_use]
pub fn parse_job(s: &str) -> Option<JobId> {
    if s.len() != 16 {
        return None;
    }
    u64::from_str_radix(s, 16).ok()
}

/// Writes a job id as 16 hexadecimal digits.
#[must_use]
pub fn format_job(job: JobId) -> String {
    format!("{job:016x}")
}

// Task ids are in every message to a worker: they are read without a temporary string.
struct TaskIdVisitor;

impl Visitor<'_> for TaskIdVisitor {
    type Value = TaskId;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a task id, 16 hexadecimal digits, a dash, a number")
    }

    fn visit_str<E: de::Error>(self, s: &str) -> Result<TaskId, E> {
        s.parse().map_err(E::custom)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_str(TaskIdVisitor)
    }
}

impl Serialize for TaskId {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}
