//! Executors: a service with a number of slots, whose answers depend on the request only.
//!
//! Query parameters change what a request does: `ms` its time, `bytes` the size of a streamed answer, `cut` the number
//! of bytes after which the connection breaks, `chunked` that its length is not told beforehand.

use crate::{MAX_BODY, Serving, serve};
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
    /// How many requests it runs at once.
    pub slots: u32,
    /// How long a request takes that does not say so.
    pub service_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { slots: 8, service_time: Duration::from_millis(2) }
    }
}

/// The header with which an executor says that it did not run a request.
pub const NOT_RUN: &str = "x-not-run";

#[derive(Debug, Default)]
struct Inner {
    running: u32,
    most: u32,
    seen: BTreeMap<String, u64>,
    total: u64,
}

/// What an executor tells a test.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Seen {
    /// How often each idempotency key was run.
    pub keys: BTreeMap<String, u64>,
    /// How many requests were run.
    pub total: u64,
    /// The most that ran at once.
    pub most: u32,
}

/// The stand-in. Clones share their state.
#[derive(Clone, Debug)]
pub struct Executor {
    opt: Options,
    inner: Arc<Mutex<Inner>>,
}

struct Slot(Executor);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

const CHUNK: usize = 16 << 10;

impl Executor {
    /// An idle executor.
    #[must_use]
    pub fn new(opt: Options) -> Self {
        Self { opt, inner: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What was run so far.
    #[must_use]
    pub fn seen(&self) -> Seen {
        let inner = self.lock();
        Seen { keys: inner.seen.clone(), total: inner.total, most: inner.most }
    }

    /// Serves on `addr`.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn serve(&self, addr: SocketAddr) -> std::io::Result<Serving> {
        let me = self.clone();
        serve(addr, move |req| {
            let me = me.clone();
            async move { me.answer(req).await }
        })
        .await
    }

    fn slot(&self, key: Option<String>) -> Option<Slot> {
        let mut inner = self.lock();
        if inner.running >= self.opt.slots {
            return None;
        }
        inner.running += 1;
        inner.most = inner.most.max(inner.running);
        inner.total += 1;
        if let Some(key) = key {
            *inner.seen.entry(key).or_default() += 1;
        }
        Some(Slot(self.clone()))
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() == "/seen" {
            return body::json(200, &self.seen());
        }
        let header = |name: &str| Some(req.headers().get(name)?.to_str().ok()?.to_owned());
        let (key, id) = (header("idempotency-key"), header("x-request-id").unwrap_or_default());
        let Some(slot) = self.slot(key) else {
            let mut res = body::text(503, "no free slot");
            res.headers_mut().insert(NOT_RUN, hyper::header::HeaderValue::from_static("1"));
            return res;
        };
        let number = |name: &str| query::value(req.uri(), name).and_then(|v| v.parse::<u64>().ok());
        let time = number("ms").map_or(self.opt.service_time, Duration::from_millis);
        let (bytes, cut, chunked) = (number("bytes"), number("cut"), number("chunked").is_some());
        let path = req.uri().path().to_owned();
        let Ok(input) = body::read(req.into_body(), MAX_BODY).await else {
            return body::text(400, "the body was cut off");
        };
        tokio::time::sleep(time).await;
        match (bytes, cut) {
            (Some(n), cut) => streamed(n, cut, chunked, slot),
            (None, Some(cut)) => streamed(cut + 1, Some(cut), chunked, slot),
            (None, None) => body::json(200, &reply(&path, &id, &input)),
        }
    }
}

#[derive(Serialize)]
struct Answered {
    path: String,
    request_id: String,
    input_bytes: usize,
    /// A number that depends on path and input, so that a mixed-up answer is seen.
    check: u64,
}

fn reply(path: &str, request_id: &str, input: &Bytes) -> Answered {
    Answered {
        path: path.to_owned(),
        request_id: request_id.to_owned(),
        input_bytes: input.len(),
        check: checksum(path, input),
    }
}

/// A number that depends on path and input.
#[must_use]
pub fn checksum(path: &str, input: &[u8]) -> u64 {
    let step = |sum: u64, b: &u8| sum.wrapping_mul(31).wrapping_add(u64::from(*b)) % 1_000_000_007;
    path.as_bytes().iter().chain(input).fold(7, step)
}

/// A body of `n` bytes, broken off after `cut`. The slot is held until the end.
fn streamed(n: u64, cut: Option<u64>, chunked: bool, slot: Slot) -> Response<Body> {
    let next = move |(sent, slot): (u64, Slot)| async move {
        if cut.is_some_and(|cut| sent >= cut) {
            let broken = std::io::Error::other("broken off");
            return Some((Err(broken.into()), (n, slot)));
        }
        let left = cut.map_or(n, |c| c.min(n)) - sent;
        if left == 0 {
            return None;
        }
        let len = usize::try_from(left).unwrap_or(CHUNK).min(CHUNK);
        let chunk = Bytes::from(vec![b'x'; len]);
        Some((Ok(Frame::data(chunk)), (sent + len as u64, slot)))
    };
    let frames = stream::unfold((0, slot), next);
    let body = BodyExt::boxed(StreamBody::new(SyncStream(Box::pin(frames))));
    let mut res = Response::new(body);
    if !chunked {
        res.headers_mut().insert(hyper::header::CONTENT_LENGTH, n.into());
    }
    res
}

type Frames = std::pin::Pin<
    Box<dyn futures::Stream<Item = Result<Frame<Bytes>, body::BoxError>> + Send + Sync>,
>;

/// A stream that a boxed body can hold.
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
