//! An executor crashes under the two tasks of a job that lasts, once. Seconds later the daemon that gives the orders is
//! stopped and started in turn. Then one of the tasks fails, and has to run again.

use crate::Outcome;
use crate::deployment::Deployment;
use crate::lasting::Watch;
use crate::record::Record;
use catkin_cell::Task;
use catkin_platform_standin::Options;
use catkin_platform_standin::spec::{Spec, Step};
use catkin_types::Resources;
use serde_json::json;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const JOB: u64 = 0x5c0e_7a21_d94b_36f8;
const PATH: &str = "/desk/5c0e7a21d94b36f8";
/// The first task fails after this time at work.
const FAILS_AFTER_MS: u64 = 20_000;
/// The other one runs until the job is cancelled.
const FOREVER_MS: u64 = 3_600_000;
/// When the executor crashes, after both tasks have started.
const CRASH_AFTER: Duration = Duration::from_secs(3);
/// When the daemon gets SIGTERM, after both tasks have started again.
const STOP_AFTER: Duration = Duration::from_secs(4);
/// How long the executor is down: `srv_crash` of the site has 4.5 s.
const DOWN: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(80);

/// How long a daemon takes to start.
const START_TIME: Duration = Duration::from_secs(1);
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Copy)]
enum Stage {
    BeforeCrash,
    BeforeStop,
    Calm,
}

/// The worker that runs all tasks, if it is one.
fn only_worker(d: &Deployment, watch: &Watch) -> Option<usize> {
    let at = watch.workers();
    let first = at.first()?.clone()?;
    let is_only = at.iter().all(|w| w.as_ref() == Some(&first));
    let n = d.platform.workers.iter().position(|w| w.id() == first);
    n.filter(|_| is_only)
}

pub async fn play(trouble: bool, record: &Record) -> Outcome {
    let capacity = Resources::new(8_000, 16_000, 0);
    let opt =
        Options { workers: 8, capacity, max_lease: Duration::from_secs(6), ..Options::default() };
    let routes = json!([{
        "name": "desk", "host": "plans.test", "path_prefix": "/desk/", "service": "main", "timeout_ms": 3_000,
        "target_duration_ms": 2_000, "priority": 1, "max_attempts": 3, "stretch": 3.0,
    }]);
    let mut d = Deployment::start(3, &opt, routes, record).await?;
    let size = Resources::new(1_000, 2_000, 0);
    let step = |ms, fails| Step {
        count: 1,
        ms,
        cpu_milli: 1_000,
        memory_mib: 2_000,
        fails,
        ..Step::default()
    };
    let spec = Spec { steps: vec![step(FAILS_AFTER_MS, true), step(FOREVER_MS, false)] };
    let wire = json!({ "count": 1, "cpu": 1_000, "mem_mb": 2_000, "estimate_ms": 1_000, "long_running": true });
    let body = json!({ "spec": spec.to_json(), "steps": [wire, wire] });
    d.platform.checker.submitted(JOB, &spec);
    if !d.submit(PATH, &body, record).await {
        return None;
    }
    let mut watch = Watch::new(JOB, &[(0, 0, size), (1, 0, size)]);
    let used = |_: Task| size;
    let began = Instant::now();
    let mut all_run_since: Option<Instant> = None;
    let mut stage = Stage::BeforeCrash;
    while began.elapsed() < END {
        watch.look(&d.platform, capacity, &used, record);
        all_run_since = if watch.all_run() { all_run_since.or(Some(Instant::now())) } else { None };
        let all_run_for = all_run_since.map_or(Duration::ZERO, |at| at.elapsed());
        match stage {
            Stage::BeforeCrash if trouble && all_run_for >= CRASH_AFTER => {
                let Some(n) = only_worker(&d, &watch) else {
                    record.line("the tasks are not on one executor");
                    return None;
                };
                record.line(&format!(
                    "executor w-{n} crashes, and is back after {} s",
                    DOWN.as_secs()
                ));
                d.platform.workers[n].crash_for(DOWN);
                watch.disrupted = record.now() + DOWN;
                all_run_since = None;
                stage = Stage::BeforeStop;
            }
            Stage::BeforeStop if record.now() > watch.disrupted && all_run_for >= STOP_AFTER => {
                let owner = d.owner()?;
                record.line(&format!("SIGTERM to {}", d.nodes[owner].id));
                d.nodes[owner].terminate().await;
                record.line("it has ended, and is started again");
                d.nodes[owner].start();
                watch.disrupted = record.now() + START_TIME;
                stage = Stage::Calm;
            }
            _ => {}
        }
        sleep(LOOK_INTERVAL).await;
    }
    d.state(PATH, record).await;
    let broken = watch.is_broken(record);
    for v in d.platform.checker.all_violations() {
        record.line(&format!("the stand-in's checker: {v}"));
    }
    Some(broken)
}
