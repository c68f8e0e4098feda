//! Rows of the list of workers. Others than workers can write there too: an entry that names no worker to use is left out,
//! and reported once.

use catkin_cell::worker::WorkerInfo;
use catkin_platform::store::Row;
use catkin_platform::worker_list::{self, Unusable};
use catkin_types::WorkerId;
use std::collections::HashMap;

/// What rows of the list say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListUpdate {
    /// The workers that are listed.
    pub workers: Vec<WorkerInfo>,
    /// The workers that are no longer listed.
    pub removed: Vec<WorkerId>,
    /// Entries that name no worker to use, without those that were reported before for the same reason.
    pub newly_unusable: Vec<(WorkerId, Unusable)>,
}

/// Reads rows of the list, and remembers which entries were reported.
#[derive(Clone, Debug, Default)]
pub struct WorkerEntries {
    unusable: HashMap<WorkerId, Unusable>,
}

impl WorkerEntries {
    /// Reads rows of the list, or of its changes.
    pub fn read(&mut self, rows: &[Row]) -> ListUpdate {
        let mut update = ListUpdate::default();
        for row in rows {
            let parsed = row.value.as_ref().map(|value| worker_list::parse_entry(&row.key, value));
            let why = match parsed {
                Some(Ok(worker)) => {
                    self.unusable.remove(&row.key);
                    update.workers.push(worker);
                    continue;
                }
                Some(Err(why)) => Some(why),
                None => None,
            };
            update.removed.push(row.key.clone());
            update.newly_unusable.extend(self.record(&row.key, why));
        }
        update
    }

    /// Records why an entry is unusable, `None` if it was removed. Returns what was not reported before.
    fn record(&mut self, id: &WorkerId, why: Option<Unusable>) -> Option<(WorkerId, Unusable)> {
        let Some(why) = why else {
            self.unusable.remove(id);
            return None;
        };
        let old = self.unusable.insert(id.clone(), why.clone());
        (old.as_ref() != Some(&why)).then(|| (id.clone(), why))
    }
}

impl ListUpdate {
    /// Logs the entries that name no worker to use.
    pub fn log_unusable(&self) {
        for (worker, why) in &self.newly_unusable {
            tracing::warn!(worker, "list: the entry names no worker to use and is left out: {why}");
        }
    }
}
