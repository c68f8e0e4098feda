//! Errors of the program.

/// What went wrong.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The threads did not start.
    #[display("the runtime did not start")]
    Runtime,
    /// The daemon did not start.
    #[display("the daemon did not start")]
    Daemon,
    /// A stand-in did not start.
    #[display("a stand-in did not start")]
    StandIn,
    /// The example failed.
    #[display("the example failed")]
    Example,
}
