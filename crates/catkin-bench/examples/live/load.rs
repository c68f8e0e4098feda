//! Requests at a fixed rate, whether earlier ones are answered or not.

use catkin_bench::table::MAX_VALUE;
use catkin_http::{Client, body};
use hdrhistogram::Histogram;
use hyper::Request;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Requests of one row.
#[derive(Clone, Copy)]
pub struct Stream {
    pub row: &'static str,
    pub ms: u32,
    pub per_second: f64,
}

/// What became of a stream.
pub struct Mix {
    pub done: u64,
    pub not_run: u64,
    pub other: u64,
    times: Histogram<u64>,
    refusals: Histogram<u64>,
}

impl Mix {
    fn new() -> Self {
        let empty = || Histogram::new_with_max(MAX_VALUE, 3).expect("in range");
        Self { done: 0, not_run: 0, other: 0, times: empty(), refusals: empty() }
    }

    pub fn percentile(&self, q: f64) -> f64 {
        millis(&self.times, q)
    }

    pub fn refusal_p99(&self) -> f64 {
        millis(&self.refusals, 0.99)
    }
}

#[expect(clippy::cast_precision_loss, reason = "microseconds of a short run")]
fn millis(h: &Histogram<u64>, q: f64) -> f64 {
    h.value_at_quantile(q) as f64 / 1_000.0
}

const TIMEOUT: Duration = Duration::from_secs(30);
/// No more requests than this are in progress at once; further ones of the schedule wait, and their wait counts.
const MAX_OPEN: usize = 4_000;

/// Runs the streams side by side.
pub async fn run(addrs: &[String], streams: &[Stream], span: Duration) -> Vec<Mix> {
    let mut all = Vec::new();
    for stream in streams {
        all.push(tokio::spawn(one(addrs.to_vec(), *stream, span)));
    }
    let mut out = Vec::new();
    for task in all {
        out.push(task.await.unwrap_or_else(|_| Mix::new()));
    }
    out
}

async fn one(addrs: Vec<String>, stream: Stream, span: Duration) -> Mix {
    let http = Client::default();
    let mut mix = Mix::new();
    let mut open = JoinSet::new();
    if stream.per_second <= 0.0 {
        return mix;
    }
    let gap = Duration::from_secs_f64(1.0 / stream.per_second);
    let start = tokio::time::Instant::now();
    let mut n = 0_u32;
    while start.elapsed() < span {
        let due = start + gap * n;
        tokio::time::sleep_until(due).await;
        let addr = &addrs[n as usize % addrs.len()];
        let url = format!("http://{addr}/v1/call/{}/q?ms={}", stream.row, stream.ms);
        open.spawn(exchange(http.clone(), url, due.into_std()));
        n += 1;
        while let Some(done) = open.try_join_next() {
            note(&mut mix, done.ok());
        }
        while open.len() >= MAX_OPEN {
            note(&mut mix, open.join_next().await.and_then(Result::ok));
        }
    }
    while let Some(done) = open.join_next().await {
        note(&mut mix, done.ok());
    }
    mix
}

fn note(mix: &mut Mix, done: Option<(u16, Duration)>) {
    let Some((status, took)) = done else { return };
    let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    match status {
        200 => {
            mix.done += 1;
            mix.times.saturating_record(micros);
        }
        429 | 503 => {
            mix.not_run += 1;
            mix.refusals.saturating_record(micros);
        }
        _ => mix.other += 1,
    }
}

/// The status, 0 if there was none, and the time since the request was due.
async fn exchange(http: Client, url: String, due: Instant) -> (u16, Duration) {
    let Ok(req) = Request::get(url).body(body::empty()) else { return (0, Duration::ZERO) };
    let status = match http.send(req, TIMEOUT).await {
        Ok(res) => {
            let status = res.status().as_u16();
            if body::read(res.into_body(), 1 << 20).await.is_ok() { status } else { 0 }
        }
        Err(_) => 0,
    };
    (status, due.elapsed())
}
