//! Tasks fail while the store turns the daemon away that gives the orders, until another one takes over.

use crate::Verdict;
use crate::deployment::{Deployment, Options};
use crate::record::{Record, RunSeen};
use std::sync::Arc;
use std::time::Duration;

const JOBS: u64 = 8;
/// Two on each executor.
const TASKS: usize = 12;
const FAILING: usize = 5;
/// The first run of the failing task of the first job lasts this long, that of each further job a little longer.
const FAILS_AFTER_MS: u64 = 3_700;
const FAILS_GAP_MS: u64 = 60;
/// `max_attempts` of the queue.
const MAX_ATTEMPTS: usize = 2;
/// From the first job on; the failing tasks' first runs end 0 to 0.6 s after this.
const TURNED_AWAY_AT: Duration = Duration::from_millis(3_700);
const TURNED_AWAY_FOR: Duration = Duration::from_secs(7);
const WATCHED: Duration = Duration::from_secs(15);

/// A large task on the near executor, so that it is the fullest one, to which tasks go first.
const BALLAST: (&str, &str) = (
    "ba11a57000000000",
    "{\"spec\":\"60000\",\"steps\":[{\"count\":1,\"cpu\":6000,\"mem_mb\":12288,\"estimate_ms\":60000,\
     \"required_label\":\"n\"}]}",
);

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let opt = Options { daemons: 3, executors: 6, near: 1, advised: false };
    play_on(&Deployment::start(record, opt), trouble)
}

fn job(n: u64) -> String {
    format!("fa11ed00000000{n:02x}")
}

/// The failing task fails in each run. The first task fails once, and is done after its second run. The others run on.
fn body(n: u64) -> String {
    let mut words = vec!["40000".to_owned(); TASKS];
    words[0] = "100!;2500".to_owned();
    words[FAILING] = format!("{}!;150!;150!;150!", FAILS_AFTER_MS + n * FAILS_GAP_MS);
    format!(
        "{{\"spec\":\"{}\",\"steps\":[{{\"count\":{TASKS},\"cpu\":500,\"mem_mb\":1024,\"estimate_ms\":3000,\
         \"max_per_server\":2}}]}}",
        words.join("/")
    )
}

fn play_on(d: &Deployment, trouble: bool) -> Verdict {
    let not_run = |why: &str| Verdict::NotRun(why.to_owned());
    // The near executor is of a kind of its own.
    d.crash_and_return("x-0", Duration::ZERO, "n");
    if !d.wait_ready() {
        return not_run("the daemons are not ready");
    }
    std::thread::sleep(Duration::from_secs(6));
    let Some(owner) = d.owner() else { return not_run("no daemon gives orders") };
    let begin = d.record.now();
    if d.request(0, "POST", BALLAST.0, BALLAST.1).0 != 200 {
        return not_run("the first job is not accepted");
    }
    std::thread::sleep(Duration::from_millis(300));
    for n in 0..JOBS {
        if d.request(n as usize % 3, "POST", &job(n), &body(n)).0 != 200 {
            return not_run("a job is not accepted");
        }
    }
    let passed = Duration::from_millis(d.record.now() - begin);
    std::thread::sleep(TURNED_AWAY_AT.saturating_sub(passed));
    if trouble {
        d.turn_away(owner, true);
    }
    std::thread::sleep(TURNED_AWAY_FOR);
    if trouble {
        d.turn_away(owner, false);
    }
    std::thread::sleep(WATCHED);
    let mut too_many = Vec::new();
    for n in 0..JOBS {
        let task = format!("{}.0.0.{FAILING}", job(n));
        let runs = d.record.runs_of(&task).into_iter().filter(|(t, _)| *t == task);
        let runs: Vec<RunSeen> = runs.map(|(_, r)| r).collect();
        // Ends that are never taken note of don't count.
        let failed = |r: &&RunSeen| r.how == "failed" && r.noted.is_some();
        let before = |run: &RunSeen| {
            runs.iter().filter(failed).filter(|r| r.to.is_some_and(|to| to < run.from)).count()
        };
        if runs.iter().any(|r| before(r) >= MAX_ATTEMPTS) {
            too_many.push(task);
        }
    }
    match too_many.len() {
        0 => Verdict::Held,
        n => Verdict::Broken(format!(
            "{n} tasks were started after {MAX_ATTEMPTS} runs had ended `failed`"
        )),
    }
}
