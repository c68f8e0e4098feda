//! Why the daemon did not start.

/// The reason.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The settings can't be used.
    #[display("the settings can't be used")]
    Settings,
    /// An address can't be listened on.
    #[display("an address can't be listened on")]
    Listen,
    /// The metrics could not be set up.
    #[display("the metrics could not be set up")]
    Metrics,
}
