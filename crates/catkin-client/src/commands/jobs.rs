//! The commands on jobs: submit, status, result, cancel and explain.

use super::Context;
use crate::error::{Error, Exit};
use crate::output;
use catkin_types::Resources;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io::Write;
use std::time::Duration;

/// The body of the request that submits a job.
#[derive(Debug, Serialize)]
pub(super) struct Submit {
    pub row: String,
    pub tasks: u32,
    pub size: Resources,
    pub program: String,
    pub gang: bool,
}

#[derive(Deserialize)]
struct Accepted {
    job: String,
}

/// The first and the longest interval between two polls of a job's state. The interval doubles after each poll.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(1);

pub(super) async fn submit(
    cx: &mut Context<'_>,
    submit: &Submit,
    key: Option<String>,
    wait: bool,
) -> Result<Exit, Error> {
    // The printed key makes it safe to repeat a submission whose answer was lost.
    let key = key.unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string());
    let headers = [("idempotency-key", key.as_str())];
    let accepted: Accepted = cx.servers.post("/v1/jobs", &headers, submit).await?;
    if wait {
        return result(cx, &accepted.job).await;
    }
    output::object(
        cx.out,
        cx.output_format,
        &serde_json::json!({ "job": accepted.job, "key": key }),
    )?;
    Ok(Exit::Done)
}

pub(super) async fn status(cx: &mut Context<'_>, job: &str) -> Result<Exit, Error> {
    let status: Value = cx.servers.get(&format!("/v1/jobs/{job}")).await?;
    output::object(cx.out, cx.output_format, &status)?;
    Ok(Exit::Done)
}

/// Polls a job until it ends and prints its final status. Progress is written to the standard error.
pub(super) async fn result(cx: &mut Context<'_>, job: &str) -> Result<Exit, Error> {
    let mut poll_interval = MIN_POLL_INTERVAL;
    let mut last_progress = String::new();
    loop {
        let status: Value = cx.servers.get(&format!("/v1/jobs/{job}")).await?;
        let state = status.get("state").and_then(Value::as_str).unwrap_or_default().to_owned();
        if matches!(state.as_str(), "done" | "failed" | "cancelled") {
            output::object(cx.out, cx.output_format, &status)?;
            return Ok(if state == "done" { Exit::Done } else { Exit::JobFailed });
        }
        let count = |k: &str| status.get(k).and_then(Value::as_u64).unwrap_or_default();
        let progress = format!(
            "{state}: {} of {} ended, {} running",
            count("ended"),
            count("tasks"),
            count("running")
        );
        if progress != last_progress {
            let _ = writeln!(std::io::stderr(), "{progress}");
            last_progress = progress;
        }
        tokio::time::sleep(poll_interval).await;
        poll_interval = (poll_interval * 2).min(MAX_POLL_INTERVAL);
    }
}

pub(super) async fn cancel(cx: &mut Context<'_>, jobs: &[String]) -> Result<Exit, Error> {
    let cancelled: Vec<String> = cx.servers.post("/v1/jobs/cancel", &[], &jobs).await?;
    let rows: Vec<Value> =
        cancelled.iter().map(|j| serde_json::json!({ "cancelled": j })).collect();
    output::list(cx.out, cx.output_format, &rows, &["cancelled"])?;
    Ok(Exit::Done)
}

pub(super) async fn explain(cx: &mut Context<'_>, job: &str) -> Result<Exit, Error> {
    let reasons: Vec<Value> = cx.servers.get(&format!("/v1/jobs/{job}/explain")).await?;
    if reasons.is_empty() && cx.output_format == crate::cli::Output::Table {
        writeln!(cx.out, "nothing of the job waits")?;
        return Ok(Exit::Done);
    }
    output::list(
        cx.out,
        cx.output_format,
        &reasons,
        &["shard", "row", "waiting", "reason", "would_help"],
    )?;
    Ok(Exit::Done)
}
