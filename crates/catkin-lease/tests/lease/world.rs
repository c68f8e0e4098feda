//! Two owners, two workers, a table row and a network that loses, delays and duplicates.

use catkin_lease::Options;
use catkin_lease::message::{Ending, Reply, Request};
use catkin_lease::owner::{Event, Owner, TaskState};
use catkin_lease::term::Term;
use catkin_lease::worker::Worker;
use catkin_types::{Epoch, Resources, TaskId};
use std::collections::BTreeSet;
use std::time::Duration;

pub const OWNERS: usize = 2;
pub const WORKERS: usize = 2;
/// Every process has a clock of its own that started at another time.
const CLOCK_OFFSETS: [u64; OWNERS + WORKERS] = [0, 70_000, 5_000_000, 1_000];
const UNIT: Resources = Resources::new(1, 1, 0);

/// A request on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Packet {
    pub owner: usize,
    pub epoch: Epoch,
    pub worker: usize,
    pub req: Request,
}

/// A reply on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Return {
    pub packet: Packet,
    pub reply: Reply,
}

/// Changes that take a single rule out of the machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    None,
    /// The first owner never stops to act without confirmation.
    EndlessAutonomy,
    /// Workers don't compare a command's stamp with their clock.
    FreshStamp,
    /// Workers don't compare epochs.
    NoEpoch,
    /// Workers don't compare incarnations, and owners claim without a confirmation after they heard the worker.
    ClaimUnconfirmed,
    /// Workers take a numbered command again.
    NoSeq,
    /// A successor counts tasks that no claimed worker reported as waiting.
    UnrecordedStart,
    /// A successor waits one lease only.
    ShortSettle,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub opt: Options,
    pub flaw: Flaw,
    pub now: u64,
    pub drift: [i64; OWNERS + WORKERS],
    pub table: Option<Term>,
    pub recorded: BTreeSet<TaskId>,
    pub owners: [Option<Owner>; OWNERS],
    pub workers: [Worker; WORKERS],
    pub net: Vec<Packet>,
    pub returns: Vec<Return>,
    pub incarnations: u64,
    pub tasks: u32,
    /// Owners that can't reach the table. The others read their row before they act.
    pub cut: [bool; OWNERS],
    /// The worker on which each owner starts what waits.
    pub prefers: [usize; OWNERS],
}

fn name(worker: usize) -> String {
    format!("w{worker}")
}

fn index(worker: &str) -> usize {
    usize::from(worker == "w1")
}

impl World {
    pub fn new(opt: Options, flaw: Flaw, tasks: u32) -> Self {
        let worker = |i| Worker::new(i, opt.length, UNIT.times(2));
        Self {
            flaw,
            now: 10_000,
            drift: [0; OWNERS + WORKERS],
            table: None,
            recorded: BTreeSet::new(),
            owners: [None, None],
            workers: [worker(1), worker(2)],
            net: Vec::new(),
            returns: Vec::new(),
            incarnations: 2,
            tasks,
            cut: [false; OWNERS],
            prefers: [0, 1],
            opt,
        }
    }

    /// The clock of process `i`: owners first, then workers.
    pub fn clock(&self, i: usize) -> Duration {
        let now = i64::try_from(self.now).expect("small");
        let skew = now * self.drift[i] / 1_000_000;
        let ms = u64::try_from(now + skew).expect("positive");
        Duration::from_millis(ms + CLOCK_OFFSETS[i])
    }

    fn task(i: u32) -> TaskId {
        TaskId::new(7, i)
    }

    pub fn advance(&mut self, ms: u64) {
        self.now += ms;
        for w in 0..WORKERS {
            let now = self.clock(OWNERS + w);
            self.workers[w].lapse(now);
        }
    }

    /// Owner `i` takes the shard over.
    pub fn take_over(&mut self, i: usize) {
        let mut opt = self.opt.clone();
        let previous = self.table.clone();
        let mut settle = previous.as_ref().map(|p| p.settle_delay(&opt));
        if self.flaw == Flaw::EndlessAutonomy && i == 0 {
            opt.autonomy = Duration::from_hours(1);
        }
        if self.flaw == Flaw::ShortSettle {
            settle = settle.map(|_| opt.with_drift_margin(opt.length));
        }
        let row = Term::successor(previous.as_ref(), &format!("o{i}"), &self.opt);
        let now = self.clock(i);
        let workers = (0..WORKERS).map(name);
        let mut owner = Owner::new(opt, row.epoch, (now, now), workers, settle);
        let inherited = previous.is_some() && self.flaw != Flaw::UnrecordedStart;
        for t in (0..self.tasks).map(Self::task).filter(|t| !self.recorded.contains(t)) {
            owner.add_task(t, UNIT, inherited);
        }
        self.table = Some(row);
        self.owners[i] = Some(owner);
    }

    /// Owner `i` ends its term of itself.
    pub fn release(&mut self, i: usize) {
        let Some(owner) = &mut self.owners[i] else { return };
        let Some(row) = self.table.clone().filter(|r| r.epoch == owner.epoch()) else { return };
        let settled = owner.settled();
        owner.step_down();
        self.table = Some(row.release(settled));
    }

    /// Owner `i` reads its row.
    pub fn confirm(&mut self, i: usize) {
        let now = self.clock(i);
        let Some(owner) = &mut self.owners[i] else { return };
        match &self.table {
            Some(row) if row.epoch == owner.epoch() && !row.released => owner.confirm(now),
            _ => owner.step_down(),
        }
    }

    /// Owner `i` runs once: starts what waits and sends what is due.
    pub fn poll(&mut self, i: usize) {
        if !self.cut[i] {
            self.confirm(i);
        }
        let now = self.clock(i);
        let Some(owner) = &mut self.owners[i] else { return };
        if self.flaw == Flaw::ClaimUnconfirmed && owner.needs_confirmation() {
            owner.confirm(now + Duration::from_millis(1));
        }
        let (mut sends, _) = owner.poll(now);
        let waits = |(t, task): (&TaskId, &catkin_lease::owner::Task)| {
            (task.state == TaskState::Waiting).then_some(*t)
        };
        let waiting: Vec<_> = owner.tasks().iter().filter_map(waits).collect();
        for t in waiting {
            // A declined start is tried again at the next poll.
            owner.start(t, &name(self.prefers[i]), String::new()).ok();
        }
        sends.extend(owner.flush(now));
        let epoch = owner.epoch();
        let packet =
            |(w, req): (String, Request)| Packet { owner: i, epoch, worker: index(&w), req };
        self.net.extend(sends.into_iter().map(packet));
    }

    /// Owner `i` stops every task that it knows to run, which then wait again.
    pub fn stop_all(&mut self, i: usize) {
        let Some(owner) = &mut self.owners[i] else { return };
        let tasks: Vec<_> = owner.tasks().keys().copied().collect();
        for t in tasks {
            owner.stop(t);
        }
        self.prefers[i] = (self.prefers[i] + 1) % WORKERS;
    }

    /// The worker takes request `k`. The answer is on its way back.
    pub fn deliver(&mut self, k: usize, keep: bool) {
        let packet = if keep { self.net[k].clone() } else { self.net.remove(k) };
        let now = self.clock(OWNERS + packet.worker);
        let req = self.tamper(&packet, now);
        let mut reply = self.workers[packet.worker].handle(now, &req);
        match &mut reply {
            Reply::Hello { seq, .. } | Reply::Refused { seq, .. } => *seq = packet.req.seq(),
            Reply::Report(r) => r.seq = packet.req.seq(),
        }
        self.returns.push(Return { packet, reply });
    }

    fn tamper(&self, packet: &Packet, now: Duration) -> Request {
        let worker = &self.workers[packet.worker];
        let mut req = packet.req.clone();
        match (self.flaw, &mut req) {
            (Flaw::FreshStamp, Request::Command(c)) => c.stamp = now,
            (Flaw::NoEpoch, Request::Command(c)) => {
                c.epoch = worker.epoch();
                c.seq = worker.seq() + 1;
            }
            (Flaw::NoSeq, Request::Command(c)) => c.seq = worker.seq() + 1,
            _ => {}
        }
        req
    }

    /// Owner `i` and the workers in `with` exchange everything, twice over what a claim needs.
    pub fn converse(&mut self, i: usize, with: &[usize]) {
        for _ in 0..4 {
            self.poll(i);
            let reached = |p: &Packet| p.owner == i && with.contains(&p.worker);
            while let Some(k) = self.net.iter().position(reached) {
                self.deliver(k, false);
                self.answer(0);
            }
            self.net.retain(|p| p.owner != i);
            self.now += 1;
        }
    }

    /// The owner takes answer `k`.
    pub fn answer(&mut self, k: usize) {
        let Return { packet, reply } = self.returns.remove(k);
        let now = self.clock(packet.owner);
        let Some(owner) = self.owners[packet.owner].as_mut() else { return };
        if owner.epoch() != packet.epoch {
            return;
        }
        for event in owner.receive(now, &name(packet.worker), &reply) {
            if let Event::Ended { task, ending, .. } = event {
                owner.record_end(task);
                match ending {
                    Ending::Failed => owner.add_task(task, UNIT, false),
                    _ => drop(self.recorded.insert(task)),
                }
            }
        }
    }

    /// Worker `w` restarts and has forgotten everything.
    pub fn restart(&mut self, w: usize) {
        self.incarnations += 1;
        let capacity = self.workers[w].capacity();
        self.workers[w] = Worker::new(self.incarnations, self.opt.length, capacity);
    }

    pub fn finish(&mut self, w: usize, ending: Ending) {
        let task = self.workers[w].tasks().keys().next().copied();
        if let Some(t) = task {
            self.workers[w].finish(t, ending);
        }
    }

    /// The first promise that does not hold.
    pub fn violation(&self) -> Option<String> {
        for t in (0..self.tasks).map(Self::task) {
            if self.workers.iter().filter(|w| w.tasks().contains_key(&t)).count() > 1 {
                return Some(format!("task {t} runs in two places at {}", self.now));
            }
        }
        for (i, w) in self.workers.iter().enumerate() {
            if w.declined() > 0 {
                return Some(format!("worker {i} was given more than it can hold at {}", self.now));
            }
        }
        None
    }
}
