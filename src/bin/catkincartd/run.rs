//! Runs the daemon until a signal to stop.

use crate::error::Error;
use catkin_daemon::{Daemon, Listeners};
use catkin_schema::settings::Settings;
use error_stack::{Report, ResultExt};
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The exit code after a second signal to stop, which ends the process without a drain.
const FORCED_STOP_EXIT_CODE: u8 = 130;

/// Runs the daemon until SIGTERM or SIGINT, then stops it gracefully. A second signal ends it at once.
pub async fn run(settings: Settings) -> Result<ExitCode, Report<Error>> {
    let mut term = signal(SignalKind::terminate()).change_context(Error::Runtime)?;
    let mut int = signal(SignalKind::interrupt()).change_context(Error::Runtime)?;
    let listeners = Listeners::open(&settings).change_context(Error::Daemon)?;
    let daemon = Daemon::start(settings, listeners).await.change_context(Error::Daemon)?;
    either_signal(&mut term, &mut int).await;
    tokio::select! {
        _ = daemon.stop() => Ok(ExitCode::SUCCESS),
        () = either_signal(&mut term, &mut int) => {
            tracing::warn!("daemon: second signal to stop; exiting without waiting for the drain");
            Ok(ExitCode::from(FORCED_STOP_EXIT_CODE))
        }
    }
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_stop_signal() -> Result<(), Report<Error>> {
    let mut term = signal(SignalKind::terminate()).change_context(Error::Runtime)?;
    let mut int = signal(SignalKind::interrupt()).change_context(Error::Runtime)?;
    either_signal(&mut term, &mut int).await;
    Ok(())
}

async fn either_signal(term: &mut Signal, int: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
