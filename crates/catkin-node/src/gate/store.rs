//! Durable writes of jobs, through the owner of the cell or directly by this daemon.

use super::jobs::{call_owner, notify_owner, read_job};
use crate::cx::Cx;
use crate::table;
use crate::table::record::{Cancellation, JobRecord};
use catkin_cell::Job;
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Row};
use catkin_schema::peer::{Request, Response};
use catkin_types::id::format_job;
use catkin_types::{Code, JobId};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::SemaphorePermit;

/// The delay before a call whose answer was lost is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// How long an owner that does not answer heartbeats is given to store a job.
const UNHEALTHY_OWNER_TIMEOUT: Duration = Duration::from_millis(400);
/// A job whose client waits no longer than this is refused without a write: its outcome would come too late.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(50);
/// The interval at which a job whose write is open is looked for.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// The result of storing or cancelling a job durably.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write is durable.
    Durable,
    /// The job was accepted before, or has ended.
    AlreadyDone,
    /// The job does not exist, and never will: it was cancelled before it was accepted.
    NoSuchJob,
    /// The write was not carried out, and will not be.
    NotCommitted,
    /// The table service refuses the write for good. A repeated one would be refused too.
    Refused,
    /// The write may or may not be carried out.
    Unknown,
}

impl WriteOutcome {
    /// Returns the response that reports this outcome to another daemon.
    #[must_use]
    pub fn into_response(self) -> Response {
        let refused = |code: Code| {
            Response::Refused(catkin_schema::peer::Refused {
                code: code.number(),
                ..Default::default()
            })
        };
        match self {
            Self::Durable => Response::Done,
            Self::AlreadyDone => Response::Count(0),
            Self::NoSuchJob => refused(Code::NOT_FOUND),
            Self::NotCommitted => refused(Code::STORE_DOWN),
            Self::Refused => refused(Code::BODY_TOO_LARGE),
            Self::Unknown => refused(Code::STORE_UNKNOWN),
        }
    }

    /// Returns the outcome that the owner's response reports. Returns `None` if the daemon that answered is not the
    /// owner.
    fn from_response(answer: Response) -> Option<Self> {
        match answer {
            Response::Done => Some(Self::Durable),
            Response::Count(_) => Some(Self::AlreadyDone),
            Response::Refused(r) if r.code == Code::NOT_FOUND.number() => Some(Self::NoSuchJob),
            Response::Refused(r) if r.code == Code::NO_OWNER.number() => None,
            Response::Refused(r) if r.code == Code::STORE_UNKNOWN.number() => Some(Self::Unknown),
            Response::Refused(r) if r.code == Code::BODY_TOO_LARGE.number() => Some(Self::Refused),
            Response::Refused(_) => Some(Self::NotCommitted),
            _ => Some(Self::Unknown),
        }
    }
}

/// Stores a job through the owner of the cell, which writes many at once. Without an owner that can, this daemon stores
/// it directly, unless the table service is slow: single writes of many daemons would make it slower still.
pub async fn accept(cx: &Arc<Cx>, id: JobId, job: &Job, deadline: Duration) -> WriteOutcome {
    if deadline.saturating_sub(cx.now()) < MIN_ACCEPT_TIME {
        return WriteOutcome::NotCommitted;
    }
    wait_for_owner(cx, deadline).await;
    let owner_outcome = tokio::select! {
        outcome = store_via_owner(cx, id, job, deadline) => outcome,
        () = owner_lost(cx) => Some(WriteOutcome::Unknown),
    };
    if let Some(outcome) = owner_outcome
        && !matches!(outcome, WriteOutcome::NotCommitted | WriteOutcome::Unknown)
    {
        return outcome;
    }
    let direct_outcome = if may_write_directly(cx) {
        accept_beside_owner(cx, id, job, deadline).await
    } else {
        WriteOutcome::NotCommitted
    };
    let outcome = if owner_outcome == Some(WriteOutcome::Unknown) {
        direct_outcome.after_unknown()
    } else {
        direct_outcome
    };
    if outcome == WriteOutcome::Unknown { look_for_job(cx, id, deadline).await } else { outcome }
}

/// Whether this daemon may write a job directly: the table service works, and direct writes don't make it slower.
fn may_write_directly(cx: &Cx) -> bool {
    !cx.table.is_unavailable() && !cx.table.latency().is_slow()
}

/// Waits until this daemon knows the owner, if it could store the job neither through the owner nor directly. Returns at
/// once while the table service is unavailable.
async fn wait_for_owner(cx: &Cx, deadline: Duration) {
    let mut leader = cx.leader.subscribe();
    while leader.borrow_and_update().is_none()
        && !cx.table.is_unavailable()
        && !may_write_directly(cx)
    {
        let left = deadline.saturating_sub(cx.now() + MIN_ACCEPT_TIME);
        if left.is_zero() {
            return;
        }
        // The table service may become unavailable meanwhile. The senders live as long as `cx`.
        let _ = tokio::time::timeout(left.min(LOOK_INTERVAL), leader.changed()).await;
    }
}

/// Stores a job with calls of this daemon, and notifies the owner of it.
async fn accept_beside_owner(
    cx: &Arc<Cx>,
    id: JobId,
    job: &Job,
    deadline: Duration,
) -> WriteOutcome {
    let outcome = accept_directly(cx, id, job, deadline).await;
    if outcome == WriteOutcome::Durable {
        notify_owner(cx, Request::Offer { shard: String::new(), job: id });
    }
    outcome
}

/// Returns once the owner has not answered heartbeats for a while, or another daemon owns the cell: the owner that was
/// called then answers late or never.
async fn owner_lost(cx: &Cx) {
    let mut leader = cx.leader.subscribe();
    // The senders live as long as `cx`.
    tokio::select! {
        _ = leader.changed() => {}
        () = owner_unhealthy(cx) => {}
    }
}

/// Returns once the owner has not answered heartbeats for [`UNHEALTHY_OWNER_TIMEOUT`].
async fn owner_unhealthy(cx: &Cx) {
    let mut healthy = cx.owner_healthy.subscribe();
    loop {
        let _ = healthy.wait_for(|healthy| !healthy).await;
        let back = healthy.wait_for(|healthy| *healthy);
        if tokio::time::timeout(UNHEALTHY_OWNER_TIMEOUT, back).await.is_err() {
            return;
        }
    }
}

/// Reads the table until a job whose write is open is found there, or the deadline has passed.
async fn look_for_job(cx: &Cx, id: JobId, deadline: Duration) -> WriteOutcome {
    loop {
        let left = deadline.saturating_sub(cx.now());
        if left.is_zero() {
            return WriteOutcome::Unknown;
        }
        match JobRecord::read(&cx.table, id, left).await {
            Ok(JobRecord::Missing) => {}
            Ok(JobRecord::Withdrawn) => return WriteOutcome::NoSuchJob,
            Ok(_) => return WriteOutcome::Durable,
            Err(e) => tracing::debug!(job = format_job(id), "gate: job not looked for: {e}"),
        }
        tokio::time::sleep(LOOK_INTERVAL.min(left)).await;
    }
}

/// Stores a job through the owner. Returns `None` if the owner certainly does not store it.
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
    /// Combines this outcome with that of an earlier attempt with an unknown outcome, which may still be carried out
    /// even if this one was refused.
    fn after_unknown(self) -> Self {
        if matches!(self, Self::NotCommitted | Self::Refused) { Self::Unknown } else { self }
    }
}

/// Calls the owner, unless it is this daemon. Returns `None` if the call certainly did not arrive.
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

/// Stores a job with calls of this daemon to the table service.
pub async fn accept_directly(cx: &Cx, id: JobId, job: &Job, deadline: Duration) -> WriteOutcome {
    let Some(_permit) = write_permit(cx, deadline).await else { return WriteOutcome::NotCommitted };
    let changes = table::accept_changes(id, job);
    let mut answer_lost = false;
    loop {
        let left = deadline.saturating_sub(cx.now());
        if left.is_zero() {
            return WriteOutcome::Unknown;
        }
        match cx.table.commit(&changes, left).await {
            Ok(CommitOutcome::Committed { .. }) => return WriteOutcome::Durable,
            Ok(CommitOutcome::Conflict(rows)) => return outcome_of_conflict(&rows, answer_lost),
            Err(Error::Refused(e)) => {
                tracing::warn!(job = format_job(id), "gate: job refused for good: {e}");
                return WriteOutcome::Refused;
            }
            Err(Error::NotDone(e)) if !answer_lost => {
                tracing::debug!(job = format_job(id), "gate: job not stored: {e}");
                return WriteOutcome::NotCommitted;
            }
            Err(e) => {
                answer_lost |= !matches!(e, Error::NotDone(_));
                tracing::debug!(
                    job = format_job(id),
                    "gate: unknown whether the job is stored, will retry: {e}"
                );
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits for a permit to write directly. Returns `None` if there is none until the deadline.
async fn write_permit(cx: &Cx, deadline: Duration) -> Option<SemaphorePermit<'_>> {
    let left = deadline.saturating_sub(cx.now());
    tokio::time::timeout(left, cx.direct_writes.acquire()).await.ok()?.ok()
}

/// Derives the outcome of an accepting write from the rows of its conflict: the job is stored, by an earlier attempt if
/// its answer was lost; or it has ended; or it was cancelled before it was stored.
#[must_use]
pub fn outcome_of_conflict(rows: &[Row], answer_lost: bool) -> WriteOutcome {
    if rows.iter().any(table::is_withdrawn) {
        return WriteOutcome::NoSuchJob;
    }
    let is_open = |r: &Row| table::decode::<Job>(r).is_some_and(|job| !job.steps.is_empty());
    if answer_lost && rows.iter().any(is_open) {
        WriteOutcome::Durable
    } else {
        WriteOutcome::AlreadyDone
    }
}

/// Cancels a job durably: directly, or through the owner if the table service does not serve this daemon.
pub async fn cancel(cx: &Arc<Cx>, id: JobId, deadline: Duration) -> WriteOutcome {
    let direct = if cx.table.is_unavailable() {
        WriteOutcome::NotCommitted
    } else {
        cancel_directly(cx, id, deadline.min(cx.now() + cx.table.call_timeout() * 2)).await
    };
    if !matches!(direct, WriteOutcome::NotCommitted | WriteOutcome::Unknown) {
        return direct;
    }
    match write_via_owner(cx, Request::StoreCancellation(id), deadline).await {
        Some(WriteOutcome::NotCommitted) | None => cancel_directly(cx, id, deadline).await,
        Some(owner_outcome) => owner_outcome,
    }
}

/// Cancels a job with calls of this daemon to the table service. A job that is not accepted is withdrawn: a write that
/// accepts it may be open at another daemon, or be carried out late.
pub async fn cancel_directly(cx: &Cx, id: JobId, deadline: Duration) -> WriteOutcome {
    while let Some(record) = read_job(cx, id, deadline).await {
        let (changes, outcome) = match record.cancellation(id, cx.table.clock_ms()) {
            Cancellation::Marked => return WriteOutcome::Durable,
            Cancellation::Ended => return WriteOutcome::AlreadyDone,
            Cancellation::Withdrawn => return WriteOutcome::NoSuchJob,
            Cancellation::Mark(changes) => (changes, WriteOutcome::Durable),
            Cancellation::Withdraw(changes) => (changes, WriteOutcome::NoSuchJob),
        };
        let Some(_permit) = write_permit(cx, deadline).await else { return WriteOutcome::Unknown };
        let left = deadline.saturating_sub(cx.now());
        match cx.table.commit(&changes, left).await {
            Ok(CommitOutcome::Committed { .. }) => return outcome,
            // The job was accepted, changed or ended since it was read.
            Ok(CommitOutcome::Conflict(_)) => {}
            Err(e) => {
                tracing::debug!(
                    job = format_job(id),
                    "gate: unknown whether the job is cancelled, will retry: {e}"
                );
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    WriteOutcome::Unknown
}
