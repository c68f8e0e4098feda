//! Exchanges with daemons, tried in turn.

use crate::error::Error;
use bytes::Bytes;
use catkin_http::{Client, Error as HttpError, body};
use catkin_types::Answer;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// The daemons that a command may ask.
#[derive(Debug)]
pub struct Servers {
    http: Client,
    addrs: Vec<String>,
    token: String,
}

/// How long an answer is awaited. Longer than any wait of a daemon.
const TIMEOUT: Duration = Duration::from_mins(1);
/// The largest answer that is read, in bytes.
const MAX_ANSWER: u64 = 256 << 20;

impl Servers {
    /// Daemons to be tried in that order.
    #[must_use]
    pub fn new(addrs: &[String], token: &str) -> Self {
        Self { http: Client::default(), addrs: addrs.to_vec(), token: token.to_owned() }
    }

    /// Sends a request to the first daemon that is reached. One that may have arrived is sent again only if it
    /// changes nothing.
    ///
    /// # Errors
    /// [`Error::Unreached`], [`Error::Lost`], or the answer of the daemon if that is no success.
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

    /// The body of a success; else the daemon's own answer, or what went wrong on the way.
    async fn exchange(
        &self,
        req: Request<catkin_http::Body>,
    ) -> Result<Bytes, Result<Error, HttpError>> {
        let res = self.http.send(req, TIMEOUT).await.map_err(Err)?;
        let status = res.status();
        let bytes = body::read(res.into_body(), MAX_ANSWER).await.map_err(Err)?;
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

    /// Reads JSON.
    ///
    /// # Errors
    /// As [`Servers::send`].
    pub async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, Error> {
        read(&self.send(Method::GET, path, &[], Bytes::new()).await?)
    }

    /// Sends JSON and reads JSON.
    ///
    /// # Errors
    /// As [`Servers::send`].
    pub async fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        value: &T,
    ) -> Result<R, Error> {
        let bytes = serde_json::to_vec(value).map_err(|e| Error::Usage(e.to_string()))?;
        read(&self.send(Method::POST, path, headers, bytes.into()).await?)
    }
}

fn read<R: DeserializeOwned>(bytes: &Bytes) -> Result<R, Error> {
    serde_json::from_slice(bytes).map_err(|e| Error::Lost(format!("malformed answer: {e}")))
}
