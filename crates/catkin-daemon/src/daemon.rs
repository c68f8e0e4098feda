//! Startup and shutdown of a daemon.

use crate::gate::Gate;
use crate::metrics::Metrics;
use crate::{Cx, Error, limits, peers, quota, route, scan};
use catkin_http::client::Traffic;
use catkin_http::server::Drained;
use catkin_peer::{Link, Options as PeerOptions, Peering};
use catkin_schema::settings::Settings;
use catkin_store::{Options as StoreOptions, Store};
use error_stack::{Report, ResultExt};
use ractor::{Actor, ActorRef};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// The listening sockets of a daemon. A caller may bind them itself, for example to ports that the system chooses.
#[derive(Debug)]
pub struct Listeners {
    /// The socket for callers and operators.
    pub http: std::net::TcpListener,
    /// The socket for other daemons.
    pub peer: std::net::TcpListener,
}

impl Listeners {
    /// Binds the addresses in the settings.
    ///
    /// # Errors
    /// Returns [`Error::Listen`] if an address can't be bound.
    pub fn open(settings: &Settings) -> Result<Self, Report<Error>> {
        let open = |addr: &str| {
            std::net::TcpListener::bind(addr)
                .change_context(Error::Listen)
                .attach_with(|| addr.to_owned())
        };
        Ok(Self {
            http: open(&settings.daemon.http_listen)?,
            peer: open(&settings.daemon.peer_listen)?,
        })
    }
}

/// A running daemon, which owns all its actors and tasks.
#[derive(Debug)]
pub struct Daemon {
    cx: Arc<Cx>,
    peering: Peering,
    gate: JoinHandle<Drained>,
    stop_gate: CancellationToken,
    peer_requests: JoinHandle<()>,
    scan: (ActorRef<scan::Message>, JoinHandle<()>),
    prober: (ActorRef<peers::Message>, JoinHandle<()>),
    poller: (ActorRef<limits::Message>, JoinHandle<()>),
    quota: (ActorRef<quota::Message>, JoinHandle<()>),
    store: JoinHandle<()>,
}

/// The maximum number of queued requests from peers.
const PEER_CALL_BACKLOG: usize = 1_024;
/// The time that background tasks, such as the last writes and slot releases, have to finish when the daemon stops.
const BACKGROUND_TASKS_TIMEOUT: Duration = Duration::from_secs(5);

impl Daemon {
    /// Starts all components.
    ///
    /// # Errors
    /// Returns an error if a socket can't be set up, an actor can't be started, or the metrics can't be set up.
    pub async fn start(settings: Settings, listeners: Listeners) -> Result<Self, Report<Error>> {
        let metrics = Metrics::new()?;
        let (store, store_join) =
            Store::start(store_options(&settings)).await.change_context(Error::Spawn)?;
        let (tx, rx) = mpsc::channel(PEER_CALL_BACKLOG);
        let peering = Peering::start(listeners.peer, peer_options(&settings), tx)
            .change_context(Error::Listen)?;
        let cx = Cx::new(settings, store, peering.calls.clone(), metrics);
        register_counters(&cx, &peering);
        let peer_requests = tokio::spawn(route::serve(Arc::clone(&cx), rx));
        let prober = spawn(peers::Prober { cx: Arc::clone(&cx) }).await?;
        let poller = spawn(limits::Poller { cx: Arc::clone(&cx) }).await?;
        let quota = spawn(quota::Quota { cx: Arc::clone(&cx) }).await?;
        let scan = spawn(scan::Scan { cx: Arc::clone(&cx) }).await?;
        listeners.http.set_nonblocking(true).change_context(Error::Listen)?;
        let listener = TcpListener::from_std(listeners.http).change_context(Error::Listen)?;
        let stop_gate = CancellationToken::new();
        let gate = tokio::spawn(Gate::new(Arc::clone(&cx)).serve(listener, stop_gate.clone()));
        tracing::info!("daemon: {} started", cx.id());
        Ok(Self {
            cx,
            peering,
            gate,
            stop_gate,
            peer_requests,
            scan,
            prober,
            poller,
            quota,
            store: store_join,
        })
    }

    /// Returns the context that the daemon's components share.
    #[must_use]
    pub fn cx(&self) -> &Arc<Cx> {
        &self.cx
    }

    /// Stops the daemon: releases its shards, drains requests in progress, and joins all components.
    pub async fn stop(self) -> Drained {
        tracing::info!("daemon: {} stopping", self.cx.id());
        self.cx.drain();
        // Peers are notified before the shards are released, so that they send no more requests that this daemon can't
        // finish.
        self.notify_peers().await;
        let (tx, rx) = oneshot::channel();
        let _ = self.scan.0.send_message(scan::Message::ReleaseAll(tx));
        let _ = rx.await;
        // Keeps serving until the load balancer and callers with open connections have switched to other daemons.
        tokio::time::sleep(Duration::from_millis(self.cx.settings.gate.lame_duck_ms)).await;
        self.stop_gate.cancel();
        let drained = self.gate.await.unwrap_or(Drained::TimedOut);
        self.cx.background_tasks.close();
        let _ =
            tokio::time::timeout(BACKGROUND_TASKS_TIMEOUT, self.cx.background_tasks.wait()).await;
        self.scan.0.stop(None);
        self.prober.0.stop(None);
        self.poller.0.stop(None);
        self.quota.0.stop(None);
        for join in [self.scan.1, self.prober.1, self.poller.1, self.quota.1] {
            let _ = join.await;
        }
        self.peering.stop().await;
        let _ = self.peer_requests.await;
        self.cx.store.stop();
        let _ = self.store.await;
        self.cx.metrics.shutdown();
        tracing::info!("daemon: {} stopped: {drained:?}", self.cx.id());
        drained
    }

    async fn notify_peers(&self) {
        let beat = peers::own_beat(&self.cx).await;
        let timeout = Duration::from_millis(self.cx.settings.shards.beat_ms.get());
        let calls =
            self.cx.peers().filter_map(|p| p.peer_addr.parse().ok()).map(|addr: SocketAddr| {
                let beat = catkin_schema::peer::Request::Heartbeat(beat.clone());
                self.cx.calls.call(addr, beat, timeout)
            });
        futures::future::join_all(calls).await;
    }
}

async fn spawn<A>(actor: A) -> Result<(ActorRef<A::Msg>, JoinHandle<()>), Report<Error>>
where
    A: Actor<Arguments = ()>,
{
    Actor::spawn(None, actor, ()).await.change_context(Error::Spawn)
}

fn store_options(s: &Settings) -> StoreOptions {
    let p = &s.platform;
    StoreOptions {
        table_url: p.table_url.clone(),
        objects_url: p.objects_url.clone(),
        hosts_url: p.hosts_url.clone(),
        timeout: Duration::from_millis(p.timeout_ms.get()),
        batch_delay: Duration::from_millis(p.batch_ms),
        max_batch: usize::try_from(p.max_batch.get()).unwrap_or(usize::MAX),
        ..StoreOptions::default()
    }
}

fn peer_options(s: &Settings) -> PeerOptions {
    let own = &s.daemon;
    let links = s.peers.iter().filter_map(|p| {
        let link = match (p.region == own.region, p.zone == own.zone) {
            (true, true) => Link::Zone,
            (true, false) => Link::Region,
            (false, _) => Link::BetweenRegions,
        };
        Some((p.peer_addr.parse().ok()?, link))
    });
    PeerOptions {
        id: own.id.clone(),
        token: s.access.peer_token.clone(),
        links: links.collect(),
        ..PeerOptions::default()
    }
}

/// Registers the counters that other components keep, so that the metrics page shows them.
fn register_counters(cx: &Arc<Cx>, peering: &Peering) {
    for link in [Link::Zone, Link::Region, Link::BetweenRegions] {
        let counts = peering.traffic.for_link(link);
        let label = ("link", link.to_string());
        let label = Some(&label);
        let received = Arc::clone(&counts);
        cx.metrics
            .observe("catkin_peer_sent_bytes", label, move || counts.sent.load(Ordering::Relaxed));
        cx.metrics.observe("catkin_peer_received_bytes", label, move || {
            received.received.load(Ordering::Relaxed)
        });
    }
    let names = ["catkin_worker_sent_bytes", "catkin_worker_received_bytes"];
    observe_bytes(cx, names, cx.worker_http.traffic());
    let traffic = Arc::clone(cx.worker_http.traffic());
    cx.metrics
        .observe("catkin_worker_messages", None, move || traffic.exchanges.load(Ordering::Relaxed));
    let names = ["catkin_platform_sent_bytes", "catkin_platform_received_bytes"];
    observe_bytes(cx, names, cx.store.traffic());
    let store = cx.store.clone();
    cx.metrics.observe("catkin_table_transactions", None, move || {
        store.counts().transactions.load(Ordering::Relaxed)
    });
    let store = cx.store.clone();
    cx.metrics
        .observe("catkin_table_rows", None, move || store.counts().rows.load(Ordering::Relaxed));
    let store = cx.store.clone();
    cx.metrics
        .observe("catkin_table_reads", None, move || store.counts().reads.load(Ordering::Relaxed));
}

/// Registers the bytes of bodies that a client has sent and received, under these two names.
fn observe_bytes(cx: &Arc<Cx>, [sent, received]: [&'static str; 2], traffic: &Arc<Traffic>) {
    let counts = Arc::clone(traffic);
    cx.metrics.observe(sent, None, move || counts.sent.load(Ordering::Relaxed));
    let counts = Arc::clone(traffic);
    cx.metrics.observe(received, None, move || counts.received.load(Ordering::Relaxed));
}
