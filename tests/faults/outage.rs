//! An outage of the platform's table: what is placed goes on, placement goes on, nothing new is accepted.

use crate::support::{Deployment, Options, eventually};
use crate::view::{assert_never_twice, runs, status, submit, until};
use serde_json::json;

#[test]
fn accepted_work_goes_on_through_an_outage() {
    let opt = Options {
        name: "outage",
        regions: vec![("north", 2)],
        lease_ms: 2_000,
        ..Options::default()
    };
    let d = Deployment::start(&opt);
    // 128 processors: a part runs, the rest has to be placed during the outage.
    let job = submit(&d, 0, &["shop-plans", "sleep 700", "--tasks", "512", "--cpu-milli", "1000"]);
    until(&d, 0, &job, "running", &json!(128));
    d.set_faults("{\"outage\":\"hang\"}");
    eventually("all tasks ran", || {
        let ran = runs(&d)
            .into_iter()
            .filter(|(t, r)| t.starts_with(&job) && r.iter().any(|x| x.2.is_some()));
        (ran.count() == 512).then_some(())
    });
    d.set_faults("{}");
    until(&d, 0, &job, "state", &json!("done"));
    let runs = runs(&d);
    assert_never_twice(&runs);
    assert!(runs.values().all(|r| r.len() == 1), "a task ran again");
    assert_eq!(status(&d, 1, &job)["failed"], 0);
}

#[test]
fn a_submit_in_an_outage_is_refused_and_nothing_runs() {
    let d = Deployment::start(&Options {
        name: "refused",
        regions: vec![("north", 1)],
        ..Options::default()
    });
    d.set_faults("{\"outage\":\"refuse\"}");
    let out =
        d.run_client(0, &["submit", "shop-plans", "sleep 1", "--tasks", "4", "--key", "once"]);
    assert_eq!(out.status.code(), Some(1), "{out:?}");
    d.set_faults("{}");
    let first = submit(&d, 0, &["shop-plans", "sleep 1", "--tasks", "4", "--key", "once"]);
    let second = submit(&d, 0, &["shop-plans", "sleep 1", "--tasks", "4", "--key", "once"]);
    assert_eq!(first, second);
    until(&d, 0, &first, "state", &json!("done"));
    assert_eq!(runs(&d).len(), 4);
}

#[test]
fn a_wave_of_cancellations_stops_what_runs_and_what_waits() {
    let d = Deployment::start(&Options {
        name: "cancel",
        regions: vec![("north", 1)],
        ..Options::default()
    });
    let jobs: Vec<String> = (0..20)
        .map(|_| {
            submit(&d, 0, &["shop-plans", "sleep 60000", "--tasks", "100", "--cpu-milli", "500"])
        })
        .collect();
    until(&d, 0, &jobs[0], "running", &json!(100));
    let args: Vec<&str> =
        std::iter::once("cancel").chain(jobs.iter().map(String::as_str)).collect();
    assert!(d.run_client(0, &args).status.success());
    for job in &jobs {
        until(&d, 0, job, "state", &json!("cancelled"));
    }
    eventually("nothing runs", || {
        runs(&d).values().flatten().all(|(_, _, to)| to.is_some()).then_some(())
    });
    let next = submit(&d, 0, &["shop-plans", "sleep 1", "--tasks", "4"]);
    until(&d, 0, &next, "state", &json!("done"));
}
