//! What the platform keeps for a deployment: rows of the table service, objects, and the list of hosts.
//!
//! Writes share transactions. A write whose answer is lost is settled by the row that every transaction writes about
//! itself; until that is done its outcome is unknown, and nobody is told a guess.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod batch;
pub mod commit;
pub mod error;
pub mod hosts;
pub mod objects;
pub mod table;

pub use commit::Store;
pub use error::Error;
pub use table::{Check, Put, Row, Txn};

use std::time::Duration;

/// Where the platform's services are, and how they are used.
#[derive(Clone, Debug)]
pub struct Options {
    /// The table service.
    pub table_url: String,
    /// The object store.
    pub objects_url: String,
    /// The host list.
    pub hosts_url: String,
    /// How long an answer is awaited.
    pub timeout: Duration,
    /// How long writes wait for others to share a transaction.
    pub batch: Duration,
    /// How many writes share a transaction at most.
    pub max_batch: usize,
    /// How many writes wait at most.
    pub max_waiting: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            table_url: String::new(),
            objects_url: String::new(),
            hosts_url: String::new(),
            timeout: Duration::from_secs(2),
            batch: Duration::from_millis(5),
            max_batch: 256,
            max_waiting: 4_096,
        }
    }
}
