//! What an engineer finds in logs and metrics, and that nothing waits for whoever reads them.

use crate::deployment::{Deployment, Node, eventually};
use crate::path::{accepted, spec, step};
use catkin_platform_standin::Options;
use catkin_platform_standin::spec::Step;
use catkin_platform_standin::store::Mode;
use catkin_platform_standin::worker;
use catkin_types::id::format_job;
use serde_json::Value;
use std::time::Duration;
use tokio::time::Instant;

/// The lines of all daemons on a job.
fn lines(d: &Deployment, id: u64) -> Vec<Value> {
    let job = format_job(id);
    d.nodes.iter().flat_map(Node::log).filter(|l| l["job"] == job.as_str()).collect()
}

fn with(lines: &[Value], message: &str) -> Vec<Value> {
    let says = |l: &&Value| l["message"].as_str().is_some_and(|m| m.starts_with(message));
    lines.iter().filter(says).cloned().collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_failed_requests_are_followed_from_their_id_to_their_cause() {
    let d = Deployment::start("causes", 2, &Options::default()).await;
    // Refused: the store declines.
    d.platform.store.set_mode(Mode::Busy);
    let job = spec(vec![step(1, 100)]);
    let refused = d.client.submit(d.nodes[0].clients(), 41, &job).await;
    assert_eq!(refused.status, Some(503));
    d.platform.store.set_mode(Mode::Serve);
    eventually("the refusal is logged", async || {
        !with(&lines(&d, 41), "gate: job stored: NotCommitted").is_empty()
    })
    .await;
    // Failed: its tasks fail as often as they may, and the log says where.
    accepted(&d, 0, 42, &spec(vec![Step { fails: true, ..step(1, 50) }])).await;
    d.shown(42, "failed").await;
    let told = lines(&d, 42);
    let failures = with(&told, "owner: task failed");
    let seen: Vec<_> = failures.iter().map(|l| (l["times"].as_u64(), l["most"].as_u64())).collect();
    assert_eq!(seen, [(Some(1), Some(3)), (Some(2), Some(3)), (Some(3), Some(3))]);
    assert!(failures.iter().all(|l| l["worker"].as_str().is_some_and(|w| w.starts_with("w-"))));
    assert_eq!(with(&told, "owner: job ended")[0]["state"], "failed");
    // Late: it was lost with its worker, and ran again elsewhere.
    accepted(&d, 1, 43, &spec(vec![step(1, 1_500)])).await;
    eventually("it runs", async || !d.platform.checker.running().is_empty()).await;
    let (task, (at, _)) = d.platform.checker.running().into_iter().next().expect("one");
    assert_eq!(task.step.job, 43);
    let lost = d.platform.workers.iter().find(|w| w.id() == at).expect("a worker");
    lost.set_mode(worker::Mode::Hang);
    d.shown(43, "completed").await;
    let told = lines(&d, 43);
    assert_eq!(with(&told, "owner: task lost")[0]["worker"], at.as_str());
    let starts = with(&told, "owner: step started");
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|l| l["age_ms"].is_number() && l["slack_ms"].is_number()));
    let owner = d.owner().expect("an owner");
    let ends = |how: &str| format!("catkin_cell_ends{{how=\"{how}\"");
    for how in ["failed", "lost"] {
        let n = &d.nodes[owner];
        let what = format!("the count of ends {how} is shown");
        eventually(&what, async || n.metric(&ends(how)).await.is_some_and(|v| v >= 1.0)).await;
    }
    d.end().await;
}

/// A request is answered within this, whoever reads the log.
const BOUND: Duration = Duration::from_secs(2);
const REQUESTS: u64 = 6_000;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_flood_beside_a_stalled_reader_of_the_log_delays_no_request() {
    let mut d = Deployment::prepare("flood", 1, &Options::default()).await;
    d.nodes[0].run(true);
    let to = d.nodes[0].clients();
    accepted_without_log(&d, to).await;
    let mut slowest = Duration::ZERO;
    for n in 0..REQUESTS {
        // Each is a line in the log.
        let since = Instant::now();
        let answer = d.client.cancel(to, 1_000 + n).await;
        slowest = slowest.max(since.elapsed());
        assert_eq!(answer.status, Some(410), "{answer:?}");
    }
    assert!(slowest < BOUND, "{slowest:?}");
    let left_out = d.nodes[0].metric("catkin_log_lines_left_out").await;
    assert!(left_out.is_some_and(|n| n > 0.0), "{left_out:?}");
    d.end().await;
}

async fn accepted_without_log(d: &Deployment, to: std::net::SocketAddr) {
    let job = spec(vec![step(1, 100)]);
    d.platform.checker.submitted(51, &job);
    eventually("a job is accepted", async || {
        d.client.submit(to, 51, &job).await.status == Some(200)
    })
    .await;
}
