//! Jobs from submission to their final state: without faults, across the death of the owner, and across a store outage.

use crate::deployment::{Deployment, eventually};
use catkin_platform_standin::Options;
use catkin_platform_standin::adviser::Adviser;
use catkin_platform_standin::spec::{Spec, Step};
use catkin_platform_standin::store::Mode;
use std::time::Duration;

/// A step of `count` tasks that run for `ms` each.
pub fn step(count: u32, ms: u64) -> Step {
    Step { count, ms, cpu_milli: 1_000, memory_mib: 100, ..Step::default() }
}

pub fn spec(steps: Vec<Step>) -> Spec {
    Spec { steps }
}

/// Submits a job to daemon `n` until it is accepted.
pub async fn submit_until_accepted(d: &Deployment, n: usize, id: u64, spec: &Spec) {
    d.platform.checker.submitted(id, spec);
    let to = d.nodes[n].client_addr();
    eventually("the job is accepted", async || {
        d.client.submit(to, id, spec).await.status == Some(200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_of_every_shape_complete_and_are_shown_at_every_daemon() {
    let adviser = Adviser {
        call_time: Duration::from_millis(20),
        time_per_worker: Duration::from_millis(1),
        ticket_lifetime: Duration::from_millis(1_500),
        approve_one_in: 2,
    };
    let opt = Options { adviser: Some(adviser), ..Options::default() };
    let d = Deployment::start("calm", 3, &opt).await;
    let gang = Step { gang: true, ..step(5, 300) };
    let jobs = [
        (11, spec(vec![step(3, 200)])),
        (12, spec(vec![step(2, 200), Step { after: vec![0], ..step(4, 100) }])),
        (13, spec(vec![gang])),
    ];
    for (n, (id, spec)) in jobs.iter().enumerate() {
        submit_until_accepted(&d, n, *id, spec).await;
    }
    for (id, _) in &jobs {
        d.wait_state(*id, "completed").await;
    }
    let again = d.client.submit(d.nodes[0].client_addr(), 11, &jobs[0].1).await;
    assert_eq!(again.status, Some(200), "a repeated submission of the same job is accepted");
    assert_eq!(d.client.state(d.nodes[1].client_addr(), 99).await.status, Some(410));
    submit_until_accepted(&d, 0, 14, &spec(vec![step(2, 60_000)])).await;
    d.wait_state(14, "running").await;
    assert_eq!(d.client.cancel(d.nodes[2].client_addr(), 14).await.status, Some(200));
    d.wait_state(14, "cancelled").await;
    eventually("the tasks of the cancelled job are stopped", async || {
        d.platform.checker.running().is_empty()
    })
    .await;
    d.stop_and_check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_complete_after_the_death_of_the_owner_and_no_task_restarts() {
    let mut d = Deployment::start("dies", 3, &Options::default()).await;
    let long = spec(vec![step(8, 4_000), Step { after: vec![0], ..step(3, 200) }]);
    submit_until_accepted(&d, 0, 21, &long).await;
    d.wait_state(21, "running").await;
    let started = d.platform.checker.running();
    let owner = d.owner().expect("no daemon owns the cell");
    d.nodes[owner].kill();
    let other = (owner + 1) % d.nodes.len();
    submit_until_accepted(&d, other, 22, &spec(vec![step(2, 100)])).await;
    d.wait_state(21, "completed").await;
    d.wait_state(22, "completed").await;
    // Running tasks were kept: each of the 8 + 3 + 2 tasks was started once.
    assert_eq!(d.platform.checker.start_count(), 13, "{started:?}");
    d.stop_and_check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_outage_refuses_new_jobs_and_keeps_running_tasks() {
    let d = Deployment::start("outage", 2, &Options::default()).await;
    submit_until_accepted(&d, 0, 31, &spec(vec![step(4, 2_500)])).await;
    d.wait_state(31, "running").await;
    for mode in [Mode::Busy, Mode::Hang] {
        d.platform.store.set_mode(mode);
        let to = d.nodes[1].client_addr();
        let job = spec(vec![step(1, 100)]);
        // The checker must know the job: the hanging store may still carry out an attempt, which is then not answered as
        // refused.
        d.platform.checker.submitted(32, &job);
        eventually("the job is refused", async || {
            matches!(d.client.submit(to, 32, &job).await.status, Some(503))
        })
        .await;
        d.platform.store.set_mode(Mode::Serve);
    }
    d.wait_state(31, "completed").await;
    assert_eq!(d.platform.checker.start_count_of(31), 4);
    d.stop_and_check().await;
}
