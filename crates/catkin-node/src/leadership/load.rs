//! Reads the state of the cell at a takeover.

use crate::cx::Cx;
use crate::table::jobs::UnreadableJob;
use crate::table::{self, Head, PART_COUNT};
use crate::worker_entries::WorkerEntries;
use catkin_cell::action::StoredJob;
use catkin_cell::worker::WorkerInfo;
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Row, Transaction};
use catkin_platform::worker_list;
use catkin_types::{Epoch, JobId};
use futures::future::try_join_all;
use std::collections::HashMap;
use std::time::Duration;

/// The timeout of one call to the table service.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of attempts of a call.
const MAX_ATTEMPTS: u32 = 8;
/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// The state of the cell that a new owner starts from.
#[derive(Debug, Default)]
pub struct InitialState {
    /// The jobs that have not ended.
    pub jobs: HashMap<JobId, StoredJob>,
    /// The jobs whose rows can't be read.
    pub unreadable: Vec<UnreadableJob>,
    /// The version of each part's [`Head`] row, by the index of the part.
    pub head_versions: Vec<u64>,
    /// The workers that are listed.
    pub workers: Vec<WorkerInfo>,
    /// What is known of the entries of the list.
    pub worker_entries: WorkerEntries,
    /// The version at which the jobs of each part were read, by the index of the part. Later changes are new.
    pub job_versions: Vec<u64>,
    /// The version at which the list of workers was read. Later changes are new.
    pub workers_version: u64,
}

/// Fences earlier owners off the rows of jobs, then reads these rows and the list of workers.
///
/// # Errors
/// The table service does not answer after several attempts, or an owner of a later term exists.
pub async fn load(cx: &Cx, epoch: Epoch) -> Result<InitialState, Error> {
    let parts = try_join_all((0..PART_COUNT).map(|part| load_part(cx, part, epoch)));
    let (parts, workers) = futures::try_join!(parts, read_all(cx, worker_list::TABLE, ""))?;
    let mut initial = InitialState { workers_version: workers.1, ..InitialState::default() };
    let listed = initial.worker_entries.read(&workers.0);
    listed.log_unusable();
    initial.workers = listed.workers;
    initial.head_versions = parts.iter().map(|p| p.head_version).collect();
    let (jobs, progress): (Vec<_>, Vec<_>) =
        parts.into_iter().map(|p| (p.jobs, p.progress)).unzip();
    initial.job_versions = jobs.iter().map(|(_, version)| *version).collect();
    for ((jobs, _), (progress, _)) in jobs.iter().zip(&progress) {
        let (jobs, unreadable) = table::jobs::restore(jobs, progress);
        initial.jobs.extend(jobs);
        initial.unreadable.extend(unreadable);
    }
    tracing::info!(epoch, jobs = initial.jobs.len(), workers = initial.workers.len(), "lead: read");
    Ok(initial)
}

/// The rows of a part, and the version of its [`Head`] row, which fences writes to them.
struct Part {
    head_version: u64,
    jobs: (Vec<Row>, u64),
    progress: (Vec<Row>, u64),
}

/// Reads a part after fencing off earlier owners, so that its progress rows no longer change. Other daemons may accept
/// jobs meanwhile; such jobs have no progress yet.
async fn load_part(cx: &Cx, part: usize, epoch: Epoch) -> Result<Part, Error> {
    let head_version = claim_part(cx, part, epoch).await?;
    let name = table::part_name(part);
    let (jobs, progress) =
        futures::try_join!(read_all(cx, table::JOBS, name), read_all(cx, table::PROGRESS, name))?;
    Ok(Part { head_version, jobs, progress })
}

/// Writes the term to the [`Head`] row of a part, which makes writes of earlier terms fail. Returns the row's version.
async fn claim_part(cx: &Cx, part: usize, epoch: Epoch) -> Result<u64, Error> {
    let key = table::head_key(part);
    let mut version = None;
    for _ in 0..MAX_ATTEMPTS {
        let expected = match version {
            Some(v) => v,
            None => match cx.table.read_one(&key, CALL_TIMEOUT).await {
                Ok(row) => row.map_or(0, |r| r.version),
                Err(e) => {
                    tracing::debug!(
                        "lead: reading the head of part {part} failed, will retry: {e}"
                    );
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            },
        };
        let head = Head { epoch, writes: 0 };
        let changes = Transaction {
            expected_versions: vec![(key.clone(), expected)],
            put: vec![(key.clone(), table::to_json(&head))],
            remove: Vec::new(),
        };
        match cx.table.commit(&changes, CALL_TIMEOUT).await {
            Ok(CommitOutcome::Committed { version, .. }) => return Ok(version),
            Ok(CommitOutcome::Conflict(rows)) => {
                let row = rows.first();
                let current: Head = row.and_then(table::decode).unwrap_or_default();
                let current_version = row.map_or(0, |r| r.version);
                if current.epoch == epoch {
                    return Ok(current_version);
                }
                if current.epoch > epoch {
                    return Err(Error::NotDone("an owner of a later term exists".into()));
                }
                version = Some(current_version);
            }
            Err(e) => {
                tracing::debug!("lead: writing the head of part {part} failed, will retry: {e}");
                version = None;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    Err(Error::Unknown(format!(
        "the head of part {part} could not be written in {MAX_ATTEMPTS} attempts"
    )))
}

/// Reads all rows of a part of a table, page by page. Returns them with the version of the first page.
///
/// # Errors
/// The table service does not answer after several attempts.
pub async fn read_all(cx: &Cx, table: &str, part: &str) -> Result<(Vec<Row>, u64), Error> {
    let mut rows: Vec<Row> = Vec::new();
    let mut version = None;
    let mut attempts = 0;
    loop {
        // The smallest key after the last one that was read.
        let from = rows.last().map(|r| format!("{}\0", r.key));
        match cx.table.read(table, part, from.as_deref()).await {
            Ok(answer) => {
                let first = *version.get_or_insert(answer.version);
                rows.extend(answer.rows);
                if !answer.truncated {
                    return Ok((rows, first));
                }
            }
            Err(e) => {
                attempts += 1;
                if attempts >= MAX_ATTEMPTS {
                    return Err(e);
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
