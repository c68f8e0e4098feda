//! Starting and stopping a daemon.

use crate::cx::Cx;
use crate::metrics::Metrics;
use crate::settings::{Settings, duration_from_ms};
use crate::{Error, config_watch, gate, leadership, peers};
use catkin_cell::worker::millis;
use catkin_http::client::Traffic;
use catkin_http::server;
use error_stack::{Report, ResultExt};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// How long the load balancer takes to notice that a daemon is not ready. New connections arrive during this time.
const BALANCER_LAG: Duration = Duration::from_millis(2_300);
/// The part of the time to stop that is reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(700);
/// The maximum number of queued calls of other daemons.
const BACKLOG: usize = 1_024;
/// The maximum number of idle connections that are kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// What the process supplies to a daemon beside its settings.
pub struct Options {
    /// Returns the number of log lines that were dropped since the process started.
    pub log_lines_dropped: Box<dyn Fn() -> u64 + Send + Sync>,
}

impl Default for Options {
    fn default() -> Self {
        Self { log_lines_dropped: Box::new(|| 0) }
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Node {
    cx: Arc<Cx>,
    peering: catkin_peer::Peering,
    /// The tasks that serve HTTP requests.
    servers: TaskTracker,
    /// Cancelled to end the servers.
    close: CancellationToken,
}

impl Node {
    /// Starts a daemon: binds its addresses and spawns its tasks.
    ///
    /// # Errors
    /// Binding an address or creating the metrics exporter failed.
    pub async fn start(cfg: Settings, opt: Options) -> Result<Self, Report<Error>> {
        let listen = |addr: String| async move {
            TcpListener::bind(&addr).await.change_context(Error::Listen).attach_with(|| addr)
        };
        let clients = listen(cfg.listen.clients.clone()).await?;
        let ready = listen(cfg.listen.ready.clone()).await?;
        let peer = listen(format!("{}:{}", cfg.daemon.ip, cfg.listen.peer_port)).await?;
        let peer = peer.into_std().change_context(Error::Listen)?;
        let peer_opt = catkin_peer::Options {
            id: cfg.daemon.id.clone(),
            backlog: BACKLOG,
            ..catkin_peer::Options::default()
        };
        let (calls_tx, calls_rx) = mpsc::channel(BACKLOG);
        let peering =
            catkin_peer::Peering::start(peer, peer_opt, calls_tx).change_context(Error::Listen)?;
        let http = catkin_http::Client::new(catkin_http::client::Options {
            max_idle_per_host: MAX_IDLE_CONNECTIONS,
            ..Default::default()
        });
        let metrics = Arc::new(Metrics::new()?);
        metrics.observe("catkin_log_lines_left_out", opt.log_lines_dropped);
        let metrics_listener = match cfg.listen.metrics_port {
            0 => None,
            port => Some(listen(format!("{}:{port}", cfg.daemon.ip)).await?),
        };
        let (config_tx, config) = tokio::sync::watch::channel(None);
        let cx = Arc::new(Cx::new(cfg, peering.calls.clone(), config, &http, metrics));
        observe(&cx, &http);
        cx.spawn(config_watch::run(Arc::clone(&cx), config_tx));
        let config_limit = duration_from_ms(cx.cfg.bounds.config_ms);
        cx.spawn(config_watch::freshness::report(Arc::clone(&cx), config_limit));
        cx.spawn(peers::run(Arc::clone(&cx), calls_rx));
        cx.spawn(leadership::run(Arc::clone(&cx)));
        let node =
            Self { cx, peering, servers: TaskTracker::new(), close: CancellationToken::new() };
        node.serve(clients, ready, metrics_listener);
        tracing::info!(
            daemon = node.cx.cfg.daemon.id,
            incarnation = node.cx.incarnation,
            "node: started"
        );
        Ok(node)
    }

    fn serve(&self, clients: TcpListener, ready: TcpListener, metrics: Option<TcpListener>) {
        let drain = duration_from_ms(self.cx.cfg.bounds.stop_ms)
            .saturating_sub(BALANCER_LAG + EXIT_RESERVE);
        let opt = server::Options { drain_timeout: drain, ..server::Options::default() };
        let cx = Arc::clone(&self.cx);
        let handler = move |req| gate::handle(Arc::clone(&cx), req);
        let server_task = server::serve(clients, opt.clone(), handler, self.close.clone());
        self.servers.spawn(server_task);
        let cx = Arc::clone(&self.cx);
        let handler = move |req: hyper::Request<hyper::body::Incoming>| {
            std::future::ready(gate::readiness(&cx, req.uri().path()))
        };
        let server_task = server::serve(ready, opt.clone(), handler, self.close.clone());
        self.servers.spawn(server_task);
        if let Some(metrics) = metrics {
            let cx = Arc::clone(&self.cx);
            let handler = move |req: hyper::Request<hyper::body::Incoming>| {
                std::future::ready(gate::metrics(&cx, req.uri().path()))
            };
            self.servers.spawn(server::serve(metrics, opt, handler, self.close.clone()));
        }
    }

    /// Stops the daemon: releases the cell, stops accepting connections, finishes the requests in progress, and waits
    /// for all tasks that it spawned.
    pub async fn stop(self) {
        tracing::info!(daemon = self.cx.cfg.daemon.id, "node: stopping");
        self.cx.drain.cancel();
        tokio::time::sleep(BALANCER_LAG).await;
        self.close.cancel();
        self.servers.close();
        self.servers.wait().await;
        self.cx.stop.cancel();
        self.cx.tasks.close();
        let owner = self.cx.owner.send_replace(None);
        if let Some(owner) = owner {
            crate::owner::stop(owner).await;
        }
        self.cx.tasks.wait().await;
        self.peering.stop().await;
        tracing::info!(daemon = self.cx.cfg.daemon.id, "node: stopped");
    }
}

/// One of the counts of a client.
type Count = fn(&Traffic) -> &AtomicU64;

/// Exports the version of the configuration, its age, and what the daemon's own requests have met.
fn observe(cx: &Cx, http: &catkin_http::Client) {
    let config = cx.config.clone();
    let version = move || config.borrow().as_ref().map_or(0, |c| c.version);
    cx.metrics.observe("catkin_config_version", version);
    let freshness = cx.config_freshness.subscribe();
    cx.metrics.observe("catkin_config_age_ms", move || millis(freshness.borrow().age()));
    let counts: [(&str, Count); 3] = [
        ("catkin_received_bytes", |t| &t.received),
        ("catkin_http_connections_opened", |t| &t.connections),
        ("catkin_http_requests_unanswered", |t| &t.unanswered),
    ];
    for (name, count) in counts {
        let traffic = Arc::clone(http.traffic());
        cx.metrics.observe(name, move || count(&traffic).load(Ordering::Relaxed));
    }
}
