//! Changes to the table.

use crate::error::{Conflict, Error};
use crate::table::{Entry, Table, check};
use catkin_types::{Row, RowName};
use serde::{Deserialize, Serialize};

/// A new value of one row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The row.
    pub name: RowName,
    /// The new value. `None` removes the row.
    pub row: Option<Row>,
}

/// An operator's edit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The version that the operator looked at.
    pub expect_version: u64,
    /// The changed rows.
    pub changes: Vec<Change>,
}

impl Edit {
    /// The edit that turns `from` into the rows `to`.
    #[must_use]
    pub fn between(from: &Table, to: &[Row]) -> Self {
        let changed = |r: &&Row| from.get(&r.name) != Some(*r);
        let set = to
            .iter()
            .filter(changed)
            .map(|r| Change { name: r.name.clone(), row: Some(r.clone()) });
        let gone = |r: &&Row| !to.iter().any(|t| t.name == r.name);
        let removed = from.rows().filter(gone).map(|r| Change { name: r.name.clone(), row: None });
        Self { expect_version: from.version, changes: set.chain(removed).collect() }
    }

    /// The next version of `table`. Rows that others changed since `expect_version` are a conflict; the rest merges.
    ///
    /// # Errors
    /// Lists every conflicting row, or names the first row that is out of range.
    pub fn apply(&self, table: &Table) -> Result<Table, Error> {
        let conflicts: Vec<_> =
            self.changes.iter().filter_map(|c| self.conflict(table, c)).collect();
        if !conflicts.is_empty() {
            return Err(Error::Conflict(conflicts));
        }
        let mut next = table.clone();
        next.version += 1;
        for c in &self.changes {
            if let Some(row) = &c.row {
                check(row)?;
                same_name(c, row)?;
            }
            let entry = Entry { row: c.row.clone(), changed_in: next.version };
            next.entries.insert(c.name.clone(), entry);
        }
        Ok(next)
    }

    fn conflict(&self, table: &Table, c: &Change) -> Option<Conflict> {
        let entry = table.entries.get(&c.name)?;
        let changed_in = entry.changed_in;
        (changed_in > self.expect_version).then(|| Conflict { row: c.name.clone(), changed_in })
    }
}

fn same_name(c: &Change, row: &Row) -> Result<(), Error> {
    if c.name == row.name {
        return Ok(());
    }
    let what = format!("the change is for row {}; a row can't be renamed", c.name);
    Err(Error::BadRow { row: row.name.clone(), what })
}
