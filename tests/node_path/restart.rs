//! Restarts of all daemons at once: what had left or was withdrawn before stays out of use.

use crate::deployment::{Deployment, Node, eventually};
use crate::path::{spec, step, submit_until_accepted};
use catkin_platform_standin::Options;

/// The worker that leaves. It still carries out orders.
const LEFT_WORKER: usize = 0;
/// The number of tasks that fill the other workers.
const TASKS: u32 = 16;
/// The job that fills them.
const JOB: u64 = 21;

async fn restart_all(d: &mut Deployment) {
    d.nodes.iter_mut().for_each(Node::kill);
    d.nodes.iter_mut().for_each(|n| n.spawn(false));
    d.wait_ready().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_left_gets_no_task_after_a_restart() {
    let mut d = Deployment::start("left", 2, &Options { workers: 3, ..Options::default() }).await;
    d.platform.set_listed(LEFT_WORKER, false);
    restart_all(&mut d).await;
    submit_until_accepted(&d, 0, JOB, &spec(vec![step(TASKS, 60_000)])).await;
    eventually("all tasks run", async || d.platform.checker.running().len() == TASKS as usize)
        .await;
    let left = d.platform.workers[LEFT_WORKER].id();
    let running = d.platform.checker.running();
    assert!(running.values().all(|(worker, _)| worker != left), "{running:?}");
    d.stop_and_check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_withdrawn_queue_takes_no_job_after_a_restart() {
    let mut d = Deployment::start("withdrawn", 2, &Options::default()).await;
    submit_until_accepted(&d, 0, JOB, &spec(vec![step(1, 100)])).await;
    d.wait_state(JOB, "completed").await;
    d.platform.withdraw_queue();
    restart_all(&mut d).await;
    for node in &d.nodes {
        let answer = d.client.submit(node.client_addr(), JOB + 1, &spec(vec![step(1, 100)])).await;
        assert_eq!(answer.status, Some(404));
    }
    d.stop_and_check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_owner_learns_that_the_process_of_its_predecessor_is_gone() {
    let mut d = Deployment::start("gone", 3, &Options::default()).await;
    let owner = d.owner().expect("no daemon owns the cell");
    d.nodes[owner].kill();
    eventually("another daemon owns the cell", async || d.owner().is_some()).await;
    d.nodes[owner].spawn(false);
    let message = "lead: the process of the previous owner is gone";
    let knows = |n: &Node| n.log_lines().iter().any(|l| l["message"] == message);
    eventually("the new owner knows", async || d.nodes.iter().any(knows)).await;
    d.stop_and_check().await;
}
