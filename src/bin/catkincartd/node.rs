//! Running on the users' platform until a signal.

use crate::error::Error;
use crate::{log, run};
use catkin_node::node::Options;
use catkin_node::{Node, settings};
use error_stack::{Report, ResultExt};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// How often it is said how many log lines were left out.
const TELL_LEFT_OUT: Duration = Duration::from_secs(1);

/// Runs a node until SIGTERM or SIGINT.
pub async fn run(file: &Path) -> Result<ExitCode, Report<Error>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).change_context(Error::Daemon).attach(name.clone())?;
    let cfg = settings::parse(&name, &text).change_context(Error::Daemon)?;
    let lines = log::start_lines(&cfg.log.filter);
    let opt = Options { lines_left_out: Box::new(lines.left_out()) };
    let node = Node::start(cfg, opt).await.change_context(Error::Daemon)?;
    let mut hup = signal(SignalKind::hangup()).change_context(Error::Runtime)?;
    let stopped = run::signalled();
    tokio::pin!(stopped);
    let left_out = lines.left_out();
    let mut told = 0;
    let mut each = tokio::time::interval(TELL_LEFT_OUT);
    loop {
        tokio::select! {
            res = &mut stopped => break res?,
            _ = hup.recv() => reload(file),
            _ = each.tick() => {
                let all = left_out();
                if all > told {
                    tracing::warn!(lines = all - told, "node: log lines left out");
                    told = all;
                }
            }
        }
    }
    node.stop().await;
    Ok(ExitCode::SUCCESS)
}

/// Reads the settings again and says whether they are sound. What they hold is fixed for the life of the process.
fn reload(file: &Path) {
    let name = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => match settings::parse(&name, &text) {
            Ok(cfg) => tracing::info!(daemon = cfg.daemon.id, "node: settings read again"),
            Err(e) => tracing::error!("node: the new settings can't be used: {e:?}"),
        },
        Err(e) => tracing::error!("node: {name}: {e}"),
    }
}
