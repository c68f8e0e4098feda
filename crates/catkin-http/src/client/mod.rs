//! An HTTP/1 client with a connection pool.

use crate::body::paced::{self, Pace};
use crate::body::{self, Body};
use crate::error::Error;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, ETAG, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The settings of a [`Client`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// How long an unused connection stays open.
    pub idle_timeout: Duration,
    /// The most unused connections that stay open to one address.
    pub max_idle_per_host: usize,
    /// The largest response body that is read into memory, in bytes.
    pub max_answer: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(30),
            max_idle_per_host: 64,
            max_answer: 64 << 20,
        }
    }
}

/// Counts of the requests of a client whose response is read into memory, and of the bytes of their bodies. Requests
/// made by [`Client::send`] are not counted.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes of request bodies.
    pub sent: AtomicU64,
    /// Bytes of response bodies, also of those that were not read to their end.
    pub received: AtomicU64,
    /// Requests, including failed ones.
    pub exchanges: AtomicU64,
}

/// An HTTP/1 client. Clones share the connections and the counts.
#[derive(Clone, Debug)]
pub struct Client {
    opt: Options,
    inner: legacy::Client<HttpConnector, Body>,
    traffic: Arc<Traffic>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new(Options::default())
    }
}

impl Client {
    /// Creates a client. It opens connections on demand.
    #[must_use]
    pub fn new(opt: Options) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(opt.connect_timeout));
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(opt.idle_timeout)
            .pool_max_idle_per_host(opt.max_idle_per_host)
            .build(connector);
        Self { opt, inner, traffic: Arc::default() }
    }

    /// Returns the counts of requests and of bytes in their bodies.
    #[must_use]
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Sends a request and returns as soon as the head of the response is received.
    ///
    /// # Errors
    /// [`Error::NotSent`] only if no connection could be opened; [`Error::Lost`] otherwise, also after `timeout`.
    pub async fn send(
        &self,
        req: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, Error> {
        match tokio::time::timeout(timeout, self.inner.request(req)).await {
            Ok(Ok(res)) => Ok(res),
            Ok(Err(e)) if e.is_connect() => Err(Error::NotSent(e.to_string())),
            Ok(Err(e)) => Err(Error::Lost(e.to_string())),
            Err(_) => Err(Error::Lost(format!("no answer within {} ms", timeout.as_millis()))),
        }
    }

    /// Sends bytes as JSON and reads the whole response, whatever its status.
    ///
    /// # Errors
    /// As [`Client::send`]. Also [`Error::NotSent`] if `url` is invalid, [`Error::Lost`] if the response is truncated
    /// or not complete after `timeout`, and [`Error::TooLarge`] above [`Options::max_answer`].
    pub async fn exchange(
        &self,
        method: Method,
        url: &str,
        bytes: Bytes,
        timeout: Duration,
    ) -> Result<(u16, Bytes), Error> {
        let req = Request::builder()
            .method(method)
            .uri(url)
            .header(CONTENT_TYPE, "application/json")
            .body(bytes)
            .map_err(|e| Error::NotSent(e.to_string()))?;
        self.exchange_request(req, timeout).await
    }

    /// Sends a request and reads the whole response, whatever its status.
    ///
    /// # Errors
    /// As [`Client::exchange`].
    pub async fn exchange_request(
        &self,
        req: Request<Bytes>,
        timeout: Duration,
    ) -> Result<(u16, Bytes), Error> {
        let t = &self.traffic;
        t.sent.fetch_add(req.body().len() as u64, Ordering::Relaxed);
        t.exchanges.fetch_add(1, Ordering::Relaxed);
        let req = req.map(body::full);
        let received = AtomicU64::new(0);
        let response = async {
            let res = self.send(req, timeout).await?;
            let status = res.status().as_u16();
            Ok((status, self.read_counted(res.into_body(), &received).await?))
        };
        let answer = tokio::time::timeout(timeout, response).await;
        answer.map_err(|_| timed_out(timeout, received.into_inner()))?
    }

    /// Sends a request and reads the whole response, which may be large: after its head, which `timeout` limits, it may
    /// take as long as it keeps the pace. Calls `on_data` with the status and the number of bytes of the body that have
    /// arrived: with 0 at the head, and after each piece of the body.
    ///
    /// # Errors
    /// As [`Client::exchange`], with [`Error::TooLarge`] above `max` bytes too, and [`Error::Lost`] if the body does not
    /// keep the pace.
    pub async fn fetch(
        &self,
        req: Request<Bytes>,
        timeout: Duration,
        pace: Pace,
        max: u64,
        on_data: impl Fn(u16, u64),
    ) -> Result<(u16, Bytes), Error> {
        let t = &self.traffic;
        t.sent.fetch_add(req.body().len() as u64, Ordering::Relaxed);
        t.exchanges.fetch_add(1, Ordering::Relaxed);
        let res = self.send(req.map(body::full), timeout).await?;
        let status = res.status().as_u16();
        let body = self.count(res.into_body());
        let max = max.min(self.opt.max_answer);
        let bytes = paced::read(body, max, pace, |received| on_data(status, received)).await?;
        Ok((status, bytes))
    }

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
        self.traffic.exchanges.fetch_add(1, Ordering::Relaxed);
        let received = AtomicU64::new(0);
        let response = async {
            let res = self.send(req, timeout).await?;
            let etag = res.headers().get(ETAG).and_then(|t| t.to_str().ok()).map(str::to_owned);
            let status = res.status();
            Ok((status, etag, self.read_counted(res.into_body(), &received).await?))
        };
        let answer = tokio::time::timeout(timeout, response).await;
        let (status, etag, bytes) =
            answer.map_err(|_| timed_out(timeout, received.into_inner()))??;
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

    /// Reads a body to its end, and counts its bytes in `received` and in the traffic as they arrive.
    async fn read_counted(&self, body: Incoming, received: &AtomicU64) -> Result<Bytes, Error> {
        let counted = self.count(body).map_frame(|frame| {
            received.fetch_add(data_len(&frame), Ordering::Relaxed);
            frame
        });
        body::read(counted, self.opt.max_answer).await
    }

    /// Counts the bytes of a body in the traffic as they arrive.
    fn count(&self, body: Incoming) -> impl hyper::body::Body<Data = Bytes, Error = hyper::Error> {
        body.map_frame(|frame| {
            self.traffic.received.fetch_add(data_len(&frame), Ordering::Relaxed);
            frame
        })
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

/// Returns the error for an answer of which this many bytes were received when its time was over.
fn timed_out(timeout: Duration, received: u64) -> Error {
    let ms = timeout.as_millis();
    Error::Lost(format!("no whole answer within {ms} ms, {received} bytes of it received"))
}

/// Returns the number of bytes of data in a frame of a body.
fn data_len(frame: &Frame<Bytes>) -> u64 {
    frame.data_ref().map_or(0, Bytes::len) as u64
}
