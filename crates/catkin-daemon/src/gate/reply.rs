//! Forwarding of targets' responses as streams.

use bytes::Bytes;
use catkin_http::Body;
use catkin_http::body::BoxError;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderMap, HeaderName, TE, TRANSFER_ENCODING, UPGRADE};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 4] = [CONNECTION, TRANSFER_ENCODING, TE, UPGRADE];

/// Removes the headers that apply to a single connection.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// A target's response body with a guard that is dropped at the body's end, such as the slot that it occupies. An error
/// in the body aborts the caller's connection, so that a truncated body can't be taken for a complete one.
struct GuardedBody<T> {
    body: Incoming,
    _guard: T,
}

/// Wraps a body so that `guard` is dropped when the body ends.
pub(super) fn with_guard<T: Send + Sync + Unpin + 'static>(body: Incoming, guard: T) -> Body {
    GuardedBody { body, _guard: guard }.boxed()
}

impl<T: Unpin> HttpBody for GuardedBody<T> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(cx).map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
