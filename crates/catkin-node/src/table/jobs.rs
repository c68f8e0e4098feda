//! Rows of jobs as they are read, and the jobs that a new owner restores from them.

use super::{JOBS, PROGRESS, read};
use catkin_cell::action::StoredJob;
use catkin_cell::{Job, Progress};
use catkin_platform::store::Row;
use catkin_types::JobId;
use catkin_types::id::parse_job;
use std::collections::HashMap;

/// A job whose row, or the row of its progress, can't be read. It must not run: its tasks may have run before.
#[derive(Clone, Debug, PartialEq)]
pub struct UnreadableJob {
    /// The identifier of the job.
    pub id: JobId,
    /// The job; the default one if its row can't be read.
    pub job: Job,
    /// The table of the row that can't be read.
    pub table: &'static str,
    /// Why it can't be read.
    pub why: String,
}

/// The row of a job that exists.
#[derive(Clone, Debug, PartialEq)]
pub enum JobRow {
    /// The row was read.
    Read(JobId, Job),
    /// The row can't be read.
    Unreadable(UnreadableJob),
}

/// Parses the row of a job. Returns `None` if it was removed, or its key is not that of a job.
#[must_use]
pub fn parse(row: &Row) -> Option<JobRow> {
    let value = row.value.as_ref()?;
    let Some(id) = parse_job(&row.key) else {
        tracing::warn!(key = row.key, "table: the key of a row is not that of a job");
        return None;
    };
    Some(match read(value) {
        Ok(job) => JobRow::Read(id, job),
        Err(e) => {
            let job = Job::default();
            JobRow::Unreadable(UnreadableJob { id, job, table: JOBS, why: e.to_string() })
        }
    })
}

/// Restores jobs from their rows and the rows of their progress. Returns those that can run, and the others.
#[must_use]
pub fn restore(jobs: &[Row], progress: &[Row]) -> (HashMap<JobId, StoredJob>, Vec<UnreadableJob>) {
    let (mut restored, mut unreadable) = (HashMap::new(), Vec::new());
    for row in jobs.iter().filter_map(parse) {
        match row {
            JobRow::Read(id, job) => {
                restored.insert(id, StoredJob { job, ..StoredJob::default() });
            }
            JobRow::Unreadable(job) => unreadable.push(job),
        }
    }
    for row in progress {
        let (Some(id), Some(value)) = (parse_job(&row.key), &row.value) else { continue };
        let Some(stored) = restored.get_mut(&id) else { continue };
        match read::<Progress>(value) {
            Ok(p) => stored.progress = p,
            Err(e) => {
                let job = std::mem::take(&mut stored.job);
                restored.remove(&id);
                unreadable.push(UnreadableJob { id, job, table: PROGRESS, why: e.to_string() });
            }
        }
    }
    (restored, unreadable)
}
