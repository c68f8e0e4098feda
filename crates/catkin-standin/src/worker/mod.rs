//! Simulated workers: the worker's side of the lease protocol over HTTP, and programs that sleep, fail and use resources.

mod program;

pub use program::Program;

use crate::{MAX_BODY_BYTES, ServerHandle, serve};
use catkin_http::{Body, body};
use catkin_lease::message::{Ending, Reply, Request as LeaseRequest};
use catkin_lease::worker::Worker as LeaseWorker;
use catkin_types::{Resources, TaskId};
use futures::future::FutureExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The settings of a worker.
#[derive(Clone, Debug)]
pub struct Options {
    /// The total resources.
    pub capacity: Resources,
    /// The lease length: how long the worker runs tasks without a renewal.
    pub lease_length: Duration,
    /// Whether every task fails immediately.
    pub broken: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: Resources::new(32_000, 131_072, 0),
            lease_length: Duration::from_secs(10),
            broken: false,
        }
    }
}

/// A run of a task, for tests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// May occur in several runs if the task was started again.
    pub task: TaskId,
    /// When it started, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// When it ended, in milliseconds since the Unix epoch. Absent while it runs.
    pub to_ms: Option<u64>,
}

/// The runs on a worker, for tests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLog {
    /// Current and past runs, in the order of their starts.
    pub runs: Vec<Run>,
    /// The number of starts that were declined because they did not fit.
    pub declined: u64,
}

#[derive(Debug)]
struct Inner {
    lease_worker: LeaseWorker,
    started: Instant,
    opt: Options,
    scheduled_ends: BTreeMap<TaskId, (Instant, Ending)>,
    log: RunLog,
}

/// A simulated worker. Clones share their state.
#[derive(Clone, Debug)]
pub struct Worker {
    inner: Arc<Mutex<Inner>>,
}

impl Worker {
    /// Returns a worker that has just started. `incarnation` must differ after each restart.
    #[must_use]
    pub fn new(incarnation: u64, opt: Options) -> Self {
        let inner = Inner {
            lease_worker: LeaseWorker::new(incarnation, opt.lease_length, opt.capacity),
            started: Instant::now(),
            opt,
            scheduled_ends: BTreeMap::new(),
            log: RunLog::default(),
        };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles a request of an owner and returns the reply.
    #[must_use]
    pub fn handle(&self, req: &LeaseRequest) -> Reply {
        let mut inner = self.lock();
        inner.advance();
        let now = inner.started.elapsed();
        let reply = inner.lease_worker.handle(now, req);
        inner.update_runs();
        reply
    }

    /// Sets whether the worker is shutting down and must not get new tasks.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().lease_worker.set_leaving(leaving);
    }

    /// Sets the total resources. Running tasks stay, even if they no longer fit.
    pub fn set_capacity(&self, capacity: Resources) {
        self.lock().lease_worker.set_capacity(capacity);
    }

    /// Returns the runs since the start.
    #[must_use]
    pub fn run_log(&self) -> RunLog {
        let mut inner = self.lock();
        inner.advance();
        inner.log.declined = inner.lease_worker.declined();
        inner.log.clone()
    }

    /// Serves on `addr`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn serve(&self, addr: SocketAddr) -> std::io::Result<ServerHandle> {
        let shared = self.clone();
        serve(addr, move |req| {
            let shared = shared.clone();
            async move { shared.handle_request(req).await }.boxed()
        })
        .await
    }

    async fn handle_request(&self, req: Request<Incoming>) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/v1/lease") => {
                match body::read_json(req.into_body(), MAX_BODY_BYTES).await {
                    Ok(lease) => body::json(200, &self.handle(&lease)),
                    Err(e) => body::text(400, e.to_string()),
                }
            }
            (&Method::GET, "/log") => body::json(200, &self.run_log()),
            (&Method::POST, "/leave") => {
                self.set_leaving(true);
                body::text(200, "")
            }
            _ => body::text(404, "no such path"),
        }
    }
}

impl Inner {
    /// Ends tasks whose run time is over, and all tasks if the lease has expired.
    fn advance(&mut self) {
        let now = Instant::now();
        let is_over = |(_, (at, _)): &(&TaskId, &(Instant, Ending))| *at <= now;
        let ended: Vec<_> =
            self.scheduled_ends.iter().filter(is_over).map(|(t, (_, e))| (*t, *e)).collect();
        for (task, ending) in ended {
            self.lease_worker.finish(task, ending);
        }
        self.lease_worker.lapse(self.started.elapsed());
        self.update_runs();
    }

    /// Schedules the end of tasks that have started, records the end of those that no longer run, and updates the usage.
    fn update_runs(&mut self) {
        let now_ms = wall_clock_ms();
        let running = self.lease_worker.tasks();
        let gone_tasks: Vec<TaskId> =
            self.scheduled_ends.keys().filter(|t| !running.contains_key(t)).copied().collect();
        let new_programs: Vec<(TaskId, Program)> = running
            .iter()
            .filter(|(t, _)| !self.scheduled_ends.contains_key(t))
            .map(|(t, h)| (*t, Program::parse(&h.program)))
            .collect();
        for task in gone_tasks {
            self.scheduled_ends.remove(&task);
            let run = self.log.runs.iter_mut().rfind(|r| r.task == task && r.to_ms.is_none());
            if let Some(run) = run {
                run.to_ms = Some(now_ms);
            }
        }
        for (task, program) in new_programs {
            let (run_time, ending) = if self.opt.broken {
                (Duration::ZERO, Ending::Failed)
            } else {
                (program.run_time, program.ending)
            };
            self.scheduled_ends.insert(task, (Instant::now() + run_time, ending));
            self.log.runs.push(Run { task, from_ms: now_ms, to_ms: None });
        }
        let used = self.lease_worker.tasks().values();
        let used =
            used.fold(Resources::default(), |sum, h| sum + Program::parse(&h.program).used(h.size));
        self.lease_worker.set_used(used);
    }
}

fn wall_clock_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
