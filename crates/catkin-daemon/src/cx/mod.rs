//! What the parts of a daemon share.

use crate::metrics::Metrics;
use crate::peers::Live;
use crate::{owner, rows, slots};
use catkin_http::Client;
use catkin_lease::Options as LeaseOptions;
use catkin_limits::{Table, View};
use catkin_peer::Calls;
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

/// The owner of a shard in this daemon.
#[derive(Clone, Debug)]
pub enum Local {
    /// Of workers.
    Workers(ActorRef<owner::Message>),
    /// Of executors.
    Slots(ActorRef<slots::Message>),
}

/// A shard as the directory has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The row.
    pub shard: rows::Shard,
    /// The row's version.
    pub version: u64,
}

/// The beginning of the keys of shards.
pub const SHARD_KEYS: &str = "shard/";

/// Every shard that the table had when it was read last.
pub type Directory = BTreeMap<ShardId, Entry>;

/// Shared by all parts. Cheap to clone behind its [`Arc`].
#[derive(Debug)]
pub struct Cx {
    /// The settings.
    pub settings: Settings,
    /// A number drawn when the daemon started.
    pub incarnation: u64,
    /// The platform's services.
    pub store: Store,
    /// Calls of peers.
    pub calls: Calls,
    /// Exchanges with workers.
    pub workers: Client,
    /// Exchanges with executors.
    pub targets: Client,
    /// The table of weights and limits.
    pub limits: watch::Sender<View>,
    /// The shards.
    pub directory: watch::Sender<Arc<Directory>>,
    /// What is known of peers.
    pub live: Live,
    /// The instruments.
    pub metrics: Metrics,
    /// Woken when shards are to be read at once.
    pub look: Notify,
    /// Tasks that outlive the request that began them. The daemon joins them.
    pub tasks: TaskTracker,
    local: Mutex<BTreeMap<ShardId, Local>>,
    draining: AtomicBool,
    ready: AtomicBool,
    started: Instant,
}

impl Cx {
    /// Puts the shared part together.
    #[must_use]
    pub fn new(settings: Settings, store: Store, calls: Calls, metrics: Metrics) -> Arc<Self> {
        let live = Live::new(&settings);
        Arc::new(Self {
            settings,
            incarnation: rand::random::<u64>() >> 1,
            store,
            calls,
            workers: Client::default(),
            targets: Client::default(),
            limits: watch::Sender::new(View::default()),
            directory: watch::Sender::new(Arc::default()),
            live,
            metrics,
            look: Notify::new(),
            tasks: TaskTracker::new(),
            local: Mutex::default(),
            draining: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            started: Instant::now(),
        })
    }

    /// The daemon's name.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.settings.daemon.id
    }

    /// The time since the daemon started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Whether the daemon is stopping.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Notes that the daemon is stopping.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether the daemon has been ready for requests since it started.
    #[must_use]
    pub fn was_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Notes that the daemon is ready for requests.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// The other daemons.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.settings.peers.iter().filter(|p| p.id != self.settings.daemon.id)
    }

    /// The address of a daemon.
    #[must_use]
    pub fn peer_addr(&self, id: &str) -> Option<SocketAddr> {
        self.settings.peers.iter().find(|p| p.id == id)?.peer_addr.parse().ok()
    }

    /// The region of a daemon.
    #[must_use]
    pub fn region_of(&self, id: &str) -> Option<&str> {
        if id == self.id() {
            return Some(&self.settings.daemon.region);
        }
        self.settings.peers.iter().find(|p| p.id == id).map(|p| p.region.as_str())
    }

    /// The table of weights and limits, if the daemon has one.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.limits.borrow().table().cloned()
    }

    /// A row of weights and limits.
    #[must_use]
    pub fn row(&self, name: &str) -> Option<Row> {
        self.table()?.get(name).cloned()
    }

    /// The owner of the shard in this daemon, if it is owned here.
    #[must_use]
    pub fn local(&self, shard: &str) -> Option<Local> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner).get(shard).cloned()
    }

    /// Every shard that is owned here.
    #[must_use]
    pub fn locals(&self) -> Vec<(ShardId, Local)> {
        let local = self.local.lock().unwrap_or_else(PoisonError::into_inner);
        local.iter().map(|(s, l)| (s.clone(), l.clone())).collect()
    }

    /// Notes the owner of a shard.
    pub fn set_local(&self, shard: &str, owner: Option<Local>) {
        let mut local = self.local.lock().unwrap_or_else(PoisonError::into_inner);
        match owner {
            Some(owner) => drop(local.insert(shard.to_owned(), owner)),
            None => drop(local.remove(shard)),
        }
    }

    /// Takes up every row of shards whose key begins with `prefix`, in place of those known before. Returns the whole.
    pub fn put_shards(&self, prefix: &str, list: &[catkin_store::Row]) -> Arc<Directory> {
        self.directory.send_modify(|known| {
            let directory = Arc::make_mut(known);
            directory.retain(|shard, _| !format!("{SHARD_KEYS}{shard}").starts_with(prefix));
            for row in list {
                let Some(id) = row.key.strip_prefix(SHARD_KEYS) else { continue };
                let Some(shard) = rows::from_json(row) else { continue };
                directory.insert(id.to_owned(), Entry { shard, version: row.version });
            }
        });
        self.directory.borrow().clone()
    }

    /// The options of leases.
    #[must_use]
    pub fn lease(&self) -> LeaseOptions {
        let l = &self.settings.lease;
        let ms = |n: std::num::NonZeroU64| Duration::from_millis(n.get());
        LeaseOptions {
            length: ms(l.length_ms),
            autonomy: ms(l.autonomy_ms),
            drift_ppm: l.drift_ppm,
            renew_interval: ms(l.renew_ms),
            busy_interval: ms(l.busy_ms),
            reply_timeout: ms(l.timeout_ms),
        }
    }
}
