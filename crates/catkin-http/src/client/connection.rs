//! One connection to a server.

use crate::body::Body;
use crate::error::Error;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::uri::Authority;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::fmt::Display;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

/// The port of addresses that name none.
const DEFAULT_PORT: u16 = 80;

/// An open connection. It is closed when it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    addr: Authority,
    sender: SendRequest<Body>,
    opened: Instant,
    unused_since: Option<Instant>,
    _driver: AbortOnDropHandle<()>,
}

/// A request that got no response.
#[derive(Debug)]
pub(super) struct Failure {
    /// Why there was none.
    pub why: String,
    /// The request, if nothing of it was written.
    pub unsent: Option<Box<Request<Body>>>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`Error::NotSent`] if there is none after `timeout`.
    pub(super) async fn open(addr: &Authority, timeout: Duration) -> Result<Self, Error> {
        // An IPv6 address stands in brackets.
        let host = addr.host().trim_matches(['[', ']']);
        let connect = TcpStream::connect((host, addr.port_u16().unwrap_or(DEFAULT_PORT)));
        let connected = tokio::time::timeout(timeout, connect).await;
        let no_connection = |why: &dyn Display| Error::NotSent(format!("connect to {addr}: {why}"));
        let stream = connected.map_err(|e| no_connection(&e))?.map_err(|e| no_connection(&e))?;
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|e| no_connection(&e))?;
        let task = tokio::spawn(async move {
            // The request in progress gets the error too.
            let _ = driver.await;
        });
        Ok(Self {
            addr: addr.clone(),
            sender,
            opened: Instant::now(),
            unused_since: None,
            _driver: AbortOnDropHandle::new(task),
        })
    }

    /// The address that it leads to.
    pub(super) fn addr(&self) -> &Authority {
        &self.addr
    }

    /// Sends a request, once the response to the one before was read, and returns as soon as the head of the response
    /// is received.
    pub(super) async fn send(
        &mut self,
        req: Box<Request<Body>>,
    ) -> Result<Response<Incoming>, Failure> {
        if let Err(e) = self.sender.ready().await {
            return Err(Failure { why: e.to_string(), unsent: Some(req) });
        }
        self.sender.try_send_request(*req).await.map_err(|mut e| {
            let unsent = e.take_message().map(Box::new);
            Failure { why: e.into_error().to_string(), unsent }
        })
    }

    /// Waits until the response was read to its end. Returns whether the connection can be used again.
    pub(super) async fn is_reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns whether the connection was closed.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Records that no request uses the connection any more.
    pub(super) fn record_unused(&mut self) {
        self.unused_since = Some(Instant::now());
    }

    /// How long it has been open.
    pub(super) fn age(&self) -> Duration {
        self.opened.elapsed()
    }

    /// When the last request before the present one ended; absent if there was none.
    pub(super) fn unused_since(&self) -> Option<Instant> {
        self.unused_since
    }
}
