//! Bodies that arrive in pieces, on a paused clock.

use bytes::Bytes;
use catkin_http::Error;
use catkin_http::body::paced::{self, Pace};
use futures::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use std::convert::Infallible;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const PACE: Pace = Pace { stall: Duration::from_secs(2), min_rate: 32_000 };

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns a body of `count` pieces of `size` bytes, each of which arrives `interval` after the one before, and which
/// stands still for ever after the piece `last`.
fn body(
    count: usize,
    size: usize,
    interval: Duration,
    last: usize,
) -> impl hyper::body::Body<Data = Bytes, Error = Infallible> + Send {
    StreamBody::new(stream::unfold(0, move |n| async move {
        if n == count {
            return None;
        }
        if n == last {
            std::future::pending::<()>().await;
        }
        sleep(interval).await;
        Some((Ok(Frame::data(Bytes::from(vec![7; size]))), n + 1))
    }))
}

async fn read(
    body: impl hyper::body::Body<Data = Bytes, Error = Infallible>,
) -> Result<usize, Error> {
    paced::read(body, 10_000_000, PACE, |_| {}).await.map(|bytes| bytes.len())
}

#[tokio::test(start_paused = true)]
async fn a_large_body_is_read_whole_over_each_link_that_keeps_the_rate() {
    // 16 KiB a piece: links of 0.3, 2, 10 and 200 Mbit/s.
    for interval in [ms(440), ms(66), ms(13), Duration::from_micros(650)] {
        for count in [1, 80, 320] {
            assert_eq!(read(body(count, 16_384, interval, count)).await, Ok(count * 16_384));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_body_that_stands_still_is_given_up_after_the_stall_however_much_has_arrived() {
    for last in [0, 1, 200] {
        let start = Instant::now();
        let result = read(body(300, 16_384, ms(1), last)).await;
        assert!(matches!(result, Err(Error::Lost(_))), "{result:?}");
        let waited = start.elapsed();
        let arrived = ms(last as u64);
        assert!(waited >= PACE.stall && waited <= PACE.stall + arrived + ms(1), "{waited:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_body_that_only_trickles_is_given_up() {
    let start = Instant::now();
    let result = read(body(1_000, 100, ms(500), 1_000)).await;
    assert!(matches!(result, Err(Error::Lost(_))), "{result:?}");
    assert!(start.elapsed() < ms(2_600), "{:?}", start.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_body_that_is_too_large_is_not_read_to_its_end() {
    let received = AtomicU64::new(0);
    let record = |n| received.store(n, Ordering::Relaxed);
    let result = paced::read(body(100, 1_000, ms(1), 100), 5_500, PACE, record).await;
    assert_eq!(result, Err(Error::TooLarge(5_500)));
    assert_eq!(received.into_inner(), 5_000);
}
