//! A target that is leaving gets nothing new after a few seconds.

use crate::support::{Deployment, Options, send_request};
use crate::view::{runs, submit, until};
use serde_json::json;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// After this long from the first sign there is nothing new.
const BOUND: Duration = Duration::from_secs(3);

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock");
    u64::try_from(since.as_millis()).expect("small")
}

#[test]
fn leaving_workers_and_executors_get_nothing_new() {
    let opt = Options { name: "leaving", regions: vec![("north", 2)], ..Options::default() };
    let d = Deployment::start(&opt);
    let platform = d.platform_url.trim_start_matches("http://");
    let (worker, worker_addr) = d.hosts("-w0").remove(0);
    let (said, said_addr) = d.hosts("-w1").remove(0);
    let (executor, executor_addr) = d.hosts("shop-main-0").remove(0);
    // The list lags a second behind, also when the sign is given.
    d.set_faults("{\"hosts_lag_ms\":1000}");
    // One worker and one executor leave by the platform's list, another worker by its own word.
    let (_, list) = send_request(platform, "GET", "/v1/hosts", "").expect("the list");
    let mut hosts: Vec<serde_json::Value> = serde_json::from_str(&list).expect("JSON");
    hosts.retain(|h| h["id"] == *worker || h["id"] == *executor);
    for h in &mut hosts {
        h["state"] = json!("leaving");
    }
    let body = serde_json::to_string(&hosts).expect("JSON");
    let (sign, since) = (now_ms(), Instant::now());
    assert_eq!(send_request(platform, "POST", "/v1/hosts", &body).expect("taken").0, 200);
    assert_eq!(send_request(&said_addr, "POST", "/leave", "").expect("taken").0, 200);
    let seen = |addr: &str| {
        let (_, body) = send_request(addr, "GET", "/seen", "").expect("seen");
        serde_json::from_str::<serde_json::Value>(&body).expect("JSON")["total"]
            .as_u64()
            .expect("a number")
    };
    let mut at_bound = None;
    while since.elapsed() < BOUND * 2 {
        let quote = send_request(&d.daemons[0].http_addr, "GET", "/v1/call/shop-quotes/q", "")
            .expect("an answer");
        assert_eq!(quote.0, 200, "{}", quote.1);
        let job = submit(&d, 1, &["shop-plans", "sleep 5", "--tasks", "40"]);
        until(&d, 1, &job, "state", &json!("done"));
        if since.elapsed() >= BOUND && at_bound.is_none() {
            at_bound = Some(seen(&executor_addr));
        }
    }
    assert_eq!(at_bound, Some(seen(&executor_addr)), "{executor} got a request");
    let bound_ms = u64::try_from(BOUND.as_millis()).expect("small");
    for (task, runs) in runs(&d) {
        for (on, from, _) in runs {
            let late = (on == worker || on == said) && from > sign + bound_ms;
            assert!(
                !late,
                "{task} started on {on} ({worker_addr}) {} ms after it was to leave",
                from - sign
            );
        }
    }
}
