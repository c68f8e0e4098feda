//! The row of the table that names the owner of the cell.

use super::silent;
use crate::cx::Cx;
use crate::table::{self, OwnerRecord};
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Row, Transaction};
use std::time::Duration;

/// The longest timeout of a call to the table service.
pub(super) const TABLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The owner row as last read or written, with its version.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnerRow {
    pub record: OwnerRecord,
    pub version: u64,
}

/// Reads the row. Returns `None` if that failed.
pub(super) async fn read(cx: &Cx) -> Option<OwnerRow> {
    match cx.table.read_one(&table::owner_key(), TABLE_TIMEOUT).await {
        Ok(row) => Some(row.map_or_else(OwnerRow::default, |r| parse(&r))),
        Err(e) => {
            tracing::debug!("lead: reading the owner row failed, will retry: {e}");
            None
        }
    }
}

fn parse(row: &Row) -> OwnerRow {
    // A row that can't be decoded does not tell that no earlier owner acts.
    let unknown = || OwnerRecord { earlier_owners_ms: u64::MAX, ..OwnerRecord::default() };
    OwnerRow { record: table::decode(row).unwrap_or_else(unknown), version: row.version }
}

/// Returns the record of the running term as it is to be written now.
pub(super) fn stamp(cx: &Cx, record: &OwnerRecord) -> OwnerRecord {
    let left_ms = cx.term.borrow().map(|t| t.earlier.left_ms(cx.now()));
    OwnerRecord {
        renewed_ms: cx.table.clock_ms(),
        earlier_owners_ms: left_ms.unwrap_or(record.earlier_owners_ms),
        silent_workers_ms: silent::left_ms(&cx.silent_workers.borrow(), cx.now()),
        ..record.clone()
    }
}

/// The result of writing the owner row.
pub(super) enum RowWrite {
    /// The row was written and has this version.
    Applied(u64),
    /// The row holds an earlier attempt of the same write, whose answer was lost.
    AppliedEarlier(OwnerRow),
    /// An owner of another term has written the row.
    Superseded(OwnerRow),
    /// The write was rejected, or its answer was lost.
    NotConfirmed,
}

/// Writes the owner row. If an earlier attempt's answer was lost, the conflict shows whether that attempt took effect.
pub(super) async fn write(
    cx: &Cx,
    record: &OwnerRecord,
    version: u64,
    max_wait: Duration,
) -> RowWrite {
    let key = table::owner_key();
    let changes = Transaction {
        expected_versions: vec![(key.clone(), version)],
        put: vec![(key, table::to_json(record))],
        remove: Vec::new(),
    };
    match cx.table.commit(&changes, max_wait).await {
        Ok(CommitOutcome::Committed { version, .. }) => RowWrite::Applied(version),
        Ok(CommitOutcome::Conflict(rows)) => {
            let other = rows.first().map_or_else(OwnerRow::default, parse);
            let same = other.record.epoch == record.epoch
                && other.record.incarnation == record.incarnation;
            if same { RowWrite::AppliedEarlier(other) } else { RowWrite::Superseded(other) }
        }
        Err(Error::NotDone(e) | Error::Refused(e)) => {
            tracing::debug!("lead: owner row not written: {e}");
            RowWrite::NotConfirmed
        }
        Err(e) => {
            tracing::warn!("lead: unknown whether the owner row was written: {e}");
            RowWrite::NotConfirmed
        }
    }
}

/// Clears the address in the owner row, so that another daemon can take over without waiting for a timeout.
pub(super) async fn release(cx: &Cx, mut current: OwnerRow) -> OwnerRow {
    current.record = OwnerRecord { address: String::new(), ..stamp(cx, &current.record) };
    match write(cx, &current.record, current.version, TABLE_TIMEOUT).await {
        RowWrite::Applied(version) => OwnerRow { version, ..current },
        RowWrite::AppliedEarlier(other) | RowWrite::Superseded(other) => other,
        RowWrite::NotConfirmed => current,
    }
}
