//! Reading a large body: it may take as long as the link needs, but not stand still.

use super::BoxError;
use crate::Error;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use std::pin::pin;
use std::time::Duration;
use tokio::time::Instant;

/// Time limits on the arrival of a body.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The longest time from one piece of the body to the next.
    pub stall: Duration,
    /// The lowest rate of the whole body, in bytes a second. The body may lag behind it by [`Pace::stall`].
    pub min_rate: u32,
}

impl Pace {
    /// Returns by when the next piece of a body has to arrive, as a time since its head. Of the body, `received` bytes
    /// have arrived, the last of them at the time `last`.
    fn deadline(&self, received: u64, last: Duration) -> Duration {
        let at_min_rate = Duration::from_secs(received) / self.min_rate.max(1);
        last.min(at_min_rate) + self.stall
    }
}

/// Reads a body of at most `max` bytes to its end, as long as it keeps the pace. Calls `on_data` with the number of bytes
/// that have arrived: with 0 at first, and after each piece.
///
/// # Errors
/// [`Error::TooLarge`] above `max` bytes, [`Error::Lost`] if the connection ends before the body, or the body does not keep
/// the pace.
pub async fn read<B>(body: B, max: u64, pace: Pace, on_data: impl Fn(u64)) -> Result<Bytes, Error>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let mut body = pin!(body);
    if body.size_hint().lower() > max {
        return Err(Error::TooLarge(max));
    }
    let start = Instant::now();
    let (mut buf, mut received, mut deadline) = (BytesMut::new(), 0, pace.stall);
    on_data(received);
    loop {
        let next = tokio::time::timeout_at(start + deadline, body.frame()).await;
        let frame = match next {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(e))) => return Err(Error::Lost(e.into().to_string())),
            Ok(None) => return Ok(buf.freeze()),
            Err(_) => {
                let ms = start.elapsed().as_millis();
                let why = format!("the answer stands still: {received} bytes in {ms} ms");
                return Err(Error::Lost(why));
            }
        };
        let Ok(data) = frame.into_data() else { continue };
        received += data.len() as u64;
        if received > max {
            return Err(Error::TooLarge(max));
        }
        buf.extend_from_slice(&data);
        on_data(received);
        deadline = pace.deadline(received, start.elapsed());
    }
}
