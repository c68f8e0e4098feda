//! The errors with which the program exits.

/// The step of the program that failed. The attached reports say why.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The async runtime could not be built, or a signal handler could not be installed.
    #[display("the runtime did not start")]
    Runtime,
    /// The settings of the daemon could not be read, a listener could not be opened, or the daemon failed to start.
    #[display("the daemon did not start")]
    Daemon,
    /// A stand-in of the platform, of a worker or of an executor failed to start.
    #[display("a stand-in did not start")]
    StandIn,
    /// A command of the example session failed, or the daemon was not ready in time.
    #[display("the example failed")]
    Example,
}
