//! The messages of the table service, and single requests to it.

use crate::error::Error;
use bytes::Bytes;
use catkin_http::{Client, Error as HttpError};
use hyper::Method;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A check of a transaction: the version that a row must have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// The expected version. 0 for a row that must not exist.
    pub version: u64,
}

/// A write or a removal of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// The new value. `None` removes the row.
    pub value: Option<String>,
}

/// A transaction: if every check holds, every write takes effect, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// The version checks.
    pub checks: Vec<Check>,
    /// The writes and removals.
    pub puts: Vec<Put>,
}

impl Txn {
    /// Adds the check that the row has this version. 0 for a row that must not exist.
    #[must_use]
    pub fn check(mut self, key: impl Into<String>, version: u64) -> Self {
        self.checks.push(Check { key: key.into(), version });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.puts.push(Put { key: key.into(), value: Some(value.into()) });
        self
    }

    /// Adds a removal.
    #[must_use]
    pub fn remove(mut self, key: impl Into<String>) -> Self {
        self.puts.push(Put { key: key.into(), value: None });
        self
    }

    /// Returns the keys of all rows that it checks or writes. A key can occur twice.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.checks.iter().map(|c| &c.key).chain(self.puts.iter().map(|p| &p.key))
    }
}

/// A row that was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Unique in the table.
    pub key: String,
    /// The number of the transaction that wrote it. Never 0.
    pub version: u64,
    /// In the writer's encoding; the service doesn't interpret it.
    pub value: String,
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// It took effect. The rows that it wrote have this version.
    Committed(u64),
    /// It had no effect: the versions of the rows with these keys differ from the expected ones.
    Conflicts(Vec<String>),
}

/// The result of one attempt to send a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The service answered.
    Answered(Answer),
    /// The service did not accept the transaction, so that it never takes effect. With the reason.
    Refused(String),
    /// No answer was received: the transaction may have taken effect. With the reason.
    Lost(String),
}

/// The HTTP status of a request that the service did not carry out.
const UNAVAILABLE: u16 = 503;

/// Sends a transaction once, without retries.
pub async fn send(http: &Client, url: &str, txn: &Txn, timeout: Duration) -> SendResult {
    let url = format!("{url}/v1/txn");
    match http.json(Method::POST, &url, txn, timeout).await {
        Ok(answer) => SendResult::Answered(answer),
        Err(HttpError::NotSent(reason)) => SendResult::Refused(reason),
        Err(HttpError::Status { status: UNAVAILABLE, body }) => SendResult::Refused(body),
        Err(e) => SendResult::Lost(e.to_string()),
    }
}

/// Reads the rows whose keys begin with `prefix`, in order of key.
///
/// # Errors
/// [`Error::Unavailable`] without an answer of success, [`Error::Malformed`] if the answer can't be decoded.
pub async fn rows(
    http: &Client,
    url: &str,
    prefix: &str,
    timeout: Duration,
) -> Result<Vec<Row>, Error> {
    Ok(http.get(&format!("{url}/v1/rows?prefix={prefix}"), timeout).await?)
}

/// Reads one row, or `None` if it does not exist.
///
/// # Errors
/// [`Error::Unavailable`] without an answer of success, [`Error::Malformed`] if the answer can't be decoded.
pub async fn row(
    http: &Client,
    url: &str,
    key: &str,
    timeout: Duration,
) -> Result<Option<Row>, Error> {
    Ok(http.get(&format!("{url}/v1/row?key={key}"), timeout).await?)
}

/// Sends a request to the object store. Returns the status and the body of the answer.
pub(crate) async fn object_request(
    http: &Client,
    url: String,
    method: Method,
    bytes: Bytes,
    timeout: Duration,
) -> Result<(u16, Bytes), Error> {
    Ok(http.exchange(method, &url, bytes, timeout).await?)
}
