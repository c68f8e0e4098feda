//! Client of the platform's table service, object store and host list.
//!
//! Several writes share a transaction. Each transaction also writes a status row. If the answer to a transaction is
//! lost, its status row decides the outcome. Until then the outcome is unknown, and callers never get a guess.
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

/// The addresses of the platform's services, and the limits of their use.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URL of the table service.
    pub table_url: String,
    /// Base URL of the object store.
    pub objects_url: String,
    /// Base URL of the host list.
    pub hosts_url: String,
    /// Time limit of one request, from connecting to the end of the answer.
    pub timeout: Duration,
    /// How long a write waits for others that can share its transaction.
    pub batch_delay: Duration,
    /// The most writes in one transaction.
    pub max_batch: usize,
    /// The most writes that wait to be sent. Further ones fail with [`Error::Unavailable`].
    pub max_waiting: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            table_url: String::new(),
            objects_url: String::new(),
            hosts_url: String::new(),
            timeout: Duration::from_secs(2),
            batch_delay: Duration::from_millis(5),
            max_batch: 256,
            max_waiting: 4_096,
        }
    }
}
