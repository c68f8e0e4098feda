//! A deployment of three daemon processes in two regions. The simulated platform, workers and executors run in this
//! process.

use crate::Result;
use catkin_http::Client;
use catkin_standin::executor::{Executor, Options as ExecutorOptions};
use catkin_standin::platform::Platform;
use catkin_standin::port::ReservedPort;
use catkin_standin::worker::{Options as WorkerOptions, Worker};
use catkin_standin::{HostLocation, ServerHandle, host_entry};
use hyper::Method;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const SLOTS_PER_EXECUTOR: u32 = 8;
const EXECUTORS_PER_SERVICE: u64 = 4;
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The unit of CPU time in `/proc/PID/stat`, in ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4_096.0;

/// The resource usage and message counts of a daemon since its start.
pub struct Usage {
    pub id: String,
    pub cpu_s: f64,
    pub memory_mib: f64,
    pub worker_messages: f64,
    pub worker_bytes: f64,
    pub in_zone_bytes: f64,
    pub between_regions_bytes: f64,
    pub platform_bytes: f64,
    pub reads: f64,
    pub transactions: f64,
    pub rows: f64,
}

pub struct Deployment {
    pub addrs: Vec<String>,
    ids: Vec<String>,
    children: Vec<Child>,
    servers: Vec<ServerHandle>,
    http: Client,
    dir: std::path::PathBuf,
    _ports: Vec<ReservedPort>,
}

impl Deployment {
    pub async fn start(program: &Path, workers: u64) -> Result<Self> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = Platform::new();
        let location =
            HostLocation { region: "north".into(), zone: "north-a".into(), rack: "rack-0".into() };
        let mut servers = vec![platform.serve(any_port).await?];
        let url = format!("http://{}", servers[0].addr);
        for n in 0..workers {
            let handle = Worker::new(n + 1, WorkerOptions::default()).serve(any_port).await?;
            platform.put_hosts([host_entry(&format!("w{n}"), "", 0, &location, &handle)]);
            servers.push(handle);
        }
        for service in ["main", "other", "third"] {
            for n in 0..EXECUTORS_PER_SERVICE {
                let opt =
                    ExecutorOptions { slots: SLOTS_PER_EXECUTOR, ..ExecutorOptions::default() };
                let handle = Executor::new(opt).serve(any_port).await?;
                platform.put_hosts([host_entry(
                    &format!("{service}-{n}"),
                    service,
                    SLOTS_PER_EXECUTOR,
                    &location,
                    &handle,
                )]);
                servers.push(handle);
            }
        }
        let dir = std::env::temp_dir().join(format!("catkin-live-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let (mut addrs, mut ids, mut children, mut daemon_sections, mut ports, mut peers) =
            (vec![], vec![], vec![], vec![], vec![], String::new());
        for (id, region) in [("north-0", "north"), ("north-1", "north"), ("south-0", "south")] {
            let reserved = [ReservedPort::new()?, ReservedPort::new()?];
            let [http, peer] = reserved.each_ref().map(|p| p.addr().to_string());
            ports.extend(reserved);
            writeln!(
                peers,
                "[[peers]]\nid = \"{id}\"\nregion = \"{region}\"\nzone = \"{region}-a\"\npeer_addr = \"{peer}\"\n"
            )?;
            daemon_sections.push(format!("[daemon]\nid = \"{id}\"\nregion = \"{region}\"\nzone = \"{region}-a\"\nhttp_listen = \"{http}\"\npeer_listen = \"{peer}\"\n"));
            addrs.push(http);
            ids.push(id.to_owned());
        }
        for (id, daemon_sections) in ids.iter().zip(&daemon_sections) {
            let file = dir.join(format!("{id}.toml"));
            let common_sections = format!(
                "[platform]\ntable_url = \"{url}\"\nobjects_url = \"{url}\"\nhosts_url = \"{url}\"\n[access]\nopen = true\n[log]\nfilter = \"warn\"\n"
            );
            std::fs::write(&file, format!("{daemon_sections}\n{common_sections}\n{peers}"))?;
            let mut command = Command::new(program);
            command.args(["--threads", "2", "run"]).arg(&file).stdin(Stdio::null());
            children.push(command.spawn()?);
        }
        let d = Self { addrs, ids, children, servers, http: Client::default(), dir, _ports: ports };
        d.import_limits().await?;
        d.wait_until_ready().await;
        Ok(d)
    }

    async fn import_limits(&self) -> Result<()> {
        let row = |name: &str, service: &str, weight: u32, urgency: &str, bound: u64| {
            format!(
                "{{\"name\":\"{name}\",\"row\":{{\"name\":\"{name}\",\"borrower\":\"b\",\"service\":\"{service}\",\"weight\":{weight},\"urgency\":\"{urgency}\",\"queue_bound\":{bound},\"max_wait_ms\":2000}}}}"
            )
        };
        let rows = [
            row("quotes", "main", 100, "urgent", 2_000),
            row("flood", "main", 50, "low", 200),
            row("flood-urgent", "main", 50, "urgent", 200),
            row("plans", "", 20, "normal", 100_000),
        ];
        let body = format!("{{\"expect_version\":0,\"changes\":[{}]}}", rows.join(","));
        let url = format!("http://{}/v1/limits", self.addrs[0]);
        let started = Instant::now();
        while self
            .http
            .exchange(Method::POST, &url, body.clone().into(), CALL_TIMEOUT)
            .await
            .map(|a| a.0)
            != Ok(200)
        {
            if started.elapsed() > CALL_TIMEOUT {
                return Err("the daemon did not accept the limits before the timeout".into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn wait_until_ready(&self) {
        for addr in &self.addrs {
            let url = format!("http://{addr}/readyz");
            while self.http.exchange(Method::GET, &url, "".into(), CALL_TIMEOUT).await.map(|a| a.0)
                != Ok(200)
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        // In the first seconds, daemons claim workers and shards move, which would distort the measurements.
        tokio::time::sleep(Duration::from_secs(8)).await;
    }

    pub async fn usage(&mut self) -> Result<Vec<Usage>> {
        let mut out = Vec::new();
        for ((id, addr), child) in self.ids.iter().zip(&self.addrs).zip(&self.children) {
            let url = format!("http://{addr}/metrics");
            let (_, page) = self.http.exchange(Method::GET, &url, "".into(), CALL_TIMEOUT).await?;
            let page = String::from_utf8_lossy(&page).into_owned();
            let metric_sum = |name: &str, label: &str| -> f64 {
                let lines = page.lines().filter(|l| l.starts_with(name) && l.contains(label));
                lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
            };
            let peers = |link: &str| {
                metric_sum("catkin_peer_sent_bytes", link)
                    + metric_sum("catkin_peer_received_bytes", link)
            };
            let (cpu_s, memory_mib) = process_usage(child.id())?;
            out.push(Usage {
                id: id.clone(),
                cpu_s,
                memory_mib,
                worker_messages: metric_sum("catkin_worker_messages", ""),
                worker_bytes: metric_sum("catkin_worker_sent_bytes", "")
                    + metric_sum("catkin_worker_received_bytes", ""),
                in_zone_bytes: peers("link=\"zone\""),
                between_regions_bytes: peers("link=\"between_regions\""),
                platform_bytes: metric_sum("catkin_platform_sent_bytes", "")
                    + metric_sum("catkin_platform_received_bytes", ""),
                reads: metric_sum("catkin_table_reads", ""),
                transactions: metric_sum("catkin_table_transactions", ""),
                rows: metric_sum("catkin_table_rows", ""),
            });
        }
        Ok(out)
    }

    /// Submits a job and returns its id.
    pub async fn submit(&self, tasks: u32, program: &str) -> Result<String> {
        let body = format!(
            "{{\"row\":\"plans\",\"tasks\":{tasks},\"size\":{{\"cpu_milli\":500,\"memory_mib\":64,\"accelerators\":0}},\"program\":\"{program}\"}}"
        );
        let url = format!("http://{}/v1/jobs", self.addrs[0]);
        let (status, answer) =
            self.http.exchange(Method::POST, &url, body.into(), CALL_TIMEOUT).await?;
        let answer: serde_json::Value = serde_json::from_slice(&answer)?;
        Ok(answer["job"].as_str().ok_or_else(|| format!("{status} {answer}"))?.to_owned())
    }

    /// Submits a job, waits for its end and returns the time that it took.
    pub async fn run_job(&self, tasks: u32, program: &str) -> Result<Duration> {
        let started = Instant::now();
        let job = self.submit(tasks, program).await?;
        let url = format!("http://{}/v1/jobs/{job}", self.addrs[0]);
        loop {
            let status: serde_json::Value = self.http.get(&url, CALL_TIMEOUT).await?;
            if status["state"] == "done" {
                return Ok(started.elapsed());
            }
            if started.elapsed() > CALL_TIMEOUT * 2 {
                return Err(format!("the job did not end before the timeout: {status}").into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub async fn stop(mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        for server in self.servers {
            server.stop().await;
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Returns the CPU time in seconds and the resident memory in MiB of a process.
fn process_usage(id: u32) -> Result<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let number = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    Ok(((number(11) + number(12)) / TICKS_PER_SECOND, number(21) * PAGE_BYTES / f64::from(1 << 20)))
}
