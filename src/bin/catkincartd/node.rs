//! Running on the users' platform until a signal.

use crate::error::Error;
use crate::{log, run};
use catkin_node::{Node, settings};
use error_stack::{Report, ResultExt};
use std::path::Path;
use std::process::ExitCode;

/// Runs a node until SIGTERM or SIGINT.
pub async fn run(file: &Path) -> Result<ExitCode, Report<Error>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).change_context(Error::Daemon).attach(name.clone())?;
    let cfg = settings::parse(&name, &text).change_context(Error::Daemon)?;
    let _guard = log::start_lines(&cfg.log.filter);
    let node = Node::start(cfg).await.change_context(Error::Daemon)?;
    run::signalled().await?;
    node.stop().await;
    Ok(ExitCode::SUCCESS)
}
