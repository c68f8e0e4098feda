//! Three daemons as processes, two regions, with stand-ins in this process.

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

const SLOTS: u32 = 8;
const EXECUTORS: u64 = 4;
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);
/// Ticks of processor time in a second, as the system counts them for processes.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE: f64 = 4_096.0;

/// What a daemon used since it started.
pub struct Usage {
    pub id: String,
    pub cpu_s: f64,
    pub memory_mib: f64,
    pub worker_messages: f64,
    pub worker_bytes: f64,
    pub zone_bytes: f64,
    pub far_bytes: f64,
    pub platform_bytes: f64,
    pub reads: f64,
    pub transactions: f64,
    pub rows: f64,
}

pub struct Deployment {
    pub addrs: Vec<String>,
    ids: Vec<String>,
    children: Vec<Child>,
    stand_ins: Vec<ServerHandle>,
    http: Client,
    dir: std::path::PathBuf,
    _ports: Vec<ReservedPort>,
}

impl Deployment {
    pub async fn start(program: &Path, workers: u64) -> Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = Platform::new();
        let place =
            HostLocation { region: "north".into(), zone: "north-a".into(), rack: "rack-0".into() };
        let mut stand_ins = vec![platform.serve(any).await?];
        let url = format!("http://{}", stand_ins[0].addr);
        for n in 0..workers {
            let serving = Worker::new(n + 1, WorkerOptions::default()).serve(any).await?;
            platform.put_hosts([host_entry(&format!("w{n}"), "", 0, &place, &serving)]);
            stand_ins.push(serving);
        }
        for service in ["main", "other", "third"] {
            for n in 0..EXECUTORS {
                let opt = ExecutorOptions { slots: SLOTS, ..ExecutorOptions::default() };
                let serving = Executor::new(opt).serve(any).await?;
                platform.put_hosts([host_entry(
                    &format!("{service}-{n}"),
                    service,
                    SLOTS,
                    &place,
                    &serving,
                )]);
                stand_ins.push(serving);
            }
        }
        let dir = std::env::temp_dir().join(format!("catkin-live-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let (mut addrs, mut ids, mut children, mut own, mut ports, mut peers) =
            (vec![], vec![], vec![], vec![], vec![], String::new());
        for (id, region) in [("north-0", "north"), ("north-1", "north"), ("south-0", "south")] {
            let kept = [ReservedPort::new()?, ReservedPort::new()?];
            let [http, peer] = kept.each_ref().map(|p| p.addr().to_string());
            ports.extend(kept);
            writeln!(
                peers,
                "[[peers]]\nid = \"{id}\"\nregion = \"{region}\"\nzone = \"{region}-a\"\npeer_addr = \"{peer}\"\n"
            )?;
            own.push(format!("[daemon]\nid = \"{id}\"\nregion = \"{region}\"\nzone = \"{region}-a\"\nhttp_listen = \"{http}\"\npeer_listen = \"{peer}\"\n"));
            addrs.push(http);
            ids.push(id.to_owned());
        }
        for (id, own) in ids.iter().zip(&own) {
            let file = dir.join(format!("{id}.toml"));
            let rest = format!(
                "[platform]\ntable_url = \"{url}\"\nobjects_url = \"{url}\"\nhosts_url = \"{url}\"\n[access]\nopen = true\n[log]\nfilter = \"warn\"\n"
            );
            std::fs::write(&file, format!("{own}\n{rest}\n{peers}"))?;
            let mut command = Command::new(program);
            command.args(["--threads", "2", "run"]).arg(&file).stdin(Stdio::null());
            children.push(command.spawn()?);
        }
        let d =
            Self { addrs, ids, children, stand_ins, http: Client::default(), dir, _ports: ports };
        d.import().await?;
        d.ready().await;
        Ok(d)
    }

    async fn import(&self) -> Result<()> {
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
        let since = Instant::now();
        while self
            .http
            .exchange(Method::POST, &url, body.clone().into(), TIMEOUT)
            .await
            .map(|a| a.0)
            != Ok(200)
        {
            if since.elapsed() > TIMEOUT {
                return Err("the table was not taken".into());
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }

    async fn ready(&self) {
        for addr in &self.addrs {
            let url = format!("http://{addr}/readyz");
            while self.http.exchange(Method::GET, &url, "".into(), TIMEOUT).await.map(|a| a.0)
                != Ok(200)
            {
                tokio::time::sleep(POLL).await;
            }
        }
        // The first seconds have claims and moves of shards in them.
        tokio::time::sleep(Duration::from_secs(8)).await;
    }

    pub async fn usage(&mut self) -> Result<Vec<Usage>> {
        let mut out = Vec::new();
        for ((id, addr), child) in self.ids.iter().zip(&self.addrs).zip(&self.children) {
            let url = format!("http://{addr}/metrics");
            let (_, page) = self.http.exchange(Method::GET, &url, "".into(), TIMEOUT).await?;
            let page = String::from_utf8_lossy(&page).into_owned();
            let of = |name: &str, label: &str| -> f64 {
                let lines = page.lines().filter(|l| l.starts_with(name) && l.contains(label));
                lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
            };
            let peers = |link: &str| {
                of("catkin_peer_sent_bytes", link) + of("catkin_peer_received_bytes", link)
            };
            let (cpu_s, memory_mib) = process(child.id())?;
            out.push(Usage {
                id: id.clone(),
                cpu_s,
                memory_mib,
                worker_messages: of("catkin_worker_messages", ""),
                worker_bytes: of("catkin_worker_sent_bytes", "")
                    + of("catkin_worker_received_bytes", ""),
                zone_bytes: peers("link=\"zone\""),
                far_bytes: peers("link=\"between_regions\""),
                platform_bytes: of("catkin_platform_sent_bytes", "")
                    + of("catkin_platform_received_bytes", ""),
                reads: of("catkin_table_reads", ""),
                transactions: of("catkin_table_transactions", ""),
                rows: of("catkin_table_rows", ""),
            });
        }
        Ok(out)
    }

    /// Submits a job.
    pub async fn submit(&self, tasks: u32, program: &str) -> Result<String> {
        let body = format!(
            "{{\"row\":\"plans\",\"tasks\":{tasks},\"size\":{{\"cpu_milli\":500,\"memory_mib\":64,\"accelerators\":0}},\"program\":\"{program}\"}}"
        );
        let url = format!("http://{}/v1/jobs", self.addrs[0]);
        let (status, answer) = self.http.exchange(Method::POST, &url, body.into(), TIMEOUT).await?;
        let answer: serde_json::Value = serde_json::from_slice(&answer)?;
        Ok(answer["job"].as_str().ok_or_else(|| format!("{status} {answer}"))?.to_owned())
    }

    /// Submits a job and waits for its end.
    pub async fn run_job(&self, tasks: u32, program: &str) -> Result<Duration> {
        let since = Instant::now();
        let job = self.submit(tasks, program).await?;
        let url = format!("http://{}/v1/jobs/{job}", self.addrs[0]);
        loop {
            let status: serde_json::Value = self.http.get(&url, TIMEOUT).await?;
            if status["state"] == "done" {
                return Ok(since.elapsed());
            }
            if since.elapsed() > TIMEOUT * 2 {
                return Err(format!("the job did not end: {status}").into());
            }
            tokio::time::sleep(POLL).await;
        }
    }

    pub async fn stop(mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        for stand_in in self.stand_ins {
            stand_in.stop().await;
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Processor time in seconds and resident memory in MiB of a process.
fn process(id: u32) -> Result<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let number = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    Ok(((number(11) + number(12)) / TICKS_PER_SECOND, number(21) * PAGE / f64::from(1 << 20)))
}
