//! A small deployment: the store, executors, daemons, an operator and clients.

use crate::daemon::Daemon;
use crate::http::{self, Server};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{HEARTBEAT, Seen, Worker};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a client waits.
const DEADLINE: Duration = Duration::from_millis(3_000);
const START_LIMIT: Duration = Duration::from_secs(15);

/// A queue of the configuration: its host is `NAME.example`, its prefix `/NAME/`.
#[derive(Clone, Copy)]
pub struct Route {
    pub name: &'static str,
    pub max_attempts: u64,
}

pub struct Scene {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    /// The port of the store for each daemon.
    pub ports: Vec<Server>,
    pub daemons: Vec<Daemon>,
    pub workers: Vec<Arc<Mutex<Worker>>>,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub trouble: bool,
    version: u64,
    dir: PathBuf,
    over: Arc<AtomicBool>,
}

impl Scene {
    /// Starts the deployment. Returns `None` if it does not come up.
    pub fn start(dir: &Path, daemons: usize, workers: &[&[&str]], routes: &[Route]) -> Option<Self> {
        let record = Arc::new(Record::new(dir));
        let trouble = std::env::var("TROUBLE").ok().is_none_or(|t| t != "0");
        record.line(format!("trouble: {trouble}"));
        let temp = std::env::temp_dir().join(format!("catkin-review-3-{}", std::process::id()));
        std::fs::create_dir_all(&temp).ok()?;
        let (store, seen) = (Store::new(), Arc::default());
        let ports: Vec<Server> = (0..daemons).map(|n| store.serve(n)).collect();
        let worker = |(n, labels): (usize, &&[&str])| {
            let id = format!("x-{n}");
            Arc::new(Mutex::new(Worker::new(&id, labels, 8_000, &store, &record, &seen)))
        };
        let workers: Vec<_> = workers.iter().enumerate().map(worker).collect();
        let mut scene = Self {
            daemons: Vec::new(),
            record,
            store,
            ports,
            workers,
            seen,
            trouble,
            version: 0,
            dir: temp,
            over: Arc::default(),
        };
        scene.configure(routes);
        scene.workers.iter().for_each(|w| w.lock().unwrap().start());
        scene.send_heartbeats();
        for n in 0..daemons {
            let addr = scene.ports[n].addr;
            scene.daemons.push(Daemon::new(n, &scene.dir, addr, &scene.record));
        }
        scene.daemons.iter_mut().for_each(Daemon::start);
        let ready = scene.daemons.iter().all(|d| d.wait_ready(START_LIMIT));
        if !ready {
            scene.record.line("a daemon is not ready");
            return None;
        }
        scene.record.line("all daemons are ready");
        Some(scene)
    }

    fn send_heartbeats(&self) {
        let (workers, over) = (self.workers.clone(), Arc::clone(&self.over));
        std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                std::thread::sleep(HEARTBEAT);
                workers.iter().for_each(|w| w.lock().unwrap().write_entry());
            }
        });
    }

    /// Writes a configuration with these queues. The answer of the store is its acknowledgement.
    pub fn configure(&mut self, routes: &[Route]) {
        self.version += 3;
        let route = |r: &Route| {
            json!({
                "name": r.name, "host": format!("{}.example", r.name), "path_prefix": format!("/{}/", r.name),
                "service": "main", "timeout_ms": 3_000, "target_duration_ms": 2_000, "priority": 0,
                "max_attempts": r.max_attempts, "stretch": 3.0,
            })
        };
        let routes: Vec<Value> = routes.iter().map(route).collect();
        let config = json!({
            "version": self.version, "routes": routes, "limits": { "max_body_bytes": 262_144 },
            "services": [{ "name": "main", "admission_check": false }],
        });
        self.store.put("op", "config", Some(&config));
        let names: Vec<String> =
            routes.iter().filter_map(|r| Some(r["name"].as_str()?.to_owned())).collect();
        self.record.line(format!(
            "operator: configuration {} with {} is acknowledged",
            self.version,
            names.join(", ")
        ));
    }

    /// Sends a request about a job of a queue to a daemon; an empty `id` asks for the length of the queue.
    pub fn send(&self, daemon: usize, method: &str, queue: &str, id: &str, body: &str) -> (u16, String) {
        let host = format!("{queue}.example");
        let path = format!("/{queue}/{id}");
        let headers = [("Host", host.as_str()), ("Deadline-Ms", "3000")];
        let sent = self.record.now_ms();
        let answer = http::call(self.daemons[daemon].clients, method, &path, &headers, body, DEADLINE);
        let (status, text) = match answer {
            Ok((status, text)) => (status, text),
            Err(why) => (0, why),
        };
        self.record.line(format!(
            "client to {}: {method} {path} sent at {:.3}: {status} {}",
            self.daemons[daemon].id,
            sent as f64 / 1_000.0,
            text.trim()
        ));
        (status, text)
    }

    /// Submits a job with one step. Returns whether it was accepted.
    pub fn submit(&self, daemon: usize, queue: &str, id: &str, spec: &str, step: &Value) -> bool {
        let body = json!({ "spec": spec, "steps": [step] }).to_string();
        (0..10).any(|n| {
            if n > 0 {
                std::thread::sleep(Duration::from_millis(300));
            }
            self.send(daemon, "POST", queue, id, &body).0 == 200
        })
    }

    /// The state that a daemon gives for a job.
    pub fn state(&self, daemon: usize, queue: &str, id: &str) -> String {
        let (status, text) = self.send(daemon, "GET", queue, id, "");
        let state = serde_json::from_str::<Value>(&text).ok();
        let state = state.and_then(|v| Some(v["state"].as_str()?.to_owned()));
        state.unwrap_or_else(|| status.to_string())
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// Waits until the condition holds, for `limit` at most. Returns whether it does.
    pub fn wait(&self, limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
        let since = Instant::now();
        while since.elapsed() < limit {
            if condition() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.daemons.iter_mut().for_each(Daemon::kill);
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
