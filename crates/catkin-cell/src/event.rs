//! Decisions and observations of the owner of a cell, for logs and metrics.

use crate::job::State;
use crate::task::{StepRef, Task};
use crate::worker::WorkerIndex;
use catkin_types::{FencingToken, Incarnation, JobId, WorkerId};
use std::time::Duration;

/// Why nothing of a task runs on its worker any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LossCause {
    /// The worker restarted after it had listed the task.
    #[display("the worker restarted")]
    WorkerRestarted,
    /// Another worker has the address.
    #[display("another worker has the address")]
    WorkerReplaced,
    /// The worker answered, and lists the task neither as running nor as ended.
    #[display("the worker does not list it")]
    NotListed,
    /// The worker does not answer, and its lease has run out.
    #[display("the lease to {lease_to_ms} has run out, the clock shows {clock_ms} or more")]
    LeaseExpired {
        /// The latest end that the lease can have, in milliseconds on the worker's clock.
        lease_to_ms: u64,
        /// The lowest value that the worker's clock can show, in milliseconds.
        clock_ms: u64,
    },
    /// The worker does not answer, and no call that was sent can keep the task running in any incarnation.
    #[display("no call keeps it running, the last one was sent {} ms ago", since_last_call.as_millis())]
    CallsExpired {
        /// The time since the last call that could renew the lease.
        since_last_call: Duration,
    },
}

/// A decision or an observation.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Tasks of a step were ordered to start.
    StepStarted {
        /// The step that the tasks belong to.
        step: StepRef,
        /// The highest run number of the tasks.
        run: u32,
        /// The number of tasks ordered to start.
        tasks: usize,
        /// The number of workers that got the orders.
        workers: usize,
        /// Whether no task of the job had started before.
        first: bool,
        /// The time since the job was accepted.
        age: Duration,
        /// The time until the latest start with which the job ends in time; zero if it has passed.
        slack: Duration,
        /// The part of `age` for which requests to the adviser about this step were pending.
        advice: Duration,
    },
    /// A task failed, or a gang through one of its members.
    TaskFailed {
        /// The task that failed.
        task: Task,
        /// The run number of the start that failed.
        run: u32,
        /// The worker that reported the failure.
        worker: WorkerIndex,
        /// How often the task or gang has failed, this failure included.
        times: u32,
        /// How often the task or gang may fail before the job fails.
        attempts_allowed: u32,
    },
    /// A task disappeared without reporting an end, with its worker, its lease or its order.
    TaskLost {
        /// The task that disappeared.
        task: Task,
        /// The run number of its last start.
        run: u32,
        /// The worker that it was assigned to.
        worker: WorkerIndex,
        /// Why nothing of it runs there.
        cause: LossCause,
    },
    /// A worker answered a poll with a token of its incarnation for the first time, after a restart or in a new term.
    IncarnationHeard {
        /// The worker concerned.
        worker: WorkerIndex,
        /// The incarnation that answered.
        incarnation: Incarnation,
        /// The token of the poll. Calls with lower ones are not carried out any more.
        token: FencingToken,
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
    },
    /// A worker restarted, or another one answers at its address.
    WorkerRestarted {
        /// The worker concerned.
        worker: WorkerIndex,
        /// The incarnation that is known now; 0 if another worker answers at its address.
        incarnation: Incarnation,
        /// Whether the incarnation that has ended had reported that it drains.
        planned: bool,
        /// The tasks that are lost with it.
        lost: usize,
        /// The tasks whose orders to start got no answer, and which stay assigned until they can't run any more.
        held: usize,
    },
    /// A worker crashed while a task was on it.
    CrashedUnderTask {
        /// The task that was on the worker.
        task: Task,
        /// The run number of the task on the worker.
        run: u32,
        /// The worker that crashed.
        worker: WorkerIndex,
        /// How many workers have crashed under the task, this one included.
        crashes: u32,
        /// Whether the job of the task is given up for it.
        given_up: bool,
    },
    /// A crash was no crash: the worker had reported that it drains, and the report was read only now.
    CrashRetracted {
        /// The task for which the crash was counted.
        task: Task,
        /// The worker that has exited.
        worker: WorkerIndex,
        /// How many workers have crashed under the task, without this one.
        crashes: u32,
    },
    /// A gang was given up because not all members started in time.
    GangGivenUp(StepRef),
    /// A job ended. The end is not durable yet.
    JobEnded {
        /// The job that ended.
        job: JobId,
        /// The final state.
        state: State,
        /// The time since the job was accepted.
        age: Duration,
        /// Whether the job ended after its objective.
        late: bool,
    },
    /// A silent worker was put on the record for later owners, or was taken off it.
    SilenceChanged {
        /// The worker concerned.
        worker: WorkerId,
        /// The time until nothing can run there; absent if the worker was taken off.
        idle_in: Option<Duration>,
    },
    /// A worker was quarantined for failing tasks, or its quarantine ended.
    QuarantineChanged {
        /// The worker concerned.
        worker: WorkerIndex,
        /// Whether the worker is quarantined now.
        quarantined: bool,
    },
}
