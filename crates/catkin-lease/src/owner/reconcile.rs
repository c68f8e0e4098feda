//! Handling of replies from workers.

use super::session::{Phase, Session, Stamp};
use super::{Event, Owner, TaskState};
use crate::message::{Ended, Ending, Refusal, Reply, Report, Running};
use catkin_types::{TaskId, WorkerId};
use std::collections::BTreeSet;
use std::time::Duration;

impl Owner {
    /// Handles a reply that arrived at `now`. A reply to any but the request in flight is dropped.
    pub fn receive(&mut self, now: Duration, worker: &WorkerId, reply: &Reply) -> Vec<Event> {
        let mut events = Vec::new();
        // A stamp accepted after the autonomy ended would extend a lease beyond the time that a successor waits.
        if !self.may_act(now) {
            return events;
        }
        let Some(session) = self.sessions.get_mut(worker) else { return events };
        let awaited = session.inflight.filter(|i| i.seq == reply.seq());
        let Some(inflight) = awaited else { return events };
        session.inflight = None;
        match reply {
            Reply::Hello { incarnation, .. } => {
                session.phase = Phase::Identified { incarnation: *incarnation, at: now };
            }
            Reply::Refused { why, .. } => {
                self.handle_refusal(now, worker, *why, inflight.is_command, &mut events);
            }
            Reply::Report(r) => self.handle_report(now, worker, r, &mut events),
        }
        self.settle(now, &mut events);
        if self.sessions.get(worker).is_some_and(|l| !l.starts.is_empty() || l.list) {
            self.workers_to_send.insert(worker.clone());
        }
        events
    }

    fn handle_refusal(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        why: Refusal,
        is_command: bool,
        events: &mut Vec<Event>,
    ) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        match why {
            Refusal::Epoch(epoch) if epoch > self.epoch => {
                self.stepped_down = true;
                events.push(Event::Superseded);
            }
            // The tasks of the former incarnation ended with it, so that the new one can be claimed at once.
            Refusal::Incarnation(incarnation) => {
                if session.claimed() {
                    self.end_claim(worker, events);
                }
                if let Some(session) = self.sessions.get_mut(worker) {
                    session.phase = Phase::Identified { incarnation, at: now };
                }
            }
            // The command changed nothing. The next report lists what runs and carries a new stamp.
            Refusal::Stamp | Refusal::Seq | Refusal::Epoch(_) => {
                session.list |= is_command;
                if why != Refusal::Seq || !is_command {
                    session.phase = Phase::Unknown;
                    session.next_request_at = now;
                }
            }
        }
    }

    fn handle_report(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        r: &Report,
        events: &mut Vec<Event>,
    ) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        session.stamp = Some(Stamp { worker_time: r.stamp, received_at: now });
        session.capacity = r.capacity.into();
        session.observed = r.used.into();
        if r.leaving && !session.leaving {
            events.push(Event::Leaving(worker.clone()));
        }
        session.leaving = r.leaving;
        session.acks.clear();
        // A command whose answer was lost may not have arrived: only the list of running tasks tells.
        if !session.list || r.running.is_some() {
            session.unconfirmed.clear();
        }
        session.update_poll_interval(!r.ended.is_empty(), now, &self.opt);
        if let Phase::Identified { incarnation, .. } = session.phase {
            session.phase = Phase::Claimed { incarnation };
            session.next_request_at = now;
            session.settle_at = None;
            events.push(Event::Claimed(worker.clone()));
        }
        for e in &r.ended {
            self.handle_ended(worker, e, events);
        }
        if let Some(running) = &r.running {
            self.reconcile(worker, running, events);
        }
    }

    fn handle_ended(&mut self, worker: &WorkerId, e: &Ended, events: &mut Vec<Event>) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let start_queued = session.starts.iter().any(|s| s.task == e.task);
        if start_queued {
            session.acks.insert(e.task);
            return;
        }
        session.remove(e.task);
        let Some(t) = self.tasks.get_mut(&e.task) else {
            session.acks.insert(e.task);
            return;
        };
        let assigned_here = matches!(&t.state, TaskState::Assigned(w) if w == worker);
        let unassigned = matches!(t.state, TaskState::Waiting | TaskState::MaybeRunning);
        match e.ending {
            // An earlier term may have retried the task after this failure: it may run on another worker now.
            Ending::Ok | Ending::Failed
                if assigned_here || (unassigned && e.ending == Ending::Ok) =>
            {
                t.state = TaskState::Ended(e.ending);
                let ending = e.ending;
                events.push(Event::Ended { task: e.task, worker: worker.clone(), ending });
            }
            Ending::Ok | Ending::Failed => {
                // An end that was reported before is acknowledged only once it is recorded.
                if !matches!(t.state, TaskState::Ended(_)) {
                    session.acks.insert(e.task);
                }
            }
            Ending::Stopped | Ending::Lapsed => {
                session.acks.insert(e.task);
                self.requeue(e.task, worker, events);
            }
        }
    }

    /// Compares the worker's list of running tasks with those assigned to it: stops tasks that should not run there,
    /// and requeues those that are missing.
    fn reconcile(&mut self, worker: &WorkerId, running: &[Running], events: &mut Vec<Event>) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        session.list = false;
        let listed: BTreeSet<TaskId> = running.iter().map(|x| x.task).collect();
        for x in running {
            session.insert(x.task, x.size.into());
            match self.tasks.get_mut(&x.task) {
                Some(t) if matches!(t.state, TaskState::MaybeRunning | TaskState::Waiting) => {
                    t.state = TaskState::Assigned(worker.clone());
                }
                Some(t) if matches!(&t.state, TaskState::Assigned(w) if w == worker) => {}
                _ => {
                    session.stopping.insert(x.task);
                }
            }
        }
        let queued: BTreeSet<TaskId> = session.starts.iter().map(|s| s.task).collect();
        let absent = |t: &&TaskId| !listed.contains(t) && !queued.contains(t);
        let missing: Vec<TaskId> = session.tasks.keys().filter(absent).copied().collect();
        for task in missing {
            self.drop_missing(task, worker, events);
        }
        if let Some(session) = self.sessions.get_mut(worker) {
            queue_listed_stops(session);
        }
    }

    fn drop_missing(&mut self, task: TaskId, worker: &WorkerId, events: &mut Vec<Event>) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.remove(task);
        }
        self.requeue(task, worker, events);
    }
}

/// Drops stops of tasks that do not run any more. If any are left, the next command is sent at once.
fn queue_listed_stops(session: &mut Session) {
    let tasks = &session.tasks;
    session.stopping.retain(|t| tasks.contains_key(t));
    if !session.stopping.is_empty() {
        session.list = true;
    }
}
