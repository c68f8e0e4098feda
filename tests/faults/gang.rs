//! Gangs start whole, and small work does not starve them.

use crate::support::{Deployment, Options};
use crate::view::{assert_never_twice, runs, status, submit, until};
use serde_json::json;
use std::time::{Duration, Instant};

/// A gang that its row's share covers starts within this, though small work could fill every gap for longer.
const BOUND: Duration = Duration::from_secs(15);
const GANG: usize = 100;

/// Tasks of one processor and little memory.
fn job(d: &Deployment, row: &str, program: &str, tasks: &str, more: &[&str]) -> String {
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
    // 128 processors: the small tasks alone take more than 40 s.
    let small = job(&d, "coop-cuts", "sleep 400", "14000", &[]);
    until(&d, 0, &small, "state", &json!("running"));
    let since = Instant::now();
    let gang = job(&d, "coop-patterns", "sleep 300", "100", &["--gang"]);
    // A second gang at the same time takes its turn after the first.
    let other = job(&d, "shop-plans", "sleep 300", "100", &["--gang"]);
    for job in [&gang, &other] {
        until(&d, 0, job, "state", &json!("done"));
    }
    println!("both gangs ended after {} ms", since.elapsed().as_millis());
    assert!(since.elapsed() < BOUND, "{:?}", since.elapsed());
    assert_eq!(status(&d, 0, &small)["state"], "running");
    let runs = runs(&d);
    assert_never_twice(&runs);
    for job in [&gang, &other] {
        let of_gang: Vec<_> = runs.iter().filter(|(t, _)| t.starts_with(job.as_str())).collect();
        assert_eq!(of_gang.len(), GANG);
        let starts = of_gang.iter().map(|(_, r)| r[0].1);
        let ends = of_gang.iter().filter_map(|(_, r)| r[0].2);
        // All of them ran at one moment.
        assert!(starts.max() < ends.min());
    }
}
