//! Workers: the lease contract over HTTP, and programs that sleep, fail and use resources.

mod program;

pub use program::Program;

use crate::{MAX_BODY, Serving, serve};
use catkin_http::{Body, body};
use catkin_lease::message::{Ending, Reply, Request as LeaseRequest};
use catkin_lease::worker::Worker as Contract;
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
    /// What it can hold.
    pub capacity: Resources,
    /// How long it runs tasks without a renewal.
    pub length: Duration,
    /// Whether every task fails at once.
    pub broken: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: Resources::new(32_000, 131_072, 0),
            length: Duration::from_secs(10),
            broken: false,
        }
    }
}

/// A task that ran, for tests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The task.
    pub task: TaskId,
    /// When it started, in milliseconds since the epoch of Unix.
    pub from_ms: u64,
    /// When it ended, if it did.
    pub to_ms: Option<u64>,
}

/// What a worker tells a test.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// Tasks that run or ran.
    pub runs: Vec<Run>,
    /// Starts that did not fit.
    pub declined: u64,
}

#[derive(Debug)]
struct Inner {
    contract: Contract,
    started: Instant,
    opt: Options,
    ends: BTreeMap<TaskId, (Instant, Ending)>,
    log: Log,
}

/// The stand-in. Clones share their state.
#[derive(Clone, Debug)]
pub struct Worker {
    inner: Arc<Mutex<Inner>>,
}

impl Worker {
    /// A worker that has just started.
    #[must_use]
    pub fn new(incarnation: u64, opt: Options) -> Self {
        let inner = Inner {
            contract: Contract::new(incarnation, opt.length, opt.capacity),
            started: Instant::now(),
            opt,
            ends: BTreeMap::new(),
            log: Log::default(),
        };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a request of an owner.
    #[must_use]
    pub fn handle(&self, req: &LeaseRequest) -> Reply {
        let mut inner = self.lock();
        inner.advance();
        let now = inner.started.elapsed();
        let reply = inner.contract.handle(now, req);
        inner.note_changes();
        reply
    }

    /// Whether it wants no new work.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().contract.set_leaving(leaving);
    }

    /// Changes what it can hold.
    pub fn set_capacity(&self, capacity: Resources) {
        self.lock().contract.set_capacity(capacity);
    }

    /// What ran so far.
    #[must_use]
    pub fn log(&self) -> Log {
        let mut inner = self.lock();
        inner.advance();
        inner.log.declined = inner.contract.declined();
        inner.log.clone()
    }

    /// Serves on `addr`.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn serve(&self, addr: SocketAddr) -> std::io::Result<Serving> {
        let me = self.clone();
        serve(addr, move |req| {
            let me = me.clone();
            async move { me.answer(req).await }.boxed()
        })
        .await
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/v1/lease") => {
                match body::read_json(req.into_body(), MAX_BODY).await {
                    Ok(lease) => body::json(200, &self.handle(&lease)),
                    Err(e) => body::text(400, e.to_string()),
                }
            }
            (&Method::GET, "/log") => body::json(200, &self.log()),
            (&Method::POST, "/leave") => {
                self.set_leaving(true);
                body::text(200, "")
            }
            _ => body::text(404, "no such path"),
        }
    }
}

impl Inner {
    /// Ends programs that are over and leases that lapsed.
    fn advance(&mut self) {
        let now = Instant::now();
        let over = |(_, (at, _)): &(&TaskId, &(Instant, Ending))| *at <= now;
        let ended: Vec<_> = self.ends.iter().filter(over).map(|(t, (_, e))| (*t, *e)).collect();
        for (task, ending) in ended {
            self.contract.finish(task, ending);
        }
        self.contract.lapse(self.started.elapsed());
        self.note_changes();
    }

    /// Sets the end of programs that began, and notes those that are gone.
    fn note_changes(&mut self) {
        let now_ms = wall_clock_ms();
        let running = self.contract.tasks();
        let gone: Vec<TaskId> =
            self.ends.keys().filter(|t| !running.contains_key(t)).copied().collect();
        let began: Vec<(TaskId, Program)> = running
            .iter()
            .filter(|(t, _)| !self.ends.contains_key(t))
            .map(|(t, h)| (*t, Program::parse(&h.program)))
            .collect();
        for task in gone {
            self.ends.remove(&task);
            let run = self.log.runs.iter_mut().rfind(|r| r.task == task && r.to_ms.is_none());
            if let Some(run) = run {
                run.to_ms = Some(now_ms);
            }
        }
        for (task, program) in began {
            let (length, ending) = if self.opt.broken {
                (Duration::ZERO, Ending::Failed)
            } else {
                (program.length, program.ending)
            };
            self.ends.insert(task, (Instant::now() + length, ending));
            self.log.runs.push(Run { task, from_ms: now_ms, to_ms: None });
        }
        let used = self.contract.tasks().values();
        let used =
            used.fold(Resources::default(), |sum, h| sum + Program::parse(&h.program).used(h.size));
        self.contract.set_used(used);
    }
}

fn wall_clock_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
