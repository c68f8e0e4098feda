//! Durable writes of new jobs, through the owner of the cell or directly by this daemon.

use super::outcome::{WriteOutcome, outcome_of_conflict};
use super::owner_call::{notify_owner, write_via_owner};
use crate::cx::Cx;
use crate::table;
use crate::table::record::JobRecord;
use catkin_cell::Job;
use catkin_platform::error::Error;
use catkin_platform::store::CommitOutcome;
use catkin_schema::peer::Request;
use catkin_types::JobId;
use catkin_types::id::format_job;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::SemaphorePermit;

/// The delay before a call whose answer was lost is repeated.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(60);

/// How long an owner that does not answer heartbeats is given to store a job.
const UNHEALTHY_OWNER_TIMEOUT: Duration = Duration::from_millis(400);
/// A job whose client waits no longer than this is refused without a write: its outcome would come too late.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(50);
/// The interval at which a job whose write is open is looked for.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

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
pub(super) async fn write_permit(cx: &Cx, deadline: Duration) -> Option<SemaphorePermit<'_>> {
    let left = deadline.saturating_sub(cx.now());
    tokio::time::timeout(left, cx.direct_writes.acquire()).await.ok()?.ok()
}
