//! A limit of the whole cell is never passed, whoever dies.

use crate::support::{Deployment, Options, eventually, expect_stdout};
use crate::view::{assert_never_twice, owner, runs, status, submit, until};
use serde_json::json;

const LIMIT: usize = 12;

/// The most tasks of these jobs that ran at one moment.
fn most_at_once(d: &Deployment, jobs: &[String]) -> usize {
    let mut changes = Vec::new();
    for (task, runs) in runs(d) {
        if !jobs.iter().any(|j| task.starts_with(j)) {
            continue;
        }
        for (_, from, to) in runs {
            changes.push((from, 1));
            changes.extend(to.map(|to| (to, -1)));
        }
    }
    // An end in the same millisecond as a start comes first.
    changes.sort_unstable();
    let (mut now, mut most) = (0_i64, 0);
    for (_, change) in changes {
        now += change;
        most = most.max(now);
    }
    usize::try_from(most).expect("positive")
}

#[test]
fn a_limit_of_the_cell_holds_over_regions_and_a_take_over() {
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
        eventually("both regions have a part", || {
            (status(&d, 2, job)["ended"].as_u64()? > 0).then_some(())
        });
    }
    let (old, _) = eventually("an owner", || owner(&d, 2, "north/north-a/workers/0"));
    d.process(old).kill();
    for job in &jobs {
        until(&d, 2, job, "state", &json!("done"));
    }
    let most = most_at_once(&d, &jobs);
    println!("at most {most} at once, limit {LIMIT}");
    assert!(most <= LIMIT, "{most}");
    // The limit is used, not only kept.
    assert!(most > LIMIT / 2, "{most}");
    assert_never_twice(&runs(&d));
}
