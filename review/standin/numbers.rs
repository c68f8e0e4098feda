//! An executor loses power for a moment and is back under its name. A short task that starts on it then ends before the
//! daemon knows of the new life.

use crate::Verdict;
use crate::deployment::{Deployment, HEARTBEAT, Options};
use crate::record::{Record, RunSeen};
use std::sync::Arc;
use std::time::Duration;

const EXECUTORS: usize = 8;
/// Jobs before, whose ends the executor has numbered and the daemon has taken note of.
const EARLIER_JOBS: usize = 8;
/// No task starts for so long that no connection is kept for orders.
const IDLE: Duration = Duration::from_secs(33);
/// The power goes this long after a call for the lists began to wait, for this long.
const AFTER_CALL: Duration = Duration::from_millis(200);
const DOWN: Duration = Duration::from_millis(600);
const NEXT_JOB_AFTER: Duration = Duration::from_millis(100);
const WATCHED: Duration = Duration::from_secs(10);
const JOB: &str = "7121ce0000000001";
const BODY: &str =
    "{\"spec\":\"120\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":120}]}";

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let opt = Options { daemons: 3, executors: EXECUTORS, near: EXECUTORS, advised: false };
    play_on(&Deployment::start(record, opt), trouble)
}

fn play_on(d: &Deployment, trouble: bool) -> Verdict {
    let not_run = |why: &str| Verdict::NotRun(why.to_owned());
    if !d.wait_ready() {
        return not_run("the daemons are not ready");
    }
    std::thread::sleep(Duration::from_secs(3));
    for n in 0..EARLIER_JOBS {
        if d.request(n % 3, "POST", &format!("ea111e20000000{n:02x}"), BODY).0 != 200 {
            return not_run("an earlier job is not accepted");
        }
        std::thread::sleep(Duration::from_millis(400));
    }
    let earlier = d.record.runs_of("ea111e2");
    let Some(id) = earlier.last().map(|(_, r)| r.executor.clone()) else {
        return not_run("nothing ran");
    };
    let Some(executor) = d.executor(&id) else { return not_run("no executor") };
    std::thread::sleep(IDLE);
    executor.wait_for_long_call();
    std::thread::sleep(AFTER_CALL);
    if trouble {
        executor.blackout(DOWN, HEARTBEAT);
    }
    std::thread::sleep(NEXT_JOB_AFTER);
    if d.request(0, "POST", JOB, BODY).0 != 200 {
        return not_run("the job is not accepted");
    }
    std::thread::sleep(WATCHED);
    let runs: Vec<RunSeen> = d.record.runs_of(JOB).into_iter().map(|(_, r)| r).collect();
    if runs.is_empty() {
        return not_run("the task does not run");
    }
    let done = |r: &&RunSeen| r.how == "done" && r.noted.is_some();
    let Some(first) = runs.iter().find(done) else { return Verdict::Held };
    let again = runs.iter().filter(|r| first.to.is_some_and(|to| r.from > to)).count();
    match again {
        0 => Verdict::Held,
        n => Verdict::Broken(format!(
            "{n} starts of the task after a run had ended `done` and was taken note of"
        )),
    }
}
