//! The platform's store: rows, transactions and the feed of changes.

use crate::http::{Answer, Power, Request, serve};
use crate::json::{Json, parse, quote, to_base64};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How long a read and a transaction take.
const READ_TIME: Duration = Duration::from_millis(4);
const WRITE_TIME: Duration = Duration::from_millis(8);
/// The largest number of rows in an answer, and of entries in a transaction.
const MAX_ROWS: usize = 500;
const MAX_ENTRIES: usize = 100;

/// Table, part and key.
type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    current: BTreeMap<Key, (String, u64)>,
    changes: Vec<(u64, Key, Option<String>)>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    power: Power,
}

impl Store {
    pub fn start() -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            power: Power::default(),
        })
    }

    /// Opens an address for one machine. While the flag is set, the store turns that machine away (503).
    pub fn open(self: &Arc<Self>) -> (SocketAddr, Arc<AtomicBool>) {
        let (store, busy) = (Arc::clone(self), Arc::new(AtomicBool::new(false)));
        let is_busy = Arc::clone(&busy);
        let addr = serve(self.power.clone(), move |req| match is_busy.load(Ordering::SeqCst) {
            true => Answer::Send(503, String::new()),
            false => store.handle(&req),
        });
        (addr, busy)
    }

    /// While the store is silent, calls have no effect and get no answer, nor do they get one later.
    pub fn set_silent(&self, silent: bool) {
        if silent {
            self.power.silence()
        } else {
            self.power.turn_on()
        }
        self.changed.notify_all();
    }

    /// Writes a row on behalf of the operator or an executor.
    pub fn write(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.apply(&mut self.rows.lock().unwrap(), vec![(key, Some(to_base64(value.as_bytes())))]);
    }

    /// Drops a row on behalf of the operator or an executor.
    pub fn drop_row(&self, table: &str, key: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.apply(&mut self.rows.lock().unwrap(), vec![(key, None)]);
    }

    fn apply(&self, rows: &mut Rows, changes: Vec<(Key, Option<String>)>) {
        rows.version += 1;
        let version = rows.version;
        for (key, value) in changes {
            match &value {
                Some(v) => drop(rows.current.insert(key.clone(), (v.clone(), version))),
                None => drop(rows.current.remove(&key)),
            }
            rows.changes.push((version, key, value));
        }
        self.changed.notify_all();
    }

    fn tail(&self, rows: &Rows) -> String {
        format!("\"ver\":{},\"now_ms\":{}", rows.version, self.started.elapsed().as_millis())
    }

    fn handle(&self, req: &Request) -> Answer {
        let answer = match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/v1/rows-tx") => {
                std::thread::sleep(WRITE_TIME);
                if !self.power.is_on() {
                    return Answer::Silence;
                }
                self.transact(&req.body)
            }
            ("GET", "/v1/rows-get") => {
                std::thread::sleep(READ_TIME);
                self.get(req)
            }
            ("GET", "/v1/rows-feed") => {
                std::thread::sleep(READ_TIME);
                self.feed(req)
            }
            _ => (404, String::new()),
        };
        Answer::Send(answer.0, answer.1)
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(tx) = parse(body) else { return (400, String::new()) };
        let key = |j: &Json| (j.get("table").text(), j.get("part").text(), j.get("key").text());
        let lists = [tx.get("precondition"), tx.get("put"), tx.get("remove")].map(Json::list);
        let keys: Vec<Key> = lists.iter().flat_map(|l| l.iter()).map(key).collect();
        if keys.len() > MAX_ENTRIES || keys.iter().any(|k| k.1 != keys[0].1) {
            return (400, String::new());
        }
        let mut rows = self.rows.lock().unwrap();
        let version = |rows: &Rows, k: &Key| rows.current.get(k).map_or(0, |(_, v)| *v);
        if lists[0].iter().any(|e| version(&rows, &key(e)) != e.get("ver").num().unwrap_or(0)) {
            let current = lists[0].iter().map(|e| {
                let k = key(e);
                match rows.current.get(&k) {
                    Some((value, ver)) => row(&k, Some(value), *ver),
                    None => row(&k, None, 0),
                }
            });
            let current: Vec<String> = current.collect();
            return (412, format!("{{\"rows\":[{}],{}}}", current.join(","), self.tail(&rows)));
        }
        let written = lists[1].iter().chain(lists[2]).map(key);
        if written.into_iter().any(|k| k.0 == "op" || k.0 == "servers") {
            return (403, String::new());
        }
        let puts = lists[1].iter().map(|p| (key(p), Some(p.get("value").text())));
        let changes = puts.chain(lists[2].iter().map(|p| (key(p), None))).collect();
        self.apply(&mut rows, changes);
        (200, format!("{{{}}}", self.tail(&rows)))
    }

    fn get(&self, req: &Request) -> (u16, String) {
        let param = |name| req.param(name).unwrap_or_default();
        let (table, part) = (param("table"), param("part"));
        let limit = req.param("limit").and_then(|n| n.parse().ok()).unwrap_or(MAX_ROWS);
        let (to, rows) = (req.param("to"), self.rows.lock().unwrap());
        let from = (table.clone(), part.clone(), param("from"));
        let found = rows.current.range(from..);
        let mut found = found.take_while(|(k, _)| {
            k.0 == table && k.1 == part && to.as_ref().is_none_or(|to| k.2 < *to)
        });
        let page =
            found.by_ref().take(limit.min(MAX_ROWS)).map(|(k, (v, ver))| row(k, Some(v), *ver));
        let page: Vec<String> = page.collect();
        let more = found.next().is_some();
        let (page, tail) = (page.join(","), self.tail(&rows));
        (200, format!("{{\"rows\":[{page}],\"has_more\":{more},{tail}}}"))
    }

    fn feed(&self, req: &Request) -> (u16, String) {
        let number = |name| req.param(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let (table, after) = (req.param("table").unwrap_or_default(), number("after"));
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let from = rows.changes.partition_point(|c| c.0 <= after);
            let news = rows.changes[from..].iter().filter(|c| c.1.0 == table);
            let news: Vec<String> = news.map(|c| row(&c.1, c.2.as_ref(), c.0)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() || !self.power.is_on() {
                return (200, format!("{{\"rows\":[{}],{}}}", news.join(","), self.tail(&rows)));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn row(key: &Key, value: Option<&String>, version: u64) -> String {
    let (table, part, name) = (quote(&key.0), quote(&key.1), quote(&key.2));
    let rest = match value {
        Some(v) => format!("\"value\":{}", quote(v)),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{name},\"ver\":{version},{rest}}}")
}
