//! Simulated executors: a service with a fixed number of slots, whose responses depend on the request only.
//!
//! Query parameters set the behaviour of a request: `ms` is its service time, `bytes` the size of a streamed response,
//! `cut` the number of bytes after which the connection is aborted, and `chunked` omits the `Content-Length` header.

use crate::{MAX_BODY_BYTES, ServerHandle, serve};
use bytes::Bytes;
use catkin_http::{Body, body, query};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The settings of an executor.
#[derive(Clone, Debug)]
pub struct Options {
    /// The number of requests that run concurrently. Further ones are refused with status 503.
    pub slots: u32,
    /// The service time of a request without the parameter `ms`.
    pub service_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { slots: 8, service_time: Duration::from_millis(2) }
    }
}

/// The header of a response that states that the request was not run, so that it may be retried elsewhere.
pub const NOT_RUN_HEADER: &str = "x-not-run";

#[derive(Debug, Default)]
struct Inner {
    running: u32,
    max_running: u32,
    runs_per_key: BTreeMap<String, u64>,
    total: u64,
}

/// The requests that an executor has run, for tests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunCounts {
    /// The number of runs by idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// The number of requests that were run.
    pub total: u64,
    /// The highest number of requests that ran concurrently.
    pub most: u32,
}

/// A simulated executor. Clones share their state.
#[derive(Clone, Debug)]
pub struct Executor {
    opt: Options,
    inner: Arc<Mutex<Inner>>,
}

/// An occupied slot, which is released on drop.
struct SlotGuard(Executor);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

const CHUNK_BYTES: usize = 16 << 10;

impl Executor {
    /// Returns an executor without running requests.
    #[must_use]
    pub fn new(opt: Options) -> Self {
        Self { opt, inner: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the requests counted since the start.
    #[must_use]
    pub fn run_counts(&self) -> RunCounts {
        let inner = self.lock();
        RunCounts { keys: inner.runs_per_key.clone(), total: inner.total, most: inner.max_running }
    }

    /// Serves on `addr`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn serve(&self, addr: SocketAddr) -> std::io::Result<ServerHandle> {
        let shared = self.clone();
        serve(addr, move |req| {
            let shared = shared.clone();
            async move { shared.handle_request(req).await }
        })
        .await
    }

    fn try_acquire_slot(&self, key: Option<String>) -> Option<SlotGuard> {
        let mut inner = self.lock();
        if inner.running >= self.opt.slots {
            return None;
        }
        inner.running += 1;
        inner.max_running = inner.max_running.max(inner.running);
        inner.total += 1;
        if let Some(key) = key {
            *inner.runs_per_key.entry(key).or_default() += 1;
        }
        Some(SlotGuard(self.clone()))
    }

    async fn handle_request(&self, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() == "/seen" {
            return body::json(200, &self.run_counts());
        }
        let header = |name: &str| Some(req.headers().get(name)?.to_str().ok()?.to_owned());
        let (key, id) = (header("idempotency-key"), header("x-request-id").unwrap_or_default());
        let Some(slot) = self.try_acquire_slot(key) else {
            let mut res = body::text(503, "no free slot");
            res.headers_mut().insert(NOT_RUN_HEADER, hyper::header::HeaderValue::from_static("1"));
            return res;
        };
        let number_parameter =
            |name: &str| query::value(req.uri(), name).and_then(|v| v.parse::<u64>().ok());
        let request_time =
            number_parameter("ms").map_or(self.opt.service_time, Duration::from_millis);
        let (bytes, cut, chunked) = (
            number_parameter("bytes"),
            number_parameter("cut"),
            number_parameter("chunked").is_some(),
        );
        let path = req.uri().path().to_owned();
        let Ok(input) = body::read(req.into_body(), MAX_BODY_BYTES).await else {
            return body::text(400, "the body was cut off");
        };
        tokio::time::sleep(request_time).await;
        match (bytes, cut) {
            (Some(total_bytes), cut) => stream_response(total_bytes, cut, chunked, slot),
            (None, Some(cut)) => stream_response(cut + 1, Some(cut), chunked, slot),
            (None, None) => body::json(200, &response_body(&path, &id, &input)),
        }
    }
}

#[derive(Serialize)]
struct ResponseBody {
    path: String,
    request_id: String,
    input_bytes: usize,
    /// The checksum of path and input, by which a client detects the response to another request.
    check: u64,
}

fn response_body(path: &str, request_id: &str, input: &Bytes) -> ResponseBody {
    ResponseBody {
        path: path.to_owned(),
        request_id: request_id.to_owned(),
        input_bytes: input.len(),
        check: checksum(path, input),
    }
}

/// Returns a checksum of path and input.
#[must_use]
pub fn checksum(path: &str, input: &[u8]) -> u64 {
    let step = |sum: u64, b: &u8| sum.wrapping_mul(31).wrapping_add(u64::from(*b)) % 1_000_000_007;
    path.as_bytes().iter().chain(input).fold(7, step)
}

/// Returns a response of `total_bytes` bytes that is aborted after `cut` bytes. The slot stays occupied until the body
/// has been sent or dropped.
fn stream_response(
    total_bytes: u64,
    cut: Option<u64>,
    chunked: bool,
    slot: SlotGuard,
) -> Response<Body> {
    let next = move |(sent, slot): (u64, SlotGuard)| async move {
        if cut.is_some_and(|cut| sent >= cut) {
            let connection_error = std::io::Error::other("broken off");
            return Some((Err(connection_error.into()), (total_bytes, slot)));
        }
        let remaining = cut.map_or(total_bytes, |c| c.min(total_bytes)) - sent;
        if remaining == 0 {
            return None;
        }
        let len = usize::try_from(remaining).unwrap_or(CHUNK_BYTES).min(CHUNK_BYTES);
        let chunk = Bytes::from(vec![b'x'; len]);
        Some((Ok(Frame::data(chunk)), (sent + len as u64, slot)))
    };
    let frames = stream::unfold((0, slot), next);
    let body = BodyExt::boxed(StreamBody::new(SyncStream(Box::pin(frames))));
    let mut res = Response::new(body);
    if !chunked {
        res.headers_mut().insert(hyper::header::CONTENT_LENGTH, total_bytes.into());
    }
    res
}

type Frames = std::pin::Pin<
    Box<dyn futures::Stream<Item = Result<Frame<Bytes>, body::BoxError>> + Send + Sync>,
>;

/// A boxed stream that is `Send` and `Sync`, as a boxed body requires.
struct SyncStream(Frames);

impl futures::Stream for SyncStream {
    type Item = Result<Frame<Bytes>, body::BoxError>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.as_mut().poll_next(cx)
    }
}
