//! Jobs with values at the ends of their ranges, beside those of other callers.

use crate::deployment::{Deployment, Node, eventually};
use crate::path::{spec, step, submit_until_accepted};
use catkin_platform_standin::Options;
use catkin_platform_standin::platform::QUEUE;
use catkin_types::id::format_job;
use hyper::Method;
use serde_json::{Value, json};

/// The identifier of the first odd job.
const FIRST_ODD: u64 = 900;
/// The estimates of so many steps, times the stretch of 3, are more than a `Duration` holds. Not many more are accepted.
const STEPS: u32 = 420;

/// Jobs that are valid and that no worker can run.
fn odd_jobs() -> [Value; 3] {
    let step = |n: u32| {
        let after: Vec<u32> = n.checked_sub(1).into_iter().collect();
        json!({ "count": 1, "cpu": u64::MAX, "estimate_ms": u64::MAX, "after": after })
    };
    let chain: Vec<Value> = (0..STEPS).map(step).collect();
    let large = json!({ "count": 1_000, "cpu": u64::MAX, "mem_mb": u64::MAX, "gpu": u64::MAX });
    let gang = json!({ "count": 1_000, "cpu": u64::MAX, "gang": true, "estimate_ms": 1e300 });
    [json!(chain), json!([large]), json!([gang])]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_with_extreme_values_do_not_keep_other_jobs_from_running() {
    let mut d = Deployment::start("odd-jobs", 2, &Options::default()).await;
    for (id, steps) in (FIRST_ODD..).zip(odd_jobs()) {
        let path = format!("{}{}", QUEUE.2, format_job(id));
        let body = json!({ "spec": "x", "steps": steps }).to_string();
        let to = d.nodes[0].client_addr();
        eventually("the odd job is accepted", async || {
            let answer = d.client.send(to, Method::POST, &path, body.clone().into_bytes()).await;
            answer.status == Some(200)
        })
        .await;
    }
    submit_until_accepted(&d, 0, 71, &spec(vec![step(4, 100)])).await;
    d.wait_state(71, "completed").await;
    // A new owner reads the odd jobs.
    d.nodes.iter_mut().for_each(Node::kill);
    d.nodes.iter_mut().for_each(|n| n.spawn(false));
    d.wait_ready().await;
    submit_until_accepted(&d, 1, 72, &spec(vec![step(4, 100)])).await;
    d.wait_state(72, "completed").await;
    d.stop_and_check().await;
}
