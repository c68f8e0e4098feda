//! Which waiting writes share a transaction. Pure.

use crate::table::{Check, Put, Txn};
use std::collections::BTreeSet;

/// The value of a transaction's own row once it took effect.
pub const COMMITTED: &str = "committed";
/// The value of a transaction's own row once it is certain never to take effect.
pub const ABORTED: &str = "aborted";

/// Which of `waiting` can share one transaction: the first ones, at most `max`, without one that touches a row that
/// an earlier one touches, so that none of them decides over another.
#[must_use]
pub fn share<'a>(waiting: impl IntoIterator<Item = &'a Txn>, max: usize) -> Vec<usize> {
    let mut touched: BTreeSet<&String> = BTreeSet::new();
    let mut out = Vec::new();
    for (i, txn) in waiting.into_iter().enumerate() {
        if out.len() == max {
            break;
        }
        let free = txn.keys().all(|k| !touched.contains(k));
        // One that has to wait keeps later ones on the same rows behind it.
        touched.extend(txn.keys());
        if free {
            out.push(i);
        }
    }
    out
}

/// One transaction of all parts. It writes a row about itself, and removes the one of the transaction before it.
#[must_use]
pub fn merge<'a>(
    id: &str,
    previous: Option<&str>,
    parts: impl IntoIterator<Item = &'a Txn>,
) -> Txn {
    let mut txn = Txn::default().check(own_row(id), 0).put(own_row(id), COMMITTED);
    if let Some(previous) = previous {
        txn = txn.remove(own_row(previous));
    }
    for part in parts {
        txn.checks.extend(part.checks.iter().cloned());
        txn.puts.extend(part.puts.iter().cloned());
    }
    txn
}

/// The transaction after which the one of that id can never take effect.
#[must_use]
pub fn abort(id: &str) -> Txn {
    Txn {
        checks: vec![Check { key: own_row(id), version: 0 }],
        puts: vec![Put { key: own_row(id), value: Some(ABORTED.to_owned()) }],
    }
}

/// The row that a transaction writes about itself.
#[must_use]
pub fn own_row(id: &str) -> String {
    format!("txn/{id}")
}

/// The rows in `conflicts` that the part expected something of.
#[must_use]
pub fn conflicts_of(part: &Txn, conflicts: &[String]) -> Vec<String> {
    let mine = |k: &&String| part.checks.iter().any(|c| c.key == **k);
    conflicts.iter().filter(mine).cloned().collect()
}
