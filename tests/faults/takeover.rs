//! Owners that die or pause: their tasks run on, once, and a successor places new work soon.

use crate::support::{Deployment, Options, eventually};
use crate::view::{assert_never_twice, owner, runs, submit, until};
use serde_json::json;
use std::time::{Duration, Instant};

const SHARD: &str = "north/north-a/workers/0";
/// The goal for the time from an owner's death to the first new start.
const TAKEOVER_GOAL: Duration = Duration::from_secs(3);

fn two_daemons(name: &'static str, lease_ms: u64) -> Deployment {
    let opt = Options { name, regions: vec![("north", 2)], lease_ms, ..Options::default() };
    Deployment::start(&opt)
}

#[test]
fn a_killed_owner_loses_no_task_and_runs_none_twice() {
    let mut d = two_daemons("killed", 10_000);
    let (old, epoch) = eventually("an owner", || owner(&d, 0, SHARD));
    let other = 1 - old;
    let job =
        submit(&d, other, &["shop-plans", "sleep 6000", "--tasks", "16", "--cpu-milli", "1000"]);
    until(&d, other, &job, "running", &json!(16));
    let waiting =
        submit(&d, other, &["coop-cuts", "sleep 10", "--tasks", "300", "--cpu-milli", "1000"]);
    d.process(old).kill();
    let died = Instant::now();
    eventually("another owner", || {
        owner(&d, other, SHARD).filter(|(o, e)| *o == other && *e > epoch)
    });
    let taken = died.elapsed();
    let fresh = submit(&d, other, &["shop-plans", "sleep 1", "--tasks", "1"]);
    until(&d, other, &fresh, "state", &json!("done"));
    let placed = died.elapsed();
    println!(
        "takeover after {} ms, first new task ended after {} ms",
        taken.as_millis(),
        placed.as_millis()
    );
    assert!(placed < TAKEOVER_GOAL, "{placed:?}");
    until(&d, other, &waiting, "state", &json!("done"));
    until(&d, other, &job, "state", &json!("done"));
    let runs = runs(&d);
    assert_never_twice(&runs);
    let of_job = runs.iter().filter(|(t, _)| t.starts_with(&job));
    for (task, runs) in of_job {
        assert_eq!(runs.len(), 1, "{task}: {runs:?}");
    }
}

#[test]
fn a_paused_owner_that_resumes_changes_nothing() {
    let mut d = two_daemons("paused", 3_000);
    let (old, epoch) = eventually("an owner", || owner(&d, 0, SHARD));
    let other = 1 - old;
    let job =
        submit(&d, other, &["shop-plans", "sleep 8000", "--tasks", "16", "--cpu-milli", "1000"]);
    until(&d, other, &job, "running", &json!(16));
    d.process(old).signal("STOP");
    eventually("another owner", || {
        owner(&d, other, SHARD).filter(|(o, e)| *o == other && *e > epoch)
    });
    let more =
        submit(&d, other, &["coop-cuts", "sleep 300", "--tasks", "40", "--cpu-milli", "1000"]);
    d.process(old).signal("CONT");
    until(&d, other, &more, "state", &json!("done"));
    until(&d, other, &job, "state", &json!("done"));
    let runs = runs(&d);
    assert_never_twice(&runs);
    assert!(runs.iter().filter(|(t, _)| t.starts_with(&job)).all(|(_, r)| r.len() == 1));
}

#[test]
fn tasks_of_a_fleet_that_dies_run_again_once_their_leases_are_over() {
    let opt = Options {
        name: "fleet",
        regions: vec![("north", 1), ("south", 1)],
        lease_ms: 2_000,
        ..Options::default()
    };
    let mut d = Deployment::start(&opt);
    // A batch that is larger than one region's chunk runs in the near region only while that has room.
    let job = submit(&d, 0, &["shop-plans", "sleep 1500", "--tasks", "8", "--cpu-milli", "1000"]);
    until(&d, 0, &job, "running", &json!(8));
    // The workers of the region are gone for good; others with the same names come up in their place.
    d.fleets[0].kill();
    let replacement = crate::support::start_fleet(&opt, &d.platform_url.clone(), "north");
    d.fleets.push(replacement);
    let shown = until(&d, 0, &job, "running", &json!(0));
    println!("{shown}");
    // Their addresses changed, so that the shard's list names nobody who answers: the job waits, and says why.
    let why = d.run_client(0, &["explain", &job]);
    assert!(String::from_utf8_lossy(&why.stdout).contains("no worker of the shard takes work now"));
}
