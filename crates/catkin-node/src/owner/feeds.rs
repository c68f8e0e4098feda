//! What the owner follows: the configuration, the list of workers, and jobs that nobody told it of.

use super::{Message, Running};
use crate::cx::Cx;
use crate::lead::load;
use crate::table::{self, JOBS, PARTS};
use catkin_cell::Job;
use catkin_platform::error::Error;
use catkin_platform::store::Row;
use catkin_platform::worker_list;
use catkin_types::JobId;
use catkin_types::id::parse_job;
use ractor::ActorRef;
use std::sync::Arc;
use std::time::Duration;

/// How often the list of workers is read.
const WORKERS_EVERY: Duration = Duration::from_millis(600);
/// How long the row of one job is waited for.
const READ_PATIENCE: Duration = Duration::from_secs(1);
/// How often jobs are read that nobody told of.
const JOBS_EVERY: Duration = Duration::from_secs(1);

impl Running {
    pub(super) fn follow_config(&self) {
        let (cx, me) = (Arc::clone(&self.cx), self.me.clone());
        self.spawn(async move {
            let mut config = cx.config.clone();
            while config.changed().await.is_ok() {
                let newest = config.borrow_and_update().clone();
                if let Some(newest) = newest {
                    drop(me.send_message(Message::Config(newest)));
                }
            }
        });
    }

    pub(super) fn follow_workers(&self, after: u64) {
        let (cx, me) = (Arc::clone(&self.cx), self.me.clone());
        self.spawn(async move {
            let mut after = after;
            loop {
                tokio::time::sleep(WORKERS_EVERY).await;
                match cx.table.changes(worker_list::TABLE, after, Duration::ZERO).await {
                    Ok(rows) => {
                        after = after.max(rows.version);
                        tell_workers(&me, &rows.rows, false);
                    }
                    Err(Error::HistoryGone) => {
                        if let Ok((rows, version)) = load::all(&cx, worker_list::TABLE, "").await {
                            after = version;
                            tell_workers(&me, &rows, true);
                        }
                    }
                    Err(e) => tracing::debug!("owner: no news of workers: {e}"),
                }
            }
        });
    }

    /// Reads a job that this owner does not know. If its row is there, nothing of it has run: whatever earlier owners
    /// ran was read when this one took over.
    pub(super) fn read_job(&self, id: JobId) {
        if self.cell.is_known(id) {
            return;
        }
        let (cx, me) = (Arc::clone(&self.cx), self.me.clone());
        self.spawn(async move {
            match cx.table.read_one(&table::job_key(JOBS, id), READ_PATIENCE).await {
                Ok(row) => tell_jobs(&me, row.as_slice()),
                Err(e) => tracing::debug!("owner: a job is not read yet: {e}"),
            }
        });
    }

    pub(super) fn follow_jobs(&self, after: Vec<u64>) {
        let (cx, me) = (Arc::clone(&self.cx), self.me.clone());
        self.spawn(async move {
            let read = after;
            let mut after = read.iter().copied().min().unwrap_or(0);
            loop {
                tokio::time::sleep(JOBS_EVERY).await;
                match cx.table.changes(JOBS, after, Duration::ZERO).await {
                    Ok(rows) => {
                        after = after.max(rows.version);
                        tell_jobs(&me, &table::accepted_since(rows.rows, &read));
                    }
                    Err(Error::HistoryGone) => {
                        if let Some(version) = reread_jobs(&cx, &me).await {
                            after = version;
                        }
                    }
                    Err(e) => tracing::debug!("owner: no news of jobs: {e}"),
                }
            }
        });
    }
}

fn tell_workers(me: &ActorRef<Message>, rows: &[Row], whole: bool) {
    let workers: Vec<_> = rows.iter().filter_map(load::listed).collect();
    let named = |r: &&Row| load::listed(r).is_none();
    let gone = rows.iter().filter(named).map(|r| r.key.clone()).collect();
    drop(me.send_message(Message::Listed { workers, gone, whole }));
}

fn tell_jobs(me: &ActorRef<Message>, rows: &[Row]) {
    let job = |r: &Row| -> Option<(JobId, Job)> {
        r.value.as_ref()?;
        Some((parse_job(&r.key)?, table::read(r)?))
    };
    let jobs: Vec<_> = rows.iter().filter_map(job).collect();
    if !jobs.is_empty() {
        drop(me.send_message(Message::Stored(jobs)));
    }
}

/// Reads all jobs, after the history of their changes was dropped.
async fn reread_jobs(cx: &Cx, me: &ActorRef<Message>) -> Option<u64> {
    let mut oldest = u64::MAX;
    for part in 0..PARTS {
        let (rows, version) = load::all(cx, JOBS, table::part_name(part)).await.ok()?;
        oldest = oldest.min(version);
        tell_jobs(me, &rows);
    }
    Some(oldest)
}
