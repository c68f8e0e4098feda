//! Identifiers. They are aliases of plain types, except [`TaskId`], which has two parts.

use serde::de::{self, Deserialize, Deserializer, Visitor};
use serde::ser::{Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// The customer on whose account work runs.
pub type Borrower = String;
/// The name of a daemon, as set in its settings.
pub type DaemonId = String;
/// The number of an ownership term of a shard. It only increases.
pub type Epoch = u64;

/// Orders the calls to one worker: it does nothing for a token that is lower than the highest that it has seen.
pub type FencingToken = u64;
/// A random number that a worker draws when it starts, so that a restart is detected.
pub type Incarnation = u64;
/// The id of a job, a random number.
pub type JobId = u64;
/// The name of a region, given by the platform.
pub type Region = String;
/// The name of a row of weights and limits.
pub type RowName = String;
/// The id of a shard, of the form `zone/kind/number`.
pub type ShardId = String;
/// The name of a worker, given by the platform.
pub type WorkerId = String;
/// The name of an availability zone, given by the platform.
pub type Zone = String;

/// The id of a task. Its text form is `job-index`, with the job in hexadecimal and the index in decimal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The index of the task in the job.
    pub index: u32,
}

impl TaskId {
    /// Returns the id of the task `index` of `job`.
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

/// The text is not a task id of the form that [`TaskId`] describes.
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

/// Parses a job id of exactly 16 hexadecimal digits. Returns `None` for any other text.
#[must_use]
pub fn parse_job(s: &str) -> Option<JobId> {
    if s.len() != 16 {
        return None;
    }
    u64::from_str_radix(s, 16).ok()
}

/// Formats a job id as 16 hexadecimal digits.
#[must_use]
pub fn format_job(job: JobId) -> String {
    format!("{job:016x}")
}

// Every message to a worker contains task ids, so they are deserialized without a temporary string.
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
