//! What tests look at: owners of shards, runs of tasks, jobs.

use crate::support::{Deployment, eventually, expect_stdout, get};
use serde_json::Value;
use std::collections::BTreeMap;

/// The shards, as the client prints them.
pub fn shards(d: &Deployment, i: usize) -> Vec<Value> {
    let out = d.run_client(i, &["--output", "json", "shards"]);
    serde_json::from_slice(&out.stdout).unwrap_or_default()
}

/// The number of the daemon that owns the shard, and the term.
pub fn owner(d: &Deployment, asked: usize, shard: &str) -> Option<(usize, u64)> {
    let line = shards(d, asked).into_iter().find(|s| s["shard"] == shard)?;
    let owner = d.daemons.iter().position(|x| line["owner"] == *x.id)?;
    Some((owner, line["epoch"].as_u64()?))
}

/// A run of a task: worker, start and end in milliseconds.
pub type Run = (String, u64, Option<u64>);

/// Every run of every task on the deployment's workers. Fails if a worker was given more than it can hold.
pub fn runs(d: &Deployment) -> BTreeMap<String, Vec<Run>> {
    let mut out: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for (name, addr) in d.hosts("-w") {
        let Some((200, body)) = get(&addr, "/log") else { continue };
        let log: Value = serde_json::from_str(&body).expect("a log");
        assert_eq!(log["declined"], 0, "{name} was given more than it can hold");
        for run in log["runs"].as_array().expect("runs") {
            let task = run["task"].as_str().expect("a task").to_owned();
            let from = run["from_ms"].as_u64().expect("a time");
            out.entry(task).or_default().push((name.clone(), from, run["to_ms"].as_u64()));
        }
    }
    out
}

/// Fails if two runs of a task overlap.
pub fn assert_never_twice(runs: &BTreeMap<String, Vec<Run>>) {
    for (task, runs) in runs {
        let mut sorted = runs.clone();
        sorted.sort_by_key(|r| r.1);
        for pair in sorted.windows(2) {
            let over = pair[0].2.is_some_and(|to| to <= pair[1].1);
            assert!(over, "task {task} ran in two places: {pair:?}");
        }
    }
}

/// Submits a job and returns its id.
pub fn submit(d: &Deployment, i: usize, args: &[&str]) -> String {
    let all: Vec<&str> = ["--output", "json", "submit"].iter().chain(args).copied().collect();
    let text = expect_stdout(&d.run_client(i, &all));
    let value: Value = serde_json::from_str(&text).expect("JSON");
    value["job"].as_str().expect("a job").to_owned()
}

/// A job's status.
pub fn status(d: &Deployment, i: usize, job: &str) -> Value {
    let out = d.run_client(i, &["--output", "json", "status", job]);
    serde_json::from_slice(&out.stdout).unwrap_or_default()
}

/// Waits until a field of a job's status has this value.
pub fn until(d: &Deployment, i: usize, job: &str, field: &str, value: &Value) -> Value {
    eventually(&format!("{job}: {field} is {value}"), || {
        let s = status(d, i, job);
        (s[field] == *value).then_some(s)
    })
}
