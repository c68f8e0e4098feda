//! The messages between daemons as plain types.

mod decode;
mod encode;

use catkin_types::{DaemonId, Epoch, JobId, Resources, RowName, ShardId, WorkerId};
use std::time::Duration;

/// A request from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Reports the state of the sender and asks for that of the receiver.
    Heartbeat(Heartbeat),
    /// Delivers a version of the table of weights and limits, as JSON.
    PushLimits(Vec<u8>),
    /// Asks for the table of weights and limits if the receiver has a newer version than this.
    PullLimits(u64),
    /// Asks the owner of an executor shard for a slot.
    Acquire(Acquire),
    /// Returns a slot.
    Release(Release),
    /// Notifies the owner of a shard that a job was accepted for the shard.
    Offer {
        /// The shard that the job was assigned to.
        shard: ShardId,
        /// The accepted job.
        job: JobId,
    },
    /// Notifies the owner of a shard that jobs were cancelled.
    Cancel {
        /// The shard that the jobs are assigned to.
        shard: ShardId,
        /// The cancelled jobs.
        jobs: Vec<JobId>,
    },
    /// Asks where the tasks of a job are.
    JobStatus(JobId),
    /// Asks why a job waits.
    Explain(JobId),
    /// Asks for the workers of a shard.
    Workers(ShardId),
    /// Notifies the receiver that shards changed owners, so that it reads them from the table at once.
    ShardsChanged,
    /// Asks how many jobs of a queue wait for their first start.
    CountWaiting(String),
    /// Requests that the receiver ask the adviser about a step of a job.
    Advise(Advise),
    /// Requests that the receiver store a job because the table refuses the sender.
    Store {
        /// The id of the job.
        job: JobId,
        /// The job to store, as JSON.
        body: Vec<u8>,
    },
    /// Requests that the receiver make the cancellation of a job durable.
    StoreCancellation(JobId),
}

/// The response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The state of the responding daemon.
    Heartbeat(Heartbeat),
    /// The version of the table of weights and limits that the responding daemon has now.
    Version(u64),
    /// The table of weights and limits as JSON. Empty if the requesting daemon's version is as new.
    Limits(Vec<u8>),
    /// A slot of an executor was acquired.
    Permit(Permit),
    /// The request was accepted, and there is nothing to return.
    Done,
    /// The request was refused.
    Refused(Refused),
    /// JSON for an operator or a caller.
    Json(Vec<u8>),
    /// The number that was asked for.
    Count(u64),
    /// The workers that may run a step, with their tickets.
    Advice(Vec<(WorkerId, String)>),
}

/// A query for the adviser, which another daemon sends on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Advise {
    /// The job that the step belongs to.
    pub job: JobId,
    /// The run of a repeated job that the step belongs to.
    pub occurrence: u32,
    /// The number of the step in the job.
    pub step: u32,
    /// The candidate workers.
    pub workers: Vec<WorkerId>,
    /// How long the sender waits for the answer.
    pub wait: Duration,
}

/// The state of a daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// The name of the daemon that sends it.
    pub daemon: DaemonId,
    /// A random number that the daemon drew when it started.
    pub incarnation: u64,
    /// The version of the daemon's table of weights and limits.
    pub limits_version: u64,
    /// Whether the daemon is stopping.
    pub draining: bool,
    /// The state of each shard that the daemon owns.
    pub shards: Vec<Aggregate>,
    /// The address on which the daemon accepts calls of peers. Empty if the receiver does not need it.
    pub address: String,
    /// The ownership term in which the daemon owns the cell, or 0 if it does not own the cell.
    pub leads: Epoch,
    /// The processors that the daemon has for owning the cell, in thousandths of a core; 0 if it can't write to the
    /// table now.
    pub processors_milli: u64,
    /// How long the table service takes to answer the daemon, in milliseconds.
    pub table_latency_ms: u64,
}

/// The state of a shard, reported by its owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Aggregate {
    /// The shard that is reported.
    pub shard: ShardId,
    /// The ownership term of the owner.
    pub epoch: Epoch,
    /// The sum of the free resources of all workers. For a shard of executors, the number of free slots stands in the
    /// place of processors.
    pub free: Resources,
    /// The number of tasks or requests that wait.
    pub waiting: u64,
    /// For each resource, the largest amount that one worker can hold.
    pub largest: Resources,
}

/// A request for a slot of an executor.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Acquire {
    /// The shard of executors.
    pub shard: ShardId,
    /// The row of weights and limits that the slot is accounted to.
    pub row: RowName,
    /// The id of the caller's request.
    pub request_id: String,
    /// The longest time that the caller waits for a slot.
    pub wait: Duration,
}

/// A slot of an executor.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Permit {
    /// Identifies the slot in the [`Release`] that returns it.
    pub id: u64,
    /// Address and port of the executor.
    pub target: String,
    /// How long after the grant the owner reclaims the slot if it was not returned.
    pub expires: Duration,
}

/// The return of a slot of an executor.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Release {
    /// The shard of executors.
    pub shard: ShardId,
    /// The [`Permit::id`] of the slot.
    pub id: u64,
    /// Whether the executor answered.
    pub healthy: bool,
}

/// The reason why a request was refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Refused {
    /// The number of a [`catkin_types::Code`].
    pub code: u16,
    /// How long to wait before the request is sent again.
    pub retry_after: Duration,
    /// One sentence for the caller.
    pub message: String,
}

/// Converts a duration to milliseconds, at most `u64::MAX`.
fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
