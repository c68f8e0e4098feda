//! Edits of the table, with optimistic concurrency control.

use crate::error::{Conflict, Error};
use crate::table::{Entry, Table, validate};
use catkin_types::{Row, RowName};
use serde::{Deserialize, Serialize};

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The name of the row. A row can't be renamed.
    pub name: RowName,
    /// The new value. `None` removes the row.
    pub row: Option<Row>,
}

/// A set of changes that an operator makes to the table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The version of the table that the changes are based on.
    pub expect_version: u64,
    /// The changes. If a row occurs twice, the last change applies.
    pub changes: Vec<Change>,
}

impl Edit {
    /// Returns the edit that turns the rows of `from` into `to`.
    #[must_use]
    pub fn between(from: &Table, to: &[Row]) -> Self {
        let changed = |r: &&Row| from.get(&r.name) != Some(*r);
        let updated = to
            .iter()
            .filter(changed)
            .map(|r| Change { name: r.name.clone(), row: Some(r.clone()) });
        let absent = |r: &&Row| !to.iter().any(|t| t.name == r.name);
        let removed =
            from.rows().filter(absent).map(|r| Change { name: r.name.clone(), row: None });
        Self { expect_version: from.version, changes: updated.chain(removed).collect() }
    }

    /// Applies the edit and returns the next version of `table`. A row that was changed after `expect_version`
    /// conflicts; changes of other rows merge.
    ///
    /// # Errors
    /// Returns [`Error::Conflict`] with every conflicting row, or [`Error::InvalidRow`] for the first invalid row.
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
                validate(row)?;
                validate_name(c, row)?;
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

fn validate_name(c: &Change, row: &Row) -> Result<(), Error> {
    if c.name == row.name {
        return Ok(());
    }
    let problem = format!("the change is for row {}; a row can't be renamed", c.name);
    Err(Error::InvalidRow { row: row.name.clone(), problem })
}
