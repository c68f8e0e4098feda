//! How requests get to a server: over which connection, and what a missing answer says of the others.

use super::connection::{Connection, Failure};
use super::pool::Pool;
use super::{Options, Traffic};
use crate::body::Body;
use crate::error::Error;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::http::uri::{Authority, PathAndQuery};
use hyper::{Request, Response, Uri};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The time limit of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limit {
    pub timeout: Duration,
    pub end: Instant,
}

impl Limit {
    pub(super) fn new(timeout: Duration) -> Self {
        Self { timeout, end: Instant::now() + timeout }
    }
}

/// The connections of a client.
#[derive(Debug)]
pub(super) struct Transport {
    pub opt: Options,
    pool: Pool,
    pub traffic: Arc<Traffic>,
}

impl Transport {
    pub(super) fn new(opt: Options) -> Self {
        let pool = Pool::new(opt.idle_timeout, opt.max_idle_per_host);
        Self { opt, pool, traffic: Arc::default() }
    }

    /// Keeps a connection for further requests, after a response was read to its end.
    pub(super) fn keep(&self, conn: Connection) {
        self.pool.put(conn);
    }

    /// Sends a request over a connection that was open, or over a new one if there is none, and returns as soon as the
    /// head of the response is received.
    pub(super) async fn start(
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
    pub(super) fn handle_silence(&self, conn: &Connection, limit: Limit) {
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
