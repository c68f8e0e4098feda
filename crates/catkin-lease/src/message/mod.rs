//! The messages between an owner and a worker.

use catkin_types::{Epoch, Incarnation, Resources, TaskId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The number of a message from an owner to a worker within a term. A worker takes each number once, in order.
pub type Seq = u64;

/// What an owner sends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Asks for the incarnation. Changes nothing.
    Hello {
        /// Names the answer.
        seq: Seq,
    },
    /// Raises the worker's epoch and asks for everything it runs. Extends no lease.
    Claim {
        /// The term.
        epoch: Epoch,
        /// The incarnation that is claimed.
        incarnation: Incarnation,
        /// Names the answer.
        seq: Seq,
    },
    /// Renews the lease; starts, stops and acknowledges tasks.
    Command(Command),
}

impl Request {
    /// The number that names the answer.
    #[must_use]
    pub fn seq(&self) -> Seq {
        match self {
            Self::Hello { seq } | Self::Claim { seq, .. } => *seq,
            Self::Command(c) => c.seq,
        }
    }
}

/// One message of an owner that has claimed the worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Command {
    /// The term.
    pub epoch: Epoch,
    /// The claimed incarnation.
    pub incarnation: Incarnation,
    /// Names the answer, and is refused unless it is higher than every earlier one.
    pub seq: Seq,
    /// The latest stamp that the owner had from this worker. The lease ends at this plus its length.
    #[serde(with = "millis")]
    pub stamp: Duration,
    /// Tasks to start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub starts: Vec<Start>,
    /// Tasks to stop.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<TaskId>,
    /// Ended tasks whose end is recorded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub acks: Vec<TaskId>,
    /// Whether the answer has to list every running task.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub list: bool,
}

/// A task to start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// The size that is set aside for it.
    pub size: Size,
    /// What to run.
    pub program: String,
}

/// A size as it travels: [`Resources`] with an order, so that messages can be kept in sorted sets.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(from = "Resources", into = "Resources")]
pub struct Size([u64; 3]);

impl From<Resources> for Size {
    fn from(r: Resources) -> Self {
        Self(r.as_array())
    }
}

impl From<Size> for Resources {
    fn from(r: Size) -> Self {
        Self::from_array(r.0)
    }
}

/// A task that a worker runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// The size that is set aside for it.
    pub size: Size,
}

/// How a task ended.
#[derive(
    Clone,
    Copy,
    Debug,
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
pub enum Ending {
    /// It succeeded.
    #[display("ok")]
    Ok,
    /// It failed.
    #[display("failed")]
    Failed,
    /// The owner stopped it.
    #[display("stopped")]
    Stopped,
    /// Its lease ended.
    #[display("lapsed")]
    Lapsed,
}

/// A task that ended and whose end the owner has not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ended {
    /// The task.
    pub task: TaskId,
    /// How it ended.
    pub ending: Ending,
}

/// What a worker answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The answer to [`Request::Hello`].
    Hello {
        /// The number of the request.
        seq: Seq,
        /// The worker's incarnation.
        incarnation: Incarnation,
    },
    /// The answer to a claim or a command that was taken.
    Report(Report),
    /// The request changed nothing.
    Refused {
        /// The number of the request.
        seq: Seq,
        /// Why.
        why: Refusal,
    },
}

impl Reply {
    /// The number of the request that it answers.
    #[must_use]
    pub fn seq(&self) -> Seq {
        match self {
            Self::Hello { seq, .. } | Self::Refused { seq, .. } => *seq,
            Self::Report(r) => r.seq,
        }
    }
}

/// The state of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Report {
    /// The number of the request.
    pub seq: Seq,
    /// The worker's own clock.
    #[serde(with = "millis")]
    pub stamp: Duration,
    /// What the worker can hold now.
    pub capacity: Size,
    /// What its tasks were seen to use, some time ago.
    pub used: Size,
    /// Every running task, if the request asked for the list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<Vec<Running>>,
    /// Ended tasks that are not acknowledged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<Ended>,
    /// Whether the worker wants no new work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// Why a worker refused a request.
#[derive(
    Clone,
    Copy,
    Debug,
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
pub enum Refusal {
    /// The worker has seen a higher epoch.
    #[display("the epoch is older than {_0}")]
    Epoch(Epoch),
    /// The worker restarted.
    #[display("the incarnation is {_0} now")]
    Incarnation(Incarnation),
    /// The number is not higher than an earlier one.
    #[display("the number was passed")]
    Seq,
    /// The cited stamp is so old that the lease would have ended.
    #[display("the stamp is too old")]
    Stamp,
}

/// Durations as whole milliseconds.
mod millis {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    pub fn serialize<S: Serializer>(d: &Duration, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_u64(u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
        u64::deserialize(d).map(Duration::from_millis)
    }
}
