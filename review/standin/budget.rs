//! A queue is taken out of the configuration while a job of it runs whose task fails each time. Then the daemon that gives
//! the orders is stopped and started again, as in a roll.

use crate::Verdict;
use crate::deployment::{Deployment, Options, config};
use crate::record::{Record, RunSeen};
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "b0d6e70000000001";
const BODY: &str = "{\"spec\":\"2500!\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":2500}]}";
/// `max_attempts` of the queue.
const MAX_ATTEMPTS: usize = 2;
/// When the queue goes after the job was accepted, and the SIGTERM comes after that: `config_ms` and a little more.
const DROPPED_AFTER: Duration = Duration::from_millis(500);
const ROLLED_AFTER: Duration = Duration::from_millis(3_200);
const WATCHED: Duration = Duration::from_secs(30);

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let opt = Options { daemons: 3, executors: 4, near: 4, advised: false };
    play_on(&mut Deployment::start(record, opt), trouble)
}

fn play_on(d: &mut Deployment, trouble: bool) -> Verdict {
    let not_run = |why: &str| Verdict::NotRun(why.to_owned());
    if !d.wait_ready() {
        return not_run("the daemons are not ready");
    }
    std::thread::sleep(Duration::from_secs(2));
    let accepted = (0..20).any(|_| {
        std::thread::sleep(Duration::from_millis(300));
        d.request(0, "POST", JOB, BODY).0 == 200
    });
    std::thread::sleep(DROPPED_AFTER);
    if !accepted || d.record.runs_of(JOB).len() != 1 {
        return not_run("the job does not run");
    }
    d.store.write("op", "config", &config(2, &["other"], false));
    d.record.write("the operator writes version 2, without the queue");
    std::thread::sleep(ROLLED_AFTER);
    let Some(owner) = d.owner() else { return not_run("no daemon gives orders") };
    if trouble {
        d.roll_daemon(owner);
    }
    std::thread::sleep(WATCHED);
    let runs: Vec<RunSeen> = d.record.runs_of(JOB).into_iter().map(|(_, r)| r).collect();
    // Ends that are never taken note of don't count.
    let failed_before = |run: &RunSeen| {
        let failed = |r: &&RunSeen| {
            r.how == "failed" && r.noted.is_some() && r.to.is_some_and(|to| to < run.from)
        };
        runs.iter().filter(failed).count()
    };
    let too_many = runs.iter().filter(|r| failed_before(r) >= MAX_ATTEMPTS).count();
    if runs.len() < MAX_ATTEMPTS {
        return not_run("the task was started less often than it may fail");
    }
    if too_many == 0 {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "{too_many} starts after {MAX_ATTEMPTS} runs had ended `failed`, within 30 s"
    ))
}
