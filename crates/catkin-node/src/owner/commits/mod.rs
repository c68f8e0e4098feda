//! Batched writes of job rows: new jobs, their progress and their ends. Each part has one batch in flight at a time.

mod batch;

use super::{Message, OwnerState};
use crate::gate::outcome::WriteOutcome;
use crate::table::latency::Latency;
use crate::table::{Head, PART_COUNT, part_of};
use batch::{Batch, Content};
use catkin_cell::Job;
use catkin_cell::worker::millis;
use catkin_platform::store::MAX_ENTRIES;
use catkin_types::id::format_job;
use catkin_types::{Epoch, JobId};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The entries of a transaction that a batch may use beside the two of the part's row.
const MAX_BATCH_ENTRIES: usize = MAX_ENTRIES - 2;
/// The entries that a new job takes.
const SUBMISSION_ENTRIES: usize = 3;
/// The maximum number of new jobs in a batch. Their specs are the largest rows, and progress and ends need room too.
const MAX_BATCH_SUBMISSIONS: usize = 20;
/// The maximum number of new jobs that wait in each part. Further ones are refused at once.
const MAX_QUEUED_SUBMISSIONS: usize = 150;
/// A new job that can't be written within this time is refused at once: its client would no longer wait.
const ACCEPT_BUDGET: Duration = Duration::from_secs(2);
/// The minimum time between two batches of a part, so that each holds more jobs.
const BATCH_INTERVAL: Duration = Duration::from_millis(25);

/// A job that a client submits.
#[derive(Debug)]
pub struct Submission {
    /// The identifier that the client chose.
    pub id: JobId,
    /// The job as it is to be stored.
    pub job: Job,
    /// When the owner received it.
    pub received_at: Duration,
    /// Receives whether the job is durable.
    pub tx: oneshot::Sender<WriteOutcome>,
}

impl Submission {
    fn reply(self, outcome: WriteOutcome) {
        // The client may have left.
        let _ = self.tx.send(outcome);
    }
}

#[derive(Debug, Default)]
struct Part {
    version: u64,
    writes: u64,
    write_in_flight: bool,
    not_before: Duration,
    /// New jobs that are in no batch yet.
    submissions: Vec<Submission>,
    /// New jobs whose outcome is open: those in `submissions` and in the batch in flight.
    open: HashSet<JobId>,
}

impl Part {
    /// Replies to a submission whose outcome is known.
    fn settle(&mut self, submission: Submission, outcome: WriteOutcome) {
        self.open.remove(&submission.id);
        submission.reply(outcome);
    }
}

/// The state of all parts, in the term `epoch`.
#[derive(Debug)]
pub(super) struct Parts {
    epoch: Epoch,
    parts: Vec<Part>,
}

/// A batch whose rows are durable, but for those that the table service refuses for good.
#[derive(Debug)]
pub struct CommittedBatch {
    part: usize,
    /// The version of the part's row.
    version: u64,
    /// The number of transactions on the part in this term, with those of this batch.
    transactions: u64,
    durable: Content,
    refused: Content,
}

impl Parts {
    pub(super) fn new(epoch: Epoch, heads: Vec<u64>) -> Self {
        let part = |version| Part { version, ..Part::default() };
        Self { epoch, parts: heads.into_iter().map(part).collect() }
    }
}

impl OwnerState {
    /// Queues a job that a client submits, or refuses it if the table service is unavailable, or the job can't be
    /// written in time. A job whose earlier submission is still open is neither: that one may yet be stored.
    pub(super) fn queue_submission(&mut self, submission: Submission) {
        if self.cell.is_known(submission.id) {
            submission.reply(WriteOutcome::AlreadyDone);
            return;
        }
        let unavailable = self.cx.table.is_unavailable();
        let max_queued = max_queued(self.cx.table.latency());
        let Some(p) = self.parts.parts.get_mut(part_of(submission.id)) else { return };
        if p.open.contains(&submission.id) {
            submission.reply(WriteOutcome::Unknown);
        } else if unavailable || p.submissions.len() >= max_queued {
            submission.reply(WriteOutcome::NotCommitted);
        } else {
            p.open.insert(submission.id);
            p.submissions.push(submission);
        }
    }

    /// Refuses queued jobs that can't be written in time: all while the table service is unavailable, otherwise those
    /// that have waited too long.
    pub(super) fn refuse_overdue_submissions(&mut self, now: Duration) {
        let unavailable = self.cx.table.is_unavailable();
        let is_overdue =
            |s: &mut Submission| unavailable || now.saturating_sub(s.received_at) >= ACCEPT_BUDGET;
        for p in &mut self.parts.parts {
            let overdue: Vec<Submission> = p.submissions.extract_if(.., is_overdue).collect();
            for s in overdue {
                p.settle(s, WriteOutcome::NotCommitted);
            }
        }
    }

    /// Replies to submissions that are no longer part of their batch.
    pub(super) fn settle_submissions(
        &mut self,
        submissions: Vec<Submission>,
        outcome: WriteOutcome,
    ) {
        for s in submissions {
            if let Some(p) = self.parts.parts.get_mut(part_of(s.id)) {
                p.settle(s, outcome);
            }
        }
    }

    /// Writes a batch in each part that has pending writes and no batch in flight.
    pub(super) fn commit_batches(&mut self, now: Duration) {
        for part in 0..PART_COUNT {
            let Some(p) = self.parts.parts.get_mut(part) else { continue };
            if p.write_in_flight || now < p.not_before {
                continue;
            }
            let rest = p.submissions.split_off(p.submissions.len().min(MAX_BATCH_SUBMISSIONS));
            let submissions = std::mem::replace(&mut p.submissions, rest);
            let entries_left = MAX_BATCH_ENTRIES - submissions.len() * SUBMISSION_ENTRIES;
            let writes = self.cell.take_writes(|id| part_of(id) == part, entries_left);
            if writes.is_empty() && submissions.is_empty() {
                continue;
            }
            p.write_in_flight = true;
            let head = Head { epoch: self.parts.epoch, writes: p.writes + 1 };
            let content = Content { writes, submissions };
            let batch = Batch::new(part, p.version, head, content);
            let (cx, myself) = (Arc::clone(&self.cx), self.myself.clone());
            self.spawn(async move {
                let written = batch.write(&cx, &myself).await;
                let msg = written.map_or(Message::Superseded, Message::BatchWritten);
                drop(myself.send_message(msg));
            });
        }
    }

    pub(super) fn apply_batch(&mut self, committed: CommittedBatch, now: Duration) {
        if let Some(p) = self.parts.parts.get_mut(committed.part) {
            p.version = committed.version;
            p.writes = committed.transactions;
            p.write_in_flight = false;
            p.not_before = now + BATCH_INTERVAL;
            for s in &committed.durable.submissions {
                p.open.remove(&s.id);
            }
        }
        self.cell.handle_written(&committed.durable.writes, now);
        self.cell.handle_refused(&committed.refused.writes);
        self.settle_submissions(committed.refused.submissions, WriteOutcome::Refused);
        for Submission { id, job, tx, received_at } in committed.durable.submissions {
            let waited = now.saturating_sub(received_at);
            if waited >= ACCEPT_BUDGET {
                let (job, waited_ms) = (format_job(id), millis(waited));
                tracing::info!(job, waited_ms, "owner: job stored after its client was answered");
            }
            self.add(id, job, now);
            // The client may have left.
            let _ = tx.send(WriteOutcome::Durable);
        }
    }
}

/// Returns how many new jobs may wait in a part, so that the last one is durable while its client waits.
#[must_use]
pub fn max_queued(latency: Latency) -> usize {
    (latency.writes_within(ACCEPT_BUDGET) * MAX_BATCH_SUBMISSIONS).min(MAX_QUEUED_SUBMISSIONS)
}
