//! Reading the jobs of the cell as its new owner.

use crate::cx::Cx;
use crate::table::{self, Head, PARTS};
use catkin_cell::action::StoredJob;
use catkin_cell::worker::WorkerInfo;
use catkin_cell::{Job, Progress};
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Row, Transaction};
use catkin_platform::worker_list;
use catkin_types::id::parse_job;
use catkin_types::{Epoch, JobId};
use futures::future::try_join_all;
use std::collections::HashMap;
use std::time::Duration;

/// How long one answer may take.
const PATIENCE: Duration = Duration::from_secs(3);
/// How often a call is tried.
const TRIES: u32 = 8;
/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(120);

/// What the owner of the cell begins with.
#[derive(Debug, Default)]
pub struct Start {
    /// The jobs that are not at their end.
    pub jobs: HashMap<JobId, StoredJob>,
    /// The versions of the rows of the parts.
    pub heads: Vec<u64>,
    /// The workers.
    pub workers: Vec<WorkerInfo>,
    /// Changes of jobs after these versions are new, part by part.
    pub jobs_versions: Vec<u64>,
    /// Changes of workers after this version are new.
    pub workers_version: u64,
}

/// Shuts earlier owners out of the rows of jobs, then reads these.
///
/// # Errors
/// The table service does not answer, or there is a later owner.
pub async fn load(cx: &Cx, epoch: Epoch) -> Result<Start, Error> {
    let parts = try_join_all((0..PARTS).map(|part| load_part(cx, part, epoch)));
    let (parts, workers) = futures::try_join!(parts, all(cx, worker_list::TABLE, ""))?;
    let mut start = Start { workers_version: workers.1, ..Start::default() };
    start.workers = workers.0.iter().filter_map(listed).collect();
    start.heads = parts.iter().map(|p| p.head).collect();
    let (jobs, progress): (Vec<_>, Vec<_>) =
        parts.into_iter().map(|p| (p.jobs, p.progress)).unzip();
    start.jobs_versions = jobs.iter().map(|(_, version)| *version).collect();
    for row in jobs.iter().flat_map(|(rows, _)| rows) {
        if let (Some(id), Some(job)) = (parse_job(&row.key), table::read::<Job>(row)) {
            start.jobs.insert(id, StoredJob { job, ..StoredJob::default() });
        }
    }
    for row in progress.iter().flat_map(|(rows, _)| rows) {
        let Some(id) = parse_job(&row.key) else { continue };
        if let (Some(j), Some(p)) = (start.jobs.get_mut(&id), table::read::<Progress>(row)) {
            j.progress = p;
        }
    }
    tracing::info!(epoch, jobs = start.jobs.len(), workers = start.workers.len(), "lead: read");
    Ok(start)
}

/// The rows of a part, and the version of the row that says who may write them.
struct Part {
    head: u64,
    jobs: (Vec<Row>, u64),
    progress: (Vec<Row>, u64),
}

/// Reads a part once nobody else can write its progress. Jobs are accepted all the while: they have none.
async fn load_part(cx: &Cx, part: usize, epoch: Epoch) -> Result<Part, Error> {
    let head = claim(cx, part, epoch).await?;
    let name = table::part_name(part);
    let (jobs, progress) =
        futures::try_join!(all(cx, table::JOBS, name), all(cx, table::PROGRESS, name))?;
    Ok(Part { head, jobs, progress })
}

/// What a row of the list of workers says.
#[must_use]
pub fn listed(row: &Row) -> Option<WorkerInfo> {
    worker_list::parse_entry(&row.key, row.value.as_ref()?)
}

/// Makes the row of a part that of this term. Returns its version.
async fn claim(cx: &Cx, part: usize, epoch: Epoch) -> Result<u64, Error> {
    let key = table::head_key(part);
    let mut version = None;
    for _ in 0..TRIES {
        let expected = match version {
            Some(v) => v,
            None => match cx.table.read_one(&key, PATIENCE).await {
                Ok(row) => row.map_or(0, |r| r.version),
                Err(e) => {
                    tracing::debug!("lead: part {part} not read: {e}");
                    tokio::time::sleep(PAUSE).await;
                    continue;
                }
            },
        };
        let head = Head { epoch, writes: 0 };
        let changes = Transaction {
            preconditions: vec![(key.clone(), expected)],
            put: vec![(key.clone(), table::to_json(&head))],
            remove: Vec::new(),
        };
        match cx.table.commit(&changes, PATIENCE).await {
            Ok(CommitOutcome::Committed { version, .. }) => return Ok(version),
            Ok(CommitOutcome::Conflict(rows)) => {
                let row = rows.first();
                let now: Head = row.and_then(table::read).unwrap_or_default();
                let at = row.map_or(0, |r| r.version);
                if now.epoch == epoch {
                    return Ok(at);
                }
                if now.epoch > epoch {
                    return Err(Error::NotDone("there is a later owner".into()));
                }
                version = Some(at);
            }
            Err(e) => {
                tracing::debug!("lead: part {part} not claimed: {e}");
                version = None;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    Err(Error::Unknown(format!("part {part} can't be claimed")))
}

/// All rows of a part of a table, and the version of the first answer.
///
/// # Errors
/// The table service does not answer, after several tries.
pub async fn all(cx: &Cx, table: &str, part: &str) -> Result<(Vec<Row>, u64), Error> {
    let mut rows: Vec<Row> = Vec::new();
    let mut version = None;
    let mut tries = 0;
    loop {
        // The smallest key behind the last one.
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
                tries += 1;
                if tries >= TRIES {
                    return Err(e);
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
