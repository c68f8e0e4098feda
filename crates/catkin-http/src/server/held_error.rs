//! Bodies of responses whose error waits until the bytes before it are written: hyper closes a connection at an error of
//! the body and drops what it has buffered.

use crate::body::{Body, BoxError};
use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io::{IoSlice, Result as IoResult};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};

#[derive(Debug, Default)]
struct Inner {
    flushes: u64,
    waker: Option<Waker>,
}

/// How often a connection has written all that was buffered. Clones share the count.
#[derive(Clone, Debug, Default)]
pub(super) struct Flushes(Arc<Mutex<Inner>>);

impl Flushes {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self) -> u64 {
        self.lock().flushes
    }

    fn record(&self) {
        let mut inner = self.lock();
        inner.flushes += 1;
        if let Some(waker) = inner.waker.take() {
            waker.wake();
        }
    }

    /// Waits until there are more than `count`.
    fn poll_more_than(&self, count: u64, cx: &Context<'_>) -> Poll<()> {
        let mut inner = self.lock();
        if inner.flushes > count {
            return Poll::Ready(());
        }
        inner.waker = Some(cx.waker().clone());
        Poll::Pending
    }
}

/// A connection that records its flushes. hyper flushes it only when its own buffer is empty.
pub(super) struct Connection<T> {
    io: T,
    flushes: Flushes,
}

impl<T> Connection<T> {
    pub fn new(io: T, flushes: Flushes) -> Self {
        Self { io, flushes }
    }
}

impl<T: Read + Unpin> Read for Connection<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<IoResult<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<T: Write + Unpin> Write for Connection<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<IoResult<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        self.flushes.record();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<IoResult<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
}

enum State {
    Open(Body),
    /// The body failed when the connection had this many flushes.
    Failed(BoxError, u64),
    Ended,
}

/// A body whose error is returned after the next flush of the connection.
pub(super) struct HeldError {
    state: State,
    flushes: Flushes,
}

impl HeldError {
    pub fn new(body: Body, flushes: Flushes) -> Self {
        Self { state: State::Open(body), flushes }
    }
}

impl HttpBody for HeldError {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let State::Open(body) = &mut self.state {
            match ready!(Pin::new(body).poll_frame(cx)) {
                // The body is dropped here, and with it what it holds, such as a slot.
                Some(Err(e)) => self.state = State::Failed(e, self.flushes.count()),
                frame => return Poll::Ready(frame),
            }
        }
        if let State::Failed(_, count) = &self.state {
            ready!(self.flushes.poll_more_than(*count, cx));
        }
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Failed(e, _) => Poll::Ready(Some(Err(e))),
            State::Open(_) | State::Ended => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.state {
            State::Open(body) => body.is_end_stream(),
            State::Failed(..) => false,
            State::Ended => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.state {
            State::Open(body) => body.size_hint(),
            State::Failed(..) | State::Ended => SizeHint::default(),
        }
    }
}
