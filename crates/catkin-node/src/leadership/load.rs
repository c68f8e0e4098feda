//! Reading the jobs of the cell as its new owner.

use crate::cx::Cx;
use crate::table::{self, Head, PART_COUNT};
use catkin_cell::action::Loaded;
use catkin_cell::worker::Listed;
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
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// How often a call is tried.
const MAX_ATTEMPTS: u32 = 8;
/// The pause between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// What the owner of the cell begins with.
#[derive(Debug, Default)]
pub struct InitialState {
    /// The jobs that are not at their end.
    pub jobs: HashMap<JobId, StoredJob>,
    /// The versions of the rows of the parts.
    pub head_versions: Vec<u64>,
    /// The workers.
    pub workers: Vec<WorkerInfo>,
    /// Changes of jobs after these versions are new, part by part.
    pub job_versions: Vec<u64>,
    /// Changes of workers after this version are new.
    pub workers_version: u64,
}

/// Shuts earlier owners out of the rows of jobs, then reads these.
///
/// # Errors
/// The table service does not answer, or there is a later owner.
pub async fn load(cx: &Cx, epoch: Epoch) -> Result<InitialState, Error> {
    let parts = try_join_all((0..PART_COUNT).map(|part| load_part(cx, part, epoch)));
    let (parts, workers) = futures::try_join!(parts, read_all(cx, list::TABLE, ""))?;
    let mut initial = InitialState { workers_version: workers.1, ..InitialState::default() };
    initial.workers = workers.0.iter().filter_map(parse_worker).collect();
    initial.head_versions = parts.iter().map(|p| p.head_version).collect();
    let (jobs, progress): (Vec<_>, Vec<_>) =
        parts.into_iter().map(|p| (p.jobs, p.progress)).unzip();
    initial.job_versions = jobs.iter().map(|(_, version)| *version).collect();
    for row in jobs.iter().flat_map(|(rows, _)| rows) {
        if let (Some(id), Some(job)) = (parse_job(&row.key), table::decode::<Job>(row)) {
            initial.jobs.insert(id, Loaded { job, ..Loaded::default() });
        }
    }
    for row in progress.iter().flat_map(|(rows, _)| rows) {
        let Some(id) = parse_job(&row.key) else { continue };
        if let (Some(j), Some(p)) = (initial.jobs.get_mut(&id), table::decode::<Progress>(row)) {
            j.progress = p;
        }
    }
    tracing::info!(epoch, jobs = initial.jobs.len(), workers = initial.workers.len(), "lead: read");
    Ok(initial)
}

/// The rows of a part, and the version of the row that says who may write them.
struct Part {
    head_version: u64,
    jobs: (Vec<Row>, u64),
    progress: (Vec<Row>, u64),
}

/// Reads a part once nobody else can write its progress. Jobs are accepted all the while: they have none.
async fn load_part(cx: &Cx, part: usize, epoch: Epoch) -> Result<Part, Error> {
    let head_version = claim_part(cx, part, epoch).await?;
    let name = table::part_name(part);
    let (jobs, progress) =
        futures::try_join!(read_all(cx, table::JOBS, name), read_all(cx, table::PROGRESS, name))?;
    Ok(Part { head_version, jobs, progress })
}

/// What a row of the list of workers says.
#[must_use]
pub fn parse_worker(row: &Row) -> Option<Listed> {
    list::parse(&row.key, row.value.as_ref()?)
}

/// Makes the row of a part that of this term. Returns its version.
async fn claim_part(cx: &Cx, part: usize, epoch: Epoch) -> Result<u64, Error> {
    let key = table::head_key(part);
    let mut version = None;
    for _ in 0..MAX_ATTEMPTS {
        let expected = match version {
            Some(v) => v,
            None => match cx.table.read_one(&key, CALL_TIMEOUT).await {
                Ok(row) => row.map_or(0, |r| r.version),
                Err(e) => {
                    tracing::debug!("lead: part {part} not read: {e}");
                    tokio::time::sleep(RETRY_DELAY).await;
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
        match cx.table.commit(&changes, CALL_TIMEOUT).await {
            Ok(Outcome::Done { version, .. }) => return Ok(version),
            Ok(Outcome::Conflict(rows)) => {
                let row = rows.first();
                let current: Head = row.and_then(table::decode).unwrap_or_default();
                let current_version = row.map_or(0, |r| r.version);
                if current.epoch == epoch {
                    return Ok(current_version);
                }
                if current.epoch > epoch {
                    return Err(Error::NotDone("there is a later owner".into()));
                }
                version = Some(current_version);
            }
            Err(e) => {
                tracing::debug!("lead: part {part} not claimed: {e}");
                version = None;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    Err(Error::Unknown(format!("part {part} can't be claimed")))
}

/// All rows of a part of a table, and the version of the first answer.
///
/// # Errors
/// The table service does not answer, after several tries.
pub async fn read_all(cx: &Cx, table: &str, part: &str) -> Result<(Vec<Row>, u64), Error> {
    let mut rows: Vec<Row> = Vec::new();
    let mut version = None;
    let mut attempts = 0;
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
                attempts += 1;
                if attempts >= MAX_ATTEMPTS {
                    return Err(e);
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
