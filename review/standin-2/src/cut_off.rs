//! Executors are cut off, finish their work, crash behind the cut and start again, one after the other. The task that each
//! of them had just taken had ended well before.

use crate::Outcome;
use crate::deployment::Deployment;
use crate::record::Record;
use catkin_cell::{StepRef, Task};
use catkin_platform_standin::Options;
use catkin_platform_standin::spec::{Spec, Step};
use catkin_platform_standin::worker::Mode;
use catkin_types::{JobId, Resources};
use serde_json::json;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const JOB: JobId = 0x5c0e_7a21_d94b_36f8;
const PATH: &str = "/desk/5c0e7a21d94b36f8";
const TASK: Task = StepRef { job: JOB, occurrence: 0, step: 0 }.task(0);
/// How long the task works.
const WORK_MS: u64 = 600;
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// From the beginning of a cut to the crash behind it: the task has ended by then.
const CRASH_AFTER: Duration = Duration::from_millis(1_200);
/// How long the executor is down then.
const DOWN: Duration = Duration::from_millis(600);
/// The length of a cut.
const CUT: Duration = Duration::from_millis(2_500);
/// How many cuts there are at most, one after the other.
const CUTS: usize = 2;
const END: Duration = Duration::from_secs(40);

pub async fn play(trouble: bool, record: &Record) -> Outcome {
    let capacity = Resources::new(8_000, 16_000, 0);
    let opt =
        Options { workers: 8, capacity, max_lease: Duration::from_secs(10), ..Options::default() };
    let routes = json!([{
        "name": "desk", "host": "plans.test", "path_prefix": "/desk/", "service": "main", "timeout_ms": 3_000,
        "target_duration_ms": 2_000, "priority": 1, "max_attempts": 3, "stretch": 3.0,
    }]);
    let d = Deployment::start(3, &opt, routes, record).await?;
    let step =
        Step { count: 1, ms: WORK_MS, cpu_milli: 1_000, memory_mib: 2_000, ..Step::default() };
    let spec = Spec { steps: vec![step] };
    let wire = json!({ "count": 1, "cpu": 1_000, "mem_mb": 2_000, "estimate_ms": WORK_MS });
    let body = json!({ "spec": spec.to_json(), "steps": [wire] });
    d.platform.checker.submitted(JOB, &spec);
    if !d.submit(PATH, &body, record).await {
        return None;
    }
    let mut cuts = 0;
    let mut newest_run = 0;
    let mut last_state = String::new();
    let began = Instant::now();
    while began.elapsed() < END {
        let running = d.platform.checker.running().get(&TASK).cloned();
        if let Some((worker, run)) = running.filter(|(_, run)| *run > newest_run) {
            newest_run = run;
            record.line(&format!("the task's run {run} starts on {worker}"));
            if trouble && cuts < CUTS {
                cuts += 1;
                cut_off(&d, &worker, record).await?;
            }
        }
        sleep(LOOK_INTERVAL).await;
        if began.elapsed() > CUT && !d.platform.checker.running().contains_key(&TASK) {
            last_state = d.state(PATH, record).await.body;
            if last_state.contains("failed") || last_state.contains("completed") {
                break;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }
    let crashes = d.platform.checker.crash_count(TASK);
    record.line(&format!(
        "{newest_run} runs, none of which ended failed; executors that crashed while the task ran there: {crashes}; state {last_state}"
    ));
    let broken = last_state.contains("failed") && crashes < 2;
    if broken {
        record.line("BROKEN (LOST): the job is shown as failed without cause");
    }
    for v in d.platform.checker.all_violations() {
        record.line(&format!("the stand-in's checker: {v}"));
    }
    Some(broken)
}

/// Cuts a worker off, lets it finish, crash behind the cut and start again, and ends the cut.
async fn cut_off(d: &Deployment, worker: &str, record: &Record) -> Option<()> {
    let n = d.platform.workers.iter().position(|w| w.id() == worker)?;
    let w = &d.platform.workers[n];
    record.line(&format!("executor {worker} is cut off"));
    w.set_mode(Mode::CutOff);
    let cut_at = Instant::now();
    let mut ended = false;
    while cut_at.elapsed() < CRASH_AFTER {
        if !ended && !d.platform.checker.running().contains_key(&TASK) {
            ended = true;
            record.line("the task has ended `done` there");
        }
        sleep(LOOK_INTERVAL).await;
    }
    if !ended {
        record.line("the task has not ended in time");
        return None;
    }
    record.line(&format!(
        "executor {worker} crashes behind the cut, with nothing running, and starts again"
    ));
    w.crash_for(DOWN);
    sleep(CUT.saturating_sub(cut_at.elapsed())).await;
    w.set_mode(Mode::Serve);
    record.line(&format!("the cut of {worker} ends"));
    Some(())
}
