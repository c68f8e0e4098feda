//! The in-memory table service: versioned rows, and compare-and-set transactions.

use catkin_store::table::{Answer, Row, Txn};
use std::collections::BTreeMap;

/// The state of the table service.
#[derive(Debug, Default)]
pub struct Table {
    /// The version and the value of each row, by key.
    rows: BTreeMap<String, (u64, String)>,
    commits: u64,
}

impl Table {
    /// Runs a transaction: applies all its puts, or none if a checked row has another version than expected. The
    /// version of a missing row is 0. A put without a value removes the row.
    pub fn run(&mut self, txn: &Txn) -> Answer {
        let differs = |c: &&catkin_store::Check| self.version(&c.key) != c.version;
        let conflicts: Vec<_> = txn.checks.iter().filter(differs).map(|c| c.key.clone()).collect();
        if !conflicts.is_empty() {
            return Answer::Conflicts(conflicts);
        }
        self.commits += 1;
        for put in &txn.puts {
            match &put.value {
                Some(value) => {
                    drop(self.rows.insert(put.key.clone(), (self.commits, value.clone())));
                }
                None => drop(self.rows.remove(&put.key)),
            }
        }
        Answer::Committed(self.commits)
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |(v, _)| *v)
    }

    /// Returns the row of `key`, or `None` if there is none.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        Some(Row { key: key.to_owned(), version: *version, value: value.clone() })
    }

    /// Returns the rows whose keys begin with `prefix`, in the order of their keys.
    #[must_use]
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let rows_from = self.rows.range(prefix.to_owned()..);
        let matching = rows_from.take_while(|(k, _)| k.starts_with(prefix));
        matching.map(|(k, (v, x))| Row { key: k.clone(), version: *v, value: x.clone() }).collect()
    }
}
