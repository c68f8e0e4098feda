//! Calls and answers on their way: what happens when they arrive.

use super::{TICK, World};
use crate::worker::TaskRun;
use catkin_cell::cell::AdviceAnswer::{Eligible, Unavailable};
use catkin_cell::worker::{EndReason, Reply, WorkerIndex, WorkerReport};
use catkin_cell::{Action, AdviceRequest, Start, Stop, Write};
use catkin_types::Epoch;
use std::time::Duration;

pub(super) enum Event {
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

impl World {
    pub(super) fn schedule_event(&mut self, when: Duration, event: Event) {
        self.seq += 1;
        self.events.insert((when, self.seq), event);
    }

    pub(super) fn deliver_start(&mut self, s: Start, epoch: Epoch, answered: bool) {
        let now = self.now;
        let (n, unreachable) = self.worker_reachability(s.worker, epoch);
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

    pub(super) fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::DeliverStart(s, _, _, receiver) if self.is_dropped(s.worker, receiver) => {}
            Event::DeliverStop(s, _, _, receiver) if self.is_dropped(s.worker, receiver) => {}
            Event::DeliverStart(s, epoch, answered, _) => self.deliver_start(s, epoch, answered),
            Event::DeliverStop(s, epoch, answered, _) => {
                let (n, unreachable) = self.worker_reachability(s.worker, epoch);
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
                let (n, unreachable) = self.worker_reachability(idx, epoch);
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
}
