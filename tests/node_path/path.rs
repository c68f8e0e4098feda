//! Jobs from end to end: on a calm day, past the death of the owner, past an outage of the store.

use crate::deployment::{Deployment, eventually};
use catkin_platform_standin::Options;
use catkin_platform_standin::adviser::Adviser;
use catkin_platform_standin::spec::{Spec, Step};
use catkin_platform_standin::store::Mode;
use std::time::Duration;

pub fn step(count: u32, ms: u64) -> Step {
    Step { count, ms, cpu_milli: 1_000, memory_mib: 100, ..Step::default() }
}

pub fn spec(steps: Vec<Step>) -> Spec {
    Spec { steps }
}

/// Hands a job in at one daemon until it is accepted.
pub async fn accepted(d: &Deployment, n: usize, id: u64, spec: &Spec) {
    d.platform.checker.submitted(id, spec);
    let to = d.nodes[n].clients();
    eventually("the job is accepted", async || {
        d.client.submit(to, id, spec).await.status == Some(200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_of_every_shape_complete_and_are_shown_at_every_daemon() {
    let advice = Adviser {
        call_time: Duration::from_millis(20),
        time_per_worker: Duration::from_millis(1),
        ticket_lifetime: Duration::from_millis(1_500),
        approve_one_in: 2,
    };
    let opt = Options { adviser: Some(advice), ..Options::default() };
    let d = Deployment::start("calm", 3, &opt).await;
    let gang = Step { gang: true, ..step(5, 300) };
    let jobs = [
        (11, spec(vec![step(3, 200)])),
        (12, spec(vec![step(2, 200), Step { after: vec![0], ..step(4, 100) }])),
        (13, spec(vec![gang])),
    ];
    for (n, (id, spec)) in jobs.iter().enumerate() {
        accepted(&d, n, *id, spec).await;
    }
    for (id, _) in &jobs {
        d.shown(*id, "completed").await;
    }
    let again = d.client.submit(d.nodes[0].clients(), 11, &jobs[0].1).await;
    assert_eq!(again.status, Some(200), "the same job again");
    assert_eq!(d.client.state(d.nodes[1].clients(), 99).await.status, Some(410));
    accepted(&d, 0, 14, &spec(vec![step(2, 60_000)])).await;
    d.shown(14, "running").await;
    assert_eq!(d.client.cancel(d.nodes[2].clients(), 14).await.status, Some(200));
    d.shown(14, "cancelled").await;
    eventually("it is stopped", async || d.platform.checker.running().is_empty()).await;
    d.end().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_goes_on_past_the_death_of_the_owner() {
    let mut d = Deployment::start("dies", 3, &Options::default()).await;
    let long = spec(vec![step(8, 4_000), Step { after: vec![0], ..step(3, 200) }]);
    accepted(&d, 0, 21, &long).await;
    d.shown(21, "running").await;
    let started = d.platform.checker.running();
    let owner = d.owner().expect("an owner");
    d.nodes[owner].kill();
    let other = (owner + 1) % d.nodes.len();
    accepted(&d, other, 22, &spec(vec![step(2, 100)])).await;
    d.shown(21, "completed").await;
    d.shown(22, "completed").await;
    // What ran was kept: each task was started once.
    assert_eq!(d.platform.checker.start_count(), 13, "{started:?}");
    d.end().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_of_the_store_refuses_new_jobs_and_keeps_what_runs() {
    let d = Deployment::start("outage", 2, &Options::default()).await;
    accepted(&d, 0, 31, &spec(vec![step(4, 2_500)])).await;
    d.shown(31, "running").await;
    for mode in [Mode::Busy, Mode::Hang] {
        d.platform.store.set_mode(mode);
        let to = d.nodes[1].clients();
        let job = spec(vec![step(1, 100)]);
        // A try of the silent store may be carried out after all: then it was not answered as refused.
        d.platform.checker.submitted(32, &job);
        eventually("it is refused", async || {
            matches!(d.client.submit(to, 32, &job).await.status, Some(503))
        })
        .await;
        d.platform.store.set_mode(Mode::Serve);
    }
    d.shown(31, "completed").await;
    assert_eq!(d.platform.checker.start_count_of(31), 4);
    d.end().await;
}
