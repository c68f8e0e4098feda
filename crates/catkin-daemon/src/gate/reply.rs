//! Answers of targets, passed on as they come.

use bytes::Bytes;
use catkin_http::Body;
use catkin_http::body::BoxError;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderMap, HeaderName, TE, TRANSFER_ENCODING, UPGRADE};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Headers that belong to one connection.
const HOP_BY_HOP: [HeaderName; 4] = [CONNECTION, TRANSFER_ENCODING, TE, UPGRADE];

/// Takes out the headers that belong to one connection.
pub(super) fn strip(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// A target's body that holds something until its end, such as the slot that it uses. An error in it breaks the
/// caller's connection off, so that a part never looks like the whole.
struct Held<T> {
    body: Incoming,
    _held: T,
}

/// Passes a body on, and drops `held` when it ends.
pub(super) fn held<T: Send + Sync + Unpin + 'static>(body: Incoming, held: T) -> Body {
    Held { body, _held: held }.boxed()
}

impl<T: Unpin> HttpBody for Held<T> {
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
