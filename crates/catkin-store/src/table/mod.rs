//! The table service: its messages and single exchanges.

use crate::error::Error;
use bytes::Bytes;
use catkin_http::{Client, Error as HttpError};
use hyper::Method;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a transaction expects of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row.
    pub key: String,
    /// Its version. 0 stands for a row that is not there.
    pub version: u64,
}

/// What a transaction writes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The row.
    pub key: String,
    /// The value. `None` removes the row.
    pub value: Option<String>,
}

/// A transaction: if every check holds, everything is written, else nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// What it expects.
    pub checks: Vec<Check>,
    /// What it writes.
    pub puts: Vec<Put>,
}

impl Txn {
    /// Adds the expectation that the row has this version.
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

    /// Every row that it reads or writes.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.checks.iter().map(|c| &c.key).chain(self.puts.iter().map(|p| &p.key))
    }
}

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The version, the number of the transaction that wrote it.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// It took effect, with this version for the rows that it wrote.
    Committed(u64),
    /// It had no effect: these rows were not as expected.
    Conflicts(Vec<String>),
}

/// What is known after one exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sent {
    /// The service answered.
    Answered(Answer),
    /// The service did not take it, and never will.
    Refused(String),
    /// It may have taken effect.
    Lost(String),
}

/// The status with which the service says that it did not take a request.
const UNAVAILABLE: u16 = 503;

/// Sends a transaction once.
pub async fn send(http: &Client, url: &str, txn: &Txn, timeout: Duration) -> Sent {
    let url = format!("{url}/v1/txn");
    match http.json(Method::POST, &url, txn, timeout).await {
        Ok(answer) => Sent::Answered(answer),
        Err(HttpError::NotSent(why)) => Sent::Refused(why),
        Err(HttpError::Status { status: UNAVAILABLE, body }) => Sent::Refused(body),
        Err(e) => Sent::Lost(e.to_string()),
    }
}

/// Reads the rows whose keys begin with `prefix`, in order of key.
///
/// # Errors
/// [`Error::Down`] or [`Error::Malformed`].
pub async fn rows(
    http: &Client,
    url: &str,
    prefix: &str,
    timeout: Duration,
) -> Result<Vec<Row>, Error> {
    Ok(http.get(&format!("{url}/v1/rows?prefix={prefix}"), timeout).await?)
}

/// Reads one row.
///
/// # Errors
/// [`Error::Down`] or [`Error::Malformed`].
pub async fn row(
    http: &Client,
    url: &str,
    key: &str,
    timeout: Duration,
) -> Result<Option<Row>, Error> {
    Ok(http.get(&format!("{url}/v1/row?key={key}"), timeout).await?)
}

/// Sends bytes to an object, or reads them.
pub(crate) async fn object(
    http: &Client,
    url: String,
    method: Method,
    bytes: Bytes,
    timeout: Duration,
) -> Result<(u16, Bytes), Error> {
    Ok(http.exchange(method, &url, bytes, timeout).await?)
}
