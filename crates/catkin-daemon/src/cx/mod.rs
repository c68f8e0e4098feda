//! The context that all parts of a daemon share.

use crate::metrics::Metrics;
use crate::peers::Liveness;
use crate::{owner, rows, slots};
use catkin_http::Client;
use catkin_lease::Options as LeaseOptions;
use catkin_limits::{Table, View};
use catkin_peer::PeerClient;
use catkin_schema::settings::{Peer, Settings};
use catkin_store::Store;
use catkin_types::{Row, ShardId};
use ractor::ActorRef;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

/// The actor of a shard that this daemon owns.
#[derive(Clone, Debug)]
pub enum LocalOwner {
    /// The owner of a worker shard.
    Workers(ActorRef<owner::Message>),
    /// The owner of an executor shard, which manages its slots.
    Slots(ActorRef<slots::Message>),
}

/// A shard in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The value of the shard's row.
    pub shard: rows::Shard,
    /// The version of the shard's row, for compare-and-set.
    pub version: u64,
}

/// The key prefix of the shards' rows.
pub const SHARD_KEY_PREFIX: &str = "shard/";

/// All shards in the table, as of the last read.
pub type Directory = BTreeMap<ShardId, DirectoryEntry>;

/// The context that all parts of a daemon share, behind an [`Arc`].
#[derive(Debug)]
pub struct Cx {
    /// The settings that the daemon was started with.
    pub settings: Settings,
    /// A random number that identifies this run of the daemon.
    pub incarnation: u64,
    /// The client of the platform's services.
    pub store: Store,
    /// The client for requests to peers.
    pub calls: PeerClient,
    /// The HTTP client for requests to workers.
    pub worker_http: Client,
    /// The HTTP client for requests to executors.
    pub target_http: Client,
    /// The daemon's copy of the table of weights and limits.
    pub limits: watch::Sender<View>,
    /// The directory of shards.
    pub directory: watch::Sender<Arc<Directory>>,
    /// The liveness of daemons, from their heartbeats.
    pub liveness: Liveness,
    /// The daemon's metrics.
    pub metrics: Metrics,
    /// Notified when the shards' rows should be read immediately.
    pub scan_requested: Notify,
    /// Background tasks that outlive the request that spawned them. The daemon joins them when it stops.
    pub background_tasks: TaskTracker,
    owners: Mutex<BTreeMap<ShardId, LocalOwner>>,
    draining: AtomicBool,
    ready: AtomicBool,
    started: Instant,
}

impl Cx {
    /// Creates the context.
    #[must_use]
    pub fn new(settings: Settings, store: Store, calls: PeerClient, metrics: Metrics) -> Arc<Self> {
        let liveness = Liveness::new(&settings);
        Arc::new(Self {
            settings,
            incarnation: rand::random::<u64>() >> 1,
            store,
            calls,
            worker_http: Client::default(),
            target_http: Client::default(),
            limits: watch::Sender::new(View::default()),
            directory: watch::Sender::new(Arc::default()),
            liveness,
            metrics,
            scan_requested: Notify::new(),
            background_tasks: TaskTracker::new(),
            owners: Mutex::default(),
            draining: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            started: Instant::now(),
        })
    }

    /// Returns the daemon's id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.settings.daemon.id
    }

    /// Returns the time since the daemon started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns whether the daemon is draining.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Marks the daemon as draining. This can't be undone.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns whether the daemon has ever been ready for requests since it started.
    #[must_use]
    pub fn was_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Records that the daemon is ready for requests.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Returns the other daemons in the settings.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.settings.peers.iter().filter(|p| p.id != self.settings.daemon.id)
    }

    /// Returns the address at which a daemon serves its peers. `None` if the daemon is not in the settings.
    #[must_use]
    pub fn peer_addr(&self, id: &str) -> Option<SocketAddr> {
        self.settings.peers.iter().find(|p| p.id == id)?.peer_addr.parse().ok()
    }

    /// Returns the region of a daemon. `None` if the daemon is not in the settings.
    #[must_use]
    pub fn region_of(&self, id: &str) -> Option<&str> {
        if id == self.id() {
            return Some(&self.settings.daemon.region);
        }
        self.settings.peers.iter().find(|p| p.id == id).map(|p| p.region.as_str())
    }

    /// Returns the table of weights and limits. `None` until the daemon has received one.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.limits.borrow().table().cloned()
    }

    /// Returns a row of the table of weights and limits.
    #[must_use]
    pub fn row(&self, name: &str) -> Option<Row> {
        self.table()?.get(name).cloned()
    }

    /// Returns the owner of a shard, if this daemon owns it.
    #[must_use]
    pub fn local_owner(&self, shard: &str) -> Option<LocalOwner> {
        self.owners.lock().unwrap_or_else(PoisonError::into_inner).get(shard).cloned()
    }

    /// Returns all shards that this daemon owns.
    #[must_use]
    pub fn local_owners(&self) -> Vec<(ShardId, LocalOwner)> {
        let owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner);
        owners.iter().map(|(s, l)| (s.clone(), l.clone())).collect()
    }

    /// Sets the owner of a shard in this daemon, or removes it.
    pub fn set_local_owner(&self, shard: &str, owner: Option<LocalOwner>) {
        let mut owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner);
        match owner {
            Some(owner) => drop(owners.insert(shard.to_owned(), owner)),
            None => drop(owners.remove(shard)),
        }
    }

    /// Replaces all directory entries whose key begins with `prefix` by the rows in `list`. Returns the whole
    /// directory.
    pub fn replace_shards(&self, prefix: &str, list: &[catkin_store::Row]) -> Arc<Directory> {
        self.directory.send_modify(|known| {
            let directory = Arc::make_mut(known);
            directory.retain(|shard, _| !format!("{SHARD_KEY_PREFIX}{shard}").starts_with(prefix));
            for row in list {
                let Some(id) = row.key.strip_prefix(SHARD_KEY_PREFIX) else { continue };
                let Some(shard) = rows::from_json(row) else { continue };
                directory.insert(id.to_owned(), DirectoryEntry { shard, version: row.version });
            }
        });
        self.directory.borrow().clone()
    }

    /// Returns the lease options from the settings.
    #[must_use]
    pub fn lease_options(&self) -> LeaseOptions {
        let lease_settings = &self.settings.lease;
        let ms = |n: std::num::NonZeroU64| Duration::from_millis(n.get());
        LeaseOptions {
            length: ms(lease_settings.length_ms),
            autonomy: ms(lease_settings.autonomy_ms),
            drift_ppm: lease_settings.drift_ppm,
            renew_interval: ms(lease_settings.renew_ms),
            busy_interval: ms(lease_settings.busy_ms),
            reply_timeout: ms(lease_settings.timeout_ms),
        }
    }
}
