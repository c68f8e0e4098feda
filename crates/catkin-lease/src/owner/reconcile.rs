//! Answers of workers.

use super::link::{Link, Phase, Stamp};
use super::{Event, Owner, State};
use crate::message::{Ended, Ending, Refusal, Reply, Report, Running};
use catkin_types::{TaskId, WorkerId};
use std::collections::BTreeSet;
use std::time::Duration;

impl Owner {
    /// Takes up an answer of a worker at `now`. One that was not awaited any more is dropped.
    pub fn receive(&mut self, now: Duration, worker: &WorkerId, reply: &Reply) -> Vec<Event> {
        let mut events = Vec::new();
        // A stamp taken after the autonomy ended would stretch a lease past what a successor waits for.
        if !self.may_act(now) {
            return events;
        }
        let Some(link) = self.links.get_mut(worker) else { return events };
        let awaited = link.inflight.filter(|i| i.seq == reply.seq());
        let Some(inflight) = awaited else { return events };
        link.inflight = None;
        match reply {
            Reply::Hello { incarnation, .. } => {
                link.phase = Phase::Heard { incarnation: *incarnation, at: now };
            }
            Reply::Refused { why, .. } => {
                self.refused(now, worker, *why, inflight.command, &mut events);
            }
            Reply::Report(r) => self.report(now, worker, r, &mut events),
        }
        self.settle(now, &mut events);
        if self.links.get(worker).is_some_and(|l| !l.starts.is_empty() || l.list) {
            self.ready.insert(worker.clone());
        }
        events
    }

    fn refused(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        why: Refusal,
        command: bool,
        events: &mut Vec<Event>,
    ) {
        let Some(link) = self.links.get_mut(worker) else { return };
        match why {
            Refusal::Epoch(epoch) if epoch > self.epoch => {
                self.lost = true;
                events.push(Event::Deposed);
            }
            // The former incarnation's tasks ended with it, so that the claim can be made anew at once.
            Refusal::Incarnation(incarnation) => {
                if link.claimed() {
                    self.lose(worker, events);
                }
                if let Some(link) = self.links.get_mut(worker) {
                    link.phase = Phase::Heard { incarnation, at: now };
                }
            }
            // The command did nothing. The list tells what runs, and a new stamp comes with it.
            Refusal::Stamp | Refusal::Seq | Refusal::Epoch(_) => {
                link.list |= command;
                if why != Refusal::Seq || !command {
                    link.phase = Phase::Unheard;
                    link.next_at = now;
                }
            }
        }
    }

    fn report(&mut self, now: Duration, worker: &WorkerId, r: &Report, events: &mut Vec<Event>) {
        let Some(link) = self.links.get_mut(worker) else { return };
        link.stamp = Some(Stamp { worker: r.stamp, received: now });
        link.capacity = r.capacity.into();
        link.observed = r.used.into();
        if r.leaving && !link.leaving {
            events.push(Event::Leaving(worker.clone()));
        }
        link.leaving = r.leaving;
        link.acks.clear();
        link.keep_pace(!r.ended.is_empty(), now, &self.opt);
        if let Phase::Heard { incarnation, .. } = link.phase {
            link.phase = Phase::Claimed { incarnation };
            link.next_at = now;
            link.settle_at = None;
            events.push(Event::Claimed(worker.clone()));
        }
        for e in &r.ended {
            self.ended(worker, e, events);
        }
        if let Some(running) = &r.running {
            self.reconcile(worker, running, events);
        }
    }

    fn ended(&mut self, worker: &WorkerId, e: &Ended, events: &mut Vec<Event>) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let restarted = link.starts.iter().any(|s| s.task == e.task);
        if restarted {
            link.acks.insert(e.task);
            return;
        }
        link.remove(e.task);
        let Some(t) = self.tasks.get_mut(&e.task) else {
            link.acks.insert(e.task);
            return;
        };
        let here = matches!(&t.state, State::On(w) if w == worker);
        let nowhere = matches!(t.state, State::Waiting | State::Held);
        match e.ending {
            // A failure that an earlier term may have retried says nothing of where the task runs now.
            Ending::Ok | Ending::Failed if here || (nowhere && e.ending == Ending::Ok) => {
                t.state = State::Ended(e.ending);
                let ending = e.ending;
                events.push(Event::Ended { task: e.task, worker: worker.clone(), ending });
            }
            Ending::Ok | Ending::Failed => {
                // An end that was reported before is acknowledged after it is recorded.
                if !matches!(t.state, State::Ended(_)) {
                    link.acks.insert(e.task);
                }
            }
            Ending::Stopped | Ending::Lapsed => {
                link.acks.insert(e.task);
                self.wait_again(e.task, worker, events);
            }
        }
    }

    /// Compares the list of running tasks with what was started there.
    fn reconcile(&mut self, worker: &WorkerId, running: &[Running], events: &mut Vec<Event>) {
        let Some(link) = self.links.get_mut(worker) else { return };
        link.list = false;
        let listed: BTreeSet<TaskId> = running.iter().map(|x| x.task).collect();
        for x in running {
            link.insert(x.task, x.size.into());
            match self.tasks.get_mut(&x.task) {
                Some(t) if matches!(t.state, State::Held | State::Waiting) => {
                    t.state = State::On(worker.clone());
                }
                Some(t) if matches!(&t.state, State::On(w) if w == worker) => {}
                _ => {
                    link.stopping.insert(x.task);
                }
            }
        }
        let queued: BTreeSet<TaskId> = link.starts.iter().map(|s| s.task).collect();
        let absent = |t: &&TaskId| !listed.contains(t) && !queued.contains(t);
        let missing: Vec<TaskId> = link.tasks.keys().filter(absent).copied().collect();
        for task in missing {
            self.drop_missing(task, worker, events);
        }
        if let Some(link) = self.links.get_mut(worker) {
            stop_listed(link);
        }
    }

    fn drop_missing(&mut self, task: TaskId, worker: &WorkerId, events: &mut Vec<Event>) {
        if let Some(link) = self.links.get_mut(worker) {
            link.remove(task);
        }
        self.wait_again(task, worker, events);
    }
}

/// Sends the stops of listed tasks with the next command, which comes at once.
fn stop_listed(link: &mut Link) {
    let tasks = &link.tasks;
    link.stopping.retain(|t| tasks.contains_key(t));
    if !link.stopping.is_empty() {
        link.list = true;
    }
}
