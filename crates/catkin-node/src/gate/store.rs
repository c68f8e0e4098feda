//! Jobs made durable: here, or by the owner of the cell where the table refuses this daemon.

use super::jobs::{JobRecord, call_owner, notify_owner, read_job};
use crate::cx::Cx;
use crate::table::{self, JOBS, job_key};
use catkin_cell::Job;
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Row, Transaction};
use catkin_schema::peer::{Request, Response};
use catkin_types::id::format_job;
use catkin_types::{Code, JobId};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::SemaphorePermit;

/// The pause before a call whose answer was lost is made again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// How long the owner may take to store a job: two batches of a slow table.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for an owner that did not answer the last beat.
const UNHEALTHY_OWNER_TIMEOUT: Duration = Duration::from_millis(400);

/// What came of making something durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is.
    Committed,
    /// It was before.
    AlreadyDone,
    /// There is no such job.
    NoSuchJob,
    /// It is not, and will not be.
    NotCommitted,
    /// That is not known.
    Unknown,
}

impl WriteOutcome {
    /// The answer to another daemon.
    #[must_use]
    pub fn into_response(self) -> Response {
        let refused = |code: Code| {
            Response::Refused(catkin_schema::peer::Refused {
                code: code.number(),
                ..Default::default()
            })
        };
        match self {
            Self::Committed => Response::Done,
            Self::AlreadyDone => Response::Count(0),
            Self::NoSuchJob => refused(Code::NOT_FOUND),
            Self::NotCommitted => refused(Code::STORE_DOWN),
            Self::Unknown => refused(Code::STORE_UNKNOWN),
        }
    }

    /// What the owner answered; nothing if it did not.
    fn from_response(answer: Response) -> Option<Self> {
        match answer {
            Response::Done => Some(Self::Committed),
            Response::Count(_) => Some(Self::AlreadyDone),
            Response::Refused(r) if r.code == Code::NOT_FOUND.number() => Some(Self::NoSuchJob),
            Response::Refused(r) if r.code == Code::NO_OWNER.number() => None,
            Response::Refused(r) if r.code == Code::STORE_UNKNOWN.number() => Some(Self::Unknown),
            Response::Refused(_) => Some(Self::NotCommitted),
            _ => Some(Self::Unknown),
        }
    }
}

/// Stores a job: by the owner of the cell, which writes many at once; else with this daemon's own calls.
pub async fn accept(cx: &Arc<Cx>, id: JobId, job: &Job, deadline: Duration) -> WriteOutcome {
    let healthy = cx.owner_healthy.load(Ordering::Relaxed);
    let max_wait = if healthy { OWNER_TIMEOUT } else { UNHEALTHY_OWNER_TIMEOUT };
    let owner_outcome = store_via_owner(cx, id, job, deadline.min(cx.now() + max_wait)).await;
    match owner_outcome {
        Some(WriteOutcome::NotCommitted | WriteOutcome::Unknown) | None => {}
        Some(outcome) => return outcome,
    }
    if cx.table.is_silent() {
        return owner_outcome.unwrap_or(WriteOutcome::NotCommitted);
    }
    let direct = accept_directly(cx, id, job, deadline).await;
    if direct == WriteOutcome::Committed {
        notify_owner(cx, Request::Offer { shard: String::new(), job: id });
    }
    if owner_outcome == Some(WriteOutcome::Unknown) { direct.after_unknown() } else { direct }
}

/// Has the owner store a job. Nothing if it certainly does not.
async fn store_via_owner(
    cx: &Arc<Cx>,
    id: JobId,
    job: &Job,
    deadline: Duration,
) -> Option<WriteOutcome> {
    let owner = cx.owner.borrow().clone();
    if let Some(owner) = owner {
        let left = deadline.saturating_sub(cx.now());
        let outcome = tokio::time::timeout(left, owner.submit(id, job.clone())).await;
        return Some(outcome.ok().flatten().unwrap_or(WriteOutcome::Unknown));
    }
    write_via_owner(cx, Request::Store { job: id, body: table::to_json(job) }, deadline).await
}

impl WriteOutcome {
    /// A refusal says nothing of an earlier try that may yet be carried out.
    fn after_unknown(self) -> Self {
        if self == Self::NotCommitted { Self::Unknown } else { self }
    }
}

/// Asks the owner, unless that is this daemon. Nothing if the question certainly did not arrive.
async fn write_via_owner(cx: &Arc<Cx>, req: Request, deadline: Duration) -> Option<WriteOutcome> {
    if cx.owner.borrow().is_some() {
        return None;
    }
    let left = deadline.saturating_sub(cx.now());
    match call_owner(cx, req, left).await {
        Ok(answer) => WriteOutcome::from_response(answer),
        Err(catkin_peer::Error::Lost(_)) => Some(WriteOutcome::Unknown),
        Err(_) => None,
    }
}

/// Stores a job with this daemon's own calls.
pub async fn accept_directly(cx: &Cx, id: JobId, job: &Job, deadline: Duration) -> WriteOutcome {
    let Some(_turn) = write_permit(cx, deadline).await else { return WriteOutcome::NotCommitted };
    let changes = table::accept_changes(id, job);
    let mut answer_lost = false;
    loop {
        let left = deadline.saturating_sub(cx.now());
        if left.is_zero() {
            return WriteOutcome::Unknown;
        }
        match cx.table.commit(&changes, left).await {
            Ok(Outcome::Done { .. }) => return WriteOutcome::Committed,
            Ok(Outcome::Conflict(rows)) => return outcome_of_conflict(&rows, answer_lost),
            Err(Error::NotDone(e)) if !answer_lost => {
                tracing::debug!(job = format_job(id), "gate: not stored: {e}");
                return WriteOutcome::NotCommitted;
            }
            Err(e) => {
                answer_lost |= !matches!(e, Error::NotDone(_));
                tracing::debug!(job = format_job(id), "gate: not known to be stored: {e}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// This daemon's turn to write; nothing if it does not come in time.
async fn write_permit(cx: &Cx, deadline: Duration) -> Option<SemaphorePermit<'_>> {
    let left = deadline.saturating_sub(cx.now());
    tokio::time::timeout(left, cx.direct_writes.acquire()).await.ok()?.ok()
}

/// What a conflict says of a job: it is there, by an earlier try if an answer was `lost`; or it is at its end.
#[must_use]
pub fn outcome_of_conflict(rows: &[Row], answer_lost: bool) -> WriteOutcome {
    let is_open = |r: &Row| table::decode::<Job>(r).is_some_and(|job| !job.steps.is_empty());
    if answer_lost && rows.iter().any(is_open) {
        WriteOutcome::Committed
    } else {
        WriteOutcome::AlreadyDone
    }
}

/// Makes it durable that a job is cancelled, by the owner if the table refuses this daemon.
pub async fn cancel(cx: &Arc<Cx>, id: JobId, deadline: Duration) -> WriteOutcome {
    let direct = if cx.table.is_silent() {
        WriteOutcome::NotCommitted
    } else {
        cancel_directly(cx, id, deadline.min(cx.now() + cx.table.call_timeout() * 2)).await
    };
    if !matches!(direct, WriteOutcome::NotCommitted | WriteOutcome::Unknown) {
        return direct;
    }
    match write_via_owner(cx, Request::Withdraw(id), deadline).await {
        Some(WriteOutcome::NotCommitted) | None => cancel_directly(cx, id, deadline).await,
        Some(owner_outcome) => owner_outcome,
    }
}

/// Makes it durable with this daemon's own calls.
pub async fn cancel_directly(cx: &Cx, id: JobId, deadline: Duration) -> WriteOutcome {
    while let Some(record) = read_job(cx, id, deadline).await {
        let (job, version) = match record {
            JobRecord::Missing => return WriteOutcome::NoSuchJob,
            JobRecord::Ended(_) => return WriteOutcome::AlreadyDone,
            JobRecord::Open { job, .. } if job.cancelled => return WriteOutcome::Committed,
            JobRecord::Open { job, version } => (job, version),
        };
        let Some(_turn) = write_permit(cx, deadline).await else { return WriteOutcome::Unknown };
        let key = job_key(JOBS, id);
        let cancelled = Job { cancelled: true, ..job };
        let changes = Transaction {
            preconditions: vec![(key.clone(), version)],
            put: vec![(key, table::to_json(&cancelled))],
            remove: Vec::new(),
        };
        let left = deadline.saturating_sub(cx.now());
        match cx.table.commit(&changes, left).await {
            Ok(Outcome::Done { .. }) => return WriteOutcome::Committed,
            Ok(Outcome::Conflict(_)) => {}
            Err(e) => {
                tracing::debug!(job = format_job(id), "gate: not known to be cancelled: {e}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    WriteOutcome::Unknown
}
