//! The simulated time, and what reaches the owner when.

use super::fleet::{Fleet, NewRun};
use super::workload::Arrival;
use super::{Options, Outcome, Served};
use crate::demand::rng;
use catkin_cell::action::StoredJob;
use catkin_cell::cell::AdviceAnswer;
use catkin_cell::job::State;
use catkin_cell::worker::Reply;
use catkin_cell::{Action, AdviceRequest, Cell, Event, Progress, Start, StepRef, Stop, Write};
use catkin_node::advice::Dispatcher;
use catkin_types::{Epoch, JobId, WorkerId};
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The time between two passes of the owner.
const TICK: Duration = Duration::from_millis(10);
/// How long jobs arrive after the start of the owner.
const FIRST_ARRIVAL: Duration = Duration::from_secs(1);
/// The time until a batch of writes is durable.
const WRITE_TIME: Duration = Duration::from_millis(40);
/// The time until an order reaches a worker, and until its answer is back.
const ORDER_TIME: Duration = Duration::from_millis(20);
/// The time for which an answer of the adviser is on its way, through another daemon.
const ANSWER_TIME: Duration = Duration::from_millis(40);
/// The time without an owner at each takeover.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_500);
/// A job that ends later than this many times its objective is worth nothing.
const LATE_FACTOR: u32 = 3;
/// The part of its value that a late job has.
const LATE_WORTH: f64 = 0.2;
/// The draws for arrivals of one class in a tick: as many jobs arrive at most.
const DRAWS: u32 = 4;

/// What takes effect at a later time.
enum Due {
    /// A worker gets an order to start.
    Start(Start),
    /// A worker gets an order to stop.
    Stop(Stop),
    /// An answer of the adviser arrives: the request, the daemon that made the call, and when it was sent.
    Advice(Box<AdviceRequest>, Option<SocketAddr>, Duration),
    /// A batch is durable.
    Written(Vec<Write>),
}

/// One simulation.
pub(super) struct World<'a> {
    opt: &'a Options,
    rng: StdRng,
    now: Duration,
    seq: u64,
    epoch: Epoch,
    /// When the next owner begins, while there is none.
    next_owner_at: Option<Duration>,
    cell: Cell,
    dispatcher: Dispatcher,
    fleet: Fleet,
    /// Until when the adviser is busy with the calls of each daemon.
    callers: HashMap<Option<SocketAddr>, Duration>,
    /// By time, then in the order in which they were sent; each with the epoch of its sender.
    due: BTreeMap<(Duration, u64), (Epoch, Due)>,
    is_writing: bool,
    arrivals: Vec<Arrival>,
    /// How many of the arrivals the owner has.
    arrived: usize,
    /// The stored progress of jobs.
    progress: HashMap<JobId, Progress>,
    ended: HashMap<JobId, Duration>,
    outcome: Outcome,
    samples: u32,
}

impl<'a> World<'a> {
    pub(super) fn new(opt: &'a Options) -> Self {
        let mut rng = rng(opt.seed);
        let arrivals = arrivals(opt, &mut rng);
        let mut world = Self {
            opt,
            rng,
            now: Duration::ZERO,
            seq: 0,
            epoch: 0,
            next_owner_at: None,
            cell: Cell::new(catkin_cell::Options::default(), 1, Duration::ZERO),
            dispatcher: Dispatcher::default(),
            fleet: Fleet::new(opt.workers),
            callers: HashMap::new(),
            due: BTreeMap::new(),
            is_writing: false,
            arrivals,
            arrived: 0,
            progress: HashMap::new(),
            ended: HashMap::new(),
            outcome: Outcome::default(),
            samples: 0,
        };
        world.take_over();
        world
    }

    pub(super) fn run(mut self) -> Outcome {
        let end = self.opt.arrivals * 2;
        while self.now < end {
            self.now += TICK;
            if self.opt.takeovers.contains(&self.now) {
                // What the lost owner sent arrives, but nobody waits for the answers.
                self.epoch += 1;
                self.next_owner_at = Some(self.now + TAKEOVER_TIME);
            }
            self.deliver();
            let polled = self.fleet.advance(self.now);
            match self.next_owner_at {
                Some(at) if self.now < at => {}
                Some(_) => self.take_over(),
                None => {
                    self.poll(polled);
                    self.pass();
                }
            }
        }
        self.result()
    }

    /// Begins a term with what is stored.
    fn take_over(&mut self) {
        self.epoch += 1;
        self.next_owner_at = None;
        let now = self.now;
        let mut cell = Cell::new(catkin_cell::Options::default(), self.epoch, now);
        cell.configure(self.opt.classes.iter().map(|c| (c.name.to_owned(), c.queue())));
        cell.update_workers(self.fleet.list(), false, now);
        for (id, a) in (0..).zip(&self.arrivals[..self.arrived]) {
            if !self.ended.contains_key(&id) {
                let progress = self.progress.get(&id).cloned().unwrap_or_default();
                let stored = StoredJob { job: a.job.clone(), progress };
                cell.add(id, stored, now.saturating_sub(a.at), now);
            }
        }
        self.cell = cell;
        self.dispatcher = Dispatcher::default();
        self.callers.clear();
        self.is_writing = false;
        self.poll((0..self.opt.workers).collect());
    }

    fn poll(&mut self, workers: Vec<usize>) {
        let mut out = Vec::new();
        for n in workers {
            let Some(idx) = self.cell.worker_indices().nth(n) else { continue };
            let params = self.cell.poll_params(idx, self.now);
            let report = self.fleet.report(n, params.acknowledged, self.now);
            let poll = params.sent_at(idx, self.now.saturating_sub(ORDER_TIME));
            self.cell.handle_report(&poll, &report, self.now, &mut out);
        }
        self.execute(out);
    }

    fn pass(&mut self) {
        let now = self.now;
        for n in 1..self.opt.daemons {
            self.dispatcher.record_heartbeat(address(n), false, now);
        }
        while self.arrivals.get(self.arrived).is_some_and(|a| a.at <= now) {
            let stored =
                StoredJob { job: self.arrivals[self.arrived].job.clone(), ..StoredJob::default() };
            let age = now.saturating_sub(self.arrivals[self.arrived].at);
            self.cell.add(self.arrived as JobId, stored, age, now);
            self.arrived += 1;
        }
        let mut out = Vec::new();
        self.cell.tick(now, &mut out);
        self.execute(out);
        self.record_ends();
        self.write();
        self.dispatch();
        if now < self.opt.arrivals {
            self.samples += 1;
            self.outcome.utilization += self.fleet.utilization();
        }
    }

    fn execute(&mut self, actions: Vec<Action>) {
        let at = self.now + ORDER_TIME;
        for action in actions {
            match action {
                Action::Start(s) => self.schedule(at, Due::Start(s)),
                Action::Stop(s) => self.schedule(at, Due::Stop(s)),
                Action::RequestAdvice(request) => self.dispatcher.push(request, self.now),
                Action::Poll(_) | Action::StepDown => {}
            }
        }
    }

    fn schedule(&mut self, at: Duration, due: Due) {
        self.seq += 1;
        self.due.insert((at, self.seq), (self.epoch, due));
    }

    fn record_ends(&mut self) {
        for event in self.cell.take_events() {
            if let Event::JobEnded { job, state: State::Completed, .. } = event {
                self.ended.entry(job).or_insert(self.now);
            }
        }
    }

    fn write(&mut self) {
        if self.is_writing {
            return;
        }
        let writes = self.cell.take_writes(|_| true, usize::MAX);
        if !writes.is_empty() {
            self.is_writing = true;
            self.schedule(self.now + WRITE_TIME, Due::Written(writes));
        }
    }

    fn dispatch(&mut self) {
        let Self { cell, dispatcher, .. } = self;
        dispatcher.retain(|a| cell.is_open(a.step.job));
        let now = self.now;
        for (request, by) in dispatcher.dispatch(now, |a| cell.request_to_send(a, now)) {
            let free_at = self.callers.entry(by).or_default();
            *free_at = (*free_at).max(self.now) + request.cost;
            self.outcome.advice_time += request.cost;
            let at = *free_at + ANSWER_TIME;
            self.schedule(at, Due::Advice(Box::new(request), by, self.now));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= self.now) {
            let (epoch, due) = entry.remove();
            let is_current = epoch == self.epoch;
            match due {
                Due::Start(s) => self.start(&s, is_current),
                Due::Stop(s) => self.fleet.stop(s.worker.index(), &s, self.now),
                Due::Advice(request, by, sent) if is_current => self.advise(&request, by, sent),
                Due::Written(writes) if is_current => self.written(&writes),
                Due::Advice(..) | Due::Written(_) => {}
            }
        }
    }

    fn start(&mut self, s: &Start, is_current: bool) {
        let a = &self.arrivals[arrival_index(s.task.step.job)];
        let step = &a.job.steps[s.task.step.step as usize];
        let new = NewRun {
            cpu_milli: step.size.cpu_milli,
            work: a.work[s.task.step.step as usize][s.task.index as usize],
            fails: self.rng.random_bool(self.opt.classes[a.class].failures),
            gang: step.gang.then_some(step.count),
            start: s.clone(),
        };
        self.fleet.start(s.worker.index(), new, self.now);
        if is_current {
            let mut out = Vec::new();
            self.cell.handle_start_reply(s, Reply::Done, self.now, &mut out);
            self.execute(out);
        }
    }

    fn advise(&mut self, request: &AdviceRequest, by: Option<SocketAddr>, sent: Duration) {
        let class = &self.opt.classes[self.arrivals[arrival_index(request.step.job)].class];
        let is_eligible = |id: &&WorkerId| is_eligible(request.step, id, class.eligible);
        let rows = request.workers.iter().filter(is_eligible);
        let answer = AdviceAnswer::Eligible(rows.map(|id| (id.clone(), "t".into())).collect());
        self.dispatcher.complete(request, by, true, self.now);
        let answered = (sent + request.cost).min(self.now);
        self.cell.handle_advice(request, answer, answered, self.now);
    }

    fn written(&mut self, writes: &[Write]) {
        self.is_writing = false;
        for w in writes {
            if let Write::Progress(id, progress) = w {
                self.progress.insert(*id, progress.clone());
            }
        }
        self.cell.handle_written(writes, self.now);
    }

    fn result(self) -> Outcome {
        let mut classes = vec![Served::default(); self.opt.classes.len()];
        for (id, a) in (0..).zip(&self.arrivals) {
            let c = &mut classes[a.class];
            c.jobs += 1;
            c.owed += a.worth;
            let Some(took) = self.ended.get(&id).map(|at| at.saturating_sub(a.at)) else {
                continue;
            };
            if took <= a.objective {
                c.in_time += 1;
                c.earned += a.worth;
            } else if took <= a.objective * LATE_FACTOR {
                c.late += 1;
                c.earned += a.worth * LATE_WORTH;
            }
        }
        let utilization = self.outcome.utilization / f64::from(self.samples.max(1));
        Outcome { classes, utilization, ..self.outcome }
    }
}

/// Returns the index of a job among the arrivals, which is its identifier.
fn arrival_index(job: JobId) -> usize {
    usize::try_from(job).expect("jobs are named by their index")
}

/// Returns whether a worker may run a step: always the same for the two.
fn is_eligible(step: StepRef, worker: &str, share: f64) -> bool {
    let mut hasher = DefaultHasher::new();
    (step, worker).hash(&mut hasher);
    rng(hasher.finish()).random_bool(share)
}

/// Generates the jobs of all classes, by the time of their arrival.
fn arrivals(opt: &Options, rng: &mut StdRng) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut now = FIRST_ARRIVAL;
    while now < opt.arrivals {
        for (n, class) in opt.classes.iter().enumerate() {
            let bursts =
                opt.bursts.iter().filter(|b| b.class == n && b.from <= now && now < b.until);
            let rate = class.per_second * bursts.map(|b| b.factor).product::<f64>();
            let mean = rate * TICK.as_secs_f64() / f64::from(DRAWS);
            for _ in 0..DRAWS {
                if rng.random_bool(mean) {
                    arrivals.push(class.generate(n, now, rng));
                }
            }
        }
        now += TICK;
    }
    arrivals
}

fn address(daemon: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, daemon))
}
