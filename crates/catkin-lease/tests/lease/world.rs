//! A simulated world of two owners, two workers, a table row and a network that loses, delays and duplicates messages.

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
/// The offset of each process's clock, in milliseconds. Clocks of different processes can't be compared.
const CLOCK_OFFSETS: [u64; OWNERS + WORKERS] = [0, 70_000, 5_000_000, 1_000];
const UNIT: Resources = Resources::new(1, 1, 0);

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Packet {
    pub owner: usize,
    pub epoch: Epoch,
    pub worker: usize,
    pub req: Request,
}

/// A reply in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplyPacket {
    pub packet: Packet,
    pub reply: Reply,
}

/// Removes a single rule from the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    None,
    /// The first owner acts without confirmation for an hour.
    UnboundedAutonomy,
    /// Workers don't compare the stamp of a command with their clock.
    NoStampCheck,
    /// Workers don't compare epochs.
    NoEpochCheck,
    /// Owners claim a worker without confirming their row after the worker reported its incarnation.
    ClaimUnconfirmed,
    /// Workers accept a command with the same sequence number again.
    NoSeqCheck,
    /// A successor treats inherited tasks as waiting before every worker has answered.
    NoSettling,
    /// A successor waits for one lease length only.
    ShortSettle,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub opt: Options,
    pub flaw: Flaw,
    pub now: u64,
    pub clock_drift_ppm: [i64; OWNERS + WORKERS],
    pub table: Option<Term>,
    pub recorded: BTreeSet<TaskId>,
    pub owners: [Option<Owner>; OWNERS],
    pub workers: [Worker; WORKERS],
    pub requests: Vec<Packet>,
    pub replies: Vec<ReplyPacket>,
    pub incarnations: u64,
    pub tasks: u32,
    /// Whether each owner is cut off from the table. An owner that is not reads its row before each poll.
    pub partitioned: [bool; OWNERS],
    /// The worker on which each owner starts waiting tasks.
    pub preferred: [usize; OWNERS],
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
            clock_drift_ppm: [0; OWNERS + WORKERS],
            table: None,
            recorded: BTreeSet::new(),
            owners: [None, None],
            workers: [worker(1), worker(2)],
            requests: Vec::new(),
            replies: Vec::new(),
            incarnations: 2,
            tasks,
            partitioned: [false; OWNERS],
            preferred: [0, 1],
            opt,
        }
    }

    /// The clock of process `i`. Owners come first, then workers.
    pub fn clock(&self, i: usize) -> Duration {
        let now = i64::try_from(self.now).expect("the simulated time fits into i64");
        let skew = now * self.clock_drift_ppm[i] / 1_000_000;
        let ms = u64::try_from(now + skew).expect("the drift is less than the time");
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

    /// Owner `i` takes over the shard.
    pub fn take_over(&mut self, i: usize) {
        let mut opt = self.opt.clone();
        let previous = self.table.clone();
        let mut settle = previous.as_ref().map(|p| p.settle_delay(&opt));
        if self.flaw == Flaw::UnboundedAutonomy && i == 0 {
            opt.autonomy = Duration::from_hours(1);
        }
        if self.flaw == Flaw::ShortSettle {
            settle = settle.map(|_| opt.with_drift_margin(opt.length));
        }
        let row = Term::successor(previous.as_ref(), &format!("o{i}"), &self.opt);
        let now = self.clock(i);
        let workers = (0..WORKERS).map(name);
        let mut owner = Owner::new(opt, row.epoch, (now, now), workers, settle);
        let inherited = previous.is_some() && self.flaw != Flaw::NoSettling;
        for t in (0..self.tasks).map(Self::task).filter(|t| !self.recorded.contains(t)) {
            owner.add_task(t, UNIT, inherited);
        }
        self.table = Some(row);
        self.owners[i] = Some(owner);
    }

    /// Owner `i` releases the shard.
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

    /// Owner `i` starts waiting tasks and sends the requests that are due.
    pub fn poll(&mut self, i: usize) {
        if !self.partitioned[i] {
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
            // A rejected start is retried at the next poll.
            owner.start(t, &name(self.preferred[i]), String::new()).ok();
        }
        sends.extend(owner.flush(now));
        let epoch = owner.epoch();
        let packet =
            |(w, req): (String, Request)| Packet { owner: i, epoch, worker: index(&w), req };
        self.requests.extend(sends.into_iter().map(packet));
    }

    /// Owner `i` stops all tasks, which wait again then, and prefers the other worker from then on.
    pub fn stop_all(&mut self, i: usize) {
        let Some(owner) = &mut self.owners[i] else { return };
        let tasks: Vec<_> = owner.tasks().keys().copied().collect();
        for t in tasks {
            owner.stop(t);
        }
        self.preferred[i] = (self.preferred[i] + 1) % WORKERS;
    }

    /// Delivers request `k` to its worker and puts the reply in flight. With `keep` the request is duplicated.
    pub fn deliver_request(&mut self, k: usize, keep: bool) {
        let packet = if keep { self.requests[k].clone() } else { self.requests.remove(k) };
        let now = self.clock(OWNERS + packet.worker);
        let req = self.apply_flaw(&packet, now);
        let mut reply = self.workers[packet.worker].handle(now, &req);
        match &mut reply {
            Reply::Hello { seq, .. } | Reply::Refused { seq, .. } => *seq = packet.req.seq(),
            Reply::Report(r) => r.seq = packet.req.seq(),
        }
        self.replies.push(ReplyPacket { packet, reply });
    }

    fn apply_flaw(&self, packet: &Packet, now: Duration) -> Request {
        let worker = &self.workers[packet.worker];
        let mut req = packet.req.clone();
        match (self.flaw, &mut req) {
            (Flaw::NoStampCheck, Request::Command(c)) => c.stamp = now,
            (Flaw::NoEpochCheck, Request::Command(c)) => {
                c.epoch = worker.epoch();
                c.seq = worker.seq() + 1;
            }
            (Flaw::NoSeqCheck, Request::Command(c)) => c.seq = worker.seq() + 1,
            _ => {}
        }
        req
    }

    /// Owner `i` and the workers in `with` exchange all messages for four polls: a claim needs two.
    pub fn exchange(&mut self, i: usize, with: &[usize]) {
        for _ in 0..4 {
            self.poll(i);
            let reached = |p: &Packet| p.owner == i && with.contains(&p.worker);
            while let Some(k) = self.requests.iter().position(reached) {
                self.deliver_request(k, false);
                self.deliver_reply(0);
            }
            self.requests.retain(|p| p.owner != i);
            self.now += 1;
        }
    }

    /// Delivers reply `k` to its owner.
    pub fn deliver_reply(&mut self, k: usize) {
        let ReplyPacket { packet, reply } = self.replies.remove(k);
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

    /// Worker `w` restarts and loses its state.
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

    /// Returns a description of the first violated invariant.
    pub fn violation(&self) -> Option<String> {
        for t in (0..self.tasks).map(Self::task) {
            if self.workers.iter().filter(|w| w.tasks().contains_key(&t)).count() > 1 {
                return Some(format!("task {t} runs in two places at {}", self.now));
            }
        }
        for (i, w) in self.workers.iter().enumerate() {
            if w.declined() > 0 {
                return Some(format!("worker {i} got starts beyond its capacity at {}", self.now));
            }
        }
        None
    }
}
