//! A lasting job of two tasks, one of which has moved away from an executor that has left. Then the daemon that gives the
//! orders is lost, and later a task fails.

use crate::Verdict;
use crate::deployment::{Deployment, Options};
use crate::record::{Record, RunSeen};
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "1a57000000000001";
const BODY: &str = "{\"spec\":\"lasts\",\"steps\":[{\"count\":2,\"cpu\":9000,\"mem_mb\":256,\"estimate_ms\":1000,\
                    \"long_running\":true}]}";
/// How long a draining executor serves on.
const SERVES_ON: Duration = Duration::from_millis(3_500);
/// The task fails this long after the daemon was lost: longer than `contact_ms`.
const FAILS_AFTER: Duration = Duration::from_millis(6_000);
/// A task has to run again 3 s after the 6 s since its last run, and some slack.
const BACK_MS: u64 = 9_000 + 500;

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let opt = Options { daemons: 3, executors: 16, near: 16, advised: false };
    play_on(&mut Deployment::start(record, opt), trouble)
}

fn running(d: &Deployment) -> Vec<(String, RunSeen)> {
    d.record.runs_of(JOB).into_iter().filter(|(_, r)| r.to.is_none()).collect()
}

fn wait_for_both(d: &Deployment, seconds: u64) -> bool {
    (0..seconds * 10).any(|_| {
        std::thread::sleep(Duration::from_millis(100));
        running(d).len() == 2
    })
}

fn play_on(d: &mut Deployment, trouble: bool) -> Verdict {
    let not_run = |why: &str| Verdict::NotRun(why.to_owned());
    if !d.wait_ready() {
        return not_run("the daemons are not ready");
    }
    let accepted = (0..20).any(|_| {
        std::thread::sleep(Duration::from_millis(300));
        d.request(0, "POST", JOB, BODY).0 == 200
    });
    if !accepted || !wait_for_both(d, 10) {
        return not_run("the job does not run");
    }
    std::thread::sleep(Duration::from_secs(2));
    // Planned work: the executor of one task is taken away. The task starts elsewhere.
    let leaving = running(d)[0].1.executor.clone();
    d.drain_and_leave(&leaving, SERVES_ON);
    if !wait_for_both(d, 15) {
        return not_run("the task does not start elsewhere");
    }
    std::thread::sleep(Duration::from_secs(8));
    let Some(owner) = d.owner() else { return not_run("no daemon gives orders") };
    if trouble {
        d.kill_daemon(owner);
    }
    std::thread::sleep(FAILS_AFTER);
    let before = running(d);
    let Some((task, run)) = before.first().cloned() else { return not_run("nothing runs") };
    let Some(executor) = d.executor(&run.executor) else { return not_run("no executor") };
    if !executor.fail(&task) {
        return not_run("the task had ended");
    }
    let failed_at = d.record.now();
    std::thread::sleep(Duration::from_millis(BACK_MS));
    if running(d).iter().any(|(t, _)| *t == task) {
        return Verdict::Held;
    }
    // To see how long it takes.
    wait_for_both(d, 30);
    let back = d.record.runs_of(JOB).into_iter().rfind(|(t, r)| *t == task && r.from > failed_at);
    let when = back.map_or("not within 30 s more".to_owned(), |(_, r)| {
        format!("after {} ms", r.from - failed_at)
    });
    Verdict::Broken(format!("{task} failed and runs again {when}"))
}
