//! Logs.

use catkin_schema::settings::{Log, LogFormat};
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

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
