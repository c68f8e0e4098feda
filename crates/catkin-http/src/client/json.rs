//! Requests whose responses are JSON.

use super::Client;
use crate::body;
use crate::error::Error;
use bytes::Bytes;
use hyper::header::{ETAG, IF_NONE_MATCH};
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

impl Client {
    /// Sends a JSON value and reads a JSON response.
    ///
    /// # Errors
    /// As [`Client::exchange`]. Also [`Error::Status`] for a status other than 2xx, and [`Error::Malformed`] if the
    /// response can't be decoded.
    pub async fn json<T, R>(
        &self,
        method: Method,
        url: &str,
        value: &T,
        timeout: Duration,
    ) -> Result<R, Error>
    where
        T: Serialize + ?Sized,
        R: DeserializeOwned,
    {
        let bytes = serde_json::to_vec(value).map_err(|e| Error::NotSent(e.to_string()))?;
        self.read_json(method, url, bytes.into(), timeout).await
    }

    /// Sends a GET request and reads a JSON response.
    ///
    /// # Errors
    /// As [`Client::json`].
    pub async fn get<R: DeserializeOwned>(&self, url: &str, timeout: Duration) -> Result<R, Error> {
        self.read_json(Method::GET, url, Bytes::new(), timeout).await
    }

    /// Reads a JSON response unless it still has the entity tag `etag`. Returns the new entity tag and the value, or
    /// `None` if it has not changed.
    ///
    /// # Errors
    /// As [`Client::json`].
    pub async fn get_if_changed<R: DeserializeOwned>(
        &self,
        url: &str,
        etag: Option<&str>,
        timeout: Duration,
    ) -> Result<Option<(Option<String>, R)>, Error> {
        let mut req = Request::get(url);
        if let Some(etag) = etag {
            req = req.header(IF_NONE_MATCH, etag);
        }
        let req = req.body(body::empty()).map_err(|e| Error::NotSent(e.to_string()))?;
        let (head, bytes) = self.read_whole(req, timeout).await?;
        let status = head.status;
        let etag = head.headers.get(ETAG).and_then(|t| t.to_str().ok()).map(str::to_owned);
        if status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if !status.is_success() {
            let body = String::from_utf8_lossy(&bytes).into_owned();
            return Err(Error::Status { status: status.as_u16(), body });
        }
        let value = serde_json::from_slice(&bytes).map_err(|e| Error::Malformed(e.to_string()))?;
        Ok(Some((etag, value)))
    }

    async fn read_json<R: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        bytes: Bytes,
        timeout: Duration,
    ) -> Result<R, Error> {
        let (status, bytes) = self.exchange(method, url, bytes, timeout).await?;
        if !(200..300).contains(&status) {
            let body = String::from_utf8_lossy(&bytes).into_owned();
            return Err(Error::Status { status, body });
        }
        serde_json::from_slice(&bytes).map_err(|e| Error::Malformed(e.to_string()))
    }
}
