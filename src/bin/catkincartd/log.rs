//! Log output to the standard output or the standard error.

use catkin_schema::settings::{Log, LogFormat};
use std::io::IsTerminal;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::{Level, Metadata};
use tracing_appender::non_blocking::{ErrorCounter, WorkerGuard};
use tracing_subscriber::filter::dynamic_filter_fn;
use tracing_subscriber::prelude::*;
use tracing_subscriber::{EnvFilter, fmt};

/// How many lines are buffered for a slow reader. Further lines are dropped.
const MAX_BUFFERED_LINES: usize = 4_096;
/// The rate limit in lines per second, on average over [`BURST`]. Warnings and errors are not limited.
const LINES_PER_S: u64 = 1_000;
/// The lines that [`LINES_PER_S`] allows in this period may be written in one burst.
const BURST: Duration = Duration::from_secs(2);

/// A running log output. Dropping it flushes the buffered lines.
pub struct LogOutput {
    _guard: WorkerGuard,
    overflow_counter: ErrorCounter,
    rate_limit: Arc<RateLimit>,
}

impl LogOutput {
    /// Returns a function that counts the lines dropped so far, over the rate limit or because the reader was too slow.
    pub fn dropped(&self) -> impl Fn() -> u64 + Send + Sync + use<> {
        let (overflow_counter, rate_limit) =
            (self.overflow_counter.clone(), Arc::clone(&self.rate_limit));
        move || overflow_counter.dropped_lines() as u64 + rate_limit.dropped.load(Ordering::Relaxed)
    }
}

/// Sends logs to the standard output, one JSON object per line. Logging never waits for the reader: lines that do not
/// fit into the buffer are dropped.
pub fn start_json(filter: &str) -> LogOutput {
    let (out, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let overflow_counter = out.error_counter();
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let rate_limit = Arc::new(RateLimit::new(Instant::now()));
    let filter_rate_limit = Arc::clone(&rate_limit);
    let within_rate_limit = dynamic_filter_fn(move |meta: &Metadata<'_>, _| {
        !meta.is_event()
            || *meta.level() <= Level::WARN
            || filter_rate_limit.try_take(Instant::now())
    });
    let lines = fmt::layer()
        .json()
        .flatten_event(true)
        .with_ansi(false)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(out)
        .with_filter(within_rate_limit);
    tracing_subscriber::registry().with(filter).with(lines).init();
    LogOutput { _guard: guard, overflow_counter, rate_limit }
}

/// A token bucket that limits the rate of log lines.
struct RateLimit {
    /// The number of lines that may be written now, and the time of the last refill.
    bucket: Mutex<(u64, Instant)>,
    dropped: AtomicU64,
}

impl RateLimit {
    const CAPACITY: u64 = LINES_PER_S * BURST.as_secs();

    fn new(now: Instant) -> Self {
        Self { bucket: Mutex::new((Self::CAPACITY, now)), dropped: AtomicU64::new(0) }
    }

    /// Takes a token. Returns whether a line may be written; a line that may not is counted as dropped.
    fn try_take(&self, now: Instant) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let (lines, refilled_at) = *bucket;
        let elapsed_ms = now.saturating_duration_since(refilled_at).as_millis();
        let refill =
            u64::try_from(elapsed_ms).unwrap_or(u64::MAX).saturating_mul(LINES_PER_S) / 1_000;
        let (lines, refilled_at) = if refill > 0 {
            ((lines + refill).min(Self::CAPACITY), now)
        } else {
            (lines, refilled_at)
        };
        *bucket = (lines.saturating_sub(1), refilled_at);
        if lines == 0 {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        lines > 0
    }
}

/// Sends logs to the standard error, in the format of the settings.
pub fn start(settings: &Log) {
    let filter = EnvFilter::try_new(&settings.filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let ansi = std::io::stderr().is_terminal();
    let builder = fmt::Subscriber::builder()
        .with_env_filter(filter)
        .with_ansi(ansi)
        .with_writer(std::io::stderr);
    match settings.format {
        LogFormat::Json => builder.json().init(),
        LogFormat::Text => builder.with_target(false).init(),
    }
}
