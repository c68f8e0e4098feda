//! What one daemon holds of the table. It never goes back to an earlier version.

use crate::Table;
use std::sync::Arc;

/// The newest version that was seen.
#[derive(Clone, Debug, Default)]
pub struct View {
    table: Option<Arc<Table>>,
}

impl View {
    /// Takes `table` if it is newer than what is held. Returns whether it was.
    pub fn offer(&mut self, table: Arc<Table>) -> bool {
        let newer = table.version > self.version();
        if newer {
            self.table = Some(table);
        }
        newer
    }

    /// The version, 0 if none was seen.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |t| t.version)
    }

    /// The table, if one was seen.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }
}
