//! The part of a worker that fences stale owners and enforces the lease. Simulated workers run this code; real workers
//! have to behave like it.

use crate::message::{
    Command, Ended, Ending, Refusal, Reply, Report, Request, Running, Seq, Start,
};
use catkin_types::{Epoch, Incarnation, Resources, TaskId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A task that runs on the worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RunningTask {
    /// The resources that are reserved for the task.
    pub size: Resources,
    /// As in [`Start::program`].
    pub program: String,
}

/// The state of a worker. Nothing is kept on disk: a restart creates a new state with another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Worker {
    incarnation: Incarnation,
    length: Duration,
    capacity: Resources,
    used: Resources,
    leaving: bool,
    declined: u64,
    epoch: Epoch,
    seq: Seq,
    lease_end: Duration,
    tasks: BTreeMap<TaskId, RunningTask>,
    ended: BTreeMap<TaskId, Ending>,
}

impl Worker {
    /// Returns a worker that has just started. `length` is the lease length.
    #[must_use]
    pub fn new(incarnation: Incarnation, length: Duration, capacity: Resources) -> Self {
        Self {
            incarnation,
            length,
            capacity,
            used: Resources::default(),
            leaving: false,
            declined: 0,
            epoch: 0,
            seq: 0,
            lease_end: Duration::ZERO,
            tasks: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// The running tasks.
    #[must_use]
    pub fn tasks(&self) -> &BTreeMap<TaskId, RunningTask> {
        &self.tasks
    }

    /// The total resources, as the next report states them.
    #[must_use]
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Sets the total resources. Running tasks stay, even if they no longer fit.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }

    /// Sets the measured usage that the next report states.
    pub fn set_used(&mut self, used: Resources) {
        self.used = used;
    }

    /// Sets whether the worker is shutting down and must not get new tasks.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// The incarnation, which differs after each restart.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The highest epoch that has claimed the worker. Zero before the first claim.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The highest sequence number that the worker has accepted in this epoch.
    #[must_use]
    pub fn seq(&self) -> Seq {
        self.seq
    }

    /// The number of starts that were declined because they did not fit.
    #[must_use]
    pub fn declined(&self) -> u64 {
        self.declined
    }

    /// Ends the task if it runs.
    pub fn finish(&mut self, task: TaskId, ending: Ending) {
        if self.tasks.remove(&task).is_some() {
            self.ended.insert(task, ending);
        }
    }

    /// Ends every task if the lease has expired at `now` on the worker's own clock.
    pub fn lapse(&mut self, now: Duration) {
        if now < self.lease_end {
            return;
        }
        for (task, _) in std::mem::take(&mut self.tasks) {
            self.ended.insert(task, Ending::Lapsed);
        }
    }

    /// Handles a request at `now` on the worker's own clock and returns the reply.
    pub fn handle(&mut self, now: Duration, req: &Request) -> Reply {
        self.lapse(now);
        let seq = req.seq();
        let accepted = match req {
            Request::Hello { .. } => return Reply::Hello { seq, incarnation: self.incarnation },
            Request::Claim { epoch, incarnation, .. } => self.claim(*epoch, *incarnation, seq),
            Request::Command(c) => self.command(now, c),
        };
        match accepted {
            Ok(list) => Reply::Report(self.report(now, seq, list)),
            Err(why) => Reply::Refused { seq, why },
        }
    }

    fn claim(&mut self, epoch: Epoch, incarnation: Incarnation, seq: Seq) -> Result<bool, Refusal> {
        self.fence(epoch, incarnation, seq)?;
        self.epoch = epoch;
        self.seq = seq;
        Ok(true)
    }

    fn fence(&self, epoch: Epoch, incarnation: Incarnation, seq: Seq) -> Result<(), Refusal> {
        if incarnation != self.incarnation {
            return Err(Refusal::Incarnation(self.incarnation));
        }
        if epoch < self.epoch {
            return Err(Refusal::Epoch(self.epoch));
        }
        if epoch == self.epoch && seq <= self.seq {
            return Err(Refusal::Seq);
        }
        Ok(())
    }

    fn command(&mut self, now: Duration, c: &Command) -> Result<bool, Refusal> {
        self.fence(c.epoch, c.incarnation, c.seq)?;
        if c.epoch != self.epoch {
            // Only a claim raises the epoch: a command before it would start tasks that the claim's report does not
            // list.
            return Err(Refusal::Epoch(self.epoch));
        }
        let lease_end = c.stamp.saturating_add(self.length);
        if lease_end <= now {
            return Err(Refusal::Stamp);
        }
        self.seq = c.seq;
        self.lease_end = self.lease_end.max(lease_end);
        for task in &c.acks {
            self.ended.remove(task);
        }
        for task in &c.stops {
            self.finish(*task, Ending::Stopped);
        }
        let declined_before = self.declined;
        for s in &c.starts {
            self.start(s);
        }
        Ok(c.list || self.declined > declined_before)
    }

    /// Starts a task if it fits. If not, the reply lists the running tasks, so that the owner sees that this one is
    /// missing.
    fn start(&mut self, s: &Start) {
        let used =
            self.tasks.values().fold(Resources::default(), |sum, h| sum.saturating_add(&h.size));
        let size = Resources::from(s.size);
        if !used.saturating_add(&size).fits(&self.capacity) {
            self.declined += 1;
            return;
        }
        self.ended.remove(&s.task);
        self.tasks.insert(s.task, RunningTask { size, program: s.program.clone() });
    }

    fn report(&self, now: Duration, seq: Seq, list: bool) -> Report {
        let running =
            |(task, h): (&TaskId, &RunningTask)| Running { task: *task, size: h.size.into() };
        Report {
            seq,
            stamp: now,
            capacity: self.capacity.into(),
            used: self.used.into(),
            running: list.then(|| self.tasks.iter().map(running).collect()),
            ended: self.ended.iter().map(|(t, e)| Ended { task: *t, ending: *e }).collect(),
            leaving: self.leaving,
        }
    }
}
