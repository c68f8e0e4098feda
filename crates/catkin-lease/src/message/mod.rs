//! Messages between an owner and a worker.

use catkin_types::{Epoch, Incarnation, Resources, TaskId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The sequence number of a message from an owner to a worker. Within a term a worker accepts rising numbers only.
pub type Seq = u64;

/// A message from an owner to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Asks for the worker's incarnation and changes nothing.
    Hello {
        /// Repeated in the reply.
        seq: Seq,
    },
    /// Raises the worker's epoch and asks for the list of its running tasks. Does not extend the lease.
    Claim {
        /// The owner's term.
        epoch: Epoch,
        /// The incarnation to claim. A worker with another one refuses.
        incarnation: Incarnation,
        /// Repeated in the reply.
        seq: Seq,
    },
    /// Renews the lease; starts and stops tasks; acknowledges ended tasks.
    Command(Command),
}

impl Request {
    /// The sequence number that the reply repeats.
    #[must_use]
    pub fn seq(&self) -> Seq {
        match self {
            Self::Hello { seq } | Self::Claim { seq, .. } => *seq,
            Self::Command(c) => c.seq,
        }
    }
}

/// A request of an owner that has claimed the worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Command {
    /// The owner's term.
    pub epoch: Epoch,
    /// The claimed incarnation.
    pub incarnation: Incarnation,
    /// Repeated in the reply. The worker refuses a number that is not higher than all earlier ones of the term.
    pub seq: Seq,
    /// The latest [`Report::stamp`] that the owner received from this worker. The lease ends one lease length after it.
    #[serde(with = "millis")]
    pub stamp: Duration,
    /// The tasks to start. One that does not fit is left out, and the reply lists the running tasks then.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub starts: Vec<Start>,
    /// The tasks to stop. Tasks that do not run are ignored.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<TaskId>,
    /// Ended tasks that the worker need not report again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub acks: Vec<TaskId>,
    /// Whether the reply has to list every running task.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub list: bool,
}

/// A task to start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Start {
    /// Also identifies the task in stops, acknowledgements and reports.
    pub task: TaskId,
    /// The resources to reserve on the worker.
    pub size: Size,
    /// What to run. The lease protocol does not interpret it.
    pub program: String,
}

/// [`Resources`] in messages, with a total order so that messages can be sorted.
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
    /// As in [`Start::task`].
    pub task: TaskId,
    /// The resources that are reserved on the worker.
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
    /// The program succeeded.
    #[display("ok")]
    Ok,
    /// The program failed.
    #[display("failed")]
    Failed,
    /// The owner stopped the task.
    #[display("stopped")]
    Stopped,
    /// The lease expired, and the worker stopped the task.
    #[display("lapsed")]
    Lapsed,
}

/// An ended task whose end the owner has not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ended {
    /// As in [`Start::task`].
    pub task: TaskId,
    /// How the task ended.
    pub ending: Ending,
}

/// A message from a worker to its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The reply to [`Request::Hello`].
    Hello {
        /// The number of the request.
        seq: Seq,
        /// Changes with each restart of the worker.
        incarnation: Incarnation,
    },
    /// The reply to an accepted claim or command.
    Report(Report),
    /// The worker refused the request and changed nothing.
    Refused {
        /// The number of the request.
        seq: Seq,
        /// The reason, with the worker's own value where one was compared.
        why: Refusal,
    },
}

impl Reply {
    /// The number of the request that this reply answers.
    #[must_use]
    pub fn seq(&self) -> Seq {
        match self {
            Self::Hello { seq, .. } | Self::Refused { seq, .. } => *seq,
            Self::Report(r) => r.seq,
        }
    }
}

/// The state of a worker, sent in reply to a claim or a command.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Report {
    /// The number of the request.
    pub seq: Seq,
    /// The worker's own clock when it sent the report. The owner returns it in [`Command::stamp`].
    #[serde(with = "millis")]
    pub stamp: Duration,
    /// The total resources of the worker at present.
    pub capacity: Size,
    /// The resources that its tasks used when they were last measured.
    pub used: Size,
    /// Every running task. Present after a claim, after a command with [`Command::list`], and if a start did not fit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<Vec<Running>>,
    /// Ended tasks that the owner has not acknowledged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<Ended>,
    /// Whether the worker is shutting down and must not get new tasks.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// The reason why a worker refused a request.
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
    /// The epoch of a claim is lower than the worker's, or that of a command differs from it. Carries the worker's
    /// epoch.
    #[display("the epoch of the worker is {_0}")]
    Epoch(Epoch),
    /// The request names another incarnation: the worker restarted. Carries the current one.
    #[display("the incarnation is {_0} now")]
    Incarnation(Incarnation),
    /// The sequence number is not higher than the last one that was accepted.
    #[display("the sequence number is not higher than an earlier one")]
    Seq,
    /// A lease that starts at the stamp in the request would already be over.
    #[display("the stamp is older than the lease length")]
    Stamp,
}

/// Serializes durations as whole milliseconds.
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
