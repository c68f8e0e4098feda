//! A platform and daemons.

use crate::support::{PATIENCE, Process};
use catkin_platform_standin::client::Client;
use catkin_platform_standin::{Options, Platform};
use catkin_standin::port::Kept;
use catkin_standin::proxy::Proxy;
use hyper::Method;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;
use tokio::time::Instant;

const POLL: Duration = Duration::from_millis(20);

/// A daemon.
pub struct Node {
    pub id: String,
    dir: PathBuf,
    /// For clients, for readiness, for other daemons, for metrics.
    ports: [Kept; 4],
    pub process: Option<Process>,
}

impl Node {
    fn new(id: String, dir: PathBuf, table: SocketAddr, adviser: SocketAddr) -> Self {
        let ports = [(); 4].map(|()| Kept::new().expect("a port"));
        let [clients, ready, peers, metrics] = ports.each_ref().map(Kept::addr);
        let text = format!(
            "[daemon]\nid = \"{id}\"\nip = \"127.0.0.1\"\nzone = \"north-a\"\nregion = \"north\"\n\
             [listen]\nclients = \"{clients}\"\nready = \"{ready}\"\npeer_port = {}\nmetrics_port = {}\n\
             [table]\naddress = \"{table}\"\n[adviser]\naddress = \"{adviser}\"\n\
             [bounds]\nlease_ms = 6000\ngang_wait_ms = 3000\nstop_ms = 4000\nremember_ms = 120000\n",
            peers.port(),
            metrics.port(),
        );
        std::fs::write(dir.join(format!("{id}.toml")), text).expect("settings");
        Self { id, dir, ports, process: None }
    }

    pub fn clients(&self) -> SocketAddr {
        self.ports[0].addr()
    }

    /// Starts the daemon; its log goes to a file, or to a pipe that nobody reads.
    pub fn run(&mut self, stalled: bool) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_catkincartd"));
        command.arg("node").arg(self.dir.join(format!("{}.toml", self.id)));
        let log = File::options().create(true).append(true).open(self.log_file());
        command.stdout(if stalled { Stdio::piped() } else { log.expect("a log").into() });
        self.process = Some(Process::start(&mut command, None));
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
    }

    fn log_file(&self) -> PathBuf {
        self.dir.join(format!("{}.log", self.id))
    }

    /// The lines that it logged, each an object.
    pub fn log(&self) -> Vec<serde_json::Value> {
        let text = std::fs::read_to_string(self.log_file()).unwrap_or_default();
        // The last line may be on its way.
        text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect()
    }

    /// A value of its page of metrics.
    pub async fn metric(&self, starts: &str) -> Option<f64> {
        let answer = Client::default();
        let answer = answer.send(self.ports[3].addr(), Method::GET, "/metrics", Vec::new()).await;
        let line = answer.body.lines().find(|l| l.starts_with(starts))?;
        line.rsplit_once(' ')?.1.parse().ok()
    }
}

/// A platform and daemons.
pub struct Deployment {
    pub platform: Platform,
    pub nodes: Vec<Node>,
    pub client: Client,
    /// The way of each daemon to the store, if it goes through a proxy.
    pub links: Vec<Proxy>,
}

impl Deployment {
    /// Starts everything and waits until the cell is owned and every daemon is ready.
    pub async fn start(name: &str, nodes: usize, opt: &Options) -> Self {
        let mut d = Self::prepare(name, nodes, opt).await;
        d.nodes.iter_mut().for_each(|n| n.run(false));
        d.ready().await;
        d
    }

    /// Starts the platform. No daemon runs.
    pub async fn prepare(name: &str, nodes: usize, opt: &Options) -> Self {
        let platform = Platform::start(opt).await.expect("a platform");
        Self::with(name, nodes, platform, Vec::new())
    }

    /// Starts the platform and a proxy between each daemon and the store. No daemon runs.
    pub async fn proxied(name: &str, nodes: usize, opt: &Options) -> Self {
        let platform = Platform::start(opt).await.expect("a platform");
        let mut links = Vec::new();
        for _ in 0..nodes {
            links.push(Proxy::start(platform.store_addr).await.expect("a proxy"));
        }
        Self::with(name, nodes, platform, links)
    }

    fn with(name: &str, nodes: usize, platform: Platform, links: Vec<Proxy>) -> Self {
        let dir = std::env::temp_dir().join(format!("catkin-node-{}-{name}", std::process::id()));
        // It is not there unless an earlier process had the same number.
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("a folder");
        let node = |n: usize| {
            let table = links.get(n).map_or(platform.store_addr, Proxy::addr);
            Node::new(format!("node-{n}"), dir.clone(), table, platform.adviser_addr)
        };
        let nodes = (0..nodes).map(node).collect();
        Self { platform, nodes, client: Client::default(), links }
    }

    pub async fn ready(&self) {
        for n in &self.nodes {
            let addr = n.ports[1].addr();
            let ready = || self.client.send(addr, Method::GET, "/v1/readiness", Vec::new());
            eventually("a daemon is ready", async || ready().await.status == Some(200)).await;
        }
        eventually("the cell is owned", async || self.owner().is_some()).await;
    }

    /// The daemon that owns the cell, as its log says.
    pub fn owner(&self) -> Option<usize> {
        let mut newest = None;
        for (n, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.process.is_some()) {
            let taken = node.log().into_iter().filter(|l| l["message"] == "lead: read");
            let epoch = taken.filter_map(|l| l["epoch"].as_u64()).max();
            newest = newest.max(epoch.map(|e| (e, n)));
        }
        newest.map(|(_, n)| n)
    }

    /// Waits until a job is shown in `state` by every daemon that runs.
    pub async fn shown(&self, id: u64, state: &str) {
        for n in self.nodes.iter().filter(|n| n.process.is_some()) {
            let what = format!("{} shows job {id} as {state}", n.id);
            eventually(&what, async || self.client.state(n.clients(), id).await.body == state)
                .await;
        }
    }

    /// Stops everything. Nothing that a worker was told may have been wrong.
    pub async fn end(self) {
        assert_eq!(self.close().await, Vec::<String>::new());
    }

    /// Stops everything. Returns what was wrong.
    pub async fn close(mut self) -> Vec<String> {
        self.nodes.iter_mut().for_each(Node::kill);
        let wrong = self.platform.checker.all_violations();
        self.platform.stop().await;
        wrong
    }
}

/// Waits until a condition holds.
pub async fn eventually(what: &str, mut f: impl AsyncFnMut() -> bool) {
    let since = Instant::now();
    while !f().await {
        assert!(since.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        tokio::time::sleep(POLL).await;
    }
}
