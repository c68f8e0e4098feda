//! Deployments of separate processes for tests: the stand-in platform, fleets, daemons, and the client.

use catkin_standin::port::Kept;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::Once;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The longest that a condition may take to come about.
pub const PATIENCE: Duration = Duration::from_mins(1);
const POLL: Duration = Duration::from_millis(20);

/// A child that is killed and reaped when it is dropped.
pub struct Process {
    child: Child,
    pub lines: Vec<String>,
}

impl Process {
    /// Starts a program and reads its output up to the line that begins with `until`.
    pub fn start(command: &mut Command, until: Option<&str>) -> Self {
        command.stdin(Stdio::null());
        if until.is_some() {
            command.stdout(Stdio::piped());
        }
        let mut child = command.spawn().expect("the program starts");
        let mut lines = Vec::new();
        if let Some(until) = until {
            let out = child.stdout.take().expect("piped");
            for line in BufReader::new(out).lines() {
                let line = line.expect("text");
                let last = line.starts_with(until);
                lines.push(line);
                if last {
                    break;
                }
            }
        }
        Self { child, lines }
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(status.expect("kill").success());
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> std::process::ExitStatus {
        self.child.wait().expect("it ends")
    }

    /// Its end, if it has ended.
    pub fn ended(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The folder of the programs that were built for this test.
fn programs() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_catkincartd")).parent().expect("a folder").to_owned()
}

/// A stand-in program, built when it is first asked for.
fn stand_in(name: &str) -> PathBuf {
    static BUILD: Once = Once::new();
    BUILD.call_once(|| {
        let mut cargo = Command::new(env!("CARGO"));
        cargo.args(["build", "--quiet", "--package", "catkin-standin", "--examples"]);
        if programs().ends_with("release") {
            cargo.arg("--release");
        }
        cargo.current_dir(env!("CARGO_MANIFEST_DIR"));
        assert!(cargo.status().expect("cargo").success());
    });
    programs().join("examples").join(name)
}

/// Waits until a condition holds.
pub fn eventually<T>(what: &str, mut f: impl FnMut() -> Option<T>) -> T {
    let since = Instant::now();
    loop {
        if let Some(x) = f() {
            return x;
        }
        assert!(since.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        std::thread::sleep(POLL);
    }
}

/// One daemon of a deployment.
pub struct Daemon {
    pub id: String,
    pub region: String,
    pub http: String,
    pub settings: PathBuf,
    pub process: Option<Process>,
    _ports: [Kept; 2],
}

/// What differs between deployments.
pub struct Options {
    pub name: &'static str,
    /// Regions, each with a number of daemons.
    pub regions: Vec<(&'static str, usize)>,
    pub workers: usize,
    pub executors: usize,
    /// Lines that are added to each daemon's settings.
    pub extra: String,
    /// Lines that are added to the section of the platform.
    pub platform_extra: String,
    pub lease_ms: u64,
    /// The section of access.
    pub access: &'static str,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "deployment",
            regions: vec![("north", 1), ("south", 1), ("west", 1)],
            workers: 4,
            executors: 2,
            extra: String::new(),
            platform_extra: String::new(),
            lease_ms: 10_000,
            access: "open = true",
        }
    }
}

/// A deployment of separate processes.
pub struct Deployment {
    pub dir: PathBuf,
    pub url: String,
    pub platform: Process,
    pub fleets: Vec<Process>,
    pub daemons: Vec<Daemon>,
}

impl Deployment {
    /// Starts everything, brings the table of weights and limits in, and waits until every daemon is ready.
    pub fn start(opt: &Options) -> Self {
        Self::start_as(opt, "")
    }

    /// As [`Deployment::start`], with an operator's token.
    pub fn start_as(opt: &Options, token: &str) -> Self {
        let mut d = Self::prepare(opt);
        for i in 0..d.daemons.len() {
            d.run(i);
        }
        let sheet = Path::new(env!("CARGO_MANIFEST_DIR")).join("etc/limits.csv");
        eventually("the table is brought in", || {
            let out =
                d.client(0, &["--token", token, "limits", "import", &sheet.display().to_string()]);
            out.status.success().then_some(())
        });
        d.ready();
        d
    }

    /// Starts the stand-ins and writes the settings of the daemons.
    pub fn prepare(opt: &Options) -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let n = NUMBER.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!(
            "catkincart-{}-{n}-{}",
            std::process::id(),
            opt.name
        ));
        std::fs::create_dir_all(&dir).expect("a folder");
        let platform = Process::start(&mut Command::new(stand_in("platform")), Some("listening"));
        let addr = platform.lines.last().and_then(|l| l.split(' ').nth(1)).expect("an address");
        let url = format!("http://{addr}");
        let fleets = opt.regions.iter().map(|(region, _)| fleet(opt, &url, region)).collect();
        let daemons = settings(opt, &url, &dir);
        Self { dir, url, platform, fleets, daemons }
    }

    /// Starts daemon `i`, or starts it again.
    pub fn run(&mut self, i: usize) {
        let log = self.dir.join(format!("{}.log", self.daemons[i].id));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_catkincartd"));
        command.args(["--threads", "2", "run"]).arg(&self.daemons[i].settings).stderr(log);
        self.daemons[i].process = Some(Process::start(&mut command, None));
    }

    /// The process of daemon `i`.
    pub fn process(&mut self, i: usize) -> &mut Process {
        self.daemons[i].process.as_mut().expect("it runs")
    }

    /// Waits until every daemon that runs is ready.
    pub fn ready(&self) {
        for d in self.daemons.iter().filter(|d| d.process.is_some()) {
            eventually(&format!("{} is ready", d.id), || {
                (get(&d.http, "/readyz")?.0 == 200).then_some(())
            });
        }
    }

    /// Runs the client against daemon `i`.
    pub fn client(&self, i: usize, args: &[&str]) -> Output {
        client(&[&self.daemons[i].http], args)
    }

    /// Puts faults in force at the platform.
    pub fn fault(&self, json: &str) {
        let addr = self.url.trim_start_matches("http://").to_owned();
        let (status, body) = exchange(&addr, "PUT", "/fault", json).expect("the platform answers");
        assert_eq!(status, 200, "{body}");
    }

    /// Addresses of the fleets' hosts whose names contain `part`.
    pub fn hosts(&self, part: &str) -> Vec<(String, String)> {
        let lines = self.fleets.iter().flat_map(|f| &f.lines);
        let host = |l: &String| {
            let mut words = l.strip_prefix("host ")?.split(' ').map(str::to_owned);
            Some((words.next()?, words.next()?))
        };
        lines.filter_map(host).filter(|(name, _)| name.contains(part)).collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for d in &mut self.daemons {
            d.process = None;
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

pub fn fleet(opt: &Options, url: &str, region: &str) -> Process {
    let mut command = Command::new(stand_in("fleet"));
    command.args(["--platform", url, "--region", region, "--zone", &format!("{region}-a")]);
    command.args([
        "--workers",
        &opt.workers.to_string(),
        "--executors",
        &opt.executors.to_string(),
    ]);
    command.args(["--service", "shop-main", "--service", "coop-main"]);
    command.args(["--lease-ms", &opt.lease_ms.to_string()]);
    Process::start(&mut command, Some("ready"))
}

fn settings(opt: &Options, url: &str, dir: &Path) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    let mut peers = String::new();
    for (region, n) in &opt.regions {
        for k in 0..*n {
            let id = format!("{region}-{k}");
            let ports = [Kept::new(), Kept::new()].map(|p| p.expect("a free port"));
            let [peer, http] = ports.each_ref().map(|p| p.addr().to_string());
            write!(
                peers,
                "[[peers]]\nid = \"{id}\"\nregion = \"{region}\"\nzone = \"{region}-a\"\npeer_addr = \"{peer}\"\n\n"
            )
            .expect("memory");
            let own = format!(
                "[daemon]\nid = \"{id}\"\nregion = \"{region}\"\nzone = \"{region}-a\"\nhttp_listen = \"{http}\"\npeer_listen = \"{peer}\"\n\n"
            );
            let settings = dir.join(format!("{id}.toml"));
            daemons.push((
                Daemon {
                    id,
                    region: (*region).into(),
                    http,
                    settings,
                    process: None,
                    _ports: ports,
                },
                own,
            ));
        }
    }
    let platform = format!(
        "[platform]\ntable_url = \"{url}\"\nobjects_url = \"{url}\"\nhosts_url = \"{url}\"\n{}\n",
        opt.platform_extra
    );
    let rest = format!(
        "{platform}[lease]\nlength_ms = {}\nrenew_ms = {}\n\n[access]\npeer_token = \"test\"\n{}\n\n{}",
        opt.lease_ms,
        (opt.lease_ms / 3).min(3_000),
        opt.access,
        opt.extra
    );
    let write = |(d, own): (Daemon, String)| {
        std::fs::write(&d.settings, format!("{own}{rest}\n{peers}")).expect("settings");
        d
    };
    daemons.into_iter().map(write).collect()
}

/// Runs the client.
pub fn client(servers: &[&str], args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_catkincart"));
    for server in servers {
        command.args(["--server", server]);
    }
    command.args(args).stdin(Stdio::null());
    command.output().expect("the client runs")
}

/// The standard output of the client, which has to succeed.
pub fn printed(out: &Output) -> String {
    let (text, err) = (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    assert!(out.status.success(), "{text}{err}");
    text.into_owned()
}

/// Reads a page.
pub fn get(addr: &str, path: &str) -> Option<(u16, String)> {
    exchange(addr, "GET", path, "").ok()
}

/// One plain exchange over a connection of its own.
pub fn exchange(
    addr: &str,
    method: &str,
    path: &str,
    body: &str,
) -> std::io::Result<(u16, String)> {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    Ok((status, body.to_owned()))
}
