//! The versioned table and the validation of its rows.

use crate::Error;
use catkin_types::{Row, RowName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum weight of a row.
pub const MAX_WEIGHT: u32 = 1_000_000;
/// The maximum queue bound of a row, in entries.
pub const MAX_QUEUE_BOUND: u64 = 1_000_000;

/// A row with the version that changed it last.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The row. `None` if it was removed.
    pub row: Option<Row>,
    /// The version that changed it last.
    pub changed_in: u64,
}

/// A version of the whole table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The version. Each edit increments it by one; 0 is an empty table that was never written.
    pub version: u64,
    /// All current and removed rows, by name. Removed rows are kept to detect conflicts.
    pub entries: BTreeMap<RowName, Entry>,
}

impl Table {
    /// Creates version 1 with the given rows.
    ///
    /// # Errors
    /// Returns [`Error::InvalidRow`] for the first row that [`validate`] rejects.
    pub fn initial(rows: impl IntoIterator<Item = Row>) -> Result<Self, Error> {
        let mut table = Self { version: 1, ..Self::default() };
        for row in rows {
            validate(&row)?;
            let entry = Entry { row: Some(row.clone()), changed_in: 1 };
            table.entries.insert(row.name, entry);
        }
        Ok(table)
    }

    /// Returns the row of that name, unless it is missing or removed.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Row> {
        self.entries.get(name)?.row.as_ref()
    }

    /// Returns the current rows, sorted by name.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.entries.values().filter_map(|e| e.row.as_ref())
    }
}

/// Checks that the row's values are valid.
///
/// # Errors
/// Returns [`Error::InvalidRow`] with the first invalid value and what is permitted.
pub fn validate(row: &Row) -> Result<(), Error> {
    let invalid = |problem: &str| {
        Err(Error::InvalidRow { row: row.name.clone(), problem: problem.to_owned() })
    };
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if row.name.is_empty() || row.name.len() > 64 || !row.name.chars().all(allowed) {
        return invalid("the name has to be 1 to 64 letters, digits, '-', '_' or '.'");
    }
    if row.borrower.is_empty() {
        return invalid("the borrower is missing");
    }
    if !row.service.chars().all(allowed) {
        return invalid("the service has to be letters, digits, '-', '_' or '.'");
    }
    if row.weight == 0 || row.weight > MAX_WEIGHT {
        return invalid("the weight has to be from 1 to 1000000");
    }
    if row.queue_bound == 0 || row.queue_bound > MAX_QUEUE_BOUND {
        return invalid("the queue bound has to be from 1 to 1000000");
    }
    if row.max_wait_ms == 0 {
        return invalid("the longest wait has to be at least 1 ms");
    }
    if !row.limit.is_zero() && !row.guaranteed.fits(&row.limit) {
        return invalid("the guarantee is larger than the limit");
    }
    Ok(())
}
