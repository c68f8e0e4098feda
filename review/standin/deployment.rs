//! A small deployment: the daemons as processes, beside the stand-ins of the platform.

use crate::executor::{Executor, ticket};
use crate::http::{Answer, Power, Request, call, serve};
use crate::json::{Json, parse, quote};
use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The interval of the executors' entries.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// One way.
const BETWEEN_REGIONS: Duration = Duration::from_millis(30);
const HOST: &str = "desk.example";
const PREFIX: &str = "/desk/";

pub struct Daemon {
    name: String,
    pub clients: SocketAddr,
    ready: SocketAddr,
    process: Option<Child>,
    /// Whether the store turns this machine away.
    turned_away: Arc<AtomicBool>,
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    executors: Arc<Mutex<BTreeMap<String, (Arc<Executor>, &'static str)>>>,
    pub daemons: Vec<Daemon>,
    dir: PathBuf,
}

/// The size of a deployment.
#[derive(Clone, Copy)]
pub struct Options {
    pub daemons: usize,
    pub executors: usize,
    /// The number of executors in the daemons' region; the others are in another one.
    pub near: usize,
    /// Whether the queues have an adviser.
    pub advised: bool,
}

/// Returns a configuration with a queue for each of the names.
pub fn config(version: u64, queues: &[&str], advised: bool) -> String {
    let advisor = "\"advisor\":{\"decide_ms\":20,\"each_ms\":1,\"valid_ms\":2500},";
    let advisor = if advised { advisor } else { "" };
    let route = |name: &&str| {
        format!(
            "{{\"name\":\"{name}-jobs\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"service\":\"desk\",{advisor}\
             \"timeout_ms\":3000,\"target_duration_ms\":600,\"priority\":0,\"max_attempts\":2,\"stretch\":2.0}}"
        )
    };
    let routes: Vec<String> = queues.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"admission_check\":false}}],\"limits\":{{}}}}",
        routes.join(",")
    )
}

/// The adviser: each of the workers asked about may run the step.
fn advise(req: &Request) -> Answer {
    let call = parse(&req.body).unwrap_or(Json::Null);
    let step = call.get("step").text();
    let workers: Vec<String> = call.get("workers").list().iter().map(Json::text).collect();
    std::thread::sleep(Duration::from_millis(20 + workers.len() as u64));
    let good = workers.iter().map(|w| format!("[{},{}]", quote(w), quote(&ticket(&step, w))));
    let good: Vec<String> = good.collect();
    Answer::Send(200, format!("{{\"good\":[{}]}}", good.join(",")))
}

/// Returns a free port below those that the system gives to outgoing connections, another one each time.
fn free_port() -> u16 {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = std::process::id() * 97 + TRIED.fetch_add(1, Ordering::SeqCst);
        let port = 20_000 + (n % 12_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Deployment {
    pub fn start(record: &Arc<Record>, opt: Options) -> Self {
        let Options { daemons, executors, near, advised } = opt;
        let store = Store::start();
        let adviser = serve(Power::default(), |req| advise(&req));
        store.write("op", "config", &config(1, &["desk", "other"], advised));
        let dir = std::env::temp_dir().join(format!("catkin-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let listed = (0..executors).map(|n| {
            let id = format!("x-{n}");
            let one_way = if n < near { Duration::ZERO } else { BETWEEN_REGIONS };
            (id.clone(), (Executor::start(&id, one_way, advised, record), "ready"))
        });
        let listed = Arc::new(Mutex::new(listed.collect()));
        let mut d =
            Self { record: Arc::clone(record), store, executors: listed, daemons: Vec::new(), dir };
        d.spawn_heartbeats();
        for n in 0..daemons {
            let daemon = d.prepare(&format!("edge-{n}"), adviser);
            d.daemons.push(daemon);
        }
        for n in 0..daemons {
            d.start_daemon(n);
        }
        d
    }

    /// Writes the entries of the executors that are up. The entry of one that is silent goes after three intervals.
    fn spawn_heartbeats(&self) {
        let (store, executors) = (Arc::clone(&self.store), Arc::clone(&self.executors));
        std::thread::spawn(move || {
            let mut silent: BTreeMap<String, u32> = BTreeMap::new();
            for seq_no in 1.. {
                for (id, (executor, state)) in executors.lock().unwrap().iter() {
                    if executor.is_listed() {
                        store.write("servers", id, &executor.entry(state, seq_no));
                    } else if !executor.is_up() {
                        let missed = silent.entry(id.clone()).or_default();
                        *missed += 1;
                        if *missed == 3 {
                            store.drop_row("servers", id);
                        }
                    }
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Writes the settings of a daemon, as the template of the deploy file gives them.
    fn prepare(&self, name: &str, adviser: SocketAddr) -> Daemon {
        let (store, turned_away) = self.store.open();
        let [clients, ready, peer, metrics] = [(); 4].map(|()| free_port());
        let text = format!(
            "[daemon]\nid = \"{name}\"\nip = \"127.0.0.1\"\nzone = \"north-a\"\nregion = \"north\"\nprocessors = 0.25\n\
             [regions]\n\"north-a\" = \"north\"\n\"south-a\" = \"south\"\n\
             [listen]\nclients = \"127.0.0.1:{clients}\"\nready = \"127.0.0.1:{ready}\"\npeer_port = {peer}\n\
             metrics_port = {metrics}\n[table]\naddress = \"{store}\"\n[adviser]\naddress = \"{adviser}\"\n\
             [bounds]\nlease_ms = 10000e0\ngang_wait_ms = 3000e0\nstop_ms = 6e3\nremember_ms = 120e3\n"
        );
        std::fs::write(self.dir.join(format!("{name}.toml")), text)
            .expect("the settings are written");
        let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Daemon {
            name: name.to_owned(),
            clients: addr(clients),
            ready: addr(ready),
            turned_away,
            process: None,
        }
    }

    /// Starts a daemon with the command of the deploy file.
    pub fn start_daemon(&mut self, n: usize) {
        let name = self.daemons[n].name.clone();
        let log =
            File::options().create(true).append(true).open(self.dir.join(format!("{name}.log")));
        let mut command = Command::new("target/release/catkincartd");
        command.arg("node").env("CATKINCART_NODE_FILE", self.dir.join(format!("{name}.toml")));
        command.stdin(Stdio::null()).stderr(Stdio::null()).stdout(log.expect("a log file"));
        let process = command.spawn().expect("the daemon's program is built");
        STARTED.lock().unwrap().push(process.id());
        self.daemons[n].process = Some(process);
        self.record.write(&format!("daemon {name} is started"));
    }

    /// Kills a daemon with SIGKILL.
    pub fn kill_daemon(&mut self, n: usize) {
        if let Some(mut process) = self.daemons[n].process.take() {
            let _ = process.kill();
            let _ = process.wait();
            STARTED.lock().unwrap().retain(|id| *id != process.id());
            self.record.write(&format!("daemon {} is killed", self.daemons[n].name));
        }
    }

    /// Lets the store turn a machine away, or serve it again.
    pub fn turn_away(&self, n: usize, turned_away: bool) {
        self.daemons[n].turned_away.store(turned_away, Ordering::SeqCst);
        let how = if turned_away { "turns away" } else { "serves again" };
        self.record.write(&format!("the store {how} daemon {}", self.daemons[n].name));
    }

    /// Stops a daemon with SIGTERM, and starts it again once it has ended.
    pub fn roll_daemon(&mut self, n: usize) {
        if let Some(mut process) = self.daemons[n].process.take() {
            self.record.write(&format!("daemon {} gets SIGTERM", self.daemons[n].name));
            let _ = Command::new("kill").args(["-TERM", &process.id().to_string()]).status();
            let _ = process.wait();
            self.record.write(&format!("daemon {} has ended", self.daemons[n].name));
            STARTED.lock().unwrap().retain(|id| *id != process.id());
            self.start_daemon(n);
        }
    }

    /// Waits until all daemons that run are ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        self.daemons.iter().filter(|d| d.process.is_some()).all(|d| {
            loop {
                let answer = call(d.ready, "GET", "/v1/readiness", &[], "", Duration::from_secs(1));
                if answer.is_some_and(|a| a.0 == 200) {
                    return true;
                }
                if Instant::now() > until {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        })
    }

    /// Sends a client's request about a job. Returns the status, 0 without an answer, and the body.
    pub fn request(&self, n: usize, method: &str, job: &str, body: &str) -> (u16, String) {
        request(&self.record, &self.daemons[n], method, job, body)
    }

    pub fn executor(&self, id: &str) -> Option<Arc<Executor>> {
        self.executors.lock().unwrap().get(id).map(|(e, _)| Arc::clone(e))
    }

    /// The executor says that it drains, serves on for a while, and leaves.
    pub fn drain_and_leave(&self, id: &str, serves_on: Duration) {
        let executor = {
            let mut executors = self.executors.lock().unwrap();
            let Some(entry) = executors.get_mut(id) else { return };
            entry.1 = "draining";
            Arc::clone(&entry.0)
        };
        self.store.write("servers", id, &executor.entry("draining", 1_000_000));
        self.record.write(&format!("executor {id} says that it drains"));
        std::thread::sleep(serves_on);
        executor.leave("leaves");
        self.executors.lock().unwrap().remove(id);
        self.store.drop_row("servers", id);
    }

    /// An executor crashes, and starts again after a while under its name and at its address, as an executor of another
    /// kind. It writes its entry before it takes calls.
    pub fn crash_and_return(&self, id: &str, down: Duration, kind: &str) {
        let Some(e) = self.executor(id) else { return };
        e.end_process();
        std::thread::sleep(down);
        e.begin_as(kind);
        self.store.write("servers", id, &e.entry("ready", 1));
        e.serve_again();
    }

    /// Returns the number of the daemon that holds the cell, by its own log.
    pub fn owner(&self) -> Option<usize> {
        let mut newest = None;
        for (n, d) in self.daemons.iter().enumerate().filter(|(_, d)| d.process.is_some()) {
            let text = std::fs::read_to_string(self.dir.join(format!("{}.log", d.name))).ok()?;
            let terms = text.lines().filter(|l| l.contains("lead: taken over"));
            let terms = terms.filter_map(|l| find_number(l, "epoch"));
            newest = newest.max(terms.max().map(|epoch| (epoch, n)));
        }
        newest.map(|(_, n)| n)
    }
}

/// Ends all that was started.
impl Drop for Deployment {
    fn drop(&mut self) {
        for n in 0..self.daemons.len() {
            self.kill_daemon(n);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// The ids of the daemons' processes that run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the daemons and this process after `limit`, whatever the case does.
pub fn limit_time(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        std::process::exit(2);
    });
}

fn find_number(line: &str, name: &str) -> Option<u64> {
    let rest = &line[line.find(&format!("\"{name}\":"))? + name.len() + 3..];
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

pub fn request(record: &Record, d: &Daemon, method: &str, job: &str, body: &str) -> (u16, String) {
    let headers = [("Host", HOST), ("Deadline-Ms", "3000")];
    let path = format!("{PREFIX}{job}");
    record.write(&format!("client sends {method} {job} to {}", d.name));
    let answer = call(d.clients, method, &path, &headers, body, Duration::from_millis(3_200));
    let answer = answer.unwrap_or((0, String::new()));
    let state = parse(answer.1.as_bytes()).map_or(String::new(), |j| j.get("state").text());
    let text = answer.1.trim();
    record.write(&format!("client gets {} for {method} {job} from {}: {text}", answer.0, d.name));
    (answer.0, state)
}
