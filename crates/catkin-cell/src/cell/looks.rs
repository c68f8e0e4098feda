//! What a look at a worker tells.

use super::Cell;
use crate::action::{Action, Stop};
use crate::job::State;
use crate::note::Note;
use crate::task::{StepRef, Task};
use crate::worker::{Ended, Held, How, No, Phase, Running, Seen, Unacknowledged};
use catkin_types::JobId;
use std::collections::HashSet;
use std::time::Duration;

/// A worker lists at most this many ends at once. With as many, others may be missing.
const MOST_ENDS: usize = 500;

impl Cell {
    /// A look at `no` that was sent at `sent` got no answer.
    pub fn not_seen(&mut self, no: No) {
        let w = self.worker_mut(no);
        w.misses = w.misses.saturating_add(1);
    }

    /// A look at `no` that was sent at `sent` got this answer.
    pub fn seen(
        &mut self,
        no: No,
        sent: Duration,
        seen: &Seen,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let w = self.worker_mut(no);
        if seen.born != 0 && seen.born != w.listed.born {
            if w.listed.born > seen.born {
                return;
            }
            self.reborn(no, seen.born);
        }
        let w = self.worker_mut(no);
        // Answers on different connections may overtake each other.
        if w.clock.is_some_and(|(clock, _)| clock > seen.clock_ms) {
            return;
        }
        w.clock = Some((seen.clock_ms, now));
        w.misses = 0;
        w.claimed = true;
        if !self.settled.contains(&self.worker(no).listed.id) {
            self.settled.insert(self.worker(no).listed.id.clone());
        }
        for end in &seen.ended {
            self.note_end(no, end, now, out);
        }
        for r in &seen.running {
            self.note_running(no, r, now, out);
        }
        if seen.ended.len() < MOST_ENDS {
            self.note_absent(no, sent, seen, out);
        }
        self.acknowledge_at(no);
    }

    fn note_end(&mut self, no: No, end: &Ended, now: Duration, out: &mut Vec<Action>) {
        let w = self.worker_mut(no);
        if end.number <= w.noted {
            return;
        }
        w.noted = end.number;
        let held = w.held.get(&end.task).is_some_and(|h| h.run == end.run);
        if held {
            w.release(&end.task);
        }
        let needs = self.apply_end(no, end, held, now, out);
        let end = Unacknowledged { number: end.number, needs };
        self.worker_mut(no).unacknowledged.push_back(end);
    }

    /// Applies an end to its job. Returns the version that has to be durable before the end may be forgotten.
    fn apply_end(
        &mut self,
        no: No,
        end: &Ended,
        held: bool,
        now: Duration,
        out: &mut Vec<Action>,
    ) -> Option<(JobId, u64)> {
        let task = end.task;
        let j = self.jobs.get_mut(&task.step.job)?;
        j.begun = true;
        let concluded = j.outcome.is_some();
        let kind = j.job.steps.get(task.step.step as usize)?.clone();
        let step = j.step_mut(task.step)?;
        let t = step.tasks.get_mut(task.index as usize)?;
        t.run = t.run.max(end.run);
        let here = t.at == Some(no) && held;
        if !end.checkpoint.is_empty() && end.how != How::Done {
            t.checkpoint = Some(end.checkpoint.clone());
            if kind.gang {
                step.checkpoint = Some(end.checkpoint.clone());
            }
        }
        if here {
            self.unplace(task);
        }
        if concluded {
            return Some((task.step.job, self.jobs.get(&task.step.job)?.version));
        }
        match end.how {
            How::Done if !kind.long_running => {
                self.judge(no, task, true, now);
                Some(self.done(task, kind.gang, out))
            }
            How::Failed if !kind.long_running => {
                self.judge(no, task, false, now);
                Some(self.failed(task, end.run, no, kind.gang, out))
            }
            How::Alone => {
                self.counts.gangs_given_up += 1;
                self.notes.push(Note::GangGivenUp(task.step));
                None
            }
            _ => None,
        }
    }

    fn judge(&mut self, no: No, task: Task, well: bool, now: Duration) {
        let Self { workers, fleet, .. } = self;
        fleet.record_end(&workers[no.index()].listed.id, task.step.job, well, now);
    }

    /// The task, or the gang that it is a member of, has done its work.
    fn done(&mut self, task: Task, gang: bool, out: &mut Vec<Action>) -> (JobId, u64) {
        let r = task.step;
        let known = self.step(r).is_some_and(|s| s.tasks[task.index as usize].done);
        if known {
            return (r.job, self.jobs.get(&r.job).map_or(0, |j| j.version));
        }
        let mut elsewhere = Vec::new();
        if let Some(step) = self.step_mut(r) {
            let all = 0..u32::try_from(step.tasks.len()).unwrap_or(u32::MAX);
            let ended = if gang { all } else { task.index..task.index + 1 };
            for i in ended {
                let t = &mut step.tasks[i as usize];
                if !t.done {
                    t.done = true;
                    step.undone -= 1;
                }
                if t.at.is_some() && !gang {
                    elsewhere.push(r.task(i));
                }
            }
        }
        self.counts.done += 1;
        // A run that took the place of one that was given up for lost.
        for t in elsewhere {
            self.stop_task(t, out);
        }
        let version = self.mark(r.job);
        if self.step(r).is_some_and(|s| s.undone == 0) {
            self.reserved.remove(&r);
            self.assembling.remove(&r);
            self.step_ended(r, out);
        }
        self.refresh(r);
        (r.job, version)
    }

    fn failed(
        &mut self,
        task: Task,
        run: u32,
        worker: No,
        gang: bool,
        out: &mut Vec<Action>,
    ) -> (JobId, u64) {
        let r = task.step;
        let most = self
            .jobs
            .get(&r.job)
            .and_then(|j| self.queues.get(&j.job.queue))
            .map_or(u32::MAX, |q| q.max_attempts.max(1));
        let mut failures = 0;
        if let Some(step) = self.step_mut(r) {
            let t = &mut step.tasks[if gang { 0 } else { task.index as usize }];
            // Several members of one run of a gang may fail, which is one failure of the gang. An earlier owner may
            // have counted an end that it could not acknowledge.
            if t.failed_run < run {
                t.failed_run = run;
                t.failed += 1;
            }
            failures = t.failed;
        }
        self.counts.failed += 1;
        self.notes.push(Note::Failed { task, run, worker, times: failures, most });
        let version = self.mark(r.job);
        if failures >= most {
            self.conclude(r.job, State::Failed, out);
        }
        (r.job, version)
    }

    fn note_running(&mut self, no: No, r: &Running, now: Duration, out: &mut Vec<Action>) {
        let w = self.worker_mut(no);
        let born = w.listed.born;
        let Some(held) = w.held.get_mut(&r.task) else {
            self.adopt(no, r, now, out);
            return;
        };
        if held.run != r.run {
            out.push(Action::Stop(Stop { worker: no, born, task: r.task, run: r.run }));
            return;
        }
        held.listed = true;
        if matches!(held.phase, Phase::Starting | Phase::Unknown) {
            held.phase = Phase::Running;
            held.since = now;
        }
        self.note_checkpoint(r);
        self.note_begun(r.task.step);
    }

    fn note_checkpoint(&mut self, r: &Running) {
        if r.checkpoint.is_empty() {
            return;
        }
        let Some(j) = self.jobs.get_mut(&r.task.step.job) else { return };
        let gang = j.job.steps.get(r.task.step.step as usize).is_some_and(|s| s.gang);
        let Some(step) = j.step_mut(r.task.step) else { return };
        if gang {
            step.checkpoint = Some(r.checkpoint.clone());
        } else if let Some(t) = step.tasks.get_mut(r.task.index as usize) {
            t.checkpoint = Some(r.checkpoint.clone());
        }
    }

    pub(super) fn note_begun(&mut self, r: StepRef) {
        if let Some(j) = self.jobs.get_mut(&r.job) {
            j.begun = true;
        }
    }

    /// Takes a task in that runs there and that this owner did not start, or has it stopped.
    fn adopt(&mut self, no: No, r: &Running, now: Duration, out: &mut Vec<Action>) {
        let wanted = self.jobs.get(&r.task.step.job).is_some_and(|j| {
            let t = j.step(r.task.step).and_then(|s| s.tasks.get(r.task.index as usize));
            j.outcome.is_none() && t.is_some_and(|t| !t.done && t.at.is_none())
        });
        let room = self
            .jobs
            .get(&r.task.step.job)
            .and_then(|j| Some(j.job.steps.get(r.task.step.step as usize)?.room()));
        let w = self.worker_mut(no);
        let born = w.listed.born;
        let held = Held {
            run: r.run,
            // The size of a task of a job that is no longer known can't be told: nothing else fits beside it.
            room: room.unwrap_or(w.host.capacity),
            phase: if wanted { Phase::Running } else { Phase::Stopping },
            since: now,
            start_by_ms: 0,
            listed: true,
            stop_answered: None,
            expected_end: now,
        };
        w.hold(r.task, held);
        if wanted {
            if let Some(t) =
                self.step_mut(r.task.step).and_then(|s| s.tasks.get_mut(r.task.index as usize))
            {
                t.at = Some(no);
                t.run = t.run.max(r.run);
            }
            self.note_checkpoint(r);
            self.note_begun(r.task.step);
            self.refresh(r.task.step);
        } else {
            out.push(Action::Stop(Stop { worker: no, born, task: r.task, run: r.run }));
        }
    }

    /// Settles tasks that the worker listed neither as running nor as ended.
    fn note_absent(&mut self, no: No, sent: Duration, seen: &Seen, out: &mut Vec<Action>) {
        let w = self.worker_mut(no);
        let listed: HashSet<(Task, u32)> = seen.running.iter().map(|r| (r.task, r.run)).collect();
        let born = w.listed.born;
        let mut gone = Vec::new();
        for (task, held) in &mut w.held {
            if listed.contains(&(*task, held.run)) {
                continue;
            }
            match held.phase {
                Phase::Running if held.since < sent => gone.push(*task),
                Phase::Reserved | Phase::Starting | Phase::Running => {}
                Phase::Stopping => {
                    if held.stop_answered.is_some_and(|at| at < sent) {
                        gone.push(*task);
                    }
                }
                Phase::Unknown => {
                    if held.since >= sent {
                        continue;
                    }
                    if seen.clock_ms > held.start_by_ms {
                        gone.push(*task);
                    } else {
                        held.phase = Phase::Stopping;
                        held.since = sent;
                        let run = held.run;
                        out.push(Action::Stop(Stop { worker: no, born, task: *task, run }));
                    }
                }
            }
        }
        for task in gone {
            self.worker_mut(no).release(&task);
            self.lost(task, no);
        }
    }
}
