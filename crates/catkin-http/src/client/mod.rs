//! An HTTP/1 client that keeps connections open for further requests.
//!
//! A connection can go silent: the other side gets nothing sent over it, and neither side is told. Only a request without
//! an answer shows it, and what silenced one connection has most likely silenced the others to the same address. So all
//! unused ones are closed then, and the next request goes over a new one.

mod connection;
mod pool;

use crate::body::paced::{self, Pace};
use crate::body::{self, Body};
use crate::error::Error;
use bytes::Bytes;
use connection::{Connection, Failure};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, ETAG, HOST, HeaderValue, IF_NONE_MATCH};
use hyper::http::response;
use hyper::http::uri::{Authority, PathAndQuery};
use hyper::{Method, Request, Response, StatusCode, Uri};
use pool::Pool;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

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
    /// Connections that were opened, for requests of any kind.
    pub connections: AtomicU64,
    /// Requests of any kind that were sent and got no whole answer in time.
    pub unanswered: AtomicU64,
}

/// An HTTP/1 client. Clones share the connections and the counts.
#[derive(Clone, Debug)]
pub struct Client {
    opt: Options,
    pool: Arc<Pool>,
    traffic: Arc<Traffic>,
}

/// The time limit of a request.
#[derive(Clone, Copy, Debug)]
struct Limit {
    timeout: Duration,
    end: Instant,
}

impl Limit {
    fn new(timeout: Duration) -> Self {
        Self { timeout, end: Instant::now() + timeout }
    }
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
        let pool = Pool::new(opt.idle_timeout, opt.max_idle_per_host);
        Self { opt, pool: Arc::new(pool), traffic: Arc::default() }
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
        let (res, mut conn) = self.start(req, Limit::new(timeout)).await?;
        let pool = Arc::clone(&self.pool);
        // Ends with the body of the response, which the caller reads or drops.
        tokio::spawn(async move {
            if conn.is_reusable().await {
                pool.put(conn);
            }
        });
        Ok(res)
    }

    /// Sends a request over a connection that was open, or over a new one if there is none, and returns as soon as the
    /// head of the response is received.
    async fn start(
        &self,
        req: Request<Body>,
        limit: Limit,
    ) -> Result<(Response<Incoming>, Connection), Error> {
        let (addr, req) = address(req)?;
        let mut req = Box::new(req);
        loop {
            let mut conn = self.connection(&addr, limit).await?;
            let was_open = conn.unused_since().is_some();
            match timeout_at(limit.end, conn.send(req)).await {
                Ok(Ok(res)) => return Ok((res, conn)),
                // The other side has closed it.
                Ok(Err(Failure { unsent: Some(unsent), .. })) if was_open => req = unsent,
                Ok(Err(Failure { why, .. })) => return Err(Error::Lost(why)),
                Err(_) => {
                    self.handle_silence(&conn, limit);
                    let ms = limit.timeout.as_millis();
                    return Err(Error::Lost(format!("no answer within {ms} ms")));
                }
            }
        }
    }

    async fn connection(&self, addr: &Authority, limit: Limit) -> Result<Connection, Error> {
        if let Some(conn) = self.pool.take(addr) {
            return Ok(conn);
        }
        let left = limit.end.saturating_duration_since(Instant::now());
        let conn = Connection::open(addr, left.min(self.opt.connect_timeout)).await?;
        self.traffic.connections.fetch_add(1, Ordering::Relaxed);
        Ok(conn)
    }

    /// Handles that a request got no whole answer over this connection.
    fn handle_silence(&self, conn: &Connection, limit: Limit) {
        self.traffic.unanswered.fetch_add(1, Ordering::Relaxed);
        let (addr, closed) = (conn.addr(), self.pool.close_all(conn.addr()));
        let (timeout_ms, age_ms) = (limit.timeout.as_millis(), conn.age().as_millis());
        let Some(unused_since) = conn.unused_since() else {
            tracing::debug!(%addr, timeout_ms, age_ms, closed, "http: no answer over a new connection");
            return;
        };
        let last_answer_ms = unused_since.elapsed().as_millis();
        tracing::info!(
            %addr,
            timeout_ms,
            age_ms,
            last_answer_ms,
            closed,
            "http: no answer over a connection that was open, unused ones are closed too"
        );
    }

    /// Sends a request and reads the whole response. `timeout` limits the time for all of it.
    async fn read_whole(
        &self,
        req: Request<Body>,
        timeout: Duration,
    ) -> Result<(response::Parts, Bytes), Error> {
        self.traffic.exchanges.fetch_add(1, Ordering::Relaxed);
        let limit = Limit::new(timeout);
        let (res, conn) = self.start(req, limit).await?;
        let (head, body) = res.into_parts();
        let received = AtomicU64::new(0);
        let Ok(bytes) = timeout_at(limit.end, self.read_counted(body, &received)).await else {
            self.handle_silence(&conn, limit);
            return Err(timed_out(timeout, received.into_inner()));
        };
        let bytes = bytes?;
        self.pool.put(conn);
        Ok((head, bytes))
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
        self.traffic.sent.fetch_add(req.body().len() as u64, Ordering::Relaxed);
        let (head, bytes) = self.read_whole(req.map(body::full), timeout).await?;
        Ok((head.status.as_u16(), bytes))
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
        let limit = Limit::new(timeout);
        let (res, conn) = self.start(req.map(body::full), limit).await?;
        let status = res.status().as_u16();
        let body = self.count(res.into_body());
        let max = max.min(self.opt.max_answer);
        let read = paced::read(body, max, pace, |received| on_data(status, received)).await;
        if let Err(Error::Lost(_)) = &read {
            self.handle_silence(&conn, limit);
        }
        let bytes = read?;
        self.pool.put(conn);
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

/// Returns the address that a request goes to, and the request as it is written to a connection.
///
/// # Errors
/// [`Error::NotSent`] if its URI names no address.
fn address(mut req: Request<Body>) -> Result<(Authority, Request<Body>), Error> {
    let invalid = || Error::NotSent(format!("no address in {}", req.uri()));
    let addr = req.uri().authority().cloned().ok_or_else(invalid)?;
    let host = HeaderValue::from_str(addr.as_str()).map_err(|e| Error::NotSent(e.to_string()))?;
    req.headers_mut().entry(HOST).or_insert(host);
    let path = req.uri().path_and_query().cloned();
    *req.uri_mut() = Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
    Ok((addr, req))
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
