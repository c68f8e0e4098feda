//! Rows with versions, and transactions that compare and set.

use catkin_store::table::{Answer, Row, Txn};
use std::collections::BTreeMap;

/// The rows.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, (u64, String)>,
    commits: u64,
}

impl Table {
    /// Runs a transaction.
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

    /// The row of that key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        Some(Row { key: key.to_owned(), version: *version, value: value.clone() })
    }

    /// The rows whose keys begin with `prefix`.
    #[must_use]
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let from = self.rows.range(prefix.to_owned()..);
        let with = from.take_while(|(k, _)| k.starts_with(prefix));
        with.map(|(k, (v, x))| Row { key: k.clone(), version: *v, value: x.clone() }).collect()
    }
}
