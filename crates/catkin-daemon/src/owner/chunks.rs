//! Reads the shard's chunks and cancellations from the table, and records the ends of tasks there.

use super::state::{LoadProgress, OpenChunk, State};
use super::{ChunkWritten, Loaded, Message};
use crate::rows::{self, Chunk};
use catkin_lease::message::Ending;
use catkin_lease::owner::TaskState;
use catkin_store::{Error as StoreError, Row, Txn};
use catkin_types::{JobId, TaskId, WorkerId};
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between reads of the table when no gate announces new work.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before a failed read is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval between writes of chunks that have ended in part only. Workers keep the ends until they are written, so
/// none is lost.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Upper bound on the commit of a chunk or of removed cancellations.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

impl State {
    /// Reads the shard's chunks, its cancellations and, when due, its members. A call during a read makes it repeat.
    pub(super) fn load(&mut self) {
        if self.load_progress != LoadProgress::Idle {
            self.load_progress = LoadProgress::RepeatAfter;
            return;
        }
        self.load_progress = LoadProgress::InProgress;
        self.load_at = self.cx.now() + RELOAD_INTERVAL;
        let with_members = self.members.take_read_due(self.cx.now());
        let (store, me, shard) = (self.cx.store.clone(), self.me.clone(), self.shard.clone());
        self.io.spawn(async move {
            let read = async {
                // Cancellations are read first: one that is read after its chunk would be read again with the next
                // load.
                let cancels = store.rows(&format!("cancel/{shard}/")).await?;
                let chunks = store.rows(&format!("chunk/{shard}/")).await?;
                let hosts =
                    if with_members { store.row(&format!("hosts/{shard}")).await? } else { None };
                Ok(Loaded { chunks, cancels, hosts })
            };
            let _ = me.send_message(Message::Loaded(read.await));
        });
    }

    pub(super) fn handle_loaded(&mut self, loaded: Result<Loaded, StoreError>) {
        let again = std::mem::replace(&mut self.load_progress, LoadProgress::Idle)
            == LoadProgress::RepeatAfter;
        let loaded = match loaded {
            Ok(loaded) => loaded,
            Err(e) => {
                tracing::debug!("owner: cannot load shard {}, retrying: {e}", self.shard);
                self.load_at = self.cx.now() + LOAD_RETRY_DELAY;
                self.members.read_soon();
                return;
            }
        };
        self.read_members(loaded.hosts.as_ref());
        for row in &loaded.chunks {
            if let Some(chunk) = rows::from_json::<Chunk>(row) {
                self.add_chunk(chunk, row.version);
            }
        }
        self.loaded = true;
        self.cancel(&loaded.cancels);
        if again {
            self.load();
        }
        self.poll();
        self.schedule_soon();
    }

    fn add_chunk(&mut self, chunk: Chunk, version: u64) {
        let key = (chunk.job_id(), chunk.from);
        if self.open.contains_key(&key) {
            return;
        }
        let inherited = chunk.epoch < self.lease.epoch();
        let tasks: Vec<TaskId> = chunk.open_tasks().collect();
        let size = chunk.size;
        self.open.insert(key, OpenChunk { chunk, version, dirty: false, writing: false });
        for task in tasks {
            self.lease.add_task(task, size, inherited);
            self.wait(task);
        }
    }

    /// Cancels the jobs that `cancels` names, in one pass over the chunks and one over each queue.
    fn cancel(&mut self, cancels: &[Row]) {
        let job = |r: &Row| catkin_types::id::parse_job(r.key.rsplit('/').next()?);
        let jobs: BTreeSet<JobId> = cancels.iter().filter_map(job).collect();
        if jobs.is_empty() {
            return;
        }
        for queue in self.queues.values_mut() {
            queue.retain(|w| !jobs.contains(&w.task.job));
        }
        let keys: Vec<_> = self.open.keys().filter(|k| jobs.contains(&k.0)).copied().collect();
        for key in keys {
            let Some(open) = self.open.get_mut(&key).filter(|o| !o.chunk.cancelled) else {
                continue;
            };
            open.chunk.cancelled = true;
            open.dirty = true;
            let (row, size) = (open.chunk.row.clone(), open.chunk.size);
            let tasks: Vec<TaskId> = open.chunk.open_tasks().collect();
            for task in tasks {
                let state = self.lease.remove_task(task).map(|t| t.state);
                if matches!(state, Some(TaskState::Assigned(_))) {
                    self.release_size(&row, size);
                }
            }
        }
        self.write_dirty();
        self.drop_cancels(cancels, &jobs);
    }

    /// Removes the cancellations of jobs without an incomplete chunk in this shard.
    fn drop_cancels(&mut self, cancels: &[Row], jobs: &BTreeSet<JobId>) {
        let open: BTreeSet<JobId> =
            self.open.keys().map(|k| k.0).filter(|j| jobs.contains(j)).collect();
        let mut txn = Txn::default();
        for row in cancels {
            let job = row.key.rsplit('/').next().and_then(catkin_types::id::parse_job);
            if job.is_none_or(|j| !open.contains(&j)) {
                txn = txn.remove(row.key.clone());
            }
        }
        if !txn.puts.is_empty() {
            let store = self.cx.store.clone();
            self.io.spawn(async move { drop(store.commit(txn, COMMIT_TIMEOUT).await) });
        }
    }

    /// Handles the end of a task: requeues a failed task that has attempts left, and marks any other as ended.
    pub(super) fn ended(&mut self, task: TaskId, worker: &WorkerId, ending: Ending) {
        let ok = ending == Ending::Ok;
        self.health.record_end(worker, task.job, ok, self.cx.now());
        self.sync_worker(worker);
        let Some((key, size)) = self.chunk_of(task).map(|(k, o)| (*k, o.chunk.size)) else {
            self.lease.record_end(task);
            return;
        };
        let attempts = self.attempts.entry(task).or_default();
        *attempts += 1;
        let job_at_fault = self.health.is_job_faulty(task.job);
        if !ok && *attempts < self.cx.settings.shards.max_attempts.get() && !job_at_fault {
            self.lease.record_end(task);
            self.lease.add_task(task, size, false);
            self.wait(task);
            return;
        }
        let reason = if job_at_fault {
            format!(
                "it failed on {} workers and succeeded on none",
                self.health.failed_on(task.job).len()
            )
        } else {
            format!("task {} failed {attempts} times", task.index)
        };
        self.attempts.remove(&task);
        let Some(open) = self.open.get_mut(&key) else { return };
        let index = task.index - open.chunk.from;
        open.chunk.ended.insert(index);
        if !ok {
            open.chunk.failed.insert(index);
            open.chunk.reason = reason;
        }
        open.dirty = true;
    }

    /// Marks every task of a chunk that has not ended as failed, with the reason.
    pub(super) fn fail_chunk(&mut self, key: (JobId, u32), reason: &str) {
        let Some(open) = self.open.get_mut(&key) else { return };
        let tasks: Vec<TaskId> = open.chunk.open_tasks().collect();
        for task in tasks {
            let index = task.index - open.chunk.from;
            open.chunk.ended.insert(index);
            open.chunk.failed.insert(index);
            self.lease.remove_task(task);
        }
        reason.clone_into(&mut open.chunk.reason);
        open.dirty = true;
    }

    /// Writes the chunks that differ from their rows. The store's batching actor puts several of them into one
    /// transaction.
    pub(super) fn write_dirty(&mut self) {
        let now = self.cx.now();
        let partial_writes_due = now >= self.write_at;
        if partial_writes_due {
            self.write_at = now + WRITE_INTERVAL;
        }
        let is_due =
            |o: &OpenChunk| o.dirty && !o.writing && (partial_writes_due || o.chunk.is_complete());
        let due: Vec<_> = self.open.iter().filter(|(_, o)| is_due(o)).map(|(k, _)| *k).collect();
        for key in due {
            let Some(open) = self.open.get_mut(&key) else { continue };
            open.dirty = false;
            open.writing = true;
            let (chunk, version) = (open.chunk.clone(), open.version);
            let txn = chunk_txn(&self.shard, &chunk, version);
            let (store, me) = (self.cx.store.clone(), self.me.clone());
            self.io.spawn(async move {
                let result = store.commit(txn, COMMIT_TIMEOUT).await;
                let _ = me.send_message(Message::ChunkWritten(Box::new(ChunkWritten {
                    key,
                    chunk,
                    result,
                })));
            });
        }
    }

    pub(super) fn handle_written(&mut self, written: ChunkWritten) {
        let Some(open) = self.open.get_mut(&written.key) else { return };
        open.writing = false;
        match written.result {
            Ok(version) => open.version = version,
            Err(StoreError::Conflict(_)) => {
                // The row has another version: either an earlier write of this owner succeeded but its answer was lost,
                // or another term wrote the row.
                self.read_chunk_version(written.key);
                return;
            }
            Err(e) => {
                tracing::debug!(
                    "owner: cannot write a chunk of shard {}, retrying: {e}",
                    self.shard
                );
                open.dirty = true;
                return;
            }
        }
        self.mark_recorded(written.key, &written.chunk, written.chunk.is_complete());
    }

    /// Reads the version of a chunk's row, so that the chunk can be written again.
    fn read_chunk_version(&mut self, key: (JobId, u32)) {
        let Some(open) = self.open.get_mut(&key) else { return };
        open.writing = true;
        let row = open.chunk.key(&self.shard);
        let (store, me) = (self.cx.store.clone(), self.me.clone());
        self.io.spawn(async move {
            let version = store.row(&row).await.map(|r| r.map(|r| r.version));
            let _ = me.send_message(Message::ChunkVersionRead(key, version));
        });
    }

    /// Adopts the version that a chunk's row has now and marks the chunk to be written again. A missing row means that
    /// the chunk is recorded.
    pub(super) fn handle_chunk_version(
        &mut self,
        key: (JobId, u32),
        version: Result<Option<u64>, StoreError>,
    ) {
        let Some(open) = self.open.get_mut(&key) else { return };
        open.writing = false;
        open.dirty = true;
        match version {
            Ok(Some(version)) => open.version = version,
            Ok(None) => {
                // An earlier write of this owner moved the row, and the answer was lost.
                let chunk = open.chunk.clone();
                self.mark_recorded(key, &chunk, true);
            }
            Err(e) => tracing::debug!(
                "owner: cannot read the version of a chunk of shard {}: {e}",
                self.shard
            ),
        }
    }

    /// Marks the ends in `chunk` as durable, and drops the chunk if it is complete.
    fn mark_recorded(&mut self, key: (JobId, u32), chunk: &Chunk, complete: bool) {
        let ended = (chunk.from..chunk.to).filter(|i| chunk.ended.contains(i - chunk.from));
        for index in ended {
            self.lease.record_end(TaskId::new(key.0, index));
        }
        if !complete {
            return;
        }
        self.open.remove(&key);
        if self.open.range((key.0, 0)..=(key.0, u32::MAX)).next().is_none() {
            self.health.forget_job(key.0);
        }
    }
}

/// Builds the transaction that writes a chunk. A complete chunk moves to the key that queries of a job's status read.
fn chunk_txn(shard: &str, chunk: &Chunk, version: u64) -> Txn {
    let key = chunk.key(shard);
    let txn = Txn::default().check(&key, version);
    if chunk.is_complete() {
        return txn.remove(key).put(chunk.ended_key(), rows::to_json(chunk));
    }
    txn.put(key, rows::to_json(chunk))
}
