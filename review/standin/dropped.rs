//! A queue is taken out of the configuration while a job of it runs. Then the daemon that gives the orders is stopped and
//! started again, as in a roll.

use crate::Verdict;
use crate::deployment::{Deployment, Options, config};
use crate::record::Record;
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "d20bbed000000001";
const BODY: &str = "{\"spec\":\"6000,1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":6000},\
                    {\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":1000,\"after\":[0]}]}";
/// When the queue goes after the job was accepted, and the SIGTERM comes after that: `config_ms` and a little more.
const DROPPED_AFTER: Duration = Duration::from_millis(500);
const ROLLED_AFTER: Duration = Duration::from_millis(3_200);
/// How long the second step has to be over, from its turn on: `contact_ms`, the 3 s of the rule, its own second, some slack.
const PATIENCE: u64 = 4_000 + 3_000 + 1_000 + 2_000;
/// Watched for longer than that, to see whether it comes at all.
const WATCHED: Duration = Duration::from_secs(25);

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let opt = Options { daemons: 3, executors: 4, near: 4, advised: true };
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
    let runs = |d: &Deployment, step: u32| d.record.runs_of(&format!("{JOB}.0.{step}."));
    if !accepted || runs(d, 0).len() != 2 {
        return not_run("the job does not run");
    }
    d.store.write("op", "config", &config(2, &["other"], true));
    d.record.write("the operator writes version 2, without the queue");
    std::thread::sleep(ROLLED_AFTER);
    let Some(owner) = d.owner() else { return not_run("no daemon gives orders") };
    if trouble {
        d.roll_daemon(owner);
    }
    let first_step_is_over =
        |d: &Deployment| runs(d, 0).iter().filter(|(_, r)| r.how == "done").count() == 2;
    if !(0..200).any(|_| {
        std::thread::sleep(Duration::from_millis(50));
        first_step_is_over(d)
    }) {
        return not_run("the first step does not end");
    }
    let turn = d.record.now();
    d.record.write("the turn of the second step has come");
    std::thread::sleep(WATCHED);
    let second = runs(d, 1);
    let rejected: u64 =
        (0..4).filter_map(|n| d.executor(&format!("x-{n}"))).map(|e| e.rejected()).sum();
    d.record.write(&format!("starts rejected for want of a ticket: {rejected}"));
    let over =
        second.iter().filter(|(_, r)| r.how == "done" && r.to.is_some_and(|t| t < turn + PATIENCE));
    if over.count() == 2 {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "{} s after its turn, {} tasks of the second step have run; starts without a ticket: {rejected}",
        WATCHED.as_secs(),
        second.iter().filter(|(_, r)| r.how == "done").count()
    ))
}
