//! The context that all parts of a daemon share.

use crate::config_watch::freshness::Freshness;
use crate::leadership::term::Term;
use crate::metrics::Metrics;
use crate::owner::Owner;
use crate::settings::{Settings, duration_from_ms};
use crate::table;
use catkin_cell::cell::SilentWorkers;
use catkin_peer::PeerClient;
use catkin_platform::advice::AdviserClient;
use catkin_platform::config::Config;
use catkin_platform::store::StoreClient;
use catkin_platform::workers::WorkerClient;
use catkin_types::Epoch;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The maximum number of concurrent direct writes of jobs by a daemon. The daemons together must not fill the queue of
/// the table service, because the calls of an owner that takes over wait in the same queue.
const MAX_DIRECT_WRITES: usize = 2;

/// How long a daemon that sends no heartbeat is kept in the list of daemons.
const PEER_RETENTION: Duration = Duration::from_secs(5);

/// The owner of the cell, as last read by this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// The term of the owner.
    pub epoch: Epoch,
    /// Where the owner takes calls of other daemons.
    pub addr: SocketAddr,
}

/// The context of a daemon.
#[derive(Debug)]
pub struct Cx {
    /// The settings, fixed for the life of the process.
    pub cfg: Settings,
    /// A random number that identifies this process of the daemon.
    pub incarnation: u64,
    /// The instruments of this daemon.
    pub metrics: Arc<Metrics>,
    /// The client of the table service.
    pub table: table::client::Client,
    /// Permits for jobs that this daemon writes directly, because the owner does not.
    pub direct_writes: Semaphore,
    /// The client of the workers.
    pub workers: WorkerClient,
    /// The client of the adviser.
    pub adviser: AdviserClient,
    /// Sends calls to other daemons.
    pub calls: PeerClient,
    /// The newest configuration; `None` until one was read.
    pub config: watch::Receiver<Option<Arc<Config>>>,
    /// When that configuration was last known to be the newest.
    pub config_freshness: watch::Sender<Freshness>,
    /// The owner of the cell; `None` if there is none or it is not known.
    pub leader: watch::Sender<Option<Leader>>,
    /// The owner actor, if this daemon owns the cell.
    pub owner: watch::Sender<Option<Owner>>,
    /// Whether the owner answered the last heartbeat, or is this daemon.
    pub owner_healthy: watch::Sender<bool>,
    /// The term in which this daemon owns the cell; `None` if it does not own it.
    pub term: watch::Sender<Option<Term>>,
    /// The silent workers that the owner row names, or is to name, while this daemon owns the cell.
    pub silent_workers: watch::Sender<SilentWorkers>,
    /// Set when a heartbeat came from a daemon that would be a better owner.
    pub better_owner_seen: AtomicBool,
    /// Notified when another daemon announces itself as the owner.
    pub owner_announced: Notify,
    /// When the other daemons last sent a heartbeat, by their addresses.
    peers: Mutex<HashMap<SocketAddr, Instant>>,
    /// The tasks that this daemon spawned.
    pub tasks: TaskTracker,
    /// Cancelled when the daemon stops.
    pub stop: CancellationToken,
    /// Cancelled when the daemon begins to drain.
    pub drain: CancellationToken,
    started: Instant,
}

impl Cx {
    /// Creates the context of a daemon that starts now.
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
            workers: WorkerClient::new(http.clone()),
            adviser: AdviserClient::new(http.clone(), &cfg.adviser.address),
            cfg,
            incarnation: rand::random(),
            calls,
            config,
            config_freshness: watch::Sender::new(Freshness::default()),
            leader: watch::Sender::new(None),
            owner: watch::Sender::new(None),
            owner_healthy: watch::Sender::new(false),
            term: watch::Sender::new(None),
            silent_workers: watch::Sender::new(SilentWorkers::default()),
            better_owner_seen: AtomicBool::new(false),
            owner_announced: Notify::new(),
            peers: Mutex::default(),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
            drain: CancellationToken::new(),
            started: Instant::now(),
        }
    }

    /// The time since the daemon started, which serves as its monotonic clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The version of the configuration in force; `None` until one was read.
    #[must_use]
    pub fn config_version(&self) -> Option<u64> {
        self.config.borrow().as_ref().map(|c| c.version)
    }

    /// Whether no change can have been missed for longer than changes may take to be in force.
    #[must_use]
    pub fn is_config_fresh(&self) -> bool {
        let limit = duration_from_ms(self.cfg.bounds.config_ms);
        self.config_freshness.borrow().age() < limit
    }

    /// Records a heartbeat of another daemon.
    pub fn record_peer(&self, addr: SocketAddr) {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner).insert(addr, Instant::now());
    }

    /// Returns the addresses of the daemons that sent a heartbeat lately.
    #[must_use]
    pub fn recent_peers(&self) -> Vec<String> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|_, at| at.elapsed() < PEER_RETENTION);
        let mut addrs: Vec<String> = peers.keys().map(SocketAddr::to_string).collect();
        addrs.sort_unstable();
        addrs
    }

    /// Records whether the owner answers.
    pub fn set_owner_healthy(&self, healthy: bool) {
        self.owner_healthy.send_if_modified(|old| std::mem::replace(old, healthy) != healthy);
    }

    /// Whether the daemon is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drain.is_cancelled()
    }

    /// The address, as `ip:port`, where this daemon takes calls of other daemons.
    #[must_use]
    pub fn peer_address(&self) -> String {
        format!("{}:{}", self.cfg.daemon.ip, self.cfg.listen.peer_port)
    }

    /// Spawns a task that is dropped when the daemon stops.
    pub fn spawn<F>(&self, f: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        spawn_until(&self.tasks, &self.stop, f);
    }
}

/// Spawns a task that is dropped when `stop` is cancelled.
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
