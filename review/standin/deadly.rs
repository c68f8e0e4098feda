//! A job whose task crashes each executor that starts it, while daemons are rolled: five times the one that has started a
//! task last is stopped with SIGTERM and started again.

use crate::Verdict;
use crate::deployment::{Deployment, Options};
use crate::record::{Record, RunSeen};
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "dead100000000001";
const DAEMONS: usize = 7;
const BODY: &str = "{\"spec\":\"crashes\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":2500}]}";
/// The SIGTERM comes this long after the crash of an executor, which is back after 4 s.
const ROLLED_AFTER: Duration = Duration::from_millis(1_000);
/// The number of times that a daemon is rolled.
const ROLLS: usize = 5;
const CONTACT_MS: u64 = 4_000;
/// The crashes after which starts count, and the number of these that is too many.
const CRASHES: usize = 3;
const TOO_MANY: usize = 3;
const STEP: Duration = Duration::from_millis(50);
const LONGEST_MS: u64 = 95_000;

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let opt = Options { daemons: DAEMONS, executors: 6, near: 6, advised: false };
    play_on(&mut Deployment::start(record, opt), trouble)
}

/// What is known of the task: its runs, and how many starts by machines in touch came after three crashes.
#[derive(Default)]
struct Watch {
    runs: Vec<RunSeen>,
    /// By daemon, when it was started last.
    started_at: [u64; DAEMONS],
    late_starts: usize,
}

impl Watch {
    fn crashes(&self) -> usize {
        self.runs.iter().filter(|r| r.how == "crashed").count()
    }

    /// Reads the runs again, at short intervals, so that a new one has been started by the owner of now.
    fn update(&mut self, d: &Deployment) {
        let known = self.runs.len();
        self.runs = d.record.runs_of(JOB).into_iter().map(|(_, r)| r).collect();
        for run in &self.runs[known..] {
            let crashed = |r: &&RunSeen| r.how == "crashed" && r.to.is_some_and(|to| to < run.from);
            let crashes = self.runs.iter().filter(crashed).count();
            let starter = d.owner();
            let in_touch = starter.is_some_and(|n| run.from > self.started_at[n] + CONTACT_MS);
            d.record.write(&format!(
                "start {} of the task, by {starter:?} (in touch: {in_touch}), after {crashes} crashes",
                known + 1
            ));
            self.late_starts += usize::from(in_touch && crashes >= CRASHES);
        }
    }
}

fn play_on(d: &mut Deployment, trouble: bool) -> Verdict {
    let not_run = |why: &str| Verdict::NotRun(why.to_owned());
    if !d.wait_ready() {
        return not_run("the daemons are not ready");
    }
    std::thread::sleep(Duration::from_secs(4));
    let accepted = (0..20).any(|_| {
        std::thread::sleep(Duration::from_millis(300));
        d.request(0, "POST", JOB, BODY).0 == 200
    });
    if !accepted {
        return not_run("the job is not accepted");
    }
    let (mut watch, mut seen) = (Watch::default(), 0);
    while d.record.now() < LONGEST_MS {
        std::thread::sleep(STEP);
        watch.update(d);
        if watch.late_starts >= TOO_MANY {
            let (late, total) = (watch.late_starts, watch.runs.len());
            return Verdict::Broken(format!(
                "{late} starts after {CRASHES} crashes, {total} in all"
            ));
        }
        if watch.crashes() == seen {
            continue;
        }
        seen = watch.crashes();
        std::thread::sleep(ROLLED_AFTER);
        if let Some(owner) = d.owner().filter(|_| trouble && seen <= ROLLS) {
            d.roll_daemon(owner);
            watch.started_at[owner] = d.record.now();
        } else {
            // The executor is back by then, and its crash is known.
            std::thread::sleep(ROLLED_AFTER * 4);
            if d.request(seen % DAEMONS, "GET", JOB, "").1 == "failed" {
                break;
            }
        }
    }
    match seen {
        0 => not_run("the task was not started"),
        _ => Verdict::Held,
    }
}
