//! A daemon's copy of the table, which never reverts to an earlier version.

use crate::Table;
use std::sync::Arc;

/// The newest version of the table that the daemon has received.
#[derive(Clone, Debug, Default)]
pub struct View {
    table: Option<Arc<Table>>,
}

impl View {
    /// Replaces the held table if `table` is newer. Returns whether it was replaced.
    pub fn replace_if_newer(&mut self, table: Arc<Table>) -> bool {
        let newer = table.version > self.version();
        if newer {
            self.table = Some(table);
        }
        newer
    }

    /// Returns the version of the held table, or 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |t| t.version)
    }

    /// Returns the held table. `None` until the first one is received.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }
}
