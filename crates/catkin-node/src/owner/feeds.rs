//! Changes that the owner follows: the configuration, the list of workers, and jobs that were accepted without a
//! notification reaching the owner.

use super::{Message, OwnerState};
use crate::cx::Cx;
use crate::leadership::load;
use crate::table::client::{ANY_SIZE, Answer};
use crate::table::{self, JOBS, PART_COUNT};
use crate::worker_entries::{ListUpdate, WorkerEntries};
use catkin_platform::error::Error;
use catkin_platform::store::Row;
use catkin_platform::worker_list;
use catkin_types::JobId;
use futures::future::join_all;
use ractor::ActorRef;
use std::sync::Arc;
use std::time::Duration;

/// The interval between reads of the list of workers.
const WORKERS_POLL_INTERVAL: Duration = Duration::from_millis(600);
/// The timeout for reading the row of one job.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval between reads of changed job rows. These reads find jobs whose notification was lost.
const JOBS_POLL_INTERVAL: Duration = Duration::from_secs(1);

impl OwnerState {
    pub(super) fn follow_config(&self) {
        let (cx, myself) = (Arc::clone(&self.cx), self.myself.clone());
        self.spawn(async move {
            let mut config = cx.config.clone();
            while config.changed().await.is_ok() {
                let newest = config.borrow_and_update().clone();
                if let Some(newest) = newest {
                    drop(myself.send_message(Message::Config(newest)));
                }
            }
        });
    }

    pub(super) fn follow_workers(&self, after: u64, mut entries: WorkerEntries) {
        let (cx, myself) = (Arc::clone(&self.cx), self.myself.clone());
        self.spawn(async move {
            let mut after = after;
            loop {
                tokio::time::sleep(WORKERS_POLL_INTERVAL).await;
                match cx.table.changes(worker_list::TABLE, after, Duration::ZERO, ANY_SIZE).await {
                    Ok(Answer { rows, .. }) => {
                        after = after.max(rows.version);
                        send_workers(&myself, entries.read(&rows.rows), false);
                    }
                    Err(Error::HistoryGone) => {
                        if let Ok((rows, version)) =
                            load::read_all(&cx, worker_list::TABLE, "").await
                        {
                            after = version;
                            send_workers(&myself, entries.read(&rows), true);
                        }
                    }
                    Err(e) => tracing::debug!("owner: worker changes not read, will retry: {e}"),
                }
            }
        });
    }

    /// Reads a job that this owner does not know. If its row exists, none of its tasks has run: the jobs that earlier
    /// owners ran were read at the takeover.
    pub(super) fn read_job(&self, id: JobId) {
        if self.cell.is_known(id) {
            return;
        }
        let (cx, myself) = (Arc::clone(&self.cx), self.myself.clone());
        self.spawn(async move {
            match cx.table.read_one(&table::job_key(JOBS, id), READ_TIMEOUT).await {
                Ok(row) => send_jobs(&myself, row.as_slice()),
                Err(e) => tracing::debug!("owner: job not read, a later read finds it: {e}"),
            }
        });
    }

    pub(super) fn follow_jobs(&self, after: Vec<u64>) {
        let (cx, myself) = (Arc::clone(&self.cx), self.myself.clone());
        self.spawn(async move {
            let loaded_versions = after;
            let mut after = loaded_versions.iter().copied().min().unwrap_or(0);
            loop {
                tokio::time::sleep(JOBS_POLL_INTERVAL).await;
                match cx.table.changes(JOBS, after, Duration::ZERO, ANY_SIZE).await {
                    Ok(Answer { rows, .. }) => {
                        after = after.max(rows.version);
                        send_jobs(&myself, &table::accepted_since(rows.rows, &loaded_versions));
                    }
                    Err(Error::HistoryGone) => {
                        if let Some(version) = reread_jobs(&cx, &myself).await {
                            after = version;
                        }
                    }
                    Err(e) => tracing::debug!("owner: job changes not read, will retry: {e}"),
                }
            }
        });
    }
}

fn send_workers(myself: &ActorRef<Message>, update: ListUpdate, complete: bool) {
    update.log_unusable();
    let ListUpdate { workers, removed, .. } = update;
    drop(myself.send_message(Message::WorkerList { workers, removed, complete }));
}

fn send_jobs(myself: &ActorRef<Message>, rows: &[Row]) {
    let jobs: Vec<_> = rows.iter().filter_map(table::jobs::parse).collect();
    if !jobs.is_empty() {
        drop(myself.send_message(Message::JobRows(jobs)));
    }
}

/// Reads all jobs again, after the table service discarded the history of their changes. Returns the version after
/// which changes are new, or `None` if a part was not read.
async fn reread_jobs(cx: &Cx, myself: &ActorRef<Message>) -> Option<u64> {
    let versions = join_all((0..PART_COUNT).map(|part| reread_part(cx, myself, part))).await;
    versions.into_iter().collect::<Option<Vec<u64>>>()?.into_iter().min()
}

/// Reads the jobs of a part again. Returns the version at which they were read, or `None` if they were not.
async fn reread_part(cx: &Cx, myself: &ActorRef<Message>, part: usize) -> Option<u64> {
    match load::read_all(cx, JOBS, table::part_name(part)).await {
        Ok((rows, version)) => {
            send_jobs(myself, &rows);
            Some(version)
        }
        Err(e) => {
            tracing::debug!("owner: the jobs of part {part} not read again, will retry: {e}");
            None
        }
    }
}
