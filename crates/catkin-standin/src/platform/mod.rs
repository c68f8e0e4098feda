//! The table service, the object store and the host list, on one port.

use crate::faults::{Faults, Outage, Rate};
use crate::table::Table;
use crate::{MAX_BODY, Serving, serve};
use bytes::Bytes;
use catkin_http::{Body, body, query};
use catkin_store::hosts::Host;
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderMap, HeaderValue, IF_NONE_MATCH};
use hyper::{Method, Request, Response};
use serde::Serialize;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How many transactions and reads were taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Taken {
    /// Transactions.
    pub transactions: u64,
    /// Rows written.
    pub rows: u64,
    /// Reads of rows.
    pub reads: u64,
}

#[derive(Debug)]
struct Inner {
    table: Table,
    objects: BTreeMap<String, Bytes>,
    hosts: BTreeMap<String, Host>,
    /// Earlier lists, each with the time when it was replaced.
    hosts_before: Vec<(Instant, Vec<Host>)>,
    faults: Faults,
    writes: Rate,
    reads: Rate,
    taken: Taken,
}

/// The stand-in. Clones share their state.
#[derive(Clone, Debug)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
}

impl Default for Platform {
    fn default() -> Self {
        Self::new()
    }
}

/// How long a request hangs in an outage of that kind. Longer than anybody waits.
const HANG: Duration = Duration::from_mins(2);

impl Platform {
    /// An empty one.
    #[must_use]
    pub fn new() -> Self {
        let inner = Inner {
            table: Table::default(),
            objects: BTreeMap::new(),
            hosts: BTreeMap::new(),
            hosts_before: Vec::new(),
            faults: Faults::default(),
            writes: Rate::new(),
            reads: Rate::new(),
            taken: Taken::default(),
        };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts faults in force in place of the former ones.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// What was taken so far.
    #[must_use]
    pub fn taken(&self) -> Taken {
        self.lock().taken
    }

    /// Adds hosts to the list, or replaces those of the same name.
    pub fn put_hosts(&self, hosts: impl IntoIterator<Item = Host>) {
        self.change_hosts(|all| all.extend(hosts.into_iter().map(|h| (h.id.clone(), h))));
    }

    /// Takes hosts off the list.
    pub fn remove_hosts(&self, ids: &[String]) {
        self.change_hosts(|all| all.retain(|id, _| !ids.contains(id)));
    }

    fn change_hosts(&self, f: impl FnOnce(&mut BTreeMap<String, Host>)) {
        let mut inner = self.lock();
        let before = inner.hosts.values().cloned().collect();
        inner.hosts_before.push((Instant::now(), before));
        f(&mut inner.hosts);
    }

    /// The list as it was some time ago.
    #[must_use]
    pub fn hosts(&self) -> Vec<Host> {
        let mut inner = self.lock();
        let lag = Duration::from_millis(inner.faults.hosts_lag_ms);
        let Some(at) = Instant::now().checked_sub(lag) else {
            return inner.hosts.values().cloned().collect();
        };
        inner.hosts_before.retain(|(replaced, _)| *replaced > at);
        match inner.hosts_before.first() {
            Some((_, list)) => list.clone(),
            None => inner.hosts.values().cloned().collect(),
        }
    }

    /// Serves on `addr`.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn serve(&self, addr: SocketAddr) -> std::io::Result<Serving> {
        let me = self.clone();
        serve(addr, move |req| {
            let me = me.clone();
            async move { me.answer(req).await }
        })
        .await
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let (head, incoming) = req.into_parts();
        let bytes = match body::read(incoming, MAX_BODY).await {
            Ok(bytes) => bytes,
            Err(e) => return body::text(400, e.to_string()),
        };
        let path = head.uri.path().to_owned();
        match (&head.method, path.as_str()) {
            (&Method::PUT, "/fault") => self.put_faults(&bytes),
            (&Method::GET, "/taken") => body::json(200, &self.taken()),
            (&Method::GET, "/v1/hosts") => {
                let region = query::value(&head.uri, "region");
                let mut hosts = self.hosts();
                hosts.retain(|h| region.as_ref().is_none_or(|r| h.region == *r));
                tagged(&head.headers, &hosts)
            }
            (&Method::POST, "/v1/hosts") => self.post_hosts(&bytes),
            (&Method::DELETE, "/v1/hosts") => self.delete_hosts(&bytes),
            (method, path) => {
                if let Some(res) = self.fail(method == Method::POST).await {
                    return res;
                }
                self.stored(method, path, &head.uri, bytes).await
            }
        }
    }

    /// What the table service and the object store do when nothing fails.
    async fn stored(
        &self,
        method: &Method,
        path: &str,
        uri: &hyper::Uri,
        bytes: Bytes,
    ) -> Response<Body> {
        let object = path.strip_prefix("/v1/objects/");
        match (method, path, object) {
            (&Method::POST, "/v1/txn", _) => self.transact(&bytes).await,
            (&Method::GET, "/v1/row", _) => {
                let key = query::value(uri, "key").unwrap_or_default();
                body::json(200, &self.lock().table.get(&key))
            }
            (&Method::GET, "/v1/rows", _) => {
                let prefix = query::value(uri, "prefix").unwrap_or_default();
                body::json(200, &self.lock().table.scan(&prefix))
            }
            (&Method::PUT, _, Some(key)) => {
                self.lock().objects.insert(key.to_owned(), bytes);
                body::text(200, "")
            }
            (&Method::GET, _, Some(key)) => match self.lock().objects.get(key) {
                Some(object) => body::text(200, object.clone()),
                None => body::text(404, "no such object"),
            },
            _ => body::text(404, "no such path"),
        }
    }

    /// Waits for the latency and gives the answer of a fault, if one is in force.
    async fn fail(&self, write: bool) -> Option<Response<Body>> {
        let (faults, taken) = {
            let mut inner = self.lock();
            let faults = inner.faults.clone();
            let taken = if write {
                inner.writes.take(faults.writes_per_s)
            } else {
                inner.taken.reads += 1;
                inner.reads.take(faults.reads_per_s)
            };
            (faults, taken)
        };
        if faults.latency_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.latency_ms)).await;
        }
        match faults.outage {
            Outage::None if taken => None,
            Outage::None => Some(body::text(503, "over the rate")),
            Outage::Refuse => Some(body::text(503, "outage")),
            Outage::Hang => {
                tokio::time::sleep(HANG).await;
                Some(body::text(503, "outage"))
            }
        }
    }

    async fn transact(&self, bytes: &Bytes) -> Response<Body> {
        let Ok(txn) = serde_json::from_slice(bytes) else {
            return body::text(400, "malformed transaction");
        };
        let (answer, lost) = self.run(&txn);
        if lost {
            tokio::time::sleep(HANG).await;
        }
        body::json(200, &answer)
    }

    fn run(&self, txn: &catkin_store::Txn) -> (catkin_store::table::Answer, bool) {
        let mut inner = self.lock();
        inner.taken.transactions += 1;
        inner.taken.rows += txn.puts.len() as u64;
        let lost = inner.faults.lose_answers > 0;
        inner.faults.lose_answers = inner.faults.lose_answers.saturating_sub(1);
        (inner.table.run(txn), lost)
    }

    fn put_faults(&self, bytes: &Bytes) -> Response<Body> {
        match serde_json::from_slice(bytes) {
            Ok(faults) => {
                self.set_faults(faults);
                body::text(200, "")
            }
            Err(e) => body::text(400, e.to_string()),
        }
    }

    fn post_hosts(&self, bytes: &Bytes) -> Response<Body> {
        match serde_json::from_slice::<Vec<Host>>(bytes) {
            Ok(hosts) => {
                self.put_hosts(hosts);
                body::text(200, "")
            }
            Err(e) => body::text(400, e.to_string()),
        }
    }

    fn delete_hosts(&self, bytes: &Bytes) -> Response<Body> {
        match serde_json::from_slice::<Vec<String>>(bytes) {
            Ok(ids) => {
                self.remove_hosts(&ids);
                body::text(200, "")
            }
            Err(e) => body::text(400, e.to_string()),
        }
    }
}

/// The list with a tag of its content, or 304 if the caller has the one of that tag.
fn tagged(headers: &HeaderMap, hosts: &[Host]) -> Response<Body> {
    let bytes = serde_json::to_vec(hosts).unwrap_or_default();
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    let tag = format!("\"{:016x}\"", hasher.finish());
    let same = headers.get(IF_NONE_MATCH).is_some_and(|t| t.as_bytes() == tag.as_bytes());
    let mut res = if same { body::text(304, "") } else { body::text(200, bytes) };
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        res.headers_mut().insert(ETAG, tag);
    }
    res
}
