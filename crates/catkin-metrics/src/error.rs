//! Why there are no metrics.

/// The reason.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The exporter refused its registry.
    #[display("the exporter can't be set up: {_0}")]
    Exporter(#[error(not(source))] String),
}
