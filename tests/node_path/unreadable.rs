//! Rows that a new owner can't read, for instance because a later version wrote them: the job is held.

use crate::deployment::{Deployment, Node, eventually};
use crate::path::{spec, step, submit_until_accepted};
use catkin_platform_standin::Options;
use catkin_platform_standin::spec::Step;
use catkin_types::id::format_job;

/// The job whose row can't be read.
const HELD: u64 = 40;
/// Another job of the same part.
const OTHER: u64 = 44;

/// Runs a job until its first step has ended and its second one runs, and restarts all daemons after its row in `table`
/// was garbled. Returns when another job has completed.
async fn restart_with_garbled_row(name: &str, table: &'static str) -> Deployment {
    let mut d = Deployment::start(name, 2, &Options::default()).await;
    let steps = vec![step(1, 100), Step { after: vec![0], ..step(1, 60_000) }];
    submit_until_accepted(&d, 0, HELD, &spec(steps)).await;
    eventually("the second step runs", async || {
        d.platform.checker.start_count_of(HELD) == 2 && d.platform.checker.running().len() == 1
    })
    .await;
    eventually("the end of the first step is acknowledged", async || {
        d.platform.workers.iter().all(|w| w.listed_ends() == 0)
    })
    .await;
    d.nodes.iter_mut().for_each(Node::kill);
    d.platform.store.garble_row(table, &format_job(HELD));
    d.nodes.iter_mut().for_each(|n| n.spawn(false));
    d.wait_ready().await;
    submit_until_accepted(&d, 0, OTHER, &spec(vec![step(2, 100)])).await;
    d.wait_state(OTHER, "completed").await;
    d
}

/// Checks that the job is held, which is logged and counted, and that its task still runs.
async fn check_held(d: &Deployment, table: &str) {
    d.wait_state(HELD, "running").await;
    assert_eq!(d.platform.checker.start_count_of(HELD), 2, "no task is started again");
    assert_eq!(d.platform.checker.running().len(), 1, "its task is not stopped");
    let owner = &d.nodes[d.owner().expect("no daemon owns the cell")];
    let counter = "catkin_rows_unreadable_total{";
    assert_eq!(owner.metric(counter).await, Some(1.0));
    let is_report =
        |l: &serde_json::Value| l["message"] == "owner: job held, its row can't be read";
    let report = owner.log_lines().into_iter().find(is_report).expect("it is logged");
    assert_eq!((&report["job"], &report["table"]), (&format_job(HELD).into(), &table.into()));
}

/// Progress that could not be read counted as none, so that tasks that had ended were started again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_whose_progress_can_not_be_read_is_held_until_it_is_cancelled() {
    let d = restart_with_garbled_row("garbled-progress", "progress").await;
    check_held(&d, "progress").await;
    let cancelled = d.client.cancel(d.nodes[0].client_addr(), HELD).await;
    assert_eq!(cancelled.status, Some(200));
    d.wait_state(HELD, "cancelled").await;
    eventually("its task is stopped", async || d.platform.checker.running().is_empty()).await;
    d.stop_and_check().await;
}

/// A job whose row could not be read was unknown to its owner, which stopped its tasks and forgot their ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_whose_row_can_not_be_read_is_held() {
    let d = restart_with_garbled_row("garbled-job", "job").await;
    check_held(&d, "job").await;
    d.stop_and_check().await;
}
