//! The messages between daemons as plain types.

mod decode;
mod encode;

use catkin_types::{DaemonId, Epoch, JobId, Resources, RowName, ShardId, WorkerId};
use std::time::Duration;

/// A call of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Tells and asks how a daemon is.
    Beat(Beat),
    /// Brings a version of the table of weights and limits, as JSON.
    PushLimits(Vec<u8>),
    /// Asks for a version newer than this.
    PullLimits(u64),
    /// Asks the owner of an executor shard for a slot.
    Acquire(Acquire),
    /// Gives a slot back.
    Release(Release),
    /// Tells the owner of a shard that a job was accepted for it.
    Offer {
        /// The shard.
        shard: ShardId,
        /// The job.
        job: JobId,
    },
    /// Tells the owner of a shard that jobs were cancelled.
    Cancel {
        /// The shard.
        shard: ShardId,
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// Asks where the tasks of a job are.
    JobStatus(JobId),
    /// Asks why a job waits.
    Explain(JobId),
    /// Asks for the workers of a shard.
    Workers(ShardId),
    /// Tells that shards changed owners, so that they are read at once.
    Look,
    /// Asks how many jobs of a queue wait for their first start.
    Waiting(String),
    /// Has the adviser asked about a step of a job.
    Advise(Advise),
    /// Has a job stored for a daemon that the table refuses.
    Store {
        /// The job.
        job: JobId,
        /// The job as it is to be stored.
        body: Vec<u8>,
    },
    /// Has it made durable that a job is cancelled.
    Withdraw(JobId),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// How the daemon is.
    Beat(Beat),
    /// The version of the table that the daemon has now.
    Version(u64),
    /// The table, or nothing if the caller's is as new.
    Limits(Vec<u8>),
    /// A slot.
    Permit(Permit),
    /// Taken.
    Done,
    /// Declined.
    Refused(Refused),
    /// JSON for an operator or a caller.
    Text(Vec<u8>),
    /// A number.
    Count(u64),
    /// The workers that may run a step, with their tickets.
    Advice(Vec<(WorkerId, String)>),
}

/// A question to the adviser.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Advise {
    /// The job.
    pub job: JobId,
    /// Which time the job runs.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The workers in question.
    pub workers: Vec<WorkerId>,
    /// How long the answer is waited for.
    pub wait: Duration,
}

/// How a daemon is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Beat {
    /// Its name.
    pub daemon: DaemonId,
    /// A number that it drew when it started.
    pub incarnation: u64,
    /// The version of its table of weights and limits.
    pub limits_version: u64,
    /// Whether it is stopping.
    pub draining: bool,
    /// The shards that it owns.
    pub shards: Vec<Aggregate>,
    /// Where it takes calls, if it has to be told.
    pub address: String,
    /// The term in which it owns the cell, 0 if it does not.
    pub leads: Epoch,
    /// The processors that it has for owning the cell, in thousandths of a core; 0 if it can't write now.
    pub processors_milli: u64,
}

/// What an owner says of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Aggregate {
    /// The shard.
    pub shard: ShardId,
    /// The term.
    pub epoch: Epoch,
    /// What is free on all workers together, or the number of free slots in the place of processors.
    pub free: Resources,
    /// How many tasks or requests wait.
    pub waiting: u64,
    /// What the largest workers can hold, by resource.
    pub largest: Resources,
}

/// A request for a slot of an executor.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Acquire {
    /// The shard.
    pub shard: ShardId,
    /// The row on whose account the slot is.
    pub row: RowName,
    /// The id of the caller's request.
    pub request_id: String,
    /// How long the caller is ready to wait.
    pub wait: Duration,
}

/// A slot of an executor.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Permit {
    /// Names the slot when it is given back.
    pub id: u64,
    /// Address and port of the executor.
    pub target: String,
    /// When the owner takes the slot back of itself.
    pub expires: Duration,
}

/// The return of a slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Release {
    /// The shard.
    pub shard: ShardId,
    /// The slot.
    pub id: u64,
    /// Whether the executor answered.
    pub healthy: bool,
}

/// Why a call was declined.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Refused {
    /// The number of the result code.
    pub code: u16,
    /// When to come again.
    pub retry_after: Duration,
    /// One sentence.
    pub message: String,
}

/// `d` in milliseconds.
fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
