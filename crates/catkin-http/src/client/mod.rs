//! An HTTP/1 client that keeps connections open for further requests.
//!
//! A connection can go silent: the other side gets nothing sent over it, and neither side is told. Only a request without
//! an answer shows it, and what silenced one connection has most likely silenced the others to the same address. So all
//! unused ones are closed then, and the next request goes over a new one.

mod connection;
mod json;
mod pool;
mod transport;

use crate::body::paced::{self, Pace};
use crate::body::{self, Body};
use crate::error::Error;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::http::response;
use hyper::{Method, Request, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::timeout_at;
use transport::{Limit, Transport};

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
    transport: Arc<Transport>,
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
        Self { transport: Arc::new(Transport::new(opt)) }
    }

    /// Returns the counts of requests and of bytes in their bodies.
    #[must_use]
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.transport.traffic
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
        let (res, mut conn) = self.transport.start(req, Limit::new(timeout)).await?;
        let transport = Arc::clone(&self.transport);
        // Ends with the body of the response, which the caller reads or drops.
        tokio::spawn(async move {
            if conn.is_reusable().await {
                transport.keep(conn);
            }
        });
        Ok(res)
    }

    /// Sends a request and reads the whole response. `timeout` limits the time for all of it.
    async fn read_whole(
        &self,
        req: Request<Body>,
        timeout: Duration,
    ) -> Result<(response::Parts, Bytes), Error> {
        self.traffic().exchanges.fetch_add(1, Ordering::Relaxed);
        let limit = Limit::new(timeout);
        let (res, conn) = self.transport.start(req, limit).await?;
        let (head, body) = res.into_parts();
        let received = AtomicU64::new(0);
        let Ok(bytes) = timeout_at(limit.end, self.read_counted(body, &received)).await else {
            self.transport.handle_silence(&conn, limit);
            return Err(timed_out(timeout, received.into_inner()));
        };
        let bytes = bytes?;
        self.transport.keep(conn);
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
        self.traffic().sent.fetch_add(req.body().len() as u64, Ordering::Relaxed);
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
        let t = self.traffic();
        t.sent.fetch_add(req.body().len() as u64, Ordering::Relaxed);
        t.exchanges.fetch_add(1, Ordering::Relaxed);
        let limit = Limit::new(timeout);
        let (res, conn) = self.transport.start(req.map(body::full), limit).await?;
        let status = res.status().as_u16();
        let body = self.count(res.into_body());
        let max = max.min(self.transport.opt.max_answer);
        let read = paced::read(body, max, pace, |received| on_data(status, received)).await;
        if let Err(Error::Lost(_)) = &read {
            self.transport.handle_silence(&conn, limit);
        }
        let bytes = read?;
        self.transport.keep(conn);
        Ok((status, bytes))
    }

    /// Reads a body to its end, and counts its bytes in `received` and in the traffic as they arrive.
    async fn read_counted(&self, body: Incoming, received: &AtomicU64) -> Result<Bytes, Error> {
        let counted = self.count(body).map_frame(|frame| {
            received.fetch_add(data_len(&frame), Ordering::Relaxed);
            frame
        });
        body::read(counted, self.transport.opt.max_answer).await
    }

    /// Counts the bytes of a body in the traffic as they arrive.
    fn count(&self, body: Incoming) -> impl hyper::body::Body<Data = Bytes, Error = hyper::Error> {
        body.map_frame(|frame| {
            self.traffic().received.fetch_add(data_len(&frame), Ordering::Relaxed);
            frame
        })
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
