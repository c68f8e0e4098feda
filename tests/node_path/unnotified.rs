//! Jobs that gates write and whose owner is not notified.

use crate::deployment::{Deployment, eventually};
use crate::path::{spec, step};
use catkin_cell::Job;
use catkin_cell::job::Step;
use catkin_node::table::{accept_changes, part_name};
use catkin_platform_standin::Options;
use catkin_platform_standin::platform::{QUEUE, SERVICE};
use catkin_types::JobId;
use std::time::Duration;

/// The jobs, of all parts.
const JOBS: std::ops::Range<u64> = 100..160;
/// The job before which the owner is killed.
const KILLED_AT: u64 = 120;
/// The history of changes is discarded after each so many jobs.
const JOBS_PER_COMPACTION: u64 = 7;
/// The time between two jobs. All of them take longer than a take-over.
const INTERVAL: Duration = Duration::from_millis(80);

/// Writes the row of a job as a gate does, without a notification.
fn write_unnotified(d: &Deployment, id: JobId) {
    let spec = spec(vec![step(1, 50)]);
    d.platform.checker.submitted(id, &spec);
    let task = Step { count: 1, size: spec.steps[0].size(), estimate_ms: 50, ..Step::default() };
    let (queue, service) = (QUEUE.0.to_owned(), SERVICE.to_owned());
    let text = spec.to_json().into();
    let job = Job { queue, service, spec: text, steps: vec![task], ..Job::default() };
    for (key, value) in accept_changes(id, &job).put {
        d.platform.store.write_value(&key.table, &key.part, &key.key, &value);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_written_without_a_notification_run_across_a_takeover_and_lost_history() {
    let mut d = Deployment::start("unnotified", 2, &Options::default()).await;
    for id in JOBS {
        if id == KILLED_AT {
            let owner = d.owner().expect("no daemon owns the cell");
            d.nodes[owner].kill();
        }
        if id % JOBS_PER_COMPACTION == 0 {
            d.platform.store.compact();
        }
        write_unnotified(&d, id);
        tokio::time::sleep(INTERVAL).await;
    }
    eventually("every job has run", async || {
        JOBS.clone().all(|id| d.platform.checker.start_count_of(id) == 1)
    })
    .await;
    for id in JOBS {
        d.wait_state(id, "completed").await;
    }
    d.stop_and_check().await;
}

/// The first part that could not be read kept the owner from reading the others again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_that_can_not_be_read_hides_no_job_of_the_other_parts() {
    let d = Deployment::start("closed-part", 1, &Options::default()).await;
    d.platform.store.close_part(part_name(0));
    let jobs = [1, 2, 3];
    for id in jobs {
        write_unnotified(&d, id);
    }
    d.platform.store.compact();
    eventually("every job has run", async || {
        jobs.iter().all(|id| d.platform.checker.start_count_of(*id) == 1)
    })
    .await;
    d.stop_and_check().await;
}
