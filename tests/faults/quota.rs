//! A limit of the whole cell is never exceeded, also when an owner dies.

use crate::support::{Deployment, Options, eventually, expect_stdout};
use crate::view::{assert_no_overlap, job_status, shard_owner, submit, task_runs, wait_job};
use serde_json::json;

/// `max_running` of the row under test.
const LIMIT: usize = 12;

/// The highest number of tasks of these jobs that ran at the same time.
fn peak_running(d: &Deployment, jobs: &[String]) -> usize {
    let mut changes = Vec::new();
    for (task, runs) in task_runs(d) {
        if !jobs.iter().any(|j| task.starts_with(j)) {
            continue;
        }
        for (_, from, to) in runs {
            changes.push((from, 1));
            changes.extend(to.map(|to| (to, -1)));
        }
    }
    // At the same millisecond, ends (-1) sort before starts (+1).
    changes.sort_unstable();
    let (mut running, mut peak) = (0_i64, 0);
    for (_, change) in changes {
        running += change;
        peak = peak.max(running);
    }
    usize::try_from(peak).expect("the peak is negative")
}

#[test]
fn a_limit_of_the_cell_holds_across_regions_and_a_takeover() {
    let opt =
        Options { name: "quota", regions: vec![("north", 2), ("south", 1)], ..Options::default() };
    let mut d = Deployment::start(&opt);
    let limit = format!("max_running={LIMIT}");
    expect_stdout(&d.run_client(0, &["limits", "edit", "coop-cuts", &limit]));
    let mut jobs = Vec::new();
    for i in [0, 2] {
        jobs.push(submit(
            &d,
            i,
            &["coop-cuts", "sleep 300", "--tasks", "60", "--cpu-milli", "500"],
        ));
    }
    for job in &jobs {
        eventually("a task of the job has ended", || {
            (job_status(&d, 2, job)["ended"].as_u64()? > 0).then_some(())
        });
    }
    let (old_owner, _) =
        eventually("a daemon owns the shard", || shard_owner(&d, 2, "north/north-a/workers/0"));
    d.process(old_owner).kill();
    for job in &jobs {
        wait_job(&d, 2, job, "state", &json!("done"));
    }
    let peak = peak_running(&d, &jobs);
    println!("at most {peak} tasks ran at once, limit {LIMIT}");
    assert!(peak <= LIMIT, "{peak}");
    // The limit is also used, not only respected.
    assert!(peak > LIMIT / 2, "{peak}");
    assert_no_overlap(&task_runs(&d));
}
