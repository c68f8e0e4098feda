//! Logs.

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

/// How many lines wait for a slow reader.
const BACKLOG: usize = 4_096;
/// How many lines a second may be written, on average over [`BURST`]. Warnings and errors are not bound by it.
const LINES_PER_S: u64 = 1_000;
/// The budget of so long may be used at once.
const BURST: Duration = Duration::from_secs(2);

/// A running log. It is flushed when this is dropped.
pub struct Lines {
    _guard: WorkerGuard,
    unread: ErrorCounter,
    budget: Arc<Budget>,
}

impl Lines {
    /// How many lines were left out: over the budget, or because the reader was too slow.
    pub fn left_out(&self) -> impl Fn() -> u64 + Send + Sync + use<> {
        let (unread, budget) = (self.unread.clone(), Arc::clone(&self.budget));
        move || unread.dropped_lines() as u64 + budget.left_out.load(Ordering::Relaxed)
    }
}

/// Sends logs to the standard output, a JSON object a line. Nothing waits for the reader.
pub fn start_lines(filter: &str) -> Lines {
    let (out, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(BACKLOG)
        .lossy(true)
        .finish(std::io::stdout());
    let unread = out.error_counter();
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let budget = Arc::new(Budget::new(Instant::now()));
    let mine = Arc::clone(&budget);
    let within = dynamic_filter_fn(move |meta: &Metadata<'_>, _| {
        !meta.is_event() || *meta.level() <= Level::WARN || mine.take(Instant::now())
    });
    let lines = fmt::layer()
        .json()
        .flatten_event(true)
        .with_ansi(false)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(out)
        .with_filter(within);
    tracing_subscriber::registry().with(filter).with(lines).init();
    Lines { _guard: guard, unread, budget }
}

/// A budget of lines that fills up as time goes by.
struct Budget {
    /// The lines that may be written now, and since when.
    left: Mutex<(u64, Instant)>,
    left_out: AtomicU64,
}

impl Budget {
    const MOST: u64 = LINES_PER_S * BURST.as_secs();

    fn new(now: Instant) -> Self {
        Self { left: Mutex::new((Self::MOST, now)), left_out: AtomicU64::new(0) }
    }

    /// Whether a line may be written.
    fn take(&self, now: Instant) -> bool {
        let mut left = self.left.lock().unwrap_or_else(PoisonError::into_inner);
        let (lines, since) = *left;
        let passed = now.saturating_duration_since(since).as_millis();
        let earned = u64::try_from(passed).unwrap_or(u64::MAX).saturating_mul(LINES_PER_S) / 1_000;
        let (lines, since) =
            if earned > 0 { ((lines + earned).min(Self::MOST), now) } else { (lines, since) };
        *left = (lines.saturating_sub(1), since);
        if lines == 0 {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        lines > 0
    }
}

/// Sends logs to the standard error.
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
