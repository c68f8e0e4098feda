//! Finding out what became of a transaction whose answer was lost.

use super::{Counts, Settled, outcome};
use crate::table::{Answer, Sent, Txn};
use crate::{Options, batch, table};
use catkin_http::Client;
use rand::RngExt;
use std::sync::atomic::Ordering;
use std::time::Duration;

const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Commits, and does not return before the outcome is certain.
pub(super) async fn commit(
    opt: &Options,
    http: &Client,
    counts: &Counts,
    id: &str,
    txn: &Txn,
) -> Settled {
    counts.transactions.fetch_add(1, Ordering::Relaxed);
    counts.rows.fetch_add(txn.puts.len() as u64, Ordering::Relaxed);
    let sent = table::send(http, &opt.table_url, txn, opt.timeout).await;
    if let Some(settled) = outcome(sent) {
        return settled;
    }
    counts.lost.fetch_add(1, Ordering::Relaxed);
    tracing::warn!("store: answer to transaction {id} lost, settling");
    let mut backoff = FIRST_BACKOFF;
    loop {
        if let Some(settled) = ask(opt, http, id).await {
            tracing::info!("store: transaction {id} settled: {settled:?}");
            return settled;
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Makes sure that the transaction never takes effect, unless it already has.
async fn ask(opt: &Options, http: &Client, id: &str) -> Option<Settled> {
    let aborted = || Some(Settled::Aborted("the answer was lost; the write had no effect".into()));
    match table::send(http, &opt.table_url, &batch::abort(id), opt.timeout).await {
        Sent::Answered(Answer::Committed(_)) => aborted(),
        Sent::Refused(_) | Sent::Lost(_) => None,
        Sent::Answered(Answer::Conflicts(_)) => {
            let row =
                table::row(http, &opt.table_url, &batch::own_row(id), opt.timeout).await.ok()?;
            // The row can be gone only if a later transaction removed it, which there is none of before this is settled.
            let row = row?;
            if row.value == batch::COMMITTED {
                Some(Settled::Committed(row.version))
            } else {
                aborted()
            }
        }
    }
}
