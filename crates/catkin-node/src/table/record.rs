//! What the table holds about one job, and the writes that cancel it.

use super::client::Client;
use super::{ENDED, End, JOBS, decode, job_key, to_json};
use catkin_cell::{Job, State};
use catkin_platform::error::Error;
use catkin_platform::store::{ABSENT_VERSION, Transaction};
use catkin_types::JobId;
use std::time::Duration;

/// The state of a job in the table.
#[derive(Clone, Debug, PartialEq)]
pub enum JobRecord {
    /// The job is accepted and has not ended.
    Open {
        /// The job.
        job: Job,
        /// The version of its row.
        version: u64,
    },
    /// The job has ended in this state.
    Ended(State),
    /// The job was cancelled before it was accepted. It is never accepted.
    Withdrawn,
    /// The table holds no row of the job. A write that accepts it may still be open.
    Missing,
}

/// What remains to be done to cancel a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Cancellation {
    /// This transaction marks the job as cancelled.
    Mark(Transaction),
    /// This transaction keeps every write that accepts the job from being carried out, also those of daemons that have
    /// ended, and calls that the table service carries out late.
    Withdraw(Transaction),
    /// The job's cancellation is durable.
    Marked,
    /// The job has ended.
    Ended,
    /// The job does not exist, and never will.
    Withdrawn,
}

impl JobRecord {
    /// Reads a job. The end of a job is written in the transaction that removes its row. The row is therefore read first:
    /// if it is missing, the end, if any, is visible.
    ///
    /// # Errors
    /// As [`Client::read_one`]; [`Error::Malformed`] if a row can't be decoded.
    pub async fn read(table: &Client, id: JobId, max_wait: Duration) -> Result<Self, Error> {
        if let Some(row) = table.read_one(&job_key(JOBS, id), max_wait).await? {
            let job: Job = decode(&row)
                .ok_or_else(|| Error::Malformed(format!("the row of job {}", row.key)))?;
            return Ok(Self::Open { job, version: row.version });
        }
        let Some(row) = table.read_one(&job_key(ENDED, id), max_wait).await? else {
            return Ok(Self::Missing);
        };
        let end: End =
            decode(&row).ok_or_else(|| Error::Malformed(format!("the end of job {}", row.key)))?;
        Ok(Self::from(end))
    }

    /// Returns what remains to be done to cancel the job with this record. `now_ms` is the time on the table's clock.
    #[must_use]
    pub fn cancellation(self, id: JobId, now_ms: u64) -> Cancellation {
        match self {
            Self::Open { job, .. } if job.cancelled => Cancellation::Marked,
            Self::Open { job, version } => {
                let key = job_key(JOBS, id);
                let cancelled = Job { cancelled: true, ..job };
                Cancellation::Mark(Transaction {
                    expected_versions: vec![(key.clone(), version)],
                    put: vec![(key, to_json(&cancelled))],
                    remove: Vec::new(),
                })
            }
            Self::Ended(_) => Cancellation::Ended,
            Self::Withdrawn => Cancellation::Withdrawn,
            Self::Missing => {
                let end = End { state: State::Cancelled, at_ms: now_ms, withdrawn: true };
                Cancellation::Withdraw(Transaction {
                    expected_versions: vec![
                        (job_key(JOBS, id), ABSENT_VERSION),
                        (job_key(ENDED, id), ABSENT_VERSION),
                    ],
                    put: vec![(job_key(ENDED, id), to_json(&end))],
                    remove: Vec::new(),
                })
            }
        }
    }
}

impl From<End> for JobRecord {
    fn from(end: End) -> Self {
        if end.withdrawn { Self::Withdrawn } else { Self::Ended(end.state) }
    }
}
