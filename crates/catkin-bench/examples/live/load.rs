//! Open-loop load: requests at a fixed rate, whether or not earlier ones have been answered.

use catkin_bench::table::MAX_RECORDED_VALUE;
use catkin_http::{Client, body};
use hdrhistogram::Histogram;
use hyper::Request;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Requests of one row at a fixed rate.
#[derive(Clone, Copy)]
pub struct RequestStream {
    pub row: &'static str,
    pub service_time_ms: u32,
    pub rate_per_s: f64,
}

/// The responses and latencies of a stream.
pub struct StreamResult {
    pub done: u64,
    pub not_run: u64,
    pub other: u64,
    latencies: Histogram<u64>,
    refusal_latencies: Histogram<u64>,
}

impl StreamResult {
    fn new() -> Self {
        let empty =
            || Histogram::new_with_max(MAX_RECORDED_VALUE, 3).expect("invalid histogram bounds");
        Self { done: 0, not_run: 0, other: 0, latencies: empty(), refusal_latencies: empty() }
    }

    pub fn percentile(&self, q: f64) -> f64 {
        quantile_ms(&self.latencies, q)
    }

    pub fn refusal_p99(&self) -> f64 {
        quantile_ms(&self.refusal_latencies, 0.99)
    }
}

#[expect(clippy::cast_precision_loss, reason = "microseconds of a short run")]
fn quantile_ms(h: &Histogram<u64>, q: f64) -> f64 {
    h.value_at_quantile(q) as f64 / 1_000.0
}

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The largest number of concurrent requests of a stream. Further ones are delayed, and the delay counts as latency.
const MAX_IN_FLIGHT: usize = 4_000;

/// Runs the streams concurrently and returns their results in the same order.
pub async fn run_streams(
    addrs: &[String],
    streams: &[RequestStream],
    duration: Duration,
) -> Vec<StreamResult> {
    let mut tasks = Vec::new();
    for stream in streams {
        tasks.push(tokio::spawn(run_stream(addrs.to_vec(), *stream, duration)));
    }
    let mut out = Vec::new();
    for task in tasks {
        out.push(task.await.unwrap_or_else(|_| StreamResult::new()));
    }
    out
}

async fn run_stream(addrs: Vec<String>, stream: RequestStream, duration: Duration) -> StreamResult {
    let http = Client::default();
    let mut result = StreamResult::new();
    let mut in_flight = JoinSet::new();
    if stream.rate_per_s <= 0.0 {
        return result;
    }
    let interval = Duration::from_secs_f64(1.0 / stream.rate_per_s);
    let start = tokio::time::Instant::now();
    let mut n = 0_u32;
    while start.elapsed() < duration {
        let due = start + interval * n;
        tokio::time::sleep_until(due).await;
        let addr = &addrs[n as usize % addrs.len()];
        let url = format!("http://{addr}/v1/call/{}/q?ms={}", stream.row, stream.service_time_ms);
        in_flight.spawn(exchange(http.clone(), url, due.into_std()));
        n += 1;
        while let Some(done) = in_flight.try_join_next() {
            record(&mut result, done.ok());
        }
        while in_flight.len() >= MAX_IN_FLIGHT {
            record(&mut result, in_flight.join_next().await.and_then(Result::ok));
        }
    }
    while let Some(done) = in_flight.join_next().await {
        record(&mut result, done.ok());
    }
    result
}

fn record(result: &mut StreamResult, done: Option<(u16, Duration)>) {
    let Some((status, latency)) = done else { return };
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    match status {
        200 => {
            result.done += 1;
            result.latencies.saturating_record(micros);
        }
        429 | 503 => {
            result.not_run += 1;
            result.refusal_latencies.saturating_record(micros);
        }
        _ => result.other += 1,
    }
}

/// Returns the status, or 0 if there was none, and the time since the request was due.
async fn exchange(http: Client, url: String, due: Instant) -> (u16, Duration) {
    let Ok(req) = Request::get(url).body(body::empty()) else { return (0, Duration::ZERO) };
    let status = match http.send(req, REQUEST_TIMEOUT).await {
        Ok(res) => {
            let status = res.status().as_u16();
            if body::read(res.into_body(), 1 << 20).await.is_ok() { status } else { 0 }
        }
        Err(_) => 0,
    };
    (status, due.elapsed())
}
