//! Daemons of the system, started with the command of the deploy file.

use crate::http;
use crate::record::Record;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One daemon.
pub struct Daemon {
    pub id: String,
    pub clients: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

fn free_port() -> u16 {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("no port");
    listener.local_addr().expect("no address").port()
}

/// The program of the deploy file.
fn program() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/release/catkincartd")
}

impl Daemon {
    pub fn new(n: usize, dir: &Path, store: SocketAddr, record: &Arc<Record>) -> Self {
        let id = format!("edge-north-a-{}", n + 1);
        let [clients, ready, peer, metrics, adviser] = [(); 5].map(|()| free_port());
        let text = format!(
            r#"[daemon]
id = "{id}"
ip = "127.0.0.1"
zone = "north-a"
region = "north"
processors = 0.25e0
[regions]
"north-a" = "north"
[listen]
clients = "127.0.0.1:{clients}"
ready = "127.0.0.1:{ready}"
peer_port = {peer}
metrics_port = {metrics}
[table]
address = "{store}"
[adviser]
address = "127.0.0.1:{adviser}"
[bounds]
lease_ms = 10000e0
gang_wait_ms = 3000e0
stop_ms = 6e3
config_ms = 3000e0
remember_ms = 120e3
"#
        );
        let (settings, log) =
            (dir.join(format!("{id}.toml")), dir.join(format!("{id}.log")));
        std::fs::write(&settings, text).expect("no settings");
        let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let record = Arc::clone(record);
        Self { id, clients: addr(clients), ready: addr(ready), settings, log, child: None, record }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("no log");
        let mut command = Command::new(program());
        command.arg("node").env("CATKINCART_NODE_FILE", &self.settings);
        command.stdout(log).stderr(Stdio::null()).stdin(Stdio::null());
        self.child = Some(command.spawn().expect("the program does not start"));
        self.record.line(format!("daemon {} starts", self.id));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("daemon {} is killed", self.id));
        }
    }

    /// Sends a signal, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
            self.record.line(format!("daemon {} gets SIG{name}", self.id));
        }
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = http::call(self.ready, "GET", "/v1/readiness", &[("Host", "x")], "", timeout);
        answer.is_ok_and(|(status, _)| status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let since = Instant::now();
        while since.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
