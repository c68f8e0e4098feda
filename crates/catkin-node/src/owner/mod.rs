//! The owner of the cell: an actor around the decisions of [`catkin_cell`].

pub mod commits;
mod feeds;
mod looks;
mod notes;
mod orders;
mod pass;

use crate::asks::Askers;
use crate::cx::{Cx, spawn_until};
use crate::gate::store::Durable;
use crate::lead::load;
use catkin_cell::action::StoredJob;
use catkin_cell::cell::AdviceAnswer;
use catkin_cell::worker::{Reply, WorkerIndex, WorkerInfo, WorkerReport};
use catkin_cell::{Action, AdviceRequest, Cell, Job, Options, Start, State, Stop};
use catkin_platform::config::Config;
use catkin_types::{Epoch, JobId, WorkerId};
use commits::Parts;
use looks::Looks;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// What the owner hears.
#[derive(Debug)]
pub enum Message {
    /// It is time to decide.
    Pass,
    /// Time went by.
    Tick,
    /// A job was accepted by another daemon. It may be at its end since: its row is read.
    Offer(JobId),
    /// A job was cancelled.
    Cancel(JobId),
    /// Asks for the state of a job.
    State(JobId, oneshot::Sender<Option<State>>),
    /// Asks how many jobs of a queue wait for their first start.
    Waiting(String, oneshot::Sender<u64>),
    /// A daemon says that it is there.
    Heard(SocketAddr, bool),
    /// There is a newer configuration.
    Config(Arc<Config>),
    /// The list of workers, whole or what changed; and those that are gone from it.
    Listed {
        /// Those that are there.
        workers: Vec<WorkerInfo>,
        /// Those that are gone.
        gone: Vec<WorkerId>,
        /// Whether the list is whole.
        whole: bool,
    },
    /// Jobs as the table has them.
    Stored(Vec<(JobId, Job)>),
    /// A look at a worker, sent at the time given, was answered, declined or lost.
    Seen(WorkerIndex, Duration, bool, Option<Result<WorkerReport, Reply>>),
    /// An order to start was answered.
    Started(Box<Start>, Reply),
    /// An order to stop was answered.
    Stopped(Box<Stop>, Reply),
    /// A question was answered, by the daemon given.
    Advised(Box<AdviceRequest>, Option<SocketAddr>, Duration, Option<AdviceAnswer>),
    /// A batch of a part is durable.
    Written(commits::Written),
    /// A client hands a job in.
    Accept(commits::New),
    /// There is a later owner.
    Deposed,
}

/// A running owner.
#[derive(Clone, Debug)]
pub struct Owner {
    actor: ActorRef<Message>,
    deposed: CancellationToken,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl Owner {
    /// Starts the owner of a term.
    pub async fn start(cx: Arc<Cx>, epoch: Epoch, loaded: load::Start) -> Self {
        let deposed = CancellationToken::new();
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        let args = Args {
            cx,
            epoch,
            loaded,
            deposed: deposed.clone(),
            tasks: tasks.clone(),
            stop: stop.clone(),
        };
        let (actor, _) = Actor::spawn(None, Runner, args).await.unwrap_or_else(|e| {
            unreachable!("the owner's start has no way to fail: {e}");
        });
        Self { actor, deposed, tasks, stop }
    }

    /// Ends when a later owner was seen.
    pub async fn deposed(&self) {
        self.deposed.cancelled().await;
    }

    /// Tells the owner something.
    pub fn tell(&self, msg: Message) {
        if let Err(e) = self.actor.send_message(msg) {
            tracing::debug!("owner: it is stopped: {e}");
        }
    }

    /// Hands a job in, and returns whether it is durable; nothing if the owner stopped before that was known.
    pub async fn accept(&self, id: JobId, job: Job) -> Option<Durable> {
        self.ask(|tx| Message::Accept(commits::New { id, job, tx })).await
    }

    /// Asks the owner something.
    pub async fn ask<T>(&self, msg: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.tell(msg(tx));
        rx.await.ok()
    }
}

/// Stops an owner and joins all it spawned.
pub async fn stop(owner: Owner) {
    owner.stop.cancel();
    owner.tasks.close();
    if let Err(e) = owner.actor.stop_and_wait(None, None).await {
        tracing::debug!("owner: it was stopped before: {e}");
    }
    owner.tasks.wait().await;
}

#[derive(Debug)]
struct Args {
    cx: Arc<Cx>,
    epoch: Epoch,
    loaded: load::Start,
    deposed: CancellationToken,
    tasks: TaskTracker,
    stop: CancellationToken,
}

#[derive(Debug)]
struct Runner;

/// The state of the actor.
struct Running {
    cx: Arc<Cx>,
    cell: Cell,
    parts: Parts,
    looks: Looks,
    askers: Askers,
    me: ActorRef<Message>,
    deposed: CancellationToken,
    tasks: TaskTracker,
    stop: CancellationToken,
    /// Whether a [`Message::Pass`] is on its way.
    pass_pending: bool,
    last_pass: Duration,
    /// How long the last pass took.
    pass_took: Duration,
    last_summary: Duration,
}

/// No longer lease is asked for: work of a worker that dies waits for its end.
const LEASE_MOST: Duration = Duration::from_millis(4_500);
/// The least time between two passes over what waits.
const PASS_EVERY: Duration = Duration::from_millis(8);
/// Passes take at most one part in so many of the owner's time, so that what it hears is not kept waiting.
const PASS_SHARE: u32 = 4;
/// How often time is seen to go by.
const TICK: Duration = Duration::from_millis(100);

impl Actor for Runner {
    type Msg = Message;
    type State = Running;
    type Arguments = Args;

    async fn pre_start(
        &self,
        me: ActorRef<Message>,
        args: Args,
    ) -> Result<Running, ActorProcessingErr> {
        let now = args.cx.now();
        let b = &args.cx.cfg.bounds;
        let opt = Options {
            lease: crate::settings::millis(b.lease_ms).min(LEASE_MOST),
            max_lease: crate::settings::millis(b.lease_ms),
            gang_wait: crate::settings::millis(b.gang_wait_ms),
            ended_retention: crate::settings::millis(b.remember_ms),
            autonomy: crate::lead::AUTONOMY,
            ..Options::default()
        };
        let cell = Cell::new(opt, args.epoch, now);
        let mut state = Running {
            cell,
            parts: Parts::new(args.epoch, args.loaded.heads.clone()),
            looks: Looks::default(),
            askers: Askers::default(),
            me: me.clone(),
            deposed: args.deposed,
            tasks: args.tasks,
            stop: args.stop,
            pass_pending: false,
            last_pass: Duration::ZERO,
            pass_took: Duration::ZERO,
            last_summary: Duration::ZERO,
            cx: args.cx,
        };
        state.begin(args.loaded, now);
        Ok(state)
    }

    async fn handle(
        &self,
        _: ActorRef<Message>,
        msg: Message,
        state: &mut Running,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(msg);
        Ok(())
    }
}

impl Running {
    fn begin(&mut self, loaded: load::Start, now: Duration) {
        let config = self.cx.config.borrow().clone();
        if let Some(config) = config {
            self.configure(&config);
        }
        for (id, l) in loaded.jobs {
            let age = self.age(l.job.accepted_ms);
            self.cell.add(id, l, age, now);
        }
        self.cell.update_workers(loaded.workers, false, now);
        self.follow_config();
        self.follow_workers(loaded.workers_version);
        self.follow_jobs(loaded.jobs_versions);
        let me = self.me.clone();
        self.spawn(async move {
            loop {
                tokio::time::sleep(TICK).await;
                if me.send_message(Message::Tick).is_err() {
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

    /// How long ago a time on the table's clock was.
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
        let now = self.cx.now();
        let mut out = Vec::new();
        match msg {
            Message::Pass => {
                self.pass_pending = false;
                self.pass();
                return;
            }
            Message::Tick => self.summarise(now),
            Message::Offer(id) => self.read_job(id),
            Message::Stored(jobs) => {
                for (id, job) in jobs {
                    self.stored(id, job, now, &mut out);
                }
            }
            Message::Cancel(id) => self.cell.cancel(id, &mut out),
            Message::State(id, tx) => {
                let _ = tx.send(self.cell.state(id));
                return;
            }
            Message::Waiting(queue, tx) => {
                let _ = tx.send(self.cell.waiting_jobs(&queue));
                return;
            }
            Message::Heard(addr, draining) => {
                self.askers.heard(addr, draining, now);
                return;
            }
            Message::Config(config) => self.configure(&config),
            Message::Listed { workers, gone, whole } => {
                self.cell.update_workers(workers, !whole, now);
                for id in &gone {
                    self.cell.mark_missing(id, now);
                }
            }
            Message::Seen(id, sent, long, seen) => {
                self.seen(id, sent, long, seen, now, &mut out);
            }
            Message::Started(s, reply) => self.cell.handle_start_reply(&s, reply, now, &mut out),
            Message::Stopped(s, reply) => self.cell.handle_stop_reply(&s, reply, now, &mut out),
            Message::Advised(ask, by, sent, advised) => self.advised(&ask, by, sent, advised, now),
            Message::Written(w) => self.written(w, now),
            Message::Accept(new) => self.accept(new),
            Message::Deposed => self.deposed.cancel(),
        }
        self.act(out, now);
        self.tell();
        self.pass_soon(now);
    }

    fn add(&mut self, id: JobId, job: Job, now: Duration) {
        let age = self.age(job.accepted_ms);
        self.cell.add(id, StoredJob { job, ..StoredJob::default() }, age, now);
    }

    /// A row of a job, as it is now.
    fn stored(&mut self, id: JobId, job: Job, now: Duration, out: &mut Vec<Action>) {
        if !self.cell.is_known(id) {
            self.add(id, job, now);
        } else if job.cancelled {
            self.cell.cancel(id, out);
        }
    }

    /// Decides soon, so that what happens at about the same time is decided together.
    fn pass_soon(&mut self, now: Duration) {
        if self.pass_pending {
            return;
        }
        self.pass_pending = true;
        let pause = PASS_EVERY.max(self.pass_took * PASS_SHARE);
        let wait = (self.last_pass + pause).saturating_sub(now);
        let me = self.me.clone();
        if wait.is_zero() {
            drop(me.send_message(Message::Pass));
            return;
        }
        self.spawn(async move {
            tokio::time::sleep(wait).await;
            drop(me.send_message(Message::Pass));
        });
    }
}
