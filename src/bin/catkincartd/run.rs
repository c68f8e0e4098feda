//! Running until a signal.

use crate::error::Error;
use catkin_daemon::{Daemon, Listeners};
use catkin_schema::settings::Settings;
use error_stack::{Report, ResultExt};
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The exit code after a second signal to stop.
const STOPPED_AT_ONCE: u8 = 130;

/// Runs the daemon until SIGTERM or SIGINT. A second signal stops it at once.
pub async fn run(settings: Settings) -> Result<ExitCode, Report<Error>> {
    let mut term = signal(SignalKind::terminate()).change_context(Error::Runtime)?;
    let mut int = signal(SignalKind::interrupt()).change_context(Error::Runtime)?;
    let listeners = Listeners::open(&settings).change_context(Error::Daemon)?;
    let daemon = Daemon::start(settings, listeners).await.change_context(Error::Daemon)?;
    either(&mut term, &mut int).await;
    tokio::select! {
        _ = daemon.stop() => Ok(ExitCode::SUCCESS),
        () = either(&mut term, &mut int) => {
            tracing::warn!("daemon: stopped at once by a second signal");
            Ok(ExitCode::from(STOPPED_AT_ONCE))
        }
    }
}

/// Waits for SIGTERM or SIGINT.
pub async fn signalled() -> Result<(), Report<Error>> {
    let mut term = signal(SignalKind::terminate()).change_context(Error::Runtime)?;
    let mut int = signal(SignalKind::interrupt()).change_context(Error::Runtime)?;
    either(&mut term, &mut int).await;
    Ok(())
}

async fn either(term: &mut Signal, int: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
