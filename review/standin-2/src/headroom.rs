//! An executor is lost for good under a task that lasts, while a little more than half of the service is in use by tasks of
//! an urgent queue. The task fits on each of the others, and has to run again.

use crate::Outcome;
use crate::deployment::Deployment;
use crate::lasting::Watch;
use crate::record::Record;
use catkin_cell::Task;
use catkin_platform_standin::Options;
use catkin_platform_standin::spec::{Spec, Step};
use catkin_types::{JobId, Resources};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The urgent jobs that come and go before, each with one task of half an executor.
const SHORT_JOBS: u64 = 48;
const SHORT_MS: u64 = 150;
const SHORT_GAP: Duration = Duration::from_millis(200);
/// The job of the urgent queue that lasts has one task an executor.
const URGENT: JobId = 0x11aa_0000_0000_0001;
/// The job of the other queue that lasts.
const DESK: JobId = 0x22bb_0000_0000_0001;
const FOREVER_MS: u64 = 3_600_000;
const WORKERS: usize = 8;
const CAPACITY: Resources = Resources { cpu_milli: 8_000, memory_mib: 16_000, accelerators: 0 };
const URGENT_SIZE: Resources = Resources { cpu_milli: 4_000, memory_mib: 4_000, accelerators: 0 };
const DESK_SIZE: Resources = Resources { cpu_milli: 1_000, memory_mib: 1_000, accelerators: 0 };
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// How long all tasks run before the executor is lost.
const CALM_BEFORE: Duration = Duration::from_secs(5);
const WATCH: Duration = Duration::from_secs(70);

fn path(prefix: &str, id: JobId) -> String {
    format!("/{prefix}/{id:016x}")
}

fn job(count: u32, size: Resources, ms: u64, lasts: bool, max_per_server: u32) -> (Spec, Value) {
    let step = Step {
        count,
        ms,
        cpu_milli: size.cpu_milli,
        memory_mib: size.memory_mib,
        ..Step::default()
    };
    let spec = Spec { steps: vec![step] };
    let mut wire = json!({
        "count": count, "cpu": size.cpu_milli, "mem_mb": size.memory_mib, "estimate_ms": ms.min(1_000),
    });
    if lasts {
        wire["long_running"] = true.into();
    }
    if max_per_server > 0 {
        wire["max_per_server"] = max_per_server.into();
    }
    let body = json!({ "spec": spec.to_json(), "steps": [wire] });
    (spec, body)
}

pub async fn play(trouble: bool, record: &Record) -> Outcome {
    let opt = Options {
        workers: WORKERS,
        capacity: CAPACITY,
        max_lease: Duration::from_secs(6),
        ..Options::default()
    };
    let route = |name: &str, priority| {
        json!({
            "name": name, "host": "plans.test", "path_prefix": format!("/{name}/"), "service": "main",
            "timeout_ms": 3_000, "target_duration_ms": 2_000, "priority": priority, "max_attempts": 3, "stretch": 3.0,
        })
    };
    let routes = json!([route("rush", 0), route("desk", 2)]);
    let d = Deployment::start(3, &opt, routes, record).await?;
    let submit = async |prefix: &str, id, (spec, body): (Spec, Value)| {
        d.platform.checker.submitted(id, &spec);
        d.submit(&path(prefix, id), &body, record).await
    };
    for n in 0..SHORT_JOBS {
        let short = job(1, URGENT_SIZE, SHORT_MS, false, 0);
        if !submit("rush", 0x3300_0000_0000_0000 + n, short).await {
            return None;
        }
        sleep(SHORT_GAP).await;
    }
    if !submit("desk", DESK, job(1, DESK_SIZE, FOREVER_MS, true, 0)).await
        || !submit(
            "rush",
            URGENT,
            job(u32::try_from(WORKERS).ok()?, URGENT_SIZE, FOREVER_MS, true, 1),
        )
        .await
    {
        return None;
    }
    let mut watch = Watch::new(DESK, &[(0, 0, DESK_SIZE)]);
    let used = |t: Task| if t.step.job == DESK { DESK_SIZE } else { URGENT_SIZE };
    let began = Instant::now();
    let mut lost = false;
    while began.elapsed() < WATCH {
        watch.look(&d.platform, CAPACITY, &used, record);
        let running = d.platform.checker.running().len();
        if trouble && !lost && began.elapsed() >= CALM_BEFORE {
            lost = true;
            let worker = watch.workers().first().cloned().flatten()?;
            let n = d.platform.workers.iter().position(|w| w.id() == worker)?;
            record.line(&format!("{running} tasks run; executor {worker} is lost for good"));
            d.platform.workers[n].crash_for(WATCH * 2);
            watch.down.insert(n);
            watch.disrupted = record.now();
        }
        sleep(LOOK_INTERVAL).await;
    }
    d.state(&path("desk", DESK), record).await;
    let at = d.platform.checker.running();
    record.line(&format!("{} tasks run at the end", at.len()));
    let broken = watch.is_broken(record);
    for v in d.platform.checker.all_violations() {
        record.line(&format!("the stand-in's checker: {v}"));
    }
    Some(broken)
}
