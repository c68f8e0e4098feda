//! The object store: bytes too large for a row.

use crate::error::Error;
use crate::table::object;
use bytes::Bytes;
use catkin_http::Client;
use hyper::Method;
use std::time::Duration;

const NOT_FOUND: u16 = 404;

/// Writes an object. Objects are written once, under a name that nobody else uses.
///
/// # Errors
/// [`Error::Down`]; the object may be there all the same.
pub async fn put(
    http: &Client,
    url: &str,
    key: &str,
    bytes: Bytes,
    timeout: Duration,
) -> Result<(), Error> {
    let (status, _) =
        object(http, format!("{url}/v1/objects/{key}"), Method::PUT, bytes, timeout).await?;
    if status == 200 { Ok(()) } else { Err(Error::Down(format!("status {status}"))) }
}

/// Reads an object.
///
/// # Errors
/// [`Error::Down`].
pub async fn get(
    http: &Client,
    url: &str,
    key: &str,
    timeout: Duration,
) -> Result<Option<Bytes>, Error> {
    let url = format!("{url}/v1/objects/{key}");
    match object(http, url, Method::GET, Bytes::new(), timeout).await? {
        (200, bytes) => Ok(Some(bytes)),
        (NOT_FOUND, _) => Ok(None),
        (status, _) => Err(Error::Down(format!("status {status}"))),
    }
}
