//! Owners, workers and the table in one simulated world, in which answers are late, lost and overtake each other.
//!
//! Checks at each start what has to hold: room, one run of a task at a time, none after its end, no more than the
//! allowed failures, steps in their order.

mod judge;

use crate::worker::{TaskRun, Worker};
use catkin_cell::action::Loaded;
use catkin_cell::cell::Advised;
use catkin_cell::job::{Job, State, Step};
use catkin_cell::queue::{Advice, Queue};
use catkin_cell::worker::{How, No, Reply, Seen};
use catkin_cell::{Action, Ask, Cell, Options, Progress, Start, Stop, Task, Write};
use catkin_types::{Epoch, JobId, Resources};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

pub const TICK: Duration = Duration::from_millis(10);
pub const MAX_ATTEMPTS: u32 = 3;
/// The lease that owners ask for: workers grant longer ones.
const REQUESTED_LEASE: Duration = Duration::from_millis(2_500);

/// Which troubles there are, each as a chance in a thousand.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// An order's answer is lost.
    pub answer_lost: u32,
    /// An order gets no answer and is carried out seconds later.
    pub order_late: u32,
    /// The owner dies, each second.
    pub owner_crash: u32,
    /// The new owner finds the old one still at work.
    pub owner_continues: u32,
    /// A worker crashes, each second.
    pub worker_crash: u32,
    /// A worker is cut off for seconds, each second.
    pub partition: u32,
    /// A task fails.
    pub task_failure: u32,
    /// By how many thousandths the workers' clocks are slow.
    pub clock_lag_per_mille: u32,
    /// How many times as long tasks take as they say.
    pub duration_factor: u32,
}

enum Event {
    DeliverStart(Start, Epoch, bool, Option<u64>),
    DeliverStop(Stop, Epoch, bool, Option<u64>),
    DeliverPoll(No, Epoch, Duration, Option<u64>, u64),
    StartReply(Start, Epoch, Reply),
    StopReply(Stop, Epoch, Reply),
    PollReply(No, Epoch, Duration, Option<Result<Seen, Reply>>),
    AdviceReply(Ask, Epoch, bool),
    Written(Epoch, Vec<Write>),
}

struct Owner {
    cell: Cell,
    epoch: Epoch,
    /// Whether a batch is on its way to the table.
    writing: bool,
    polls: HashMap<No, (bool, Duration)>,
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
    // The table.
    jobs: HashMap<JobId, Job>,
    progress: HashMap<JobId, Progress>,
    pub ended: HashMap<JobId, State>,
    // What is known to whoever judges.
    accepted_jobs: HashMap<JobId, Job>,
    done: HashSet<Task>,
    failed: HashMap<Task, BTreeSet<u32>>,
    done_runs: HashMap<Task, u32>,
    acknowledged: HashSet<(Task, u32)>,
    voided: HashSet<(Task, u32)>,
    /// Starts after ends that were not acknowledged then. They are wrong if these were later, and in time.
    suspect_starts: Vec<(Task, BTreeSet<u32>, usize, String)>,
    cancelled: HashSet<JobId>,
    pub starts: u64,
    /// How many workers each question named.
    pub advice_request_sizes: Vec<usize>,
    /// One worker of so many may run a step, by the adviser's word.
    pub eligible_one_in: u64,
    pub violations: Vec<String>,
}

impl World {
    pub fn new(seed: u64, workers: usize, advised: bool) -> Self {
        let capacity = Resources::new(4_000, 4_000, 0);
        let advice = advised.then_some(Advice {
            call: Duration::from_millis(20),
            per_worker: Duration::from_millis(1),
            valid: Duration::from_millis(1_500),
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
            accepted_jobs: HashMap::new(),
            done: HashSet::new(),
            failed: HashMap::new(),
            done_runs: HashMap::new(),
            acknowledged: HashSet::new(),
            voided: HashSet::new(),
            suspect_starts: Vec::new(),
            cancelled: HashSet::new(),
            starts: 0,
            advice_request_sizes: Vec::new(),
            eligible_one_in: 1,
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
        self.accepted_jobs.insert(id, job.clone());
        let now = self.now;
        if let Some(o) = self.owners.last_mut() {
            o.cell.add(id, Loaded { job, ..Loaded::default() }, Duration::ZERO, now);
        }
    }

    pub fn cancel(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cancelled = true;
            self.cancelled.insert(id);
            let mut out = Vec::new();
            if let Some(o) = self.owners.last_mut() {
                o.cell.cancel(id, &mut out);
            }
            let epoch = self.epoch;
            self.apply_actions(epoch, out);
        }
    }

    /// A new owner takes over. The one before dies at `dies`, or goes on until it is told.
    pub fn take_over(&mut self, dies: Option<Duration>) {
        if let Some(o) = self.owners.last_mut() {
            o.crash_at = dies;
        }
        self.epoch += 1;
        let opt = Options {
            autonomy: Duration::from_secs(2),
            lease: REQUESTED_LEASE,
            longest_lease: crate::worker::MAX_LEASE,
            ..Options::default()
        };
        let mut cell = Cell::new(opt, self.epoch, self.now);
        cell.configure([("q".to_owned(), self.queue.clone())]);
        for (id, job) in &self.jobs {
            let progress = self.progress.get(id).cloned().unwrap_or_default();
            let loaded = Loaded { job: job.clone(), progress };
            cell.add(*id, loaded, Duration::ZERO, self.now);
        }
        cell.list(self.workers.iter().map(|w| w.info.clone()).collect(), false, self.now);
        self.owners.push(Owner {
            cell,
            epoch: self.epoch,
            writing: false,
            polls: HashMap::new(),
            crash_at: None,
        });
    }

    /// Runs until `end` or until every job is at its end.
    pub fn run(&mut self, end: Duration) {
        while self.now < end && self.violations.is_empty() && !self.all_ended() {
            self.run_tick();
        }
    }

    /// Lets one tick go by.
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
        self.accepted_jobs.keys().all(|id| self.ended.contains_key(id))
    }

    /// The worker is reached by nobody any more.
    pub fn disconnect_worker(&mut self, n: usize) {
        self.workers[n].reachable = false;
    }

    /// What is left and why.
    pub fn explain(&self) -> String {
        let Some(o) = self.owners.last() else { return "no owner".into() };
        let open = self.accepted_jobs.keys().filter(|id| !self.ended.contains_key(id));
        let why = open.map(|id| format!("{id}: {:?}", o.cell.explain(*id)));
        why.collect::<Vec<_>>().join("\n")
    }

    fn inject_faults(&mut self) {
        if !self.now.as_millis().is_multiple_of(1_000) {
            return;
        }
        let t = self.faults;
        if self.chance(t.owner_crash) {
            let lives_on = self.chance(t.owner_continues);
            let dies = if lives_on { self.now + Duration::from_secs(2) } else { self.now };
            self.take_over(Some(dies));
        }
        for n in 0..self.workers.len() {
            if self.chance(t.worker_crash) {
                self.workers[n].crash(self.now);
            }
            if self.chance(t.partition) {
                let long = Duration::from_millis(500 + self.random() % 9_000);
                self.partitioned_until[n] = self.now + long;
            }
        }
        let listed: Vec<_> = self.workers.iter().map(|w| w.info.clone()).collect();
        for o in &mut self.owners {
            o.cell.list(listed.clone(), false, self.now);
        }
    }

    fn advance_workers(&mut self) {
        for n in 0..self.workers.len() {
            let mut facts = Vec::new();
            self.workers[n].clock_lag_per_mille = self.faults.clock_lag_per_mille;
            self.workers[n].advance(self.now, &mut facts);
            self.record_facts(n, facts);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::DeliverStart(s, _, _, life) if self.is_undeliverable(s.worker, life) => {}
            Event::DeliverStop(s, _, _, life) if self.is_undeliverable(s.worker, life) => {}
            Event::DeliverStart(s, epoch, answered, _) => {
                let (n, cut) = self.worker_reachability(s.worker);
                if cut {
                    if answered {
                        let when = now + Duration::from_millis(600);
                        self.schedule_event(when, Event::StartReply(s, epoch, Reply::Unknown));
                    }
                    return;
                }
                let step =
                    self.accepted_jobs[&s.task.step.job].steps[s.task.step.step as usize].clone();
                let ms = step.estimate_ms / 2 + self.random() % step.estimate_ms.max(1);
                let ms = ms * u64::from(self.faults.duration_factor.max(1));
                let how =
                    if self.chance(self.faults.task_failure) { How::Failed } else { How::Done };
                let run = TaskRun {
                    number: s.run,
                    size: step.size,
                    began: now,
                    ends: now + Duration::from_millis(ms),
                    how,
                };
                let mut facts = Vec::new();
                let reply = self.workers[n].start(&s, epoch, &step, &run, now, &mut facts);
                self.record_facts(n, facts);
                if answered {
                    let when = now + self.delay();
                    self.schedule_event(when, Event::StartReply(s, epoch, reply));
                }
            }
            Event::DeliverStop(s, epoch, answered, _) => {
                let (n, cut) = self.worker_reachability(s.worker);
                if cut {
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
            Event::DeliverPoll(no, epoch, sent, lease, acknowledged) => {
                let (n, cut) = self.worker_reachability(no);
                if cut {
                    let when = now + Duration::from_millis(700);
                    self.schedule_event(when, Event::PollReply(no, epoch, sent, None));
                    return;
                }
                let mut facts = Vec::new();
                let seen = self.workers[n].poll(epoch, lease, acknowledged, now, &mut facts);
                self.record_facts(n, facts);
                let when = now + self.delay();
                self.schedule_event(when, Event::PollReply(no, epoch, sent, Some(seen)));
            }
            Event::StartReply(s, epoch, reply) => {
                self.with_owner(epoch, |o, out| o.cell.started(&s, reply, now, out));
            }
            Event::StopReply(s, epoch, reply) => {
                self.with_owner(epoch, |o, out| o.cell.stopped(&s, reply, now, out));
            }
            Event::PollReply(no, epoch, sent, seen) => self.with_owner(epoch, |o, out| {
                o.polls.insert(no, (false, now));
                match seen {
                    Some(Ok(seen)) => o.cell.seen(no, sent, &seen, now, out),
                    Some(Err(_)) => out.push(Action::Deposed),
                    None => o.cell.not_seen(no),
                }
            }),
            Event::AdviceReply(ask, epoch, well) => {
                let step = ask.step.job + u64::from(ask.step.step);
                let (seed, one_in) =
                    (step.wrapping_mul(0x9E37_79B9_7F4A_7C15), self.eligible_one_in);
                let may = |w: &&String| {
                    let n: u64 = w.bytes().map(u64::from).fold(seed, |a, b| a.wrapping_mul(31) + b);
                    n.is_multiple_of(one_in)
                };
                self.with_owner(epoch, |o, _| {
                    let good = ask
                        .workers
                        .iter()
                        .filter(may)
                        .map(|w| (w.clone(), "t".to_owned()))
                        .collect();
                    let advised = if well { Advised::Good(good) } else { Advised::Nothing };
                    o.cell.advised(&ask, advised, now, now);
                });
            }
            Event::Written(epoch, batch) => self.write(epoch, &batch),
        }
    }

    /// The table takes writes of the newest owner only.
    fn write(&mut self, epoch: Epoch, batch: &[Write]) {
        let now = self.now;
        if epoch == self.epoch {
            for w in batch {
                match w {
                    Write::Progress(id, p) => {
                        self.progress.insert(*id, p.clone());
                    }
                    Write::Ended(id, state) => self.end_job(*id, *state),
                }
            }
        }
        let newest = self.epoch;
        self.with_owner(epoch, |o, out| {
            o.writing = false;
            if epoch == newest {
                o.cell.written(batch, now);
            } else {
                out.push(Action::Deposed);
            }
        });
    }

    fn worker_reachability(&self, no: No) -> (usize, bool) {
        // Workers are listed in their order, so that their numbers are those of the list.
        let n: usize = no.to_string().parse().expect("a number");
        (n, !self.workers[n].reachable || self.partitioned_until[n] > self.now)
    }

    fn with_owner(&mut self, epoch: Epoch, f: impl FnOnce(&mut Owner, &mut Vec<Action>)) {
        let mut out = Vec::new();
        if let Some(o) = self.owners.iter_mut().find(|o| o.epoch == epoch) {
            f(o, &mut out);
        }
        self.apply_actions(epoch, out);
    }

    fn apply_actions(&mut self, epoch: Epoch, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(s) => self.send_start(s, epoch),
                Action::Stop(s) => self.send_stop(s, epoch),
                Action::Ask(ask) => {
                    self.advice_request_sizes.push(ask.workers.len());
                    let well = !self.chance(self.faults.answer_lost);
                    let when = self.now + ask.cost + self.delay();
                    self.schedule_event(when, Event::AdviceReply(ask, epoch, well));
                }
                Action::Look(no) => self.send_poll(no, epoch),
                Action::Deposed => self.owners.retain(|o| o.epoch != epoch),
            }
        }
    }

    /// When an order is carried out, and whether it is answered. One that the worker has and carries out late goes with
    /// the worker's life.
    fn plan_delivery(&mut self, no: No) -> (Duration, bool, Option<u64>) {
        if self.chance(self.faults.order_late) {
            let late = Duration::from_millis(700 + self.random() % 5_000);
            let (n, _) = self.worker_reachability(no);
            return (self.now + late, false, Some(self.workers[n].info.born));
        }
        let lost = self.chance(self.faults.answer_lost);
        (self.now + self.delay(), !lost, None)
    }

    /// Whether an order that a worker had went with an earlier life.
    fn is_undeliverable(&self, no: No, life: Option<u64>) -> bool {
        let (n, _) = self.worker_reachability(no);
        life.is_some_and(|life| life != self.workers[n].info.born)
    }

    fn send_start(&mut self, s: Start, epoch: Epoch) {
        let (when, answered, life) = self.plan_delivery(s.worker);
        let (_, cut) = self.worker_reachability(s.worker);
        if !answered || cut {
            let at = self.now + Duration::from_millis(600);
            self.schedule_event(at, Event::StartReply(s.clone(), epoch, Reply::Unknown));
        }
        self.schedule_event(when, Event::DeliverStart(s, epoch, answered && !cut, life));
    }

    fn send_stop(&mut self, s: Stop, epoch: Epoch) {
        let (when, answered, life) = self.plan_delivery(s.worker);
        let (_, cut) = self.worker_reachability(s.worker);
        if !answered || cut {
            let at = self.now + Duration::from_millis(600);
            self.schedule_event(at, Event::StopReply(s.clone(), epoch, Reply::Unknown));
        }
        self.schedule_event(when, Event::DeliverStop(s, epoch, answered && !cut, life));
    }

    fn send_poll(&mut self, no: No, epoch: Epoch) {
        let now = self.now;
        let Some(o) = self.owners.iter_mut().find(|o| o.epoch == epoch) else { return };
        let view = o.cell.view(no, now);
        let when = now + self.delay();
        self.schedule_event(
            when,
            Event::DeliverPoll(no, epoch, now, view.lease_to_ms, view.acknowledged),
        );
    }

    fn tick_owners(&mut self) {
        let now = self.now;
        self.owners.retain(|o| o.crash_at.is_none_or(|at| at > now));
        let epochs: Vec<Epoch> = self.owners.iter().map(|o| o.epoch).collect();
        for epoch in epochs {
            let mut due: BTreeSet<No> = BTreeSet::new();
            let mut batch = Vec::new();
            self.with_owner(epoch, |o, out| {
                o.cell.tick(now, out);
                for no in o.cell.nos() {
                    let (waiting, last) = o.polls.get(&no).copied().unwrap_or_default();
                    if !waiting && now >= last + Duration::from_millis(50) {
                        o.polls.insert(no, (true, now));
                        due.insert(no);
                    }
                }
                if !o.writing {
                    batch = o.cell.take_writes(|_| true, 30);
                    o.writing = !batch.is_empty();
                }
            });
            for no in due {
                self.send_poll(no, epoch);
            }
            if !batch.is_empty() {
                let when = now + self.delay();
                self.schedule_event(when, Event::Written(epoch, batch));
            }
        }
    }
}
