//! Commits a transaction, and finds out its outcome if the answer is lost.

use super::{Counts, Outcome, outcome_if_known};
use crate::table::{Answer, SendResult, Txn};
use crate::{Options, batch, table};
use catkin_http::Client;
use rand::RngExt;
use std::sync::atomic::Ordering;
use std::time::Duration;

const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Commits a transaction. Retries without limit until the outcome is known.
pub(super) async fn commit(
    opt: &Options,
    http: &Client,
    counts: &Counts,
    id: &str,
    txn: &Txn,
) -> Outcome {
    counts.transactions.fetch_add(1, Ordering::Relaxed);
    counts.rows.fetch_add(txn.puts.len() as u64, Ordering::Relaxed);
    let result = table::send(http, &opt.table_url, txn, opt.timeout).await;
    if let Some(outcome) = outcome_if_known(result) {
        return outcome;
    }
    counts.lost.fetch_add(1, Ordering::Relaxed);
    tracing::warn!("store: answer to transaction {id} lost, aborting it unless it has committed");
    let mut backoff = FIRST_BACKOFF;
    loop {
        if let Some(outcome) = try_resolve(opt, http, id).await {
            tracing::info!("store: outcome of transaction {id}: {outcome:?}");
            return outcome;
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Aborts the transaction unless it already took effect. Returns its outcome, or `None` if that is still unknown.
async fn try_resolve(opt: &Options, http: &Client, id: &str) -> Option<Outcome> {
    let aborted = || Some(Outcome::Aborted("the answer was lost; the write had no effect".into()));
    match table::send(http, &opt.table_url, &batch::abort(id), opt.timeout).await {
        SendResult::Answered(Answer::Committed(_)) => aborted(),
        SendResult::Refused(_) | SendResult::Lost(_) => None,
        SendResult::Answered(Answer::Conflicts(_)) => {
            let row =
                table::row(http, &opt.table_url, &batch::status_key(id), opt.timeout).await.ok()?;
            // The row exists: only a later transaction removes it, and none is sent before this outcome is known.
            let row = row?;
            if row.value == batch::COMMITTED {
                Some(Outcome::Committed(row.version))
            } else {
                aborted()
            }
        }
    }
}
