//! Writes of jobs, one batch at a time for each part: jobs that are accepted, their progress and their ends.

use super::{Message, Running};
use crate::cx::Cx;
use crate::gate::store::Durable;
use crate::table::{self, Head, PARTS, part_of};
use catkin_cell::action::StoredJob;
use catkin_cell::{Job, Write};
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Row, Transaction};
use catkin_types::{Epoch, JobId};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A batch holds at most so many jobs: each takes up to three entries of a call.
const MOST_JOBS: usize = 30;
/// How many of them may be new. Their specs are the largest rows.
const MOST_NEW: usize = 20;
/// So many new jobs wait for each part, at most. Others are refused at once.
const MOST_WAITING: usize = 150;
/// How long an answer may take, at most.
const PATIENCE: Duration = Duration::from_secs(3);
/// The pause before a batch is tried again.
const PAUSE: Duration = Duration::from_millis(150);
/// The least time between two batches of a part, so that each holds more.
const GATHER: Duration = Duration::from_millis(25);

/// A job that a client hands in.
#[derive(Debug)]
pub struct New {
    /// The job's name.
    pub id: JobId,
    /// The job.
    pub job: Job,
    /// Takes whether it is durable.
    pub tx: oneshot::Sender<Durable>,
}

#[derive(Debug, Default)]
struct Part {
    version: u64,
    writes: u64,
    busy: bool,
    next: Duration,
    new: Vec<New>,
}

/// The parts of the jobs.
#[derive(Debug)]
pub(super) struct Parts {
    epoch: Epoch,
    parts: Vec<Part>,
}

/// A batch that is durable.
#[derive(Debug)]
pub struct Written {
    part: usize,
    version: u64,
    writes: Vec<Write>,
    new: Vec<New>,
}

impl Parts {
    pub(super) fn new(epoch: Epoch, heads: Vec<u64>) -> Self {
        let part = |version| Part { version, ..Part::default() };
        Self { epoch, parts: heads.into_iter().map(part).collect() }
    }
}

impl Running {
    /// A client hands a job in.
    pub(super) fn accept(&mut self, new: New) {
        if self.cell.is_known(new.id) {
            let _ = new.tx.send(Durable::Before);
            return;
        }
        let silent = self.cx.table.is_silent();
        let Some(p) = self.parts.parts.get_mut(part_of(new.id)) else { return };
        if silent || p.new.len() >= MOST_WAITING {
            let _ = new.tx.send(Durable::No);
        } else {
            p.new.push(new);
        }
    }

    /// Writes what is not durable in the parts that are free.
    pub(super) fn commit(&mut self, now: Duration) {
        for part in 0..PARTS {
            let Some(p) = self.parts.parts.get_mut(part) else { continue };
            if p.busy || now < p.next {
                continue;
            }
            let rest = p.new.split_off(p.new.len().min(MOST_NEW));
            let new = std::mem::replace(&mut p.new, rest);
            let writes = self.cell.take_writes(|id| part_of(id) == part, MOST_JOBS - new.len());
            if writes.is_empty() && new.is_empty() {
                continue;
            }
            p.busy = true;
            let head = Head { epoch: self.parts.epoch, writes: p.writes + 1 };
            let batch = Batch { part, version: p.version, head, writes, new };
            let (cx, me) = (Arc::clone(&self.cx), self.me.clone());
            self.spawn(async move {
                let msg = batch.write(&cx).await.map_or(Message::Deposed, Message::Written);
                drop(me.send_message(msg));
            });
        }
    }

    pub(super) fn written(&mut self, w: Written, now: Duration) {
        if let Some(p) = self.parts.parts.get_mut(w.part) {
            p.version = w.version;
            p.writes += 1;
            p.busy = false;
            p.next = now + GATHER;
        }
        self.cell.handle_written(&w.writes, now);
        for New { id, job, tx } in w.new {
            let age = self.age(job.accepted_ms);
            self.cell.add(id, StoredJob { job, ..StoredJob::default() }, age, now);
            let _ = tx.send(Durable::Yes);
        }
    }
}

/// A batch on its way.
struct Batch {
    part: usize,
    /// The version of the part's row.
    version: u64,
    /// The part's row once the batch is written.
    head: Head,
    writes: Vec<Write>,
    new: Vec<New>,
}

impl Batch {
    fn changes(&self, now_ms: u64) -> Transaction {
        let mut changes = table::batch(self.part, self.version, self.head, &self.writes, now_ms);
        for n in &self.new {
            let accept = table::accept(n.id, &n.job);
            changes.preconditions.extend(accept.preconditions);
            changes.put.extend(accept.put);
        }
        changes
    }

    /// Writes the batch, however often it takes; nothing if there is a later owner. The part's row makes a batch that
    /// is carried out late, or twice, have no effect.
    async fn write(mut self, cx: &Cx) -> Option<Written> {
        let mut lost = false;
        let mut changes = self.changes(cx.table.clock_ms());
        loop {
            match cx.table.commit(&changes, PATIENCE).await {
                Ok(CommitOutcome::Committed { version, .. }) => return Some(self.written(version)),
                Ok(CommitOutcome::Conflict(rows)) => {
                    let row = rows.iter().find(|r| r.key == table::head_key(self.part).key)?;
                    let now: Head = table::read(row)?;
                    if now == self.head {
                        return Some(self.written(row.version));
                    }
                    if row.version != self.version || !self.drop_known(&rows) {
                        return None;
                    }
                    changes = self.changes(cx.table.clock_ms());
                }
                Err(e) => {
                    tracing::debug!("owner: part {} not written yet: {e}", self.part);
                    let not_done = matches!(e, Error::NotDone(_));
                    lost |= !not_done;
                    if not_done && !lost && !self.new.is_empty() {
                        // None of it was ever carried out: clients may be told so.
                        for n in self.new.drain(..) {
                            let _ = n.tx.send(Durable::No);
                        }
                        changes = self.changes(cx.table.clock_ms());
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    /// Drops the new jobs that are there already. Returns whether there was one.
    fn drop_known(&mut self, rows: &[Row]) -> bool {
        let there = |n: &mut New| {
            let key = catkin_types::id::format_job(n.id);
            rows.iter().any(|r| r.key == key && r.value.is_some())
        };
        let known: Vec<New> = self.new.extract_if(.., there).collect();
        let any = !known.is_empty();
        for n in known {
            let _ = n.tx.send(Durable::Before);
        }
        any
    }

    fn written(self, version: u64) -> Written {
        Written { part: self.part, version, writes: self.writes, new: self.new }
    }
}
