//! Jobs that are cancelled while a write that accepts them is open: a client that was told that its job does not exist sees
//! none of its tasks start.

use crate::deployment::{Deployment, Node, eventually};
use crate::path::{spec, step, submit_until_accepted};
use catkin_node::table::JOBS;
use catkin_platform_standin::Options;
use catkin_platform_standin::store::Mode;
use catkin_types::JobId;
use catkin_types::id::format_job;
use std::time::Duration;

/// A job, and another one of the same part.
const JOB: JobId = 32;
const LATER_JOB: JobId = 36;
/// How late the store carries a call out: longer than a daemon takes to start.
const LATE: Duration = Duration::from_secs(5);

/// Asserts that the job does not exist for clients, is not accepted again, and never started. The write of `LATER_JOB`
/// follows the open ones of the owner's batch.
async fn expect_never_run(d: &Deployment) {
    submit_until_accepted(d, 0, LATER_JOB, &spec(vec![step(1, 100)])).await;
    d.wait_state(LATER_JOB, "completed").await;
    assert_eq!(d.platform.checker.start_count_of(JOB), 0);
    for node in &d.nodes {
        let to = node.client_addr();
        assert_eq!(d.client.submit(to, JOB, &spec(vec![step(1, 100)])).await.status, Some(503));
        assert_eq!(d.client.state(to, JOB).await.status, Some(410));
        assert_eq!(d.client.cancel(to, JOB).await.status, Some(410));
    }
    assert_eq!(d.platform.checker.start_count_of(JOB), 0);
}

/// A job that was answered 410 on cancelling ran, as the owner's write of it was open (UNASKED).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_answered_410_on_cancelling_does_not_run_when_the_owner_writes_it_again() {
    let d = Deployment::start("cancelled-open", 2, &Options::default()).await;
    let owner = d.owner().expect("no daemon owns the cell");
    let (job, key) = (spec(vec![step(1, 100)]), format_job(JOB));
    d.platform.checker.submitted(JOB, &job);
    // The batch that holds the job has no answer, and is sent again.
    d.platform.store.set_row_silent(JOBS, &key, true);
    let submitted = d.client.submit(d.nodes[owner].client_addr(), JOB, &job).await;
    assert_eq!(submitted.status, Some(504));
    assert_eq!(d.client.cancel(d.nodes[1 - owner].client_addr(), JOB).await.status, Some(410));
    d.platform.store.set_row_silent(JOBS, &key, false);
    expect_never_run(&d).await;
    d.stop_and_check().await;
}

/// The same, for a write that the store carries out after all daemons that knew of it have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_answered_410_on_cancelling_does_not_run_when_the_store_carries_its_write_out_late() {
    let mut d = Deployment::start("cancelled-late", 1, &Options::default()).await;
    let (job, key) = (spec(vec![step(1, 100)]), format_job(JOB));
    d.platform.checker.submitted(JOB, &job);
    d.platform.store.set_mode(Mode::DelayWrites(LATE));
    let to = d.nodes[0].client_addr();
    let submission = {
        let (client, job) = (d.client.clone(), job.clone());
        tokio::spawn(async move { client.submit(to, JOB, &job).await })
    };
    eventually("the write is open", async || d.platform.store.has_delayed(&key)).await;
    d.nodes.iter_mut().for_each(Node::kill);
    assert_eq!(submission.await.expect("the client ends").status, None);
    d.platform.store.set_mode(Mode::Serve);
    d.nodes.iter_mut().for_each(|n| n.spawn(false));
    d.wait_ready().await;
    assert_eq!(d.client.cancel(to, JOB).await.status, Some(410));
    assert!(!d.platform.store.has_handled_late(&key), "the write is still open");
    eventually("the store handles it", async || d.platform.store.has_handled_late(&key)).await;
    expect_never_run(&d).await;
    d.stop_and_check().await;
}
