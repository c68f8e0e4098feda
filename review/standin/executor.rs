//! An executor: carries out orders to start and stop tasks, under a lease, and lists what runs and what has ended.

use crate::http::{Answer, Power, Request, serve};
use crate::json::{Json, parse, quote};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest lease that is granted, and how long a stop takes.
pub const HOLD_MAX_MS: u64 = 10_000;
pub const STOP_MS: u64 = 400;
/// How long an executor is away that a task has crashed, and how long after the start it crashes.
const DOWN: Duration = Duration::from_secs(4);
const CRASH_DELAY_MS: u64 = 150;
/// A call that waits this long for an end is a long one.
const LONG_CALL_MS: u64 = 1_000;
const TICK: Duration = Duration::from_millis(5);
/// The largest number of ends in an answer.
const MAX_ENDS: usize = 500;

/// Returns the adviser's ticket for a step on an executor.
pub fn ticket(step: &str, executor: &str) -> String {
    format!("{step}@{executor}")
}

struct Run {
    number: u64,
    /// On this executor's clock; `None` for a task that lasts.
    ends_at: Option<u64>,
    stops_at: Option<u64>,
    fails: bool,
}

/// What an executor knows, which a crash wipes out.
struct State {
    born_ms: u128,
    started: Instant,
    /// Its first label.
    kind: String,
    first_entry: Instant,
    /// Whether it was called for its lists in this life.
    greeted: bool,
    /// When it crashes, on its own clock.
    crashes_at: Option<u64>,
    fence: u64,
    lease_end: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    highest_ended: BTreeMap<String, u64>,
}

impl State {
    fn new(kind: &str) -> Self {
        Self {
            kind: kind.to_owned(),
            first_entry: Instant::now(),
            greeted: false,
            born_ms: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis(),
            started: Instant::now(),
            crashes_at: None,
            fence: 0,
            lease_end: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            highest_ended: BTreeMap::new(),
        }
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

pub struct Executor {
    pub id: String,
    pub addr: SocketAddr,
    state: Mutex<State>,
    end: Condvar,
    power: Power,
    /// The time of a message to it and back from it.
    one_way: Duration,
    /// Whether a start has to carry a ticket.
    advised: bool,
    rejected: AtomicU64,
    mislabelled: AtomicU64,
    long_calls: AtomicU64,
    record: Arc<Record>,
}

impl Executor {
    pub fn start(id: &str, one_way: Duration, advised: bool, record: &Arc<Record>) -> Arc<Self> {
        let power = Power::default();
        let slot: Arc<Mutex<Option<Arc<Executor>>>> = Arc::default();
        let handler = Arc::clone(&slot);
        let addr = serve(power.clone(), move |req| {
            let executor = handler.lock().unwrap().clone();
            executor.map_or(Answer::Silence, |e| e.handle(&req))
        });
        let executor = Arc::new(Self {
            id: id.to_owned(),
            addr,
            state: Mutex::new(State::new("b")),
            end: Condvar::new(),
            power,
            one_way,
            advised,
            rejected: AtomicU64::new(0),
            mislabelled: AtomicU64::new(0),
            long_calls: AtomicU64::new(0),
            record: Arc::clone(record),
        });
        *slot.lock().unwrap() = Some(Arc::clone(&executor));
        let ticker = Arc::clone(&executor);
        std::thread::spawn(move || {
            loop {
                if ticker.is_up() {
                    ticker.tick();
                }
                std::thread::sleep(TICK);
            }
        });
        executor
    }

    /// Everything that runs here ends, and nothing is answered any more.
    pub fn leave(&self, why: &str) {
        self.power.silence();
        let running = std::mem::take(&mut self.state().running);
        self.record.write(&format!("executor {} {why}", self.id));
        for (task, run) in running {
            self.record.ended(&self.id, &task, run.number, "with its executor");
        }
        self.end.notify_all();
    }

    /// Begins as a life of this kind, which knows nothing of before.
    pub fn begin_as(&self, kind: &str) {
        *self.state() = State::new(kind);
    }

    /// Loses power, is back after a while under its name and at its address, and writes its first entry one interval of
    /// its entries later.
    pub fn blackout(&self, down: Duration, interval: Duration) {
        let running = std::mem::take(&mut self.state().running);
        self.power.silence();
        self.end.notify_all();
        self.record.write(&format!("executor {} loses power", self.id));
        for (task, run) in running {
            self.record.ended(&self.id, &task, run.number, "crashed");
        }
        std::thread::sleep(down);
        let kind = self.state().kind.clone();
        self.begin_as(&kind);
        self.state().first_entry = Instant::now() + interval;
        self.serve_again();
    }

    /// Whether its entry is to be written.
    pub fn is_listed(&self) -> bool {
        self.is_up() && Instant::now() >= self.state().first_entry
    }

    /// Waits until a call for the lists begins to wait here.
    pub fn wait_for_long_call(&self) {
        let seen = self.long_calls.load(Ordering::SeqCst);
        while self.long_calls.load(Ordering::SeqCst) == seen {
            std::thread::sleep(TICK);
        }
    }

    /// The process ends, and with it everything that runs here.
    pub fn end_process(&self) {
        let running = std::mem::take(&mut self.state().running);
        self.power.close();
        self.end.notify_all();
        self.record.write(&format!("executor {} crashes", self.id));
        for (task, run) in running {
            self.record.ended(&self.id, &task, run.number, "crashed");
        }
    }

    pub fn serve_again(&self) {
        self.power.turn_on();
        self.record.write(&format!(
            "executor {} serves again, of kind {}",
            self.id,
            self.state().kind
        ));
    }

    /// Returns how many tasks it was told to start that need a label which it lacks.
    pub fn mislabelled(&self) -> u64 {
        self.mislabelled.load(Ordering::SeqCst)
    }

    /// Loses power, and is back after a while as another life under the same name.
    fn crash(&self) {
        let running = std::mem::take(&mut self.state().running);
        self.power.silence();
        self.end.notify_all();
        self.record.write(&format!("executor {} crashes", self.id));
        for (task, run) in running {
            self.record.ended(&self.id, &task, run.number, "crashed");
        }
        std::thread::sleep(DOWN);
        let mut s = self.state();
        *s = State::new(&s.kind);
        drop(s);
        self.power.turn_on();
        self.record.write(&format!("executor {} is back", self.id));
    }

    /// Returns how many starts were rejected for want of a ticket.
    pub fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::SeqCst)
    }

    pub fn is_up(&self) -> bool {
        self.power.is_on()
    }

    /// The executor's report about itself.
    pub fn entry(&self, state: &str, seq_no: u64) -> String {
        let (born_ms, kind) = {
            let s = self.state();
            (s.born_ms, s.kind.clone())
        };
        let zone = if self.one_way.is_zero() { "north-a" } else { "south-a" };
        format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"seq_no\":{seq_no},\"born\":{},\
             \"capacity\":{{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":0}},\"labels\":[\"{}\",\"r-1\"]{}}}",
            self.addr,
            born_ms,
            kind,
            if state == "draining" { ",\"remaining_ms\":3000" } else { "" }
        )
    }

    /// Lets a task fail by its own fault. Returns whether it runs here.
    pub fn fail(&self, task: &str) -> bool {
        let mut s = self.state();
        let runs = s.running.contains_key(task);
        if runs {
            self.finish(&mut s, task, "failed");
        }
        runs
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn finish(&self, s: &mut State, task: &str, how: &'static str) {
        let Some(run) = s.running.remove(task) else { return };
        s.last_end += 1;
        s.ended.push((s.last_end, task.to_owned(), run.number, how));
        let highest = s.highest_ended.entry(task.to_owned()).or_default();
        *highest = run.number.max(*highest);
        self.record.ended(&self.id, task, run.number, how);
        self.end.notify_all();
    }

    fn tick(&self) {
        let mut s = self.state();
        let now = s.clock();
        if s.crashes_at.is_some_and(|at| now >= at) {
            drop(s);
            self.crash();
            return;
        }
        let lapsed = now > s.lease_end;
        let due = |r: &Run| match r {
            _ if lapsed => Some("lapsed"),
            Run { stops_at: Some(at), .. } if now >= *at => Some("stopped"),
            Run { ends_at: Some(at), fails, .. } if now >= *at => {
                Some(if *fails { "failed" } else { "done" })
            }
            _ => None,
        };
        let ends: Vec<_> =
            s.running.iter().filter_map(|(t, r)| Some((t.clone(), due(r)?))).collect();
        for (task, how) in ends {
            self.finish(&mut s, &task, how);
        }
    }

    fn handle(&self, req: &Request) -> Answer {
        std::thread::sleep(self.one_way);
        let answer = self.carry_out(req);
        std::thread::sleep(self.one_way);
        answer
    }

    fn carry_out(&self, req: &Request) -> Answer {
        if req.expected_instance.as_ref().is_some_and(|id| *id != self.id) {
            return Answer::Send(421, String::new());
        }
        let Some(call) = parse(&req.body) else { return Answer::Send(400, String::new()) };
        let answer = match req.path.as_str() {
            "/v1/run-start" => self.start_run(&call),
            "/v1/run-stop" => self.stop_run(&call),
            "/v1/hold" => self.hold(&call),
            _ => (404, String::new()),
        };
        Answer::Send(answer.0, answer.1)
    }

    fn reject(s: &State, reason: &str) -> (u16, String) {
        (409, format!("{{\"clock_ms\":{},\"reason\":{}}}", s.clock(), quote(reason)))
    }

    fn accept(s: &State) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{}}}", s.clock()))
    }

    /// Whether a call with this token is carried out: no higher one was seen.
    fn is_fenced(s: &mut State, call: &Json) -> bool {
        let token = call.get("fencing_token").num().unwrap_or(0);
        s.fence = s.fence.max(token);
        token < s.fence
    }

    fn extend(s: &mut State, call: &Json) {
        let until = call.get("until_ms").num().unwrap_or(0);
        s.lease_end = s.lease_end.max(until.min(s.clock() + HOLD_MAX_MS));
    }

    fn start_run(&self, call: &Json) -> (u16, String) {
        let (task, number) = (call.get("task").text(), call.get("run").num().unwrap_or(0));
        let mut s = self.state();
        if Self::is_fenced(&mut s, call) {
            return Self::reject(&s, "fence");
        }
        if s.running.get(&task).is_some_and(|r| r.number == number) {
            return Self::accept(&s);
        }
        if s.running.contains_key(&task) || s.highest_ended.get(&task).is_some_and(|h| number <= *h)
        {
            Self::extend(&mut s, call);
            return Self::reject(&s, "old");
        }
        if call.get("until_ms").num().unwrap_or(0) <= s.clock() {
            return Self::reject(&s, "late");
        }
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        if self.advised && call.get("ticket").text() != ticket(step, &self.id) {
            let n = self.rejected.fetch_add(1, Ordering::SeqCst) + 1;
            // The first ones are written down, and then each hundredth.
            if n < 5 || n % 100 == 0 {
                self.record.write(&format!(
                    "executor {} rejects {task} run {number}: no valid ticket (the {n}. time)",
                    self.id
                ));
            }
            return Self::reject(&s, "ticket");
        }
        Self::extend(&mut s, call);
        // The spec lists the run times of the steps' tasks, with a `!` if they fail; `lasts` stands for tasks that last,
        // `crashes` for those that crash their executor.
        let step: usize = task.split('.').nth(2).and_then(|n| n.parse().ok()).unwrap_or(0);
        let spec = call.get("spec").text();
        let word = spec.split(',').nth(step).unwrap_or_default();
        // The label that the task needs may stand before its run time.
        let (label, word) = word.split_once(':').unwrap_or(("", word));
        let nth = |text: &str, separator, n| text.split(separator).nth(n).map(str::to_owned);
        // A word for each task, and one for each of its runs; without one, the last for the task and the first for the run hold.
        let index = task.rsplit_once('.').and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
        let word = nth(word, '/', index)
            .unwrap_or_else(|| word.rsplit('/').next().unwrap_or_default().to_owned());
        let run_word = nth(&word, ';', number as usize - 1);
        let word = run_word.unwrap_or_else(|| nth(&word, ';', 0).unwrap_or_default());
        if !label.is_empty() && label != s.kind {
            self.mislabelled.fetch_add(1, Ordering::SeqCst);
            self.record.write(&format!(
                "executor {} of kind {} is told to start {task}, which needs {label}",
                self.id, s.kind
            ));
        }
        let ms = word.trim_end_matches('!').parse::<u64>().ok();
        let run = Run {
            number,
            ends_at: ms.map(|ms| s.clock() + ms),
            stops_at: None,
            fails: word.ends_with('!'),
        };
        if word == "crashes" {
            s.crashes_at = Some(s.clock() + CRASH_DELAY_MS);
        }
        s.running.insert(task.clone(), run);
        let token = call.get("fencing_token").num().unwrap_or(0);
        self.record.started(&self.id, &task, number, token);
        Self::accept(&s)
    }

    fn stop_run(&self, call: &Json) -> (u16, String) {
        let (task, number) = (call.get("task").text(), call.get("run").num().unwrap_or(0));
        let mut s = self.state();
        if Self::is_fenced(&mut s, call) {
            return Self::reject(&s, "fence");
        }
        self.record.write(&format!("executor {} is told to stop {task} run {number}", self.id));
        let at = s.clock() + STOP_MS / 2;
        match s.running.get_mut(&task) {
            Some(r) if r.number <= number => drop(r.stops_at.get_or_insert(at)),
            Some(_) => {}
            None => {
                let highest = s.highest_ended.entry(task).or_default();
                *highest = number.max(*highest);
            }
        }
        Self::accept(&s)
    }

    fn hold(&self, call: &Json) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(call.get("wait_ms").num().unwrap_or(0));
        if call.get("wait_ms").num().unwrap_or(0) >= LONG_CALL_MS {
            self.long_calls.fetch_add(1, Ordering::SeqCst);
        }
        let mut s = self.state();
        if Self::is_fenced(&mut s, call) {
            return Self::reject(&s, "fence");
        }
        if call.get("until_ms").num().is_some() {
            Self::extend(&mut s, call);
        }
        if !s.greeted {
            s.greeted = true;
            self.record.write(&format!(
                "executor {} is called for its lists, born {}",
                self.id, s.born_ms
            ));
        }
        let seen = call.get("last_seen").num().unwrap_or(0);
        s.ended.retain(|(n, task, run, _)| {
            if *n <= seen {
                self.record.noted(&self.id, task, *run);
            }
            *n > seen
        });
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !s.ended.is_empty() || left.is_zero() || !self.is_up() {
                break;
            }
            s = self.end.wait_timeout(s, left).unwrap().0;
        }
        let running =
            s.running.iter().map(|(t, r)| format!("[{},{},\"\",100,0]", quote(t), r.number));
        let running: Vec<String> = running.collect();
        let ended = s.ended.iter().take(MAX_ENDS);
        let ended =
            ended.map(|(n, t, run, how)| format!("[{n},{},{run},\"{how}\",\"\"]", quote(t)));
        let ended: Vec<String> = ended.collect();
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            s.clock(),
            s.born_ms,
            running.join(","),
            ended.join(",")
        );
        (200, body)
    }
}
