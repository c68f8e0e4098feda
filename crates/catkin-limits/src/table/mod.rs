//! A version of the table.

use crate::Error;
use catkin_types::{Row, RowName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The largest weight of a row.
pub const MAX_WEIGHT: u32 = 1_000_000;
/// The largest queue bound of a row.
pub const MAX_QUEUE: u64 = 1_000_000;

/// A row and the version that changed it last.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The row. `None` stands for one that was removed.
    pub row: Option<Row>,
    /// The version that changed it last.
    pub changed_in: u64,
}

/// The whole table in one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The version. It grows by one with each change.
    pub version: u64,
    /// Every row that there is or was, by name.
    pub entries: BTreeMap<RowName, Entry>,
}

impl Table {
    /// A first version with these rows.
    ///
    /// # Errors
    /// A value is out of range.
    pub fn first(rows: impl IntoIterator<Item = Row>) -> Result<Self, Error> {
        let mut table = Self { version: 1, ..Self::default() };
        for row in rows {
            check(&row)?;
            let entry = Entry { row: Some(row.clone()), changed_in: 1 };
            table.entries.insert(row.name, entry);
        }
        Ok(table)
    }

    /// The row of that name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Row> {
        self.entries.get(name)?.row.as_ref()
    }

    /// The rows in order of name.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.entries.values().filter_map(|e| e.row.as_ref())
    }
}

/// Whether the row's values are in range.
///
/// # Errors
/// Says which is not, and what would be right.
pub fn check(row: &Row) -> Result<(), Error> {
    let bad = |what: &str| Err(Error::BadRow { row: row.name.clone(), what: what.to_owned() });
    let name_ok = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if row.name.is_empty() || row.name.len() > 64 || !row.name.chars().all(name_ok) {
        return bad("the name has to be 1 to 64 letters, digits, '-', '_' or '.'");
    }
    if row.borrower.is_empty() {
        return bad("the borrower is missing");
    }
    if !row.service.chars().all(name_ok) {
        return bad("the service has to be letters, digits, '-', '_' or '.'");
    }
    if row.weight == 0 || row.weight > MAX_WEIGHT {
        return bad("the weight has to be from 1 to 1000000");
    }
    if row.queue_bound == 0 || row.queue_bound > MAX_QUEUE {
        return bad("the queue bound has to be from 1 to 1000000");
    }
    if row.max_wait_ms == 0 {
        return bad("the longest wait has to be at least 1 ms");
    }
    if !row.limit.is_zero() && !row.guaranteed.fits(&row.limit) {
        return bad("the guarantee is larger than the limit");
    }
    Ok(())
}
