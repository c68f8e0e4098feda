//! The cost of an owner per worker and task: CPU time, message bytes and memory.

use crate::SEEDS;
use catkin_bench::table::{print_heading, spread};
use catkin_lease::Options;
use catkin_lease::owner::Owner;
use catkin_lease::worker::Worker;
use catkin_types::{Resources, TaskId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const TASKS_PER_WORKER: usize = 25;
const SIZE: Resources = Resources::new(1_000, 1_024, 0);
const ROUNDS: u32 = 20;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or(0.0);
    pages * 4_096.0
}

struct Shard {
    owner: Owner,
    workers: BTreeMap<String, Worker>,
    now: Duration,
    bytes: usize,
    messages: usize,
}

impl Shard {
    fn new(n: usize) -> Self {
        let opt = Options { renew_interval: Duration::from_secs(1), ..Options::default() };
        let lease_length = opt.length;
        let names: Vec<String> = (0..n).map(|i| format!("north-a-w{i}")).collect();
        let owner = Owner::new(opt, 1, (Duration::ZERO, Duration::ZERO), names.clone(), None);
        let worker = |i: usize| Worker::new(i as u64 + 1, lease_length, SIZE.times(64));
        let workers = names.into_iter().enumerate().map(|(i, w)| (w, worker(i))).collect();
        Self { owner, workers, now: Duration::ZERO, bytes: 0, messages: 0 }
    }

    /// Exchanges all messages that are due, each encoded and decoded as JSON, and advances the time by one second.
    fn run_round(&mut self) {
        self.owner.confirm(self.now);
        let (sends, _) = self.owner.poll(self.now);
        for (name, req) in sends {
            let text = serde_json::to_vec(&req).expect("cannot encode or decode JSON");
            let req = serde_json::from_slice(&text).expect("cannot encode or decode JSON");
            let reply = self.workers.get_mut(&name).expect("unknown worker").handle(self.now, &req);
            let reply_text = serde_json::to_vec(&reply).expect("cannot encode or decode JSON");
            self.bytes += text.len() + reply_text.len();
            self.messages += 1;
            let reply = serde_json::from_slice(&reply_text).expect("cannot encode or decode JSON");
            self.owner.receive(self.now, &name, &reply);
        }
        self.now += Duration::from_secs(1);
    }

    fn start_tasks(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for (i, name) in names.iter().enumerate() {
            for k in 0..TASKS_PER_WORKER {
                let task = TaskId::new(i as u64, u32::try_from(k).unwrap_or(0));
                self.owner.add_task(task, SIZE, false);
                self.owner
                    .start(task, name, "sleep 1000000".into())
                    .expect("task does not fit on its worker");
            }
        }
    }
}

pub fn owner_cost() {
    let columns = "| workers | tasks | renewal of a worker, µs | bytes of a renewal | memory of the shard, KiB |";
    print_heading(
        "An owner's cost, 25 tasks a worker, lease messages as JSON without HTTP",
        columns,
    );
    for n in [64, 256, 1_024] {
        let (mut micros, mut bytes, mut memory) = (Vec::new(), Vec::new(), Vec::new());
        for _ in SEEDS {
            let before = resident_bytes();
            let mut shard = Shard::new(n);
            (0..4).for_each(|_| shard.run_round());
            shard.start_tasks();
            (0..2).for_each(|_| shard.run_round());
            memory.push((resident_bytes() - before).max(0.0) / 1_024.0);
            (shard.bytes, shard.messages) = (0, 0);
            let started = Instant::now();
            (0..ROUNDS).for_each(|_| shard.run_round());
            let messages = shard.messages.max(1) as f64;
            micros.push(started.elapsed().as_secs_f64() * 1e6 / messages);
            bytes.push(shard.bytes as f64 / messages);
        }
        let tasks = n * TASKS_PER_WORKER;
        println!(
            "| {n} | {tasks} | {} | {} | {} |",
            spread(&micros, 1),
            spread(&bytes, 0),
            spread(&memory, 0)
        );
    }
}
