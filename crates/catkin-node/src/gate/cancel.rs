//! Durable cancellations, by this daemon or through the owner of the cell.

use super::accept::{RETRY_DELAY, write_permit};
use super::outcome::WriteOutcome;
use super::owner_call::write_via_owner;
use crate::cx::Cx;
use crate::table::record::{Cancellation, JobRecord};
use catkin_platform::store::CommitOutcome;
use catkin_schema::peer::Request;
use catkin_types::JobId;
use catkin_types::id::format_job;
use std::sync::Arc;
use std::time::Duration;

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

/// Reads the state of a job from the table, with retries. Returns `None` if that fails until the deadline.
pub(super) async fn read_job(cx: &Cx, id: JobId, deadline: Duration) -> Option<JobRecord> {
    loop {
        let left = deadline.saturating_sub(cx.now());
        if left.is_zero() {
            return None;
        }
        match JobRecord::read(&cx.table, id, left).await {
            Ok(record) => return Some(record),
            Err(e) => {
                tracing::debug!(
                    job = format_job(id),
                    "gate: reading the job failed, will retry: {e}"
                );
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
