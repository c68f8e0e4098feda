//! An HTTP/1 server with graceful shutdown: it stops accepting connections, finishes the requests in progress, and
//! joins every task that it spawned.

mod held_error;

use crate::body::Body;
use held_error::{Connection, Flushes, HeldError};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The settings of a server.
#[derive(Clone, Debug)]
pub struct Options {
    /// The most connections served at once. Further ones wait to be accepted.
    pub max_connections: usize,
    /// Time limit for receiving the head of a request.
    pub header_timeout: Duration,
    /// Time limit for finishing the requests in progress after the server is stopped.
    pub drain_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            header_timeout: Duration::from_secs(5),
            drain_timeout: Duration::from_secs(30),
        }
    }
}

/// How the shutdown of a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drained {
    /// Every request in progress was finished.
    Clean,
    /// The time limit passed, and the remaining connections were closed.
    TimedOut,
}

/// The delay after accepting a connection failed, for example because no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Serves until `stop` is cancelled, then finishes the requests in progress.
pub async fn serve<F, Fut>(
    listener: TcpListener,
    opt: Options,
    handler: F,
    stop: CancellationToken,
) -> Drained
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let tracker = TaskTracker::new();
    let kill = CancellationToken::new();
    let permits = Arc::new(Semaphore::new(opt.max_connections));
    while let Some((stream, permit)) = accept(&listener, &permits, &stop).await {
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let flushes = Flushes::default();
        let io = Connection::new(TokioIo::new(stream), flushes.clone());
        let service = service_fn(move |req| {
            let (res, flushes) = (handler(req), flushes.clone());
            async move { Ok::<_, Infallible>(res.await.map(|body| HeldError::new(body, flushes))) }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(opt.header_timeout)
            .serve_connection(io, service);
        let conn = graceful.watch(conn);
        let kill = kill.clone();
        tracker.spawn(async move {
            tokio::select! {
                // Errors are ignored: a client that closes the connection early is not a fault of the server.
                _ = conn => {}
                () = kill.cancelled() => {}
            }
            drop(permit);
        });
    }
    drop(listener);
    tracker.close();
    let drained = tokio::time::timeout(opt.drain_timeout, graceful.shutdown()).await;
    kill.cancel();
    tracker.wait().await;
    if drained.is_ok() { Drained::Clean } else { Drained::TimedOut }
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    stop: &CancellationToken,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let next = async {
        let permit = Arc::clone(permits).acquire_owned().await.ok()?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => return Some((stream, permit)),
                Err(e) => {
                    tracing::warn!("http: accept failed, retrying: {e}");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    };
    tokio::select! {
        next = next => next,
        () = stop.cancelled() => None,
    }
}
