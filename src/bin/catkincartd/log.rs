//! Logs.

use catkin_schema::settings::{Log, LogFormat};
use std::io::IsTerminal;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

/// Sends logs to the standard output, a JSON object a line. What the reader is too slow for is left out.
pub fn start_lines(filter: &str) -> WorkerGuard {
    let (out, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(BACKLOG)
        .lossy(true)
        .finish(std::io::stdout());
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .with_target(false)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(out)
        .init();
    guard
}

/// How many lines wait for a slow reader.
const BACKLOG: usize = 4_096;

/// Sends logs to the standard error.
pub fn start(settings: &Log) {
    let filter = EnvFilter::try_new(&settings.filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let ansi = std::io::stderr().is_terminal();
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(ansi)
        .with_writer(std::io::stderr);
    match settings.format {
        LogFormat::Json => builder.json().init(),
        LogFormat::Text => builder.with_target(false).init(),
    }
}
