//! Tasks that crash the workers that start them, and workers whose capacity changes.

use crate::deployment::{Deployment, eventually};
use crate::path::{spec, step, submit_until_accepted};
use catkin_cell::StepRef;
use catkin_platform_standin::Options;
use catkin_platform_standin::spec::Step;
use catkin_types::Resources;

/// The job whose task crashes its workers.
const DEADLY_JOB: u64 = 31;
/// The first of the jobs beside it.
const OTHER_JOB: u64 = 41;
const OTHER_JOBS: u64 = 6;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_crashes_its_workers_is_given_up_across_a_takeover_and_the_others_complete() {
    let mut d = Deployment::start("deadly", 2, &Options { workers: 4, ..Options::default() }).await;
    let deadly = Step { crashes: true, ..step(1, 1_000) };
    for id in OTHER_JOB..OTHER_JOB + OTHER_JOBS {
        submit_until_accepted(&d, 0, id, &spec(vec![step(2, 1_500)])).await;
    }
    submit_until_accepted(&d, 0, DEADLY_JOB, &spec(vec![deadly])).await;
    let task = StepRef { job: DEADLY_JOB, ..StepRef::default() }.task(0);
    eventually("a worker crashes", async || d.platform.checker.crash_count(task) > 0).await;
    let owner = d.owner().expect("a daemon owns the cell");
    d.nodes[owner].kill();
    d.wait_state(DEADLY_JOB, "failed").await;
    for id in OTHER_JOB..OTHER_JOB + OTHER_JOBS {
        d.wait_state(id, "completed").await;
    }
    d.stop_and_check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_whose_capacity_shrank_gets_no_more_than_that_until_it_grows() {
    let opt = Options { workers: 2, ..Options::default() };
    let d = Deployment::start("capacity", 1, &opt).await;
    let [cpu, memory, _] = opt.capacity.as_array();
    d.platform.workers[0].set_capacity(Resources::new(0, 0, 0));
    d.platform.workers[1].set_capacity(Resources::new(1_000, memory, 0));
    let shown = async || d.nodes[0].metric("catkin_cell_cpu_milli{state=\"all\"").await;
    eventually("the owner knows", async || shown().await == Some(1_000.0)).await;
    // More tasks than one worker can have, and as many as both can.
    let tasks = u32::try_from(2 * cpu / 1_000).expect("a small number");
    submit_until_accepted(&d, 0, OTHER_JOB, &spec(vec![step(tasks, 60_000)])).await;
    eventually("a task runs", async || d.platform.checker.running().len() == 1).await;
    for worker in &d.platform.workers {
        worker.set_capacity(opt.capacity);
    }
    let all = tasks as usize;
    eventually("all tasks run", async || d.platform.checker.running().len() == all).await;
    d.stop_and_check().await;
}
