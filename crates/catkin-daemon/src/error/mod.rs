//! Errors of a daemon.

/// Why a daemon did not start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// An address can't be listened on.
    #[display("an address can't be listened on")]
    Listen,
    /// A part could not be started.
    #[display("a part of the daemon could not be started")]
    Spawn,
    /// The metrics could not be set up.
    #[display("the metrics could not be set up")]
    Metrics,
}
