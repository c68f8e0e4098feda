//! Runs the daemon on the users' platform until a signal to stop.

use crate::error::Error;
use crate::{log, run};
use catkin_node::node::Options;
use catkin_node::{Node, settings};
use error_stack::{Report, ResultExt};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// The interval at which newly dropped log lines are reported in the log.
const DROPPED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a node until SIGTERM or SIGINT. On SIGHUP, checks the settings file again.
pub async fn run(file: &Path) -> Result<ExitCode, Report<Error>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).change_context(Error::Daemon).attach(name.clone())?;
    let cfg = settings::parse(&name, &text).change_context(Error::Daemon)?;
    let log_output = log::start_json(&cfg.log.filter);
    let opt = Options { log_lines_dropped: Box::new(log_output.dropped()) };
    let node = Node::start(cfg, opt).await.change_context(Error::Daemon)?;
    let mut sighup = signal(SignalKind::hangup()).change_context(Error::Runtime)?;
    let stop_signal = run::wait_for_stop_signal();
    tokio::pin!(stop_signal);
    let dropped = log_output.dropped();
    let mut reported = 0;
    let mut interval_timer = tokio::time::interval(DROPPED_REPORT_INTERVAL);
    loop {
        tokio::select! {
            res = &mut stop_signal => break res?,
            _ = sighup.recv() => check_settings_again(file),
            _ = interval_timer.tick() => {
                let total = dropped();
                if total > reported {
                    tracing::warn!(
                        lines = total - reported,
                        "node: log lines dropped: over the rate limit, or the reader is too slow"
                    );
                    reported = total;
                }
            }
        }
    }
    node.stop().await;
    Ok(ExitCode::SUCCESS)
}

/// Reads the settings file again and logs whether it is valid. The running process keeps the settings that it started
/// with.
fn check_settings_again(file: &Path) {
    let name = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => match settings::parse(&name, &text) {
            Ok(cfg) => tracing::info!(
                daemon = cfg.daemon.id,
                "node: the settings file is valid; changes take effect after a restart"
            ),
            Err(e) => tracing::error!(
                "node: the settings file is invalid; the running settings stay: {e:?}"
            ),
        },
        Err(e) => tracing::error!(
            "node: the settings file {name} can't be read; the running settings stay: {e}"
        ),
    }
}
