//! A server that stops taking connections, ends what is in progress, and joins all it spawned.

use crate::body::Body;
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
    /// How many connections are served at once. Further ones wait.
    pub max_connections: usize,
    /// How long the head of a request may take to arrive.
    pub header_timeout: Duration,
    /// How long requests in progress may take once the server stops.
    pub drain: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            header_timeout: Duration::from_secs(5),
            drain: Duration::from_secs(30),
        }
    }
}

/// What is left when the server has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drained {
    /// Every request in progress ended.
    Clean,
    /// The time was over before.
    CutOff,
}

/// The back-off after the system refused a connection, for want of descriptors for example.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Serves until `stop` is cancelled, then ends what is in progress.
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
    let slots = Arc::new(Semaphore::new(opt.max_connections));
    while let Some((stream, slot)) = accept(&listener, &slots, &stop).await {
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |req| {
            let res = handler(req);
            async move { Ok::<_, Infallible>(res.await) }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(opt.header_timeout)
            .serve_connection(TokioIo::new(stream), service);
        let conn = graceful.watch(conn);
        let kill = kill.clone();
        tracker.spawn(async move {
            tokio::select! {
                // A caller that goes away in the middle is no fault of the server.
                _ = conn => {}
                () = kill.cancelled() => {}
            }
            drop(slot);
        });
    }
    drop(listener);
    tracker.close();
    let ended = tokio::time::timeout(opt.drain, graceful.shutdown()).await;
    kill.cancel();
    tracker.wait().await;
    if ended.is_ok() { Drained::Clean } else { Drained::CutOff }
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
    stop: &CancellationToken,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let next = async {
        let slot = Arc::clone(slots).acquire_owned().await.ok()?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => return Some((stream, slot)),
                Err(e) => {
                    tracing::warn!("http: accept failed: {e}");
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
