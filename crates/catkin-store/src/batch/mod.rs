//! Selects the writes that share a transaction, and builds transactions. No I/O.

use crate::table::{Check, Put, Txn};
use std::collections::BTreeSet;

/// The value of the status row of a transaction that took effect.
pub const COMMITTED: &str = "committed";
/// The value of the status row of a transaction that can never take effect.
pub const ABORTED: &str = "aborted";

/// Returns the indices of the writes in `waiting` that can share one transaction: the first ones, at most `max`. A
/// write that touches a row of an earlier one is skipped, so that no write decides the outcome of another.
#[must_use]
pub fn select_disjoint<'a>(waiting: impl IntoIterator<Item = &'a Txn>, max: usize) -> Vec<usize> {
    let mut touched: BTreeSet<&String> = BTreeSet::new();
    let mut selected = Vec::new();
    for (i, txn) in waiting.into_iter().enumerate() {
        if selected.len() == max {
            break;
        }
        let disjoint = txn.keys().all(|k| !touched.contains(k));
        // A skipped write holds back later ones that touch its rows.
        touched.extend(txn.keys());
        if disjoint {
            selected.push(i);
        }
    }
    selected
}

/// Merges writes into the transaction `id`. It also creates its status row, and removes that of the `previous`
/// transaction.
#[must_use]
pub fn merge<'a>(
    id: &str,
    previous: Option<&str>,
    writes: impl IntoIterator<Item = &'a Txn>,
) -> Txn {
    let mut txn = Txn::default().check(status_key(id), 0).put(status_key(id), COMMITTED);
    if let Some(previous) = previous {
        txn = txn.remove(status_key(previous));
    }
    for write in writes {
        txn.checks.extend(write.checks.iter().cloned());
        txn.puts.extend(write.puts.iter().cloned());
    }
    txn
}

/// Builds the transaction that aborts the transaction `id`: it creates the status row of `id`, so that `id` can't
/// take effect afterwards.
#[must_use]
pub fn abort(id: &str) -> Txn {
    Txn {
        checks: vec![Check { key: status_key(id), version: 0 }],
        puts: vec![Put { key: status_key(id), value: Some(ABORTED.to_owned()) }],
    }
}

/// Returns the key of the status row of the transaction `id`.
#[must_use]
pub fn status_key(id: &str) -> String {
    format!("txn/{id}")
}

/// Returns the keys in `conflicts` that `write` checks.
#[must_use]
pub fn conflicts_of(write: &Txn, conflicts: &[String]) -> Vec<String> {
    let is_checked = |k: &&String| write.checks.iter().any(|c| c.key == **k);
    conflicts.iter().filter(is_checked).cloned().collect()
}
