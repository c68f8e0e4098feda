//! Executors crash and start again under their names, as executors of another kind, while tasks wait that need the kind which
//! they had.

use crate::Verdict;
use crate::deployment::{Deployment, Options};
use crate::record::Record;
use std::sync::Arc;
use std::time::Duration;

const EXECUTORS: usize = 54;
/// The executors of kind `a`, which crash: 7.4% of all.
const OF_KIND_A: usize = 4;
const GAP: Duration = Duration::from_millis(310);
const DOWN: Duration = Duration::from_millis(2_000);
const JOBS: usize = 6;
/// Each task fills an executor, so that tasks wait all the while.
const BODY: &str = "{\"spec\":\"a:3000\",\"steps\":[{\"count\":8,\"cpu\":16000,\"mem_mb\":256,\"estimate_ms\":3000,\
                    \"required_label\":\"a\"}]}";

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let opt = Options { daemons: 3, executors: EXECUTORS, near: EXECUTORS, advised: false };
    play_on(&Deployment::start(record, opt), trouble)
}

fn play_on(d: &Deployment, trouble: bool) -> Verdict {
    let ids: Vec<String> = (0..OF_KIND_A).map(|n| format!("x-{n}")).collect();
    // The first lives of kind `a` begin before the daemons know of the executors' others.
    ids.iter().for_each(|id| d.crash_and_return(id, Duration::ZERO, "a"));
    if !d.wait_ready() {
        return Verdict::NotRun("the daemons are not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(6));
    for n in 0..JOBS {
        let job = format!("1abe1ed0000000{n:02x}");
        if !(0..20).any(|_| {
            std::thread::sleep(Duration::from_millis(200));
            d.request(n % 3, "POST", &job, BODY).0 == 200
        }) {
            return Verdict::NotRun("a job is not accepted".to_owned());
        }
    }
    std::thread::sleep(Duration::from_secs(4));
    let mislabelled =
        || ids.iter().filter_map(|id| d.executor(id)).map(|e| e.mislabelled()).sum::<u64>();
    if d.record.runs_of("1abe1ed").is_empty() || mislabelled() > 0 {
        return Verdict::NotRun("no task runs, or one where it may not".to_owned());
    }
    if trouble {
        std::thread::scope(|s| {
            for id in &ids {
                s.spawn(|| d.crash_and_return(id, DOWN, "b"));
                std::thread::sleep(GAP);
            }
        });
    }
    std::thread::sleep(Duration::from_secs(10));
    match mislabelled() {
        0 => Verdict::Held,
        n => Verdict::Broken(format!("{n} starts on executors without the label")),
    }
}
