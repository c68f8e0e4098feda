//! The owner of the cell: an actor that holds the scheduler state of [`catkin_cell`] and carries out its decisions.

pub mod commits;
mod feeds;
mod message;
mod orders;
mod pass;
mod polls;
mod report;

pub use message::Message;

use crate::advice::Dispatcher;
use crate::cx::{Cx, spawn_until};
use crate::gate::outcome::WriteOutcome;
use crate::leadership::load;
use crate::table::jobs::{JobRow, UnreadableJob};
use catkin_cell::action::StoredJob;
use catkin_cell::{Action, Cell, Job, Options};
use catkin_platform::config::Config;
use catkin_types::id::format_job;
use catkin_types::{Epoch, JobId};
use commits::{Parts, Submission};
use polls::Polls;
use ractor::{Actor, ActorProcessingErr, ActorRef, SpawnErr};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// A handle of a running owner.
#[derive(Clone, Debug)]
pub struct Owner {
    actor: ActorRef<Message>,
    superseded: CancellationToken,
    /// Cancelled when the actor ends without [`stop`], by a panic.
    failed: CancellationToken,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl Owner {
    /// Starts the owner actor for the term `epoch`.
    ///
    /// # Errors
    /// The actor ended while it took over what was read.
    pub async fn start(
        cx: Arc<Cx>,
        epoch: Epoch,
        initial: load::InitialState,
    ) -> Result<Self, SpawnErr> {
        let superseded = CancellationToken::new();
        let failed = CancellationToken::new();
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        let args = Args {
            cx,
            epoch,
            initial,
            superseded: superseded.clone(),
            tasks: tasks.clone(),
            stop: stop.clone(),
        };
        let (actor, ended) = Actor::spawn(None, OwnerActor, args).await?;
        let on_end = failed.clone();
        spawn_until(&tasks, &stop, async move {
            drop(ended.await);
            on_end.cancel();
        });
        Ok(Self { actor, superseded, failed, tasks, stop })
    }

    /// Returns once the actor has ended by itself. It carries out nothing any more.
    pub async fn failed(&self) {
        self.failed.cancelled().await;
    }

    /// Returns once an owner of a later term was detected.
    pub async fn superseded(&self) {
        self.superseded.cancelled().await;
    }

    /// Sends a message without waiting for a reply. The message is dropped if the owner has stopped.
    pub fn notify(&self, msg: Message) {
        if let Err(e) = self.actor.send_message(msg) {
            tracing::debug!("owner: message dropped, the owner has stopped: {e}");
        }
    }

    /// Submits a job and returns whether it is durable. Returns `None` if the owner stopped before that was known.
    pub async fn submit(&self, id: JobId, job: Job) -> Option<WriteOutcome> {
        self.request(|tx| Message::Submit(id, Box::new(job), tx)).await
    }

    /// Sends a message and waits for the reply. Returns `None` if the owner stopped without a reply.
    pub async fn request<T>(&self, msg: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.notify(msg(tx));
        rx.await.ok()
    }
}

/// Stops an owner and waits for all tasks that it spawned.
pub async fn stop(owner: Owner) {
    owner.stop.cancel();
    owner.tasks.close();
    if let Err(e) = owner.actor.stop_and_wait(None, None).await {
        tracing::debug!("owner: already stopped: {e}");
    }
    owner.tasks.wait().await;
}

#[derive(Debug)]
struct Args {
    cx: Arc<Cx>,
    epoch: Epoch,
    initial: load::InitialState,
    superseded: CancellationToken,
    tasks: TaskTracker,
    stop: CancellationToken,
}

#[derive(Debug)]
struct OwnerActor;

/// The state of the actor.
struct OwnerState {
    cx: Arc<Cx>,
    cell: Cell,
    parts: Parts,
    polls: Polls,
    dispatcher: Dispatcher,
    myself: ActorRef<Message>,
    superseded: CancellationToken,
    tasks: TaskTracker,
    stop: CancellationToken,
    /// Whether a [`Message::Pass`] is scheduled or queued.
    pass_pending: bool,
    last_pass: Duration,
    last_pass_duration: Duration,
    last_summary: Duration,
}

/// The longest lease that is requested. Tasks of a worker that dies are placed elsewhere only after its lease ended.
const MAX_LEASE: Duration = Duration::from_millis(4_500);
/// The minimum time between two scheduling passes.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(8);
/// The interval between the starts of two passes is at least this many times the duration of the last pass. Passes
/// therefore take at most a quarter of the owner's time, and messages are not delayed by them under load.
const PASS_INTERVAL_FACTOR: u32 = 4;
/// The period of [`Message::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);

impl Actor for OwnerActor {
    type Msg = Message;
    type State = OwnerState;
    type Arguments = Args;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        args: Args,
    ) -> Result<OwnerState, ActorProcessingErr> {
        let now = args.cx.now();
        let limits = &args.cx.cfg.bounds;
        let opt = Options {
            lease: crate::settings::duration_from_ms(limits.lease_ms).min(MAX_LEASE),
            max_lease: crate::settings::duration_from_ms(limits.lease_ms),
            max_call_delay: polls::MAX_CALL_TIME,
            gang_wait: crate::settings::duration_from_ms(limits.gang_wait_ms),
            ended_retention: crate::settings::duration_from_ms(limits.remember_ms),
            autonomy: crate::leadership::term::AUTONOMY_LIMIT,
            ..Options::default()
        };
        let cell = Cell::new(opt, args.epoch, now);
        let mut state = OwnerState {
            cell,
            parts: Parts::new(args.epoch, args.initial.head_versions.clone()),
            polls: Polls::default(),
            dispatcher: Dispatcher::default(),
            myself: myself.clone(),
            superseded: args.superseded,
            tasks: args.tasks,
            stop: args.stop,
            pass_pending: false,
            last_pass: Duration::ZERO,
            last_pass_duration: Duration::ZERO,
            last_summary: Duration::ZERO,
            cx: args.cx,
        };
        state.initialize(args.initial, now);
        Ok(state)
    }

    async fn handle(
        &self,
        _: ActorRef<Message>,
        msg: Message,
        state: &mut OwnerState,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(msg);
        Ok(())
    }
}

impl OwnerState {
    fn initialize(&mut self, initial: load::InitialState, now: Duration) {
        let config = self.cx.config.borrow().clone();
        if let Some(config) = config {
            self.configure(&config);
        }
        self.cell.inherit_silent_workers(self.cx.silent_workers.borrow().clone());
        self.cell.update_workers(initial.workers, false, now);
        for (id, loaded_job) in initial.jobs {
            let age = self.age(loaded_job.job.accepted_ms);
            self.cell.add(id, loaded_job, age, now);
        }
        for job in initial.unreadable {
            self.hold(job, now);
        }
        self.follow_config();
        self.follow_workers(initial.workers_version, initial.worker_entries);
        self.follow_jobs(initial.job_versions);
        let myself = self.myself.clone();
        self.spawn(async move {
            loop {
                tokio::time::sleep(TICK_INTERVAL).await;
                if myself.send_message(Message::Tick).is_err() {
                    return;
                }
            }
        });
        self.pass();
    }

    fn configure(&mut self, config: &Config) {
        let queues = config.routes.iter().map(|r| (r.queue.clone(), r.policy.clone()));
        self.cell.configure(queues);
    }

    /// Converts a time on the table's clock to an age. An unknown time, 0, has the age 0.
    fn age(&self, at_ms: u64) -> Duration {
        if at_ms == 0 {
            return Duration::ZERO;
        }
        Duration::from_millis(self.cx.table.clock_ms().saturating_sub(at_ms))
    }

    /// Spawns a task that ends with the owner.
    fn spawn<F>(&self, f: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        spawn_until(&self.tasks, &self.stop, f);
    }

    fn handle(&mut self, msg: Message) {
        if !crate::leadership::may_act(&self.cx) {
            // The table service has not answered for too long: the term ends with the next renewal.
            tracing::debug!("owner: message dropped, the term is over");
            return;
        }
        let now = self.cx.now();
        let mut out = Vec::new();
        match msg {
            Message::Pass => {
                self.pass_pending = false;
                self.pass();
                return;
            }
            Message::Tick => {
                self.log_summary(now);
                self.refuse_overdue_submissions(now);
            }
            Message::JobAccepted(id) => self.read_job(id),
            Message::JobRows(jobs) => {
                for job in jobs {
                    self.apply_job_row(job, now, &mut out);
                }
            }
            Message::Cancel(id) => self.cell.cancel(id, &mut out),
            Message::QueryState(id, tx) => {
                let _ = tx.send(self.cell.state(id));
                return;
            }
            Message::QueryWaiting(queue, tx) => {
                let _ = tx.send(self.cell.waiting_jobs(&queue));
                return;
            }
            Message::PeerHeartbeat(addr, draining) => {
                self.dispatcher.record_heartbeat(addr, draining, now);
                return;
            }
            Message::Config(config) => self.configure(&config),
            Message::WorkerList { workers, removed, complete } => {
                self.cell.update_workers(workers, !complete, now);
                for worker in &removed {
                    self.cell.mark_missing(worker, now);
                }
            }
            Message::PollReply(poll, long_poll, answer) => {
                self.handle_poll_reply(&poll, long_poll, answer, now, &mut out);
            }
            Message::StartReply(s, reply) => self.cell.handle_start_reply(&s, reply, now, &mut out),
            Message::StopReply(s, reply) => self.cell.handle_stop_reply(&s, reply, now, &mut out),
            Message::AdviceReply(ask, by, sent, advice) => {
                self.handle_advice(&ask, by, sent, advice, now);
            }
            Message::BatchWritten(w) => self.apply_batch(w, now),
            Message::SubmissionsSettled(submissions, outcome) => {
                self.settle_submissions(submissions, outcome);
                return;
            }
            Message::Submit(id, job, tx) => {
                self.queue_submission(Submission { id, job: *job, received_at: now, tx });
            }
            Message::Superseded => self.superseded.cancel(),
        }
        self.execute(out, now);
        self.report_events();
        self.schedule_pass(now);
    }

    fn add(&mut self, id: JobId, job: Job, now: Duration) {
        let age = self.age(job.accepted_ms);
        self.cell.add(id, StoredJob { job, ..StoredJob::default() }, age, now);
    }

    /// Applies the current row of a job: adds a job that is unknown, and cancels a known one whose row is cancelled.
    fn apply_job_row(&mut self, row: JobRow, now: Duration, out: &mut Vec<Action>) {
        match row {
            JobRow::Read(id, job) if !self.cell.is_known(id) => {
                tracing::info!(job = format_job(id), "owner: job found in the table");
                self.add(id, job, now);
            }
            JobRow::Read(id, job) if job.cancelled => self.cell.cancel(id, out),
            JobRow::Read(..) => {}
            JobRow::Unreadable(job) => self.hold(job, now),
        }
    }

    /// Holds a job that is unknown and can't be read.
    fn hold(&mut self, unreadable: UnreadableJob, now: Duration) {
        let UnreadableJob { id, job, table, why } = unreadable;
        if self.cell.is_known(id) {
            return;
        }
        self.cx.metrics.count_unreadable_row(table);
        tracing::warn!(job = format_job(id), table, why, "owner: job held, its row can't be read");
        let age = self.age(job.accepted_ms);
        self.cell.hold(id, job, age, now);
    }

    /// Schedules the next pass. The delay lets one pass cover events that arrive at about the same time.
    fn schedule_pass(&mut self, now: Duration) {
        if self.pass_pending {
            return;
        }
        self.pass_pending = true;
        let interval = MIN_PASS_INTERVAL.max(self.last_pass_duration * PASS_INTERVAL_FACTOR);
        let wait = (self.last_pass + interval).saturating_sub(now);
        let myself = self.myself.clone();
        if wait.is_zero() {
            drop(myself.send_message(Message::Pass));
            return;
        }
        self.spawn(async move {
            tokio::time::sleep(wait).await;
            drop(myself.send_message(Message::Pass));
        });
    }
}
