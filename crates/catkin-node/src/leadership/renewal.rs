//! Renewals of the owner row.

use super::row::{self, OwnerRow, RowWrite};
use crate::cx::Cx;
use std::time::Duration;

/// The interval at which the owner renews its row.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(250);
/// The delay before a renewal that failed is repeated.
const RENEW_RETRY_DELAY: Duration = Duration::from_millis(100);
/// A renewal that failed within this time was rejected or its connection was reset.
const FAST_FAILURE: Duration = Duration::from_millis(200);

/// Renews the row until an owner of a later term exists. Returns that owner's row.
pub(super) async fn keep_renewed(cx: &Cx, current: &mut OwnerRow) -> OwnerRow {
    let mut failed = false;
    loop {
        tokio::time::sleep(renew_interval(failed)).await;
        match renew(cx, current).await {
            Renewed::Applied => failed = false,
            Renewed::NotConfirmed => failed = true,
            Renewed::Superseded(newer) => return newer,
        }
    }
}

/// Returns the time until the next renewal.
pub(super) fn renew_interval(failed: bool) -> Duration {
    if failed { RENEW_RETRY_DELAY } else { RENEW_INTERVAL }
}

/// Records that the table service carries out the writes of this term.
pub(super) fn confirm_term(cx: &Cx) {
    let now = cx.now();
    cx.term.send_if_modified(|term| {
        if let Some(term) = term {
            term.confirm(now);
        }
        false
    });
}

/// Records a renewal that took effect and was sent at `sent`, with this version of the silent workers or a later one.
fn record_renewal(cx: &Cx, sent: Duration, silent_version: u64) {
    let now = cx.now();
    cx.term.send_if_modified(|term| {
        if let Some(term) = term {
            term.record_renewal(sent, now);
            term.silent_version = silent_version;
        }
        false
    });
}

/// Records that a renewal was rejected, or that its connection was reset.
fn record_fast_failure(cx: &Cx) {
    cx.term.send_if_modified(|term| {
        if let Some(term) = term {
            term.fast_failures += 1;
        }
        false
    });
}

/// The result of a renewal.
pub(super) enum Renewed {
    Applied,
    Superseded(OwnerRow),
    NotConfirmed,
}

/// Renews the owner row, and records the result in the term.
pub(super) async fn renew(cx: &Cx, current: &mut OwnerRow) -> Renewed {
    let sent = cx.now();
    let silent_version = cx.silent_workers.borrow().version;
    let record = row::stamp(cx, &current.record);
    // A renewal is repeated early: its answer may be lost, and repeating it does no harm.
    let max_wait = cx.table.latency().check_delay();
    let written = row::write(cx, &record, current.version, max_wait).await;
    let fast = cx.now().saturating_sub(sent) < FAST_FAILURE;
    match &written {
        RowWrite::Applied(_) => {
            confirm_term(cx);
            record_renewal(cx, sent, silent_version);
        }
        // The row is confirmed to be of this term, but was written before this attempt.
        RowWrite::AppliedEarlier(_) => confirm_term(cx),
        RowWrite::NotConfirmed if fast => record_fast_failure(cx),
        RowWrite::NotConfirmed | RowWrite::Superseded(_) => {}
    }
    match written {
        RowWrite::Applied(version) => {
            *current = OwnerRow { record, version };
            Renewed::Applied
        }
        RowWrite::AppliedEarlier(row) => {
            *current = OwnerRow { record, ..row };
            Renewed::Applied
        }
        RowWrite::Superseded(other) => Renewed::Superseded(other),
        RowWrite::NotConfirmed => Renewed::NotConfirmed,
    }
}
