//! Bodies of requests and responses.

pub mod paced;

use crate::Error;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The error of a body that can't be read to its end.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// The body of a request or a response, in memory or streamed.
pub type Body = BoxBody<Bytes, BoxError>;

/// Returns a body without bytes.
#[must_use]
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// Returns a body of these bytes.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Returns a body that forwards `incoming` as it arrives, without buffering it.
#[must_use]
pub fn stream(incoming: Incoming) -> Body {
    incoming.map_err(Into::into).boxed()
}

/// Reads a body of at most `max` bytes to its end.
///
/// # Errors
/// [`Error::TooLarge`] above `max` bytes, [`Error::Lost`] if the connection ends before the body.
pub async fn read<B>(body: B, max: u64) -> Result<Bytes, Error>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let limit = usize::try_from(max).unwrap_or(usize::MAX);
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Error::TooLarge(max)),
        Err(e) => Err(Error::Lost(e.to_string())),
    }
}

/// Reads a body of at most `max` bytes to its end and decodes it as JSON.
///
/// # Errors
/// As [`read`], and [`Error::Malformed`] if the body is not valid JSON for `T`.
pub async fn read_json<T, B>(body: B, max: u64) -> Result<T, Error>
where
    T: DeserializeOwned,
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let bytes = read(body, max).await?;
    serde_json::from_slice(&bytes).map_err(|e| Error::Malformed(e.to_string()))
}

/// Returns a response with a JSON body, which is empty if `value` can't be encoded. An invalid status becomes 200.
#[must_use]
pub fn json<T: Serialize + ?Sized>(status: u16, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut res = Response::new(full(bytes));
    *res.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}

/// Returns a response with a text body. An invalid status becomes 200.
#[must_use]
pub fn text(status: u16, text: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(full(text));
    *res.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    res
}
