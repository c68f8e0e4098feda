//! The platform's store: rows with versions, transactions, and the feed of changes. Each daemon has a port of its own.

use crate::http::{Handler, Request, Response, Server};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    value: String,
    ver: u64,
}

#[derive(Clone)]
struct Change {
    ver: u64,
    key: Key,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    ver: u64,
    log: Vec<Change>,
    /// The number of the daemon that last wrote under a condition.
    last_writer: Option<usize>,
    /// The daemons that are refused with status 503.
    refused: Vec<usize>,
    /// Whether the answers to writes of this daemon are lost.
    down: bool,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

/// The time that a read takes.
const READ_TIME: Duration = Duration::from_millis(4);
/// The time that a transaction takes.
const WRITE_TIME: Duration = Duration::from_millis(8);
const MAX_ROWS: usize = 500;

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        })
    }

    /// Starts the port of a daemon.
    pub fn serve(self: &Arc<Self>, daemon: usize) -> Server {
        let store = Arc::clone(self);
        let handler: Handler = Arc::new(move |req| store.handle(req, daemon));
        Server::start(0, handler)
    }

    /// Writes a row on behalf of the operator or an executor; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        let text = value.map(|v| STANDARD.encode(v.to_string()));
        let mut s = self.state.lock().unwrap();
        s.ver += 1;
        let ver = s.ver;
        apply(&mut s, (table.into(), String::new(), key.into()), text, ver);
        self.changed.notify_all();
    }

    /// The number of the daemon that last wrote under a condition.
    pub fn last_writer(&self) -> Option<usize> {
        self.state.lock().unwrap().last_writer
    }

    /// Refuses all calls of these daemons from now on.
    pub fn refuse(&self, daemons: &[usize]) {
        self.state.lock().unwrap().refused = daemons.to_vec();
    }

    /// Refuses all calls from now on, or serves them again.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    fn now_ms(&self) -> u64 {
        1_000_000 + self.started.elapsed().as_millis() as u64
    }

    fn handle(&self, req: &Request, daemon: usize) -> Response {
        {
            let s = self.state.lock().unwrap();
            if s.down || s.refused.contains(&daemon) {
                return Some((503, "{}".into()));
            }
        }
        let get = |name: &str| req.query.get(name).cloned().unwrap_or_default();
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/v1/rows-tx") => {
                std::thread::sleep(WRITE_TIME);
                self.transact(req, daemon)
            }
            ("GET", "/v1/rows-get") => {
                std::thread::sleep(READ_TIME);
                let limit = get("limit").parse().unwrap_or(MAX_ROWS);
                Some((200, self.read(&get("table"), &get("part"), &get("from"), limit).to_string()))
            }
            ("GET", "/v1/rows-feed") => {
                std::thread::sleep(READ_TIME);
                let after = get("after").parse().unwrap_or(0);
                let wait = get("wait_ms").parse().unwrap_or(0);
                Some((200, self.feed(&get("table"), after, wait).to_string()))
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn transact(&self, req: &Request, daemon: usize) -> Response {
        let Ok(call) = serde_json::from_slice::<Value>(&req.body) else {
            return Some((400, "{}".into()));
        };
        let list = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let key = |v: &Value| -> Key {
            let text = |name: &str| v[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut s = self.state.lock().unwrap();
        let expected = list("precondition");
        let holds = |v: &Value| {
            s.rows.get(&key(v)).map_or(0, |r| r.ver) == v["ver"].as_u64().unwrap_or(0)
        };
        if !expected.iter().all(holds) {
            let rows: Vec<Value> = expected
                .iter()
                .filter_map(|v| Some(row_json(&key(v), s.rows.get(&key(v))?)))
                .collect();
            let body = json!({ "rows": rows, "ver": s.ver, "now_ms": self.now_ms() });
            return Some((412, body.to_string()));
        }
        s.ver += 1;
        let ver = s.ver;
        if !expected.is_empty() {
            s.last_writer = Some(daemon);
        }
        for put in list("put") {
            apply(&mut s, key(&put), Some(put["value"].as_str().unwrap_or_default().into()), ver);
        }
        for gone in list("remove") {
            apply(&mut s, key(&gone), None, ver);
        }
        self.changed.notify_all();
        Some((200, json!({ "ver": ver, "now_ms": self.now_ms() }).to_string()))
    }

    fn read(&self, table: &str, part: &str, from: &str, limit: usize) -> Value {
        let s = self.state.lock().unwrap();
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let in_part = |k: &Key| k.0 == table && k.1 == part;
        let found: Vec<_> = s.rows.range(first..).take_while(|(k, _)| in_part(k)).collect();
        let limit = limit.min(MAX_ROWS);
        let rows: Vec<Value> = found.iter().take(limit).map(|(k, r)| row_json(k, r)).collect();
        json!({ "rows": rows, "has_more": found.len() > limit, "ver": s.ver, "now_ms": self.now_ms() })
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> Value {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut s = self.state.lock().unwrap();
        loop {
            let is_new = |c: &&Change| c.ver > after && c.key.0 == table;
            let newer: Vec<Change> =
                s.log.iter().rev().take_while(|c| c.ver > after).filter(is_new).cloned().collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if newer.is_empty() && !left.is_zero() {
                s = self.changed.wait_timeout(s, left).unwrap().0;
                continue;
            }
            let mut newest: HashMap<Key, Change> = HashMap::new();
            for c in newer.into_iter().rev() {
                newest.insert(c.key.clone(), c);
            }
            let mut changes: Vec<Change> = newest.into_values().collect();
            changes.sort_by_key(|c| c.ver);
            let rows: Vec<Value> = changes
                .into_iter()
                .map(|Change { ver, key, value }| match value {
                    Some(value) => row_json(&key, &Row { value, ver }),
                    None => {
                        json!({ "table": key.0, "part": key.1, "key": key.2, "ver": ver, "deleted": true })
                    }
                })
                .collect();
            return json!({ "rows": rows, "ver": s.ver, "now_ms": self.now_ms() });
        }
    }
}

fn apply(s: &mut State, key: Key, value: Option<String>, ver: u64) {
    match &value {
        Some(value) => drop(s.rows.insert(key.clone(), Row { value: value.clone(), ver })),
        None => drop(s.rows.remove(&key)),
    }
    s.log.push(Change { ver, key, value });
}

fn row_json(key: &Key, row: &Row) -> Value {
    json!({ "table": key.0, "part": key.1, "key": key.2, "value": row.value, "ver": row.ver })
}
