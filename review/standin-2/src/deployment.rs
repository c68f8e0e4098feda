//! A small deployment: the platform's stand-ins in this process, and daemons as processes of their own.

use crate::record::Record;
use catkin_platform_standin::client::{Client, Response};
use catkin_platform_standin::{Options, Platform};
use catkin_standin::port::ReservedPort;
use hyper::Method;
use serde_json::{Value, json};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// How long the deployment may take to become ready.
const START_LIMIT: Duration = Duration::from_secs(25);
/// How long a process may take to stop after SIGTERM (`grace_s`).
const STOP_LIMIT: Duration = Duration::from_secs(6);

/// A daemon.
pub struct Node {
    pub id: String,
    dir: PathBuf,
    ports: [ReservedPort; 4],
    process: Option<Child>,
}

impl Node {
    fn new(id: String, dir: &Path, platform: &Platform) -> Self {
        let ports = [(); 4].map(|()| ReservedPort::new().expect("no free port"));
        let [clients, ready, peers, metrics] = ports.each_ref().map(ReservedPort::addr);
        // The figures of `platform/settings.toml` for the bounds of the users' small sites.
        let text = format!(
            "[daemon]\nid = \"{id}\"\nip = \"127.0.0.1\"\nzone = \"north-a\"\nregion = \"north\"\nprocessors = 0.25e0\n\
             [regions]\n\"north-a\" = \"north\"\n\
             [listen]\nclients = \"{clients}\"\nready = \"{ready}\"\npeer_port = {}\nmetrics_port = {}\n\
             [table]\naddress = \"{}\"\n[adviser]\naddress = \"{}\"\n\
             [bounds]\nlease_ms = {}e0\ngang_wait_ms = 3000e0\nstop_ms = 6e3\nconfig_ms = 3000e0\nremember_ms = 120e3\n",
            peers.port(),
            metrics.port(),
            platform.store_addr,
            platform.adviser_addr,
            platform.max_lease.as_millis(),
        );
        std::fs::write(dir.join(format!("{id}.toml")), text).expect("cannot write the settings");
        Self { id, dir: dir.to_owned(), ports, process: None }
    }

    pub fn client_addr(&self) -> SocketAddr {
        self.ports[0].addr()
    }

    fn log_path(&self) -> PathBuf {
        self.dir.join(format!("{}.log", self.id))
    }

    fn log_lines(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect()
    }

    /// Starts the program of `deploy/system.toml`.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(self.log_path());
        let child = Command::new("target/release/catkincartd")
            .arg("node")
            .arg(self.dir.join(format!("{}.toml", self.id)))
            .stdin(Stdio::null())
            .stdout(log.expect("cannot open the log"))
            .spawn();
        self.process = Some(child.expect("cannot start target/release/catkincartd"));
    }

    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM, and SIGKILL after `grace_s`.
    pub async fn terminate(&mut self) {
        let Some(child) = &mut self.process else { return };
        let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
        let until = tokio::time::Instant::now() + STOP_LIMIT;
        while tokio::time::Instant::now() < until {
            if child.try_wait().is_ok_and(|status| status.is_some()) {
                self.process = None;
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.kill();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The deployment.
pub struct Deployment {
    pub platform: Platform,
    pub nodes: Vec<Node>,
    pub client: Client,
    dir: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(Node::kill);
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Deployment {
    /// Starts the platform with `routes` in its configuration, and the daemons. Returns `None` if they are not ready in
    /// time.
    pub async fn start(
        nodes: usize,
        opt: &Options,
        routes: Value,
        record: &Record,
    ) -> Option<Self> {
        let platform = Platform::start(opt).await.ok()?;
        let config = json!({
            "version": 5, "routes": routes, "services": [{ "name": "main", "admission_check": false }],
            "limits": { "max_body_bytes": 262_144 },
        });
        platform.store.write_row("op", "config", &config);
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&dir).ok()?;
        let nodes = (0..nodes).map(|n| Node::new(format!("edge-{n}"), &dir, &platform)).collect();
        let mut d = Self { platform, nodes, client: Client::default(), dir };
        d.nodes.iter_mut().for_each(Node::start);
        let until = tokio::time::Instant::now() + START_LIMIT;
        while !d.is_ready().await {
            if tokio::time::Instant::now() > until {
                record.line("the daemons are not ready in time");
                return None;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        // Traffic starts seconds after the machines do.
        tokio::time::sleep(Duration::from_secs(5)).await;
        record.line(&format!(
            "{} daemons ready, {} executors",
            d.nodes.len(),
            d.platform.workers.len()
        ));
        Some(d)
    }

    async fn is_ready(&self) -> bool {
        for n in self.nodes.iter().filter(|n| n.is_running()) {
            let path = "/v1/readiness";
            let answer = self.client.send(n.ports[1].addr(), Method::GET, path, Vec::new()).await;
            if answer.status != Some(200) {
                return false;
            }
        }
        self.owner().is_some()
    }

    /// The daemon that took the executors over last, of those that run.
    pub fn owner(&self) -> Option<usize> {
        let newest = |n: &Node| {
            let lines = n.log_lines();
            lines
                .iter()
                .filter(|l| l["message"] == "lead: read")
                .filter_map(|l| l["epoch"].as_u64())
                .max()
        };
        let running = self.nodes.iter().enumerate().filter(|(_, n)| n.is_running());
        running.filter_map(|(i, n)| Some((newest(n)?, i))).max().map(|(_, i)| i)
    }

    /// A daemon that runs, other than the owner if there is one.
    pub fn front(&self) -> SocketAddr {
        let owner = self.owner();
        let running = || self.nodes.iter().enumerate().filter(|(_, n)| n.is_running());
        let other = running().find(|(i, _)| Some(*i) != owner).or_else(|| running().next());
        other.expect("no daemon runs").1.client_addr()
    }

    /// Submits a job, with retries as a client makes them. Returns whether it was accepted.
    pub async fn submit(&self, path: &str, body: &Value, record: &Record) -> bool {
        for _ in 0..5 {
            let sent = self.front();
            let answer: Response =
                self.client.send(sent, Method::POST, path, body.to_string().into_bytes()).await;
            record.line(&format!("POST {path} -> {:?} {}", answer.status, answer.body.trim()));
            if answer.status.is_some_and(|s| (200..300).contains(&s)) {
                return true;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        false
    }

    /// Asks for the state of a job.
    pub async fn state(&self, path: &str, record: &Record) -> Response {
        let answer = self.client.send(self.front(), Method::GET, path, Vec::new()).await;
        record.line(&format!("GET {path} -> {:?} {}", answer.status, answer.body.trim()));
        answer
    }
}
