//! Errors of setting up the metrics.

/// Why the metrics can't be set up.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The Prometheus exporter could not be registered, with the reason.
    #[display("the metrics exporter can't be set up: {_0}")]
    Exporter(#[error(not(source))] String),
}
