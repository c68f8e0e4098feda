//! Jobs are handed in at the start of an outage of the store, get no definite answer, and are cancelled after it.

use crate::Verdict;
use crate::deployment::{Deployment, Options, request};
use crate::executor::STOP_MS;
use crate::record::Record;
use std::sync::Arc;
use std::time::Duration;

/// How long the store is silent.
const SILENCE: Duration = Duration::from_millis(4_200);
const JOBS: usize = 6;
/// The time between two jobs, the first of which comes this long after the outage began.
const GAP: Duration = Duration::from_millis(60);
/// How long after the answer to its job a client cancels it.
const CANCEL_AFTER: Duration = Duration::from_millis(1_800);
const CANCEL_AGAIN: Duration = Duration::from_millis(200);
/// The bounds of the deployment, and some slack for the threads of this program.
const CANCEL_MS: u64 = 3_000;
const CONTACT_MS: u64 = 4_000;
const SLACK_MS: u64 = 200;
const WATCHED: Duration = Duration::from_secs(30);

const BODY: &str = "{\"spec\":\"4000,8000\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":4000},\
                    {\"count\":1,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":8000,\"after\":[0]}]}";

fn job(n: usize) -> String {
    format!("c0ffee00000000{n:02x}")
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let opt = Options { daemons: 3, executors: 4, near: 4, advised: false };
    play_on(&Deployment::start(record, opt), trouble)
}

fn play_on(d: &Deployment, trouble: bool) -> Verdict {
    if !d.wait_ready() {
        return Verdict::NotRun("the daemons are not ready".to_owned());
    }
    // A job before, so that the whole path has worked.
    let warm = "c0ffeec0ffeec0ff";
    let body = "{\"spec\":\"300\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":300}]}";
    let accepted = (0..20).any(|_| {
        std::thread::sleep(Duration::from_millis(300));
        d.request(0, "POST", warm, body).0 == 200
    });
    let completed = accepted
        && (0..40).any(|_| {
            std::thread::sleep(Duration::from_millis(200));
            d.request(1, "GET", warm, "").1 == "completed"
        });
    if !completed {
        return Verdict::NotRun("the first job is not completed".to_owned());
    }
    std::thread::sleep(Duration::from_secs(5));
    if trouble {
        d.store.set_silent(true);
        d.record.write("the store is silent");
    }
    let (mut acks, mut outage_end) = (Vec::new(), d.record.now());
    std::thread::scope(|s| {
        let clients: Vec<_> =
            (0..JOBS).map(|n| s.spawn(move || hand_in_and_cancel(d, n))).collect();
        std::thread::sleep(SILENCE);
        if trouble {
            d.store.set_silent(false);
            d.record.write("the store answers again");
            outage_end = d.record.now();
        }
        acks = clients.into_iter().map(|c| c.join().unwrap_or(None)).collect();
    });
    std::thread::sleep(WATCHED);
    judge(d, &acks, outage_end)
}

/// Returns when the cancelling was acknowledged.
fn hand_in_and_cancel(d: &Deployment, n: usize) -> Option<u64> {
    std::thread::sleep(GAP * (n as u32 + 1));
    let (job, first) = (job(n), &d.daemons[n % 3]);
    request(&d.record, first, "POST", &job, BODY);
    std::thread::sleep(CANCEL_AFTER);
    // A request that got no definite answer arrives again at another daemon.
    for attempt in 1..30 {
        let daemon = &d.daemons[(n + attempt) % 3];
        let status = request(&d.record, daemon, "DELETE", &job, "").0;
        if status / 100 == 2 || status == 410 {
            d.record.write(&format!("the cancelling of {job} is acknowledged with {status}"));
            return Some(d.record.now());
        }
        std::thread::sleep(CANCEL_AGAIN);
    }
    None
}

/// UNASKED: no start later than `cancel_ms` after the acknowledgement, and nothing runs on `stop_ms` after that. Only
/// what happens later than `contact_ms` after the outage counts, when all machines are in touch.
fn judge(d: &Deployment, acks: &[Option<u64>], outage_end: u64) -> Verdict {
    let mut broken = Vec::new();
    for (n, ack) in acks.iter().enumerate() {
        let Some(ack) = ack else { continue };
        let last_start = (ack + CANCEL_MS).max(outage_end + CONTACT_MS) + SLACK_MS;
        let last_end = last_start.max(outage_end + CONTACT_MS + CANCEL_MS) + STOP_MS;
        for (task, run) in d.record.runs_of(&job(n)) {
            if run.from > last_start {
                broken
                    .push(format!("{task} starts {} ms after the acknowledgement", run.from - ack));
            } else if run.to.unwrap_or(u64::MAX) > last_end {
                broken.push(format!(
                    "{task} runs on at {} ms after the acknowledgement",
                    last_end - ack
                ));
            }
        }
    }
    if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken.join("; ")) }
}
