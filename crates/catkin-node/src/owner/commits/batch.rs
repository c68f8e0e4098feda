//! One batch: written whole, or in pieces if the table service refuses it.

use super::{CommittedBatch, Submission};
use crate::cx::Cx;
use crate::gate::outcome::WriteOutcome;
use crate::owner::Message;
use crate::table::latency::Latency;
use crate::table::{self, ENDED, Head, JOBS, PROGRESS};
use catkin_cell::Write;
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Row, Transaction};
use catkin_types::JobId;
use catkin_types::id::format_job;
use ractor::ActorRef;
use std::time::Duration;

/// The longest timeout of one write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay before a batch is written again.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The result of one attempt to write a batch.
enum Attempt {
    /// The table service answered, or did not.
    Completed(Result<CommitOutcome, Error>),
    /// The answer is missing, and the part's row has changed since it was sent.
    Changed(Row),
}

/// The result of writing one piece of a batch.
enum Written {
    /// The piece is durable, and the part's row has this version.
    Committed(u64),
    /// The table service refuses the piece for good.
    Refused(String),
    /// An owner of a later term exists.
    Superseded,
}

/// The rows of a batch, or of a piece of it.
#[derive(Debug, Default)]
pub(super) struct Content {
    pub writes: Vec<Write>,
    pub submissions: Vec<Submission>,
}

impl Content {
    fn len(&self) -> usize {
        self.writes.len() + self.submissions.len()
    }

    /// Removes the second half and returns it.
    fn split_off_half(&mut self) -> Self {
        let half = self.len() / 2;
        let submissions = self.submissions.split_off(half.min(self.submissions.len()));
        let writes = self.writes.split_off(half - self.submissions.len());
        Self { writes, submissions }
    }

    fn append(&mut self, mut other: Self) {
        self.writes.append(&mut other.writes);
        self.submissions.append(&mut other.submissions);
    }

    /// Returns the table and the job of each row.
    fn rows(&self) -> impl Iterator<Item = (&'static str, JobId)> {
        let writes = self.writes.iter().map(|w| match w {
            Write::Progress(id, _) => (PROGRESS, *id),
            Write::Ended(id, _) => (ENDED, *id),
        });
        writes.chain(self.submissions.iter().map(|s| (JOBS, s.id)))
    }
}

/// A batch that is being written.
pub(super) struct Batch {
    part: usize,
    /// The version of the part's row before the batch.
    version: u64,
    /// The part's row after the batch.
    head: Head,
    content: Content,
}

impl Batch {
    pub(super) fn new(part: usize, version: u64, head: Head, content: Content) -> Self {
        Self { part, version, head, content }
    }

    /// Writes the batch, with retries until the result is known. If the table service refuses it for good, it is written
    /// in pieces, to find the rows that are refused. Returns `None` if an owner of a later term exists.
    pub(super) async fn write(
        mut self,
        cx: &Cx,
        owner: &ActorRef<Message>,
    ) -> Option<CommittedBatch> {
        let (mut durable, mut refused) = (Content::default(), Content::default());
        let mut pieces = vec![std::mem::take(&mut self.content)];
        while let Some(piece) = pieces.pop() {
            self.content = piece;
            match self.write_piece(cx, owner).await {
                Written::Superseded => return None,
                Written::Committed(version) => durable.append(self.advance(version)),
                Written::Refused(why) => {
                    let mut piece = std::mem::take(&mut self.content);
                    if piece.len() > 1 {
                        pieces.push(piece.split_off_half());
                        pieces.push(piece);
                    } else if self.write_head(cx, owner).await? {
                        report_refused(cx, &piece, &why);
                        refused.append(piece);
                    } else {
                        tokio::time::sleep(RETRY_DELAY).await;
                        pieces.push(piece);
                    }
                }
            }
        }
        let transactions = self.head.writes - 1;
        Some(CommittedBatch {
            part: self.part,
            version: self.version,
            transactions,
            durable,
            refused,
        })
    }

    /// Writes the part's row alone, after a job's row was refused. Returns `false` if the service refuses this too: the
    /// job's row is then not at fault. Returns `None` if an owner of a later term exists.
    async fn write_head(&mut self, cx: &Cx, owner: &ActorRef<Message>) -> Option<bool> {
        match self.write_piece(cx, owner).await {
            Written::Superseded => None,
            Written::Committed(version) => {
                self.advance(version);
                Some(true)
            }
            Written::Refused(e) => {
                tracing::warn!("owner: every write of part {} is refused: {e}", self.part);
                Some(false)
            }
        }
    }

    /// Prepares the next transaction after one that set the part's row to `version`. Returns the rows of that one.
    fn advance(&mut self, version: u64) -> Content {
        self.version = version;
        self.head.writes += 1;
        std::mem::take(&mut self.content)
    }

    fn changes(&self, now_ms: u64) -> Transaction {
        let mut changes =
            table::batch_changes(self.part, self.version, self.head, &self.content.writes, now_ms);
        for n in &self.content.submissions {
            let accept = table::accept_changes(n.id, &n.job);
            changes.expected_versions.extend(accept.expected_versions);
            changes.put.extend(accept.put);
        }
        changes
    }

    /// Writes the content in one transaction, with retries until the result is known. The expected version of the part's
    /// row prevents a write that is carried out late, or twice, from taking effect.
    async fn write_piece(&mut self, cx: &Cx, owner: &ActorRef<Message>) -> Written {
        let mut answer_lost = false;
        let mut changes = self.changes(cx.table.clock_ms());
        loop {
            match self.attempt(cx, &changes).await {
                Attempt::Changed(row) => return self.outcome_of_change(&row),
                Attempt::Completed(Ok(CommitOutcome::Committed { version, .. })) => {
                    return Written::Committed(version);
                }
                Attempt::Completed(Ok(CommitOutcome::Conflict(rows))) => {
                    let head = rows.iter().find(|r| r.key == table::head_key(self.part).key);
                    let Some(row) = head else { return Written::Superseded };
                    if row.version != self.version {
                        return self.outcome_of_change(row);
                    }
                    let withdrawn =
                        self.take_stored(|id| is_stored(&rows, id, table::is_withdrawn));
                    let duplicates = self.take_stored(|id| is_stored(&rows, id, |_| true));
                    if withdrawn.is_empty() && duplicates.is_empty() {
                        return Written::Superseded;
                    }
                    settle(owner, withdrawn, WriteOutcome::NoSuchJob);
                    settle(owner, duplicates, WriteOutcome::AlreadyDone);
                    changes = self.changes(cx.table.clock_ms());
                }
                // An earlier attempt had the same rows, so it was not carried out either.
                Attempt::Completed(Err(Error::Refused(why))) => return Written::Refused(why),
                Attempt::Completed(Err(e)) => {
                    tracing::debug!("owner: writing part {} failed, will retry: {e}", self.part);
                    let not_done = matches!(e, Error::NotDone(_));
                    answer_lost |= !not_done;
                    if not_done && !answer_lost && !self.content.submissions.is_empty() {
                        // No attempt was carried out, so the clients can be sent a definite refusal.
                        let refused = std::mem::take(&mut self.content.submissions);
                        settle(owner, refused, WriteOutcome::NotCommitted);
                        changes = self.changes(cx.table.clock_ms());
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Returns the outcome of the transaction if the part's row, which has changed since, was written by it or not.
    fn outcome_of_change(&self, row: &Row) -> Written {
        let stored_head: Option<Head> = table::decode(row);
        if stored_head == Some(self.head) {
            Written::Committed(row.version)
        } else {
            Written::Superseded
        }
    }

    /// Sends the batch once. While its answer is missing, the part's row is read: a slow service gets no second write
    /// beside the first, and a lost answer is noticed before the timeout.
    async fn attempt(&self, cx: &Cx, changes: &Transaction) -> Attempt {
        tokio::select! {
            outcome = cx.table.commit_patiently(changes, WRITE_TIMEOUT) => {
                Attempt::Completed(outcome)
            }
            row = self.look_for_change(cx) => match row {
                Some(row) => Attempt::Changed(row),
                None => Attempt::Completed(Err(Error::Unknown("overdue, and not carried out".into()))),
            },
        }
    }

    /// Reads the part's row until it has changed. Returns `None` once the write is overdue.
    async fn look_for_change(&self, cx: &Cx) -> Option<Row> {
        let (key, sent) = (table::head_key(self.part), cx.now());
        loop {
            tokio::time::sleep(cx.table.latency().check_delay()).await;
            let read_at = cx.now();
            match cx.table.read_one(&key, WRITE_TIMEOUT).await {
                Ok(Some(row)) if row.version != self.version => return Some(row),
                Ok(_) => {
                    let read_time = cx.now().saturating_sub(read_at);
                    if Latency::is_overdue(read_at.saturating_sub(sent), read_time) {
                        return None;
                    }
                }
                Err(e) => tracing::debug!("owner: the row of part {} not read: {e}", self.part),
            }
        }
    }

    /// Removes the new jobs for which `is_stored` holds, and returns them.
    fn take_stored(&mut self, is_stored: impl Fn(JobId) -> bool) -> Vec<Submission> {
        self.content.submissions.extract_if(.., |n| is_stored(n.id)).collect()
    }
}

/// Returns whether one of the rows exists, is about the job, and is of this kind.
fn is_stored(rows: &[Row], id: JobId, is_kind: impl Fn(&Row) -> bool) -> bool {
    let key = format_job(id);
    rows.iter().any(|r| r.key == key && r.value.is_some() && is_kind(r))
}

/// Reports a row that the table service refuses for good.
fn report_refused(cx: &Cx, content: &Content, why: &str) {
    for (table, id) in content.rows() {
        cx.metrics.count_refused_row(table);
        tracing::warn!(job = format_job(id), table, why, "owner: row refused for good");
    }
}

/// Tells the owner the outcome of submissions that are no longer part of their batch.
fn settle(owner: &ActorRef<Message>, submissions: Vec<Submission>, outcome: WriteOutcome) {
    // An owner that has stopped has dropped the submissions: their outcome is then unknown to their clients.
    drop(owner.send_message(Message::SubmissionsSettled(submissions, outcome)));
}
