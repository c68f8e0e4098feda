//! Logs and metrics show the causes of failures, and a stalled reader of the log delays no request.

use crate::deployment::{Deployment, Node, eventually};
use crate::path::{spec, step, submit_until_accepted};
use catkin_platform_standin::Options;
use catkin_platform_standin::spec::Step;
use catkin_platform_standin::store::Mode;
use catkin_platform_standin::worker;
use catkin_types::id::format_job;
use serde_json::Value;
use std::time::Duration;
use tokio::time::Instant;

/// The log lines of all daemons about a job.
fn job_log_lines(d: &Deployment, id: u64) -> Vec<Value> {
    let job = format_job(id);
    d.nodes.iter().flat_map(Node::log_lines).filter(|l| l["job"] == job.as_str()).collect()
}

/// The lines whose message begins with `prefix`.
fn with_message(lines: &[Value], prefix: &str) -> Vec<Value> {
    let matches = |l: &&Value| l["message"].as_str().is_some_and(|m| m.starts_with(prefix));
    lines.iter().filter(matches).cloned().collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_log_shows_by_job_id_why_three_requests_failed_or_were_late() {
    let d = Deployment::start("causes", 2, &Options::default()).await;
    // Refused: the store rejects the write.
    d.platform.store.set_mode(Mode::Busy);
    let job = spec(vec![step(1, 100)]);
    let refused = d.client.submit(d.nodes[0].client_addr(), 41, &job).await;
    assert_eq!(refused.status, Some(503));
    d.platform.store.set_mode(Mode::Serve);
    eventually("the refusal is logged", async || {
        !with_message(&job_log_lines(&d, 41), "gate: job stored: NotCommitted").is_empty()
    })
    .await;
    // Failed: the task fails as often as allowed, and the log names the workers.
    submit_until_accepted(&d, 0, 42, &spec(vec![Step { fails: true, ..step(1, 50) }])).await;
    d.wait_state(42, "failed").await;
    let job_lines = job_log_lines(&d, 42);
    let failures = with_message(&job_lines, "owner: task failed");
    let seen: Vec<_> = failures.iter().map(|l| (l["times"].as_u64(), l["most"].as_u64())).collect();
    assert_eq!(seen, [(Some(1), Some(3)), (Some(2), Some(3)), (Some(3), Some(3))]);
    assert!(failures.iter().all(|l| l["worker"].as_str().is_some_and(|w| w.starts_with("w-"))));
    assert_eq!(with_message(&job_lines, "owner: job ended")[0]["state"], "failed");
    // Late: the task was lost with its worker and ran again on another one.
    submit_until_accepted(&d, 1, 43, &spec(vec![step(1, 1_500)])).await;
    eventually("the task runs", async || !d.platform.checker.running().is_empty()).await;
    let (task, (worker_id, _)) =
        d.platform.checker.running().into_iter().next().expect("one task runs");
    assert_eq!(task.step.job, 43);
    let lost = d.platform.workers.iter().find(|w| w.id() == worker_id).expect("the worker exists");
    lost.set_mode(worker::Mode::Hang);
    d.wait_state(43, "completed").await;
    let job_lines = job_log_lines(&d, 43);
    assert_eq!(with_message(&job_lines, "owner: task lost")[0]["worker"], worker_id.as_str());
    let starts = with_message(&job_lines, "owner: step started");
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|l| l["age_ms"].is_number() && l["slack_ms"].is_number()));
    let owner = d.owner().expect("no daemon owns the cell");
    let ends_metric = |how: &str| format!("catkin_cell_ends{{how=\"{how}\"");
    for how in ["failed", "lost"] {
        let n = &d.nodes[owner];
        let what = format!("the metric counts ends that are {how}");
        eventually(&what, async || n.metric(&ends_metric(how)).await.is_some_and(|v| v >= 1.0))
            .await;
    }
    d.stop_and_check().await;
}

/// Upper bound of the time of a request, also while the log is not read.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(2);
const REQUESTS: u64 = 6_000;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stalled_log_reader_delays_no_request_in_a_flood() {
    let mut d = Deployment::prepare("flood", 1, &Options::default()).await;
    d.nodes[0].spawn(true);
    let to = d.nodes[0].client_addr();
    wait_job_accepted(&d, to).await;
    let mut slowest = Duration::ZERO;
    for n in 0..REQUESTS {
        // Each request writes a log line.
        let since = Instant::now();
        let answer = d.client.cancel(to, 1_000 + n).await;
        slowest = slowest.max(since.elapsed());
        assert_eq!(answer.status, Some(410), "{answer:?}");
    }
    assert!(slowest < MAX_REQUEST_TIME, "{slowest:?}");
    let dropped_lines = d.nodes[0].metric("catkin_log_lines_left_out").await;
    assert!(dropped_lines.is_some_and(|n| n > 0.0), "{dropped_lines:?}");
    d.stop_and_check().await;
}

/// Waits until a job is accepted. Stands in for [`Deployment::wait_ready`], which reads the log file.
async fn wait_job_accepted(d: &Deployment, to: std::net::SocketAddr) {
    let job = spec(vec![step(1, 100)]);
    d.platform.checker.submitted(51, &job);
    eventually("a job is accepted", async || {
        d.client.submit(to, 51, &job).await.status == Some(200)
    })
    .await;
}
