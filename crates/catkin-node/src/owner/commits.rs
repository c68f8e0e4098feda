//! Writes of jobs, one batch at a time for each part.

use super::{Message, Running};
use crate::cx::Cx;
use crate::table::{self, Head, PARTS, part_of};
use catkin_platform::store::{Changes, Outcome};
use catkin_types::Epoch;
use std::sync::Arc;
use std::time::Duration;

/// A batch holds at most so many jobs: each takes up to three entries of a call.
const MOST_JOBS: usize = 30;
/// How long an answer may take, at most.
const PATIENCE: Duration = Duration::from_secs(3);
/// The pause before a batch is tried again.
const PAUSE: Duration = Duration::from_millis(150);
/// The least time between two batches of a part, so that each holds more.
const GATHER: Duration = Duration::from_millis(25);

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    version: u64,
    writes: u64,
    busy: bool,
    next: Duration,
}

/// The parts of the jobs.
#[derive(Debug)]
pub(super) struct Parts {
    epoch: Epoch,
    parts: Vec<Part>,
}

impl Parts {
    pub(super) fn new(epoch: Epoch, heads: Vec<u64>) -> Self {
        let part = |version| Part { version, ..Part::default() };
        Self { epoch, parts: heads.into_iter().map(part).collect() }
    }

    pub(super) fn written(&mut self, part: usize, version: u64, now: Duration) {
        if let Some(p) = self.parts.get_mut(part) {
            *p = Part { version, writes: p.writes + 1, busy: false, next: now + GATHER };
        }
    }
}

impl Running {
    /// Writes what is not durable in the parts that are free.
    pub(super) fn commit(&mut self, now: Duration) {
        for part in 0..PARTS {
            let Some(p) = self.parts.parts.get_mut(part) else { continue };
            if p.busy || now < p.next {
                continue;
            }
            let batch = self.cell.take_writes(|id| part_of(id) == part, MOST_JOBS);
            if batch.is_empty() {
                continue;
            }
            p.busy = true;
            let head = Head { epoch: self.parts.epoch, writes: p.writes + 1 };
            let changes = table::batch(part, p.version, head, &batch, self.cx.table.clock_ms());
            let (cx, me) = (Arc::clone(&self.cx), self.me.clone());
            self.spawn(async move {
                let msg = match write(&cx, part, head, &changes).await {
                    Some(version) => Message::Written(part, batch, version),
                    None => Message::Deposed,
                };
                drop(me.send_message(msg));
            });
        }
    }
}

/// Writes a batch, however often it takes. Returns the new version of the part's row, nothing if there is a later
/// owner. The row's version makes a batch that is carried out late, or twice, have no effect.
async fn write(cx: &Cx, part: usize, head: Head, changes: &Changes) -> Option<u64> {
    loop {
        match cx.table.commit(changes, PATIENCE).await {
            Ok(Outcome::Done { version, .. }) => return Some(version),
            Ok(Outcome::Conflict(rows)) => {
                let row = rows.iter().find(|r| r.key == table::head_key(part).key)?;
                let now: Head = table::read(row)?;
                return (now == head).then_some(row.version);
            }
            Err(e) => {
                tracing::debug!("owner: part {part} not written yet: {e}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
