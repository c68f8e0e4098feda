//! A target that is leaving gets no new work after a few seconds.

use crate::support::{Deployment, Options, send_request};
use crate::view::{submit, task_runs, wait_job};
use serde_json::json;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time from the first sign of leaving after which a target must get no new work.
const LEAVE_DEADLINE: Duration = Duration::from_secs(3);

fn now_ms() -> u64 {
    let since =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is before the Unix epoch");
    u64::try_from(since.as_millis()).expect("out of range")
}

#[test]
fn leaving_workers_and_executors_get_no_new_work() {
    let opt = Options { name: "leaving", regions: vec![("north", 2)], ..Options::default() };
    let d = Deployment::start(&opt);
    let platform = d.platform_url.trim_start_matches("http://");
    let (worker, worker_addr) = d.hosts("-w0").remove(0);
    let (self_leaving, self_leaving_addr) = d.hosts("-w1").remove(0);
    let (executor, executor_addr) = d.hosts("shop-main-0").remove(0);
    // The host list lags by 1 s, also for the change to `leaving`.
    d.set_faults("{\"hosts_lag_ms\":1000}");
    // One worker and one executor leave according to the platform's host list; another worker reports it itself.
    let (_, list) =
        send_request(platform, "GET", "/v1/hosts", "").expect("the host list is not available");
    let mut hosts: Vec<serde_json::Value> =
        serde_json::from_str(&list).expect("the answer is not JSON");
    hosts.retain(|h| h["id"] == *worker || h["id"] == *executor);
    for h in &mut hosts {
        h["state"] = json!("leaving");
    }
    let body = serde_json::to_string(&hosts).expect("the hosts cannot be serialized");
    let (left_at_ms, since) = (now_ms(), Instant::now());
    assert_eq!(send_request(platform, "POST", "/v1/hosts", &body).expect("no answer").0, 200);
    assert_eq!(send_request(&self_leaving_addr, "POST", "/leave", "").expect("no answer").0, 200);
    let request_count = |addr: &str| {
        let (_, body) = send_request(addr, "GET", "/seen", "").expect("no answer");
        serde_json::from_str::<serde_json::Value>(&body).expect("the answer is not JSON")["total"]
            .as_u64()
            .expect("`total` is not a number")
    };
    let mut at_deadline = None;
    while since.elapsed() < LEAVE_DEADLINE * 2 {
        let quote = send_request(&d.daemons[0].http_addr, "GET", "/v1/call/shop-quotes/q", "")
            .expect("no answer");
        assert_eq!(quote.0, 200, "{}", quote.1);
        let job = submit(&d, 1, &["shop-plans", "sleep 5", "--tasks", "40"]);
        wait_job(&d, 1, &job, "state", &json!("done"));
        if since.elapsed() >= LEAVE_DEADLINE && at_deadline.is_none() {
            at_deadline = Some(request_count(&executor_addr));
        }
    }
    assert_eq!(
        at_deadline,
        Some(request_count(&executor_addr)),
        "{executor} got a request after the deadline"
    );
    let deadline_ms = u64::try_from(LEAVE_DEADLINE.as_millis()).expect("out of range");
    for (task, runs) in task_runs(&d) {
        for (target, start_ms, _) in runs {
            let started_late =
                (target == worker || target == self_leaving) && start_ms > left_at_ms + deadline_ms;
            assert!(
                !started_late,
                "{task} started on {target} (the listed worker: {worker_addr}) {} ms after the worker began to leave",
                start_ms - left_at_ms
            );
        }
    }
}
