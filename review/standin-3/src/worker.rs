//! An executor, as `PROTOCOL.md` describes it. The spec of a job is the time that each of its tasks takes, in milliseconds.

use crate::http::{Handler, Request, Response, Server};
use crate::record::Record;
use crate::store::Store;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest lease.
const HOLD_MAX_MS: u64 = 10_000;
/// The time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(100);
/// The interval at which the executor writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(10);

/// What an executor saw.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// `start`, or how the run ended. `left` and `crashed` stand for runs that ended with the executor.
    pub what: String,
}

struct Run {
    run: u64,
    began: Instant,
    time: Duration,
    stop_at: Option<Instant>,
    crashes: bool,
}

struct State {
    born: u64,
    clock_base: u64,
    started: Instant,
    token: u64,
    lease_to_ms: u64,
    running: HashMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    highest: HashMap<String, u64>,
    draining: bool,
    seq: u64,
    crashed: bool,
}

impl State {
    fn new(life: u64) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            born: since.as_millis() as u64,
            clock_base: 5_000 + life * 1_000_000,
            started: Instant::now(),
            token: 0,
            lease_to_ms: 0,
            running: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            highest: HashMap::new(),
            draining: false,
            seq: 0,
            crashed: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.clock_base + self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until_ms: u64) {
        let most = self.clock_ms() + HOLD_MAX_MS;
        self.lease_to_ms = self.lease_to_ms.max(until_ms.min(most));
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<u64> {
        let run = self.running.remove(task)?;
        self.last_end += 1;
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run.run);
        self.ended.push((self.last_end, task.to_owned(), run.run, how));
        Some(run.run)
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    gone: AtomicBool,
}

/// One life of an executor.
pub struct Life {
    shared: Arc<Shared>,
    server: Server,
}

/// An executor that can start again under its id.
pub struct Worker {
    pub id: String,
    labels: Vec<String>,
    capacity_cpu: u64,
    store: Arc<Store>,
    record: Arc<Record>,
    seen: Arc<Mutex<Vec<Seen>>>,
    lives: u64,
    life: Option<Life>,
}

impl Worker {
    pub fn new(
        id: &str,
        labels: &[&str],
        capacity_cpu: u64,
        store: &Arc<Store>,
        record: &Arc<Record>,
        seen: &Arc<Mutex<Vec<Seen>>>,
    ) -> Self {
        Self {
            id: id.to_owned(),
            labels: labels.iter().map(|l| (*l).to_owned()).collect(),
            capacity_cpu,
            store: Arc::clone(store),
            record: Arc::clone(record),
            seen: Arc::clone(seen),
            lives: 0,
            life: None,
        }
    }

    /// Starts a life at a free port.
    pub fn start(&mut self) {
        self.start_at(0);
    }

    /// Starts a life at this port, and registers the executor.
    pub fn start_at(&mut self, port: u16) {
        self.lives += 1;
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(self.lives)),
            changed: Condvar::new(),
            gone: AtomicBool::new(false),
        });
        let (id, record, seen) =
            (self.id.clone(), Arc::clone(&self.record), Arc::clone(&self.seen));
        let handled = Arc::clone(&shared);
        let handler: Handler = Arc::new(move |req| handle(&handled, &id, req, &record, &seen));
        let server = Server::start(port, handler);
        let line = format!("executor {} starts at {}", self.id, server.addr);
        self.record.line(line);
        self.life = Some(Life { shared: Arc::clone(&shared), server });
        self.write_entry();
        let (id, record, seen) =
            (self.id.clone(), Arc::clone(&self.record), Arc::clone(&self.seen));
        std::thread::spawn(move || tick(&shared, &id, &record, &seen));
    }

    /// The port of the life that is up.
    pub fn port(&self) -> u16 {
        self.life.as_ref().map_or(0, |l| l.server.addr.port())
    }

    /// Writes the entry of the executor. It has to be called at each [`HEARTBEAT`].
    pub fn write_entry(&self) {
        let Some(life) = &self.life else { return };
        let mut s = life.shared.state.lock().unwrap();
        if s.crashed {
            return;
        }
        s.seq += 1;
        let entry = json!({
            "service": "main", "address": life.server.addr.to_string(), "zone": "north-a", "version": "v1",
            "slots": 8, "state": if s.draining { "draining" } else { "ready" }, "cold_left_ms": 0, "seq_no": s.seq,
            "capacity": { "cpu": self.capacity_cpu, "mem_mb": 64_000, "gpu": 0 }, "labels": self.labels,
            "born": s.born, "remaining_ms": if s.draining { 3_000 } else { 0 },
        });
        drop(s);
        self.store.put("servers", &self.id, Some(&entry));
    }

    /// Reports that the executor drains.
    pub fn drain(&self) {
        if let Some(life) = &self.life {
            life.shared.state.lock().unwrap().draining = true;
        }
        self.record.line(format!("executor {} reports draining", self.id));
        self.write_entry();
    }

    /// Ends the life after a drain: the entry is removed, and everything that runs ends.
    pub fn leave(&mut self) {
        self.finish("left");
        self.store.put("servers", &self.id, None);
    }

    /// Ends the life by a crash. Nothing is sent.
    pub fn crash(&mut self) {
        self.finish("crashed");
    }

    fn finish(&mut self, what: &str) {
        let Some(life) = self.life.take() else { return };
        life.shared.gone.store(true, Ordering::Relaxed);
        life.server.stop();
        let mut s = life.shared.state.lock().unwrap();
        s.crashed = true;
        let runs: Vec<_> = s.running.drain().map(|(task, r)| (task, r.run)).collect();
        drop(s);
        life.shared.changed.notify_all();
        self.record.line(format!("executor {} {what} with {} runs", self.id, runs.len()));
        for (task, run) in runs {
            note(&self.record, &self.seen, &self.id, &task, run, what);
        }
    }

    /// Whether a task that crashes executors was started in this life.
    pub fn has_crashed(&self) -> bool {
        self.life.as_ref().is_some_and(|l| l.shared.state.lock().unwrap().crashed)
    }

    /// The tasks that run here.
    pub fn running(&self) -> Vec<String> {
        let Some(life) = &self.life else { return Vec::new() };
        life.shared.state.lock().unwrap().running.keys().cloned().collect()
    }
}

fn note(
    record: &Record,
    seen: &Mutex<Vec<Seen>>,
    worker: &str,
    task: &str,
    run: u64,
    what: &str,
) {
    record.line(format!("executor {worker}: {task} run {run}: {what}"));
    let (worker, task, what) = (worker.to_owned(), task.to_owned(), what.to_owned());
    seen.lock().unwrap().push(Seen { at_ms: record.now_ms(), worker, task, run, what });
}

fn tick(shared: &Shared, id: &str, record: &Record, seen: &Mutex<Vec<Seen>>) {
    while !shared.gone.load(Ordering::Relaxed) {
        std::thread::sleep(TICK);
        let mut s = shared.state.lock().unwrap();
        let (now, lapsed) = (Instant::now(), s.clock_ms() > s.lease_to_ms);
        let how = |r: &Run| {
            if lapsed {
                Some("lapsed")
            } else if r.stop_at.is_some_and(|at| now >= at) {
                Some("stopped")
            } else if now >= r.began + r.time {
                Some("done")
            } else {
                None
            }
        };
        let over: Vec<(String, &'static str)> =
            s.running.iter().filter_map(|(t, r)| Some((t.clone(), how(r)?))).collect();
        for (task, how) in over {
            if let Some(run) = s.end(&task, how) {
                note(record, seen, id, &task, run, how);
                shared.changed.notify_all();
            }
        }
    }
}

fn handle(
    shared: &Shared,
    id: &str,
    req: &Request,
    record: &Record,
    seen: &Mutex<Vec<Seen>>,
) -> Response {
    if req.headers.get("expected-instance").is_some_and(|e| e != id) {
        return Some((421, "{}".into()));
    }
    let Ok(call) = serde_json::from_slice::<Value>(&req.body) else {
        return Some((400, "{}".into()));
    };
    let number = |name: &str| call[name].as_u64().unwrap_or(0);
    let (task, run) = (call["task"].as_str().unwrap_or_default().to_owned(), number("run"));
    let mut s = shared.state.lock().unwrap();
    if s.crashed {
        return None;
    }
    let answer = |s: &State, status: u16, reason: &str| {
        Some((status, json!({ "clock_ms": s.clock_ms(), "reason": reason }).to_string()))
    };
    if number("fencing_token") < s.token {
        return answer(&s, 409, "fence");
    }
    s.token = number("fencing_token");
    match req.path.as_str() {
        "/v1/run-start" => {
            if s.running.get(&task).is_some_and(|r| r.run == run) {
                return answer(&s, 200, "");
            }
            if s.running.contains_key(&task) || run <= s.highest.get(&task).copied().unwrap_or(0) {
                s.extend(number("until_ms"));
                return answer(&s, 409, "old");
            }
            if number("until_ms") <= s.clock_ms() {
                return answer(&s, 409, "late");
            }
            s.extend(number("until_ms"));
            let spec = call["spec"].as_str().unwrap_or_default();
            let time = Duration::from_millis(spec.trim_end_matches('!').parse().unwrap_or(1_000));
            let crashes = spec.ends_with('!');
            let began = Instant::now();
            s.running.insert(task.clone(), Run { run, began, time, stop_at: None, crashes });
            note(record, seen, id, &task, run, "start");
            answer(&s, 200, "")
        }
        "/v1/run-stop" => {
            let at = Instant::now() + STOP_TIME;
            match s.running.get_mut(&task) {
                Some(r) if r.run <= run => drop(r.stop_at.get_or_insert(at)),
                Some(_) => {}
                None => {
                    let highest = s.highest.entry(task).or_default();
                    *highest = (*highest).max(run);
                }
            }
            answer(&s, 200, "")
        }
        "/v1/hold" => {
            let last_seen = number("last_seen");
            s.ended.retain(|e| e.0 > last_seen);
            if call.get("until_ms").is_some() {
                s.extend(number("until_ms"));
            }
            let deadline = Instant::now() + Duration::from_millis(number("wait_ms"));
            while s.ended.is_empty() && !s.crashed {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                s = shared.changed.wait_timeout(s, left).unwrap().0;
            }
            if s.crashed {
                return None;
            }
            let running: Vec<Value> =
                s.running.iter().map(|(t, r)| json!([t, r.run, "", 10, 100])).collect();
            let ended: Vec<Value> =
                s.ended.iter().map(|(n, t, run, how)| json!([n, t, run, how, ""])).collect();
            let body = json!({
                "clock_ms": s.clock_ms(), "born": s.born, "running": running, "ended": ended,
            });
            Some((200, body.to_string()))
        }
        _ => Some((404, "{}".into())),
    }
}

impl Worker {
    /// Whether a task here crashes its executor and has run for this long.
    pub fn has_crashing_task(&self, since: Duration) -> bool {
        let Some(life) = &self.life else { return false };
        let s = life.shared.state.lock().unwrap();
        s.running.values().any(|r| r.crashes && r.began.elapsed() >= since)
    }
}
