//! Errors at startup.

/// The reason why a daemon failed to start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// An address can't be bound or its socket can't be set up.
    #[display("cannot listen on an address")]
    Listen,
    /// An actor can't be started.
    #[display("cannot start a component of the daemon")]
    Spawn,
    /// The metrics can't be set up.
    #[display("cannot set up the metrics")]
    Metrics,
}
