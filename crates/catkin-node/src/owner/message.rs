//! The messages that the owner actor handles.

use super::commits::{CommittedBatch, Submission};
use crate::gate::outcome::WriteOutcome;
use crate::table::jobs::JobRow;
use catkin_cell::cell::{AdviceAnswer, SentPoll};
use catkin_cell::worker::{Reply, WorkerInfo, WorkerReport};
use catkin_cell::{AdviceRequest, Job, Start, State, Stop};
use catkin_platform::config::Config;
use catkin_types::{JobId, WorkerId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A message to the owner actor.
#[derive(Debug)]
pub enum Message {
    /// Starts a scheduling pass.
    Pass,
    /// Sent every 100 ms, so that time-based decisions are made without other messages.
    Tick,
    /// Another daemon accepted a job. The job may have ended since, so the owner reads its row.
    JobAccepted(JobId),
    /// A job's cancellation is durable.
    Cancel(JobId),
    /// Requests the state of a job; the reply is `None` if the owner does not know the job.
    QueryState(JobId, oneshot::Sender<Option<State>>),
    /// Requests the number of jobs of a queue that wait for their first start.
    QueryWaiting(String, oneshot::Sender<u64>),
    /// A heartbeat of the daemon at this address; the flag is set if that daemon is draining.
    PeerHeartbeat(SocketAddr, bool),
    /// A newer configuration is in force.
    Config(Arc<Config>),
    /// An update of the list of workers.
    WorkerList {
        /// The workers that are listed now.
        workers: Vec<WorkerInfo>,
        /// The workers that were removed from the list.
        removed: Vec<WorkerId>,
        /// Whether `workers` is the complete list. Otherwise it holds only the workers that changed.
        complete: bool,
    },
    /// Rows of jobs that were read from the table.
    JobRows(Vec<JobRow>),
    /// The result of a poll: whether it was the long poll, and the answer. The answer is a report, a refusal, or `None` if
    /// it was lost.
    PollReply(SentPoll, bool, Option<Result<WorkerReport, Reply>>),
    /// The reply to a start order.
    StartReply(Box<Start>, Reply),
    /// The reply to a stop order.
    StopReply(Box<Stop>, Reply),
    /// The result of an advice request: the request, the daemon that made the call (`None` for this daemon), when it
    /// was sent, and the advice (`None` if there is none).
    AdviceReply(Box<AdviceRequest>, Option<SocketAddr>, Duration, Option<AdviceAnswer>),
    /// A batch of writes of one part is durable.
    BatchWritten(CommittedBatch),
    /// These submissions left their batch with this outcome.
    SubmissionsSettled(Vec<Submission>, WriteOutcome),
    /// A client submits a job; the reply tells whether it is durable.
    Submit(JobId, Box<Job>, oneshot::Sender<WriteOutcome>),
    /// An owner of a later term exists.
    Superseded,
}
