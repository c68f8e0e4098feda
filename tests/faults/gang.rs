//! All tasks of a gang start together, and small tasks do not starve gangs.

use crate::support::{Deployment, Options};
use crate::view::{assert_no_overlap, job_status, submit, task_runs, wait_job};
use serde_json::json;
use std::time::{Duration, Instant};

/// Both gangs, which the shares of their rows cover, end within this, though small tasks could fill every gap longer.
const GANG_DEADLINE: Duration = Duration::from_secs(15);
const GANG_SIZE: usize = 100;

/// Submits tasks that each take one processor and little memory, and returns the job.
fn submit_tasks(d: &Deployment, row: &str, program: &str, tasks: &str, more: &[&str]) -> String {
    let args = [row, program, "--tasks", tasks, "--cpu-milli", "1000", "--memory-mib", "16"];
    submit(d, 0, &[&args, more].concat())
}

#[test]
fn small_work_does_not_starve_a_gang_and_the_gang_starts_whole() {
    let d = Deployment::start(&Options {
        name: "gang",
        regions: vec![("north", 1)],
        ..Options::default()
    });
    // On 128 processors, the small tasks alone take more than 40 s.
    let small = submit_tasks(&d, "coop-cuts", "sleep 400", "14000", &[]);
    wait_job(&d, 0, &small, "state", &json!("running"));
    let since = Instant::now();
    let gang = submit_tasks(&d, "coop-patterns", "sleep 300", "100", &["--gang"]);
    // A second gang, submitted at the same time, starts after the first.
    let other = submit_tasks(&d, "shop-plans", "sleep 300", "100", &["--gang"]);
    for job in [&gang, &other] {
        wait_job(&d, 0, job, "state", &json!("done"));
    }
    println!("both gangs ended after {} ms", since.elapsed().as_millis());
    assert!(since.elapsed() < GANG_DEADLINE, "{:?}", since.elapsed());
    assert_eq!(job_status(&d, 0, &small)["state"], "running");
    let runs = task_runs(&d);
    assert_no_overlap(&runs);
    for job in [&gang, &other] {
        let members: Vec<_> = runs.iter().filter(|(t, _)| t.starts_with(job.as_str())).collect();
        assert_eq!(members.len(), GANG_SIZE);
        let starts = members.iter().map(|(_, r)| r[0].1);
        let ends = members.iter().filter_map(|(_, r)| r[0].2);
        // All members ran at one moment.
        assert!(starts.max() < ends.min());
    }
}
