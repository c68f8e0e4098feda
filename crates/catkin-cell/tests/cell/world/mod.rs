//! A simulation of owners, workers and the table, in which answers are delayed, lost and reordered.
//!
//! Each start is checked: the worker has room, one run of a task is active at a time, no task starts after its end or
//! after the allowed failures, and steps start in their order.

mod checks;

use crate::worker::{TaskRun, Worker};
use catkin_cell::action::StoredJob;
use catkin_cell::cell::AdviceAnswer::{Eligible, Unavailable};
use catkin_cell::job::{Job, State, Step};
use catkin_cell::queue::{AdviceSettings, Queue};
use catkin_cell::worker::{EndReason, Reply, WorkerIndex, WorkerReport};
use catkin_cell::{Action, AdviceRequest, Cell, Options, Progress, Start, Stop, Task, Write};
use catkin_types::{Epoch, JobId, Resources};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

pub const TICK: Duration = Duration::from_millis(10);
pub const MAX_ATTEMPTS: u32 = 3;
/// The lease that owners request. Workers grant longer ones.
const REQUESTED_LEASE: Duration = Duration::from_millis(2_500);

/// How long a long poll waits at a worker.
const POLL_WAIT: Duration = Duration::from_millis(1_200);

/// The faults to inject, as chances in a thousand unless stated otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The answer to an order is lost.
    pub answer_lost: u32,
    /// An order gets no answer and is carried out seconds later.
    pub order_late: u32,
    /// The owner crashes, each second.
    pub owner_crash: u32,
    /// The old owner continues for a while after a takeover.
    pub owner_continues: u32,
    /// A worker crashes, each second.
    pub worker_crash: u32,
    /// A worker is unreachable for seconds, each second.
    pub partition: u32,
    /// A task fails.
    pub task_failure: u32,
    /// By how many thousandths the workers' clocks are slow.
    pub worker_lag_per_mille: u32,
    /// The factor by which tasks run longer than estimated.
    pub duration_factor: u32,
}

enum Event {
    DeliverStart(Start, Epoch, bool, Option<u64>),
    DeliverStop(Stop, Epoch, bool, Option<u64>),
    /// The poll waits at the worker until the last time, unless a task has ended.
    DeliverPoll(WorkerIndex, Epoch, Duration, Option<u64>, u64, Duration),
    StartReply(Start, Epoch, Reply),
    StopReply(Stop, Epoch, Reply),
    PollReply(WorkerIndex, Epoch, Duration, Option<Result<WorkerReport, Reply>>),
    AdviceReply(AdviceRequest, Epoch, bool),
    Written(Epoch, Vec<Write>),
}

struct Owner {
    cell: Cell,
    epoch: Epoch,
    /// Whether a batch is being written to the table.
    writing: bool,
    polls: HashMap<WorkerIndex, (bool, Duration)>,
    crash_at: Option<Duration>,
}

pub struct World {
    rng: u64,
    pub now: Duration,
    pub faults: Faults,
    pub workers: Vec<Worker>,
    partitioned_until: Vec<Duration>,
    owners: Vec<Owner>,
    epoch: Epoch,
    events: BTreeMap<(Duration, u64), Event>,
    seq: u64,
    queue: Queue,
    // The rows of the table.
    jobs: HashMap<JobId, Job>,
    progress: HashMap<JobId, Progress>,
    pub ended: HashMap<JobId, State>,
    // What the invariant checks know.
    accepted: HashMap<JobId, Job>,
    done: HashSet<Task>,
    failed: HashMap<Task, BTreeSet<u32>>,
    done_runs: HashMap<Task, u32>,
    acknowledged: HashSet<(Task, u32)>,
    voided: HashSet<(Task, u32)>,
    /// Starts of tasks whose ends were not acknowledged yet. They are violations if the ends were acknowledged later
    /// and before the lease ran out.
    suspect_starts: Vec<(Task, BTreeSet<u32>, usize, String)>,
    cancelled: HashSet<JobId>,
    /// Jobs whose progress rows the table refuses.
    pub refused: HashSet<JobId>,
    /// Jobs whose progress owners that take over can't read.
    pub unreadable: HashSet<JobId>,
    /// The number of progress rows that the table refused.
    pub refusals: usize,
    pub starts: u64,
    /// The number of workers in each request to the adviser.
    pub advice_request_sizes: Vec<usize>,
    /// The adviser allows one worker out of this many for each step.
    pub allow_one_in: u64,
    /// Whether polls wait at workers for an end.
    pub long_polls: bool,
    pub violations: Vec<String>,
}

impl World {
    pub fn new(seed: u64, workers: usize, advised: bool) -> Self {
        let capacity = Resources::new(4_000, 4_000, 0);
        let advice = advised.then_some(AdviceSettings {
            per_call: Duration::from_millis(20),
            per_worker: Duration::from_millis(1),
            ticket_lifetime: Duration::from_millis(1_500),
        });
        let queue = Queue {
            service: "s".into(),
            priority: 0,
            max_attempts: MAX_ATTEMPTS,
            stretch: 2.0,
            objective: Duration::from_secs(2),
            advice,
        };
        Self {
            rng: seed | 1,
            now: Duration::from_secs(1),
            faults: Faults::default(),
            workers: (0..workers).map(|n| Worker::new(n, capacity)).collect(),
            partitioned_until: vec![Duration::ZERO; workers],
            owners: Vec::new(),
            epoch: 0,
            events: BTreeMap::new(),
            seq: 0,
            queue,
            jobs: HashMap::new(),
            progress: HashMap::new(),
            ended: HashMap::new(),
            accepted: HashMap::new(),
            done: HashSet::new(),
            failed: HashMap::new(),
            done_runs: HashMap::new(),
            acknowledged: HashSet::new(),
            voided: HashSet::new(),
            suspect_starts: Vec::new(),
            cancelled: HashSet::new(),
            refused: HashSet::new(),
            unreadable: HashSet::new(),
            refusals: 0,
            starts: 0,
            advice_request_sizes: Vec::new(),
            allow_one_in: 1,
            long_polls: false,
            violations: Vec::new(),
        }
    }

    pub fn random(&mut self) -> u64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        self.rng
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.random() % 1_000 < u64::from(per_mille)
    }

    fn delay(&mut self) -> Duration {
        Duration::from_millis(1 + self.random() % 40)
    }

    fn schedule_event(&mut self, when: Duration, event: Event) {
        self.seq += 1;
        self.events.insert((when, self.seq), event);
    }

    pub fn accept(&mut self, id: JobId, steps: Vec<Step>) {
        let job = Job {
            queue: "q".into(),
            service: "s".into(),
            spec: "x".into(),
            steps,
            ..Job::default()
        };
        self.jobs.insert(id, job.clone());
        self.accepted.insert(id, job.clone());
        let now = self.now;
        if let Some(owner) = self.owners.last_mut() {
            owner.cell.add(id, StoredJob { job, ..StoredJob::default() }, Duration::ZERO, now);
        }
    }

    pub fn cancel(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cancelled = true;
            self.cancelled.insert(id);
            let mut out = Vec::new();
            if let Some(owner) = self.owners.last_mut() {
                owner.cell.cancel(id, &mut out);
            }
            let epoch = self.epoch;
            self.apply_actions(epoch, out);
        }
    }

    /// A new owner takes over. The old one crashes at `crash_at`, or continues until an answer fences it.
    pub fn take_over(&mut self, crash_at: Option<Duration>) {
        if let Some(owner) = self.owners.last_mut() {
            owner.crash_at = crash_at;
        }
        self.epoch += 1;
        let opt = Options {
            autonomy: Duration::from_secs(2),
            lease: REQUESTED_LEASE,
            max_lease: crate::worker::MAX_LEASE,
            ..Options::default()
        };
        let mut cell = Cell::new(opt, self.epoch, self.now);
        cell.configure([("q".to_owned(), self.queue.clone())]);
        for (id, job) in &self.jobs {
            if self.unreadable.contains(id) {
                cell.hold(*id, job.clone(), Duration::ZERO, self.now);
                continue;
            }
            let progress = self.progress.get(id).cloned().unwrap_or_default();
            let loaded = StoredJob { job: job.clone(), progress };
            cell.add(*id, loaded, Duration::ZERO, self.now);
        }
        cell.update_workers(self.workers.iter().map(|w| w.info.clone()).collect(), false, self.now);
        self.owners.push(Owner {
            cell,
            epoch: self.epoch,
            writing: false,
            polls: HashMap::new(),
            crash_at: None,
        });
    }

    /// Runs until `end` or until every job has ended.
    pub fn run(&mut self, end: Duration) {
        while self.now < end && self.violations.is_empty() && !self.all_ended() {
            self.run_tick();
        }
    }

    /// Advances the simulation by one tick.
    pub fn run_tick(&mut self) {
        self.now += TICK;
        self.inject_faults();
        self.advance_workers();
        while let Some(((when, _), _)) = self.events.first_key_value() {
            if *when > self.now {
                break;
            }
            if let Some((_, event)) = self.events.pop_first() {
                self.handle(event);
            }
        }
        self.tick_owners();
    }

    pub fn all_ended(&self) -> bool {
        self.accepted.keys().all(|id| self.ended.contains_key(id))
    }

    /// Makes a worker unreachable for good.
    pub fn disconnect_worker(&mut self, n: usize) {
        self.workers[n].reachable = false;
    }

    /// Describes the jobs that have not ended.
    pub fn explain(&self) -> String {
        let Some(owner) = self.owners.last() else { return "no owner is active".into() };
        let open = self.accepted.keys().filter(|id| !self.ended.contains_key(id));
        let why = open.map(|id| format!("{id}: {:?}", owner.cell.explain(*id)));
        why.collect::<Vec<_>>().join("\n")
    }

    fn inject_faults(&mut self) {
        if !self.now.as_millis().is_multiple_of(1_000) {
            return;
        }
        let rates = self.faults;
        if self.chance(rates.owner_crash) {
            let continues = self.chance(rates.owner_continues);
            let crash_at = if continues { self.now + Duration::from_secs(2) } else { self.now };
            self.take_over(Some(crash_at));
        }
        for n in 0..self.workers.len() {
            if self.chance(rates.worker_crash) {
                self.workers[n].crash(self.now);
            }
            if self.chance(rates.partition) {
                let duration = Duration::from_millis(500 + self.random() % 9_000);
                self.partitioned_until[n] = self.now + duration;
            }
        }
        let listed: Vec<_> = self.workers.iter().map(|w| w.info.clone()).collect();
        for owner in &mut self.owners {
            owner.cell.update_workers(listed.clone(), false, self.now);
        }
    }

    fn advance_workers(&mut self) {
        for n in 0..self.workers.len() {
            let mut facts = Vec::new();
            self.workers[n].clock_lag_per_mille = self.faults.worker_lag_per_mille;
            self.workers[n].advance(self.now, &mut facts);
            self.record_facts(n, facts);
        }
    }

    fn deliver_start(&mut self, s: Start, epoch: Epoch, answered: bool) {
        let now = self.now;
        let (n, unreachable) = self.worker_reachability(s.worker);
        if unreachable {
            if answered {
                let when = now + Duration::from_millis(600);
                self.schedule_event(when, Event::StartReply(s, epoch, Reply::Unknown));
            }
            return;
        }
        let step = self.accepted[&s.task.step.job].steps[s.task.step.step as usize].clone();
        let ms = step.estimate_ms / 2 + self.random() % step.estimate_ms.max(1);
        let ms = ms * u64::from(self.faults.duration_factor.max(1));
        let reason =
            if self.chance(self.faults.task_failure) { EndReason::Failed } else { EndReason::Done };
        let run = TaskRun {
            number: s.run,
            size: step.size,
            began: now,
            ends: now + Duration::from_millis(ms),
            reason,
        };
        let mut facts = Vec::new();
        let reply = self.workers[n].start(&s, epoch, &step, &run, now, &mut facts);
        self.record_facts(n, facts);
        if answered {
            let when = now + self.delay();
            self.schedule_event(when, Event::StartReply(s, epoch, reply));
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::DeliverStart(s, _, _, receiver) if self.is_dropped(s.worker, receiver) => {}
            Event::DeliverStop(s, _, _, receiver) if self.is_dropped(s.worker, receiver) => {}
            Event::DeliverStart(s, epoch, answered, _) => self.deliver_start(s, epoch, answered),
            Event::DeliverStop(s, epoch, answered, _) => {
                let (n, unreachable) = self.worker_reachability(s.worker);
                if unreachable {
                    if answered {
                        let when = now + Duration::from_millis(600);
                        self.schedule_event(when, Event::StopReply(s, epoch, Reply::Unknown));
                    }
                    return;
                }
                let reply = self.workers[n].stop(&s, epoch, now);
                if answered {
                    let when = now + self.delay();
                    self.schedule_event(when, Event::StopReply(s, epoch, reply));
                }
            }
            Event::DeliverPoll(idx, epoch, sent, lease, acknowledged, wait_until) => {
                let (n, unreachable) = self.worker_reachability(idx);
                if unreachable {
                    let when = now + Duration::from_millis(700);
                    self.schedule_event(when, Event::PollReply(idx, epoch, sent, None));
                    return;
                }
                let mut facts = Vec::new();
                let report = self.workers[n].poll(epoch, lease, acknowledged, now, &mut facts);
                self.record_facts(n, facts);
                if now < wait_until && report.as_ref().is_ok_and(|r| r.ended.is_empty()) {
                    let poll =
                        Event::DeliverPoll(idx, epoch, sent, lease, acknowledged, wait_until);
                    self.schedule_event(now + TICK, poll);
                    return;
                }
                let when = now + self.delay();
                self.schedule_event(when, Event::PollReply(idx, epoch, sent, Some(report)));
            }
            Event::StartReply(s, epoch, reply) => {
                self.with_owner(epoch, |o, out| o.cell.handle_start_reply(&s, reply, now, out));
            }
            Event::StopReply(s, epoch, reply) => {
                self.with_owner(epoch, |o, out| o.cell.handle_stop_reply(&s, reply, now, out));
            }
            Event::PollReply(idx, epoch, sent, report) => self.with_owner(epoch, |o, out| {
                o.polls.insert(idx, (false, now));
                match report {
                    Some(Ok(report)) => o.cell.handle_report(idx, sent, &report, now, out),
                    Some(Err(_)) => out.push(Action::StepDown),
                    None => o.cell.handle_missed_poll(idx),
                }
            }),
            Event::AdviceReply(request, epoch, success) => {
                let step = request.step.job + u64::from(request.step.step);
                let (seed, one_in) = (step.wrapping_mul(0x9E37_79B9_7F4A_7C15), self.allow_one_in);
                let is_eligible = |w: &&String| {
                    let n: u64 = w.bytes().map(u64::from).fold(seed, |a, b| a.wrapping_mul(31) + b);
                    n.is_multiple_of(one_in)
                };
                self.with_owner(epoch, |o, _| {
                    let eligible = request
                        .workers
                        .iter()
                        .filter(is_eligible)
                        .map(|w| (w.clone(), "t".to_owned()))
                        .collect();
                    let advised = if success { Eligible(eligible) } else { Unavailable };
                    o.cell.handle_advice(&request, advised, now, now);
                });
            }
            Event::Written(epoch, batch) => self.write(epoch, batch),
        }
    }

    /// Applies a batch to the table, which accepts writes of the newest owner only.
    fn write(&mut self, epoch: Epoch, batch: Vec<Write>) {
        let now = self.now;
        let is_refused =
            |w: &Write| matches!(w, Write::Progress(id, _) if self.refused.contains(id));
        let (refused, batch): (Vec<_>, Vec<_>) = batch.into_iter().partition(is_refused);
        self.refusals += refused.len();
        if epoch == self.epoch {
            for w in &batch {
                match w {
                    Write::Progress(id, p) => {
                        self.progress.insert(*id, p.clone());
                    }
                    Write::Ended(id, state) => self.end_job(*id, *state),
                }
            }
        }
        let newest = self.epoch;
        self.with_owner(epoch, |owner, out| {
            owner.writing = false;
            if epoch == newest {
                owner.cell.handle_written(&batch, now);
                owner.cell.handle_refused(&refused);
            } else {
                out.push(Action::StepDown);
            }
        });
    }

    fn worker_reachability(&self, idx: WorkerIndex) -> (usize, bool) {
        // Workers are listed in the order of their indices.
        let n: usize = idx.to_string().parse().expect("a worker index displays as a number");
        (n, !self.workers[n].reachable || self.partitioned_until[n] > self.now)
    }

    fn with_owner(&mut self, epoch: Epoch, f: impl FnOnce(&mut Owner, &mut Vec<Action>)) {
        let mut out = Vec::new();
        if let Some(owner) = self.owners.iter_mut().find(|owner| owner.epoch == epoch) {
            f(owner, &mut out);
        }
        self.apply_actions(epoch, out);
    }

    fn apply_actions(&mut self, epoch: Epoch, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(s) => self.send_start(s, epoch),
                Action::Stop(s) => self.send_stop(s, epoch),
                Action::RequestAdvice(request) => {
                    self.advice_request_sizes.push(request.workers.len());
                    let success = !self.chance(self.faults.answer_lost);
                    let when = self.now + request.cost + self.delay();
                    self.schedule_event(when, Event::AdviceReply(request, epoch, success));
                }
                Action::Poll(idx) => self.send_poll(idx, epoch, Duration::ZERO),
                Action::StepDown => self.owners.retain(|owner| owner.epoch != epoch),
            }
        }
    }

    /// Returns when an order is carried out, whether it is answered, and the worker's incarnation. The incarnation is
    /// only given for an order that the worker has received and carries out late: it is dropped if the worker restarts.
    fn plan_delivery(&mut self, idx: WorkerIndex) -> (Duration, bool, Option<u64>) {
        if self.chance(self.faults.order_late) {
            let late = Duration::from_millis(700 + self.random() % 5_000);
            let (n, _) = self.worker_reachability(idx);
            return (self.now + late, false, Some(self.workers[n].info.incarnation));
        }
        let lost = self.chance(self.faults.answer_lost);
        (self.now + self.delay(), !lost, None)
    }

    /// Returns whether an order was received by an earlier incarnation of the worker and dropped with it.
    fn is_dropped(&self, idx: WorkerIndex, receiver: Option<u64>) -> bool {
        let (n, _) = self.worker_reachability(idx);
        receiver.is_some_and(|receiver| receiver != self.workers[n].info.incarnation)
    }

    fn send_start(&mut self, s: Start, epoch: Epoch) {
        let (when, answered, receiver) = self.plan_delivery(s.worker);
        let (_, unreachable) = self.worker_reachability(s.worker);
        if !answered || unreachable {
            let at = self.now + Duration::from_millis(600);
            self.schedule_event(at, Event::StartReply(s.clone(), epoch, Reply::Unknown));
        }
        self.schedule_event(
            when,
            Event::DeliverStart(s, epoch, answered && !unreachable, receiver),
        );
    }

    fn send_stop(&mut self, s: Stop, epoch: Epoch) {
        let (when, answered, receiver) = self.plan_delivery(s.worker);
        let (_, unreachable) = self.worker_reachability(s.worker);
        if !answered || unreachable {
            let at = self.now + Duration::from_millis(600);
            self.schedule_event(at, Event::StopReply(s.clone(), epoch, Reply::Unknown));
        }
        self.schedule_event(when, Event::DeliverStop(s, epoch, answered && !unreachable, receiver));
    }

    fn send_poll(&mut self, idx: WorkerIndex, epoch: Epoch, wait: Duration) {
        let now = self.now;
        let Some(owner) = self.owners.iter_mut().find(|owner| owner.epoch == epoch) else { return };
        let params = owner.cell.poll_params(idx, now);
        let when = now + self.delay();
        self.schedule_event(
            when,
            Event::DeliverPoll(
                idx,
                epoch,
                now,
                params.lease_to_ms,
                params.acknowledged,
                when + wait,
            ),
        );
    }

    fn tick_owners(&mut self) {
        let now = self.now;
        self.owners.retain(|owner| owner.crash_at.is_none_or(|at| at > now));
        let epochs: Vec<Epoch> = self.owners.iter().map(|owner| owner.epoch).collect();
        for epoch in epochs {
            let mut due: BTreeMap<WorkerIndex, Duration> = BTreeMap::new();
            let long_polls = self.long_polls;
            let mut batch = Vec::new();
            self.with_owner(epoch, |owner, out| {
                owner.cell.tick(now, out);
                for idx in owner.cell.worker_indices() {
                    let (waiting, last) = owner.polls.get(&idx).copied().unwrap_or_default();
                    if !waiting && now >= last + Duration::from_millis(50) {
                        owner.polls.insert(idx, (true, now));
                        let may_wait = long_polls && owner.cell.may_wait_at_worker(idx);
                        due.insert(idx, if may_wait { POLL_WAIT } else { Duration::ZERO });
                    }
                }
                if !owner.writing {
                    batch = owner.cell.take_writes(|_| true, 30);
                    owner.writing = !batch.is_empty();
                }
            });
            for (idx, wait) in due {
                self.send_poll(idx, epoch, wait);
            }
            if !batch.is_empty() {
                let when = now + self.delay();
                self.schedule_event(when, Event::Written(epoch, batch));
            }
        }
    }
}
