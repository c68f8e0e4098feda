//! The object store, for values too large for a row.

use crate::error::Error;
use crate::table::object_request;
use bytes::Bytes;
use catkin_http::Client;
use hyper::Method;
use std::time::Duration;

const NOT_FOUND: u16 = 404;

/// Writes an object. Each key is written only once, by a single writer.
///
/// # Errors
/// [`Error::Unavailable`] without an answer of success. The object may have been written nevertheless.
pub async fn put(
    http: &Client,
    url: &str,
    key: &str,
    bytes: Bytes,
    timeout: Duration,
) -> Result<(), Error> {
    let (status, _) =
        object_request(http, format!("{url}/v1/objects/{key}"), Method::PUT, bytes, timeout)
            .await?;
    if status == 200 { Ok(()) } else { Err(Error::Unavailable(format!("status {status}"))) }
}

/// Reads an object, or `None` if it does not exist.
///
/// # Errors
/// [`Error::Unavailable`] without an answer of success.
pub async fn get(
    http: &Client,
    url: &str,
    key: &str,
    timeout: Duration,
) -> Result<Option<Bytes>, Error> {
    let url = format!("{url}/v1/objects/{key}");
    match object_request(http, url, Method::GET, Bytes::new(), timeout).await? {
        (200, bytes) => Ok(Some(bytes)),
        (NOT_FOUND, _) => Ok(None),
        (status, _) => Err(Error::Unavailable(format!("status {status}"))),
    }
}
