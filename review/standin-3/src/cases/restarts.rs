//! Executors are replaced one after the other: each drains, leaves, and starts again under its id.

use crate::scene::{Route, Scene};
use serde_json::json;
use std::path::Path;
use std::time::Duration;

const QUEUE: &str = "plans";
const JOB: &str = "5c0e7a21d94b36f8";
/// The time that the task takes, in milliseconds.
const TASK_MS: &str = "20000";
/// How long an executor serves after its report was accepted.
const DRAIN: Duration = Duration::from_millis(3_300);
/// How long an executor is away.
const AWAY: Duration = Duration::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(1_500);
/// The number of times that all executors are replaced in turn.
const RELEASES: usize = 4;

pub fn run(dir: &Path) -> Option<bool> {
    let routes = [Route { name: QUEUE, max_attempts: 3 }];
    let s = Scene::start(dir, 2, &[&["a", "r1"], &["a", "r1"]], &routes)?;
    std::thread::sleep(Duration::from_secs(2));
    let step = json!({ "count": 1, "cpu": 1_000, "mem_mb": 100, "estimate_ms": 20_000 });
    if !s.submit(0, QUEUE, JOB, TASK_MS, &step) {
        return None;
    }
    let starts = || s.seen().iter().filter(|e| e.what == "start").count();
    if !s.wait(Duration::from_secs(5), || starts() > 0) {
        return None;
    }
    for _ in 0..RELEASES {
        for w in s.workers.iter().filter(|_| s.trouble) {
            std::thread::sleep(PAUSE);
            w.lock().unwrap().drain();
            std::thread::sleep(DRAIN);
            w.lock().unwrap().leave();
            std::thread::sleep(AWAY);
            w.lock().unwrap().start();
        }
    }
    let mut state = String::new();
    s.wait(Duration::from_secs(35), || {
        std::thread::sleep(Duration::from_millis(500));
        state = s.state(1, QUEUE, JOB);
        matches!(state.as_str(), "completed" | "failed" | "cancelled")
    });
    let seen = s.seen();
    let failed = seen.iter().filter(|e| e.what == "failed").count();
    let crashed = seen.iter().filter(|e| e.what == "crashed").count();
    let left = seen.iter().filter(|e| e.what == "left").count();
    s.record.line(format!(
        "the job is shown as {state}: {} starts, {failed} ends failed, {crashed} executors crashed under it, \
         {left} runs ended as their executor left after a drain",
        starts()
    ));
    match state.as_str() {
        "failed" if failed == 0 && crashed == 0 => Some(false),
        "completed" => Some(true),
        _ => None,
    }
}
