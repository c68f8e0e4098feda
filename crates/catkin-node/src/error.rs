//! Errors of starting a daemon.

/// The reason why a daemon did not start. Details are attached to the report.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The settings are malformed or incomplete.
    #[display("the settings can't be used")]
    Settings,
    /// Binding a listening address failed.
    #[display("an address can't be listened on")]
    Listen,
    /// The metrics exporter could not be created.
    #[display("the metrics could not be set up")]
    Metrics,
}
