//! Sends requests to daemons, which are tried in order.

use crate::error::Error;
use bytes::Bytes;
use catkin_http::{Client, Error as HttpError, body};
use catkin_types::Answer;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// The daemons to which a command may send its requests.
#[derive(Debug)]
pub struct Servers {
    http: Client,
    addrs: Vec<String>,
    token: String,
}

/// Bounds one request, until its answer is complete. Longer than any wait of a daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);
/// The largest answer body that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 256 << 20;

impl Servers {
    /// Creates a client that tries the daemons in the order of `addrs`. An empty `token` sends no authorization header.
    #[must_use]
    pub fn new(addrs: &[String], token: &str) -> Self {
        Self { http: Client::default(), addrs: addrs.to_vec(), token: token.to_owned() }
    }

    /// Sends a request to the first daemon that can be reached. A request that may have arrived is sent to the next
    /// daemon only if it is a GET, which changes nothing.
    ///
    /// # Errors
    /// Returns [`Error::Unreached`] if no daemon can be reached, [`Error::Lost`] if the request may have arrived
    /// but no usable answer did, [`Error::Answered`] if the daemon answers with a result code that is not a success,
    /// and [`Error::Usage`] if the address, the path or a header is invalid.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        bytes: Bytes,
    ) -> Result<Bytes, Error> {
        let mut last = Error::Unreached("no address was given".into());
        for addr in &self.addrs {
            let req = self.request(&method, addr, path, headers, bytes.clone())?;
            match self.exchange(req).await {
                Ok(answer) => return Ok(answer),
                Err(Ok(e)) => return Err(e),
                Err(Err(e)) if e.not_sent() => last = Error::Unreached(format!("{addr}: {e}")),
                Err(Err(e)) if method == Method::GET => last = Error::Lost(format!("{addr}: {e}")),
                Err(Err(e)) => return Err(Error::Lost(format!("{addr}: {e}"))),
            }
        }
        Err(last)
    }

    fn request(
        &self,
        method: &Method,
        addr: &str,
        path: &str,
        headers: &[(&str, &str)],
        bytes: Bytes,
    ) -> Result<Request<catkin_http::Body>, Error> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header(CONTENT_TYPE, "application/json");
        if !self.token.is_empty() {
            req = req.header(AUTHORIZATION, format!("Bearer {}", self.token));
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        req.body(body::full(bytes)).map_err(|e| Error::Usage(e.to_string()))
    }

    /// Returns the body of a successful answer. The error is `Ok` for a daemon's [`Answer`], and `Err` for any failure
    /// to get one.
    async fn exchange(
        &self,
        req: Request<catkin_http::Body>,
    ) -> Result<Bytes, Result<Error, HttpError>> {
        let res = self.http.send(req, REQUEST_TIMEOUT).await.map_err(Err)?;
        let status = res.status();
        let bytes = body::read(res.into_body(), MAX_ANSWER_BYTES).await.map_err(Err)?;
        if status.is_success() {
            return Ok(bytes);
        }
        let value = serde_json::from_slice::<serde_json::Value>(&bytes).unwrap_or_default();
        if let Ok(answer) = serde_json::from_value::<Answer>(value.clone()) {
            return Err(Ok(Error::Answered(answer, value)));
        }
        let body = String::from_utf8_lossy(&bytes).into_owned();
        Err(Err(HttpError::Status { status: status.as_u16(), body }))
    }

    /// Sends a GET request and parses the JSON of the answer.
    ///
    /// # Errors
    /// As [`Servers::send`]; also [`Error::Lost`] if the answer can't be parsed as an `R`.
    pub async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, Error> {
        parse_json(&self.send(Method::GET, path, &[], Bytes::new()).await?)
    }

    /// Sends `value` as JSON in a POST request and parses the JSON of the answer.
    ///
    /// # Errors
    /// As [`Servers::send`]; also [`Error::Usage`] if `value` can't be written as JSON, and [`Error::Lost`] if the
    /// answer can't be parsed as an `R`.
    pub async fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        value: &T,
    ) -> Result<R, Error> {
        let bytes = serde_json::to_vec(value).map_err(|e| Error::Usage(e.to_string()))?;
        parse_json(&self.send(Method::POST, path, headers, bytes.into()).await?)
    }
}

fn parse_json<R: DeserializeOwned>(bytes: &Bytes) -> Result<R, Error> {
    serde_json::from_slice(bytes).map_err(|e| Error::Lost(format!("malformed answer: {e}")))
}
