//! What all parts of a daemon share.

use crate::metrics::Metrics;
use crate::owner::Owner;
use crate::settings::Settings;
use crate::table;
use catkin_peer::PeerClient;
use catkin_platform::advice::AdviserClient;
use catkin_platform::config::Config;
use catkin_platform::store::StoreClient;
use catkin_platform::workers::WorkerClient;
use catkin_types::Epoch;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// So many jobs are written by a daemon itself at a time. The daemons together must not fill the table's queue, in which
/// an owner that takes over has to wait.
const MAX_DIRECT_WRITES: usize = 2;

/// Who owns the cell, as far as this daemon knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// The term.
    pub epoch: Epoch,
    /// Where it takes calls.
    pub addr: SocketAddr,
}

/// What all parts of a daemon share.
#[derive(Debug)]
pub struct Cx {
    /// The settings.
    pub cfg: Settings,
    /// A number drawn at the start.
    pub incarnation: u64,
    /// What is counted and timed.
    pub metrics: Arc<Metrics>,
    /// The table service.
    pub table: table::client::Client,
    /// Turns for jobs that this daemon writes itself, as the owner does not.
    pub direct_writes: Semaphore,
    /// The workers.
    pub workers: WorkerClient,
    /// The adviser.
    pub adviser: AdviserClient,
    /// Calls to other daemons.
    pub calls: PeerClient,
    /// The newest configuration.
    pub config: watch::Receiver<Option<Arc<Config>>>,
    /// Who owns the cell.
    pub leader: watch::Sender<Option<Leader>>,
    /// The owner, if it is this daemon.
    pub owner: watch::Sender<Option<Owner>>,
    /// Whether the owner answered the last beat.
    pub owner_healthy: AtomicBool,
    /// The term of this daemon as owner, 0 if it is not.
    pub owned_epoch: AtomicU64,
    /// Whether a daemon was heard of that would be a better owner than a small one.
    pub better_owner_seen: AtomicBool,
    /// What this daemon spawned.
    pub tasks: TaskTracker,
    /// The daemon stops.
    pub stop: CancellationToken,
    /// The daemon is about to stop.
    pub drain: CancellationToken,
    started: Instant,
}

impl Cx {
    /// What is shared by a daemon that starts now.
    #[must_use]
    pub fn new(
        cfg: Settings,
        calls: PeerClient,
        config: watch::Receiver<Option<Arc<Config>>>,
        http: &catkin_http::Client,
        metrics: Arc<Metrics>,
    ) -> Self {
        let store = StoreClient::new(http.clone(), &cfg.table.address);
        Self {
            table: table::client::Client::new(store, Arc::clone(&metrics)),
            metrics,
            direct_writes: Semaphore::new(MAX_DIRECT_WRITES),
            workers: Workers::new(http.clone()),
            adviser: Adviser::new(http.clone(), &cfg.adviser.address),
            cfg,
            incarnation: rand::random(),
            calls,
            config,
            leader: watch::Sender::new(None),
            owner: watch::Sender::new(None),
            owner_healthy: AtomicBool::new(false),
            owned_epoch: AtomicU64::new(0),
            better_owner_seen: AtomicBool::new(false),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
            drain: CancellationToken::new(),
            started: Instant::now(),
        }
    }

    /// The time since the daemon started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Whether the daemon is about to stop.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drain.is_cancelled()
    }

    /// Where this daemon takes calls of others.
    #[must_use]
    pub fn peer_address(&self) -> String {
        format!("{}:{}", self.cfg.daemon.ip, self.cfg.listen.peer_port)
    }

    /// Spawns a task that ends with the daemon.
    pub fn spawn<F>(&self, f: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        spawn_until(&self.tasks, &self.stop, f);
    }
}

/// Spawns a task that ends at the latest when `stop` is cancelled.
pub fn spawn_until<F>(tasks: &TaskTracker, stop: &CancellationToken, f: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let stop = stop.clone();
    tasks.spawn(async move {
        tokio::select! {
            () = f => {}
            () = stop.cancelled() => {}
        }
    });
}
