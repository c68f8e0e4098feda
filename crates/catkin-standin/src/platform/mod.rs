//! The simulated table service, object store and host list, on one port.

use crate::faults::{Faults, Outage, RateLimiter};
use crate::table::Table;
use crate::{MAX_BODY_BYTES, ServerHandle, serve};
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

/// The number of requests to the table service and the object store since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestCounts {
    /// Transactions that were run, also those that ended with a conflict.
    pub transactions: u64,
    /// Puts in these transactions.
    pub rows: u64,
    /// All other requests, also those that failed by a fault.
    pub reads: u64,
}

#[derive(Debug)]
struct Inner {
    table: Table,
    objects: BTreeMap<String, Bytes>,
    hosts: BTreeMap<String, Host>,
    /// Earlier host lists with the time at which each was replaced, the oldest first.
    past_hosts: Vec<(Instant, Vec<Host>)>,
    faults: Faults,
    write_limit: RateLimiter,
    read_limit: RateLimiter,
    counts: RequestCounts,
}

/// The simulated platform. Clones share their state.
#[derive(Clone, Debug)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
}

impl Default for Platform {
    fn default() -> Self {
        Self::new()
    }
}

/// How long a request that must not be answered is held open. Longer than the timeout of any client.
const HANG_DURATION: Duration = Duration::from_mins(2);

impl Platform {
    /// Returns a platform without rows, objects, hosts and faults.
    #[must_use]
    pub fn new() -> Self {
        let inner = Inner {
            table: Table::default(),
            objects: BTreeMap::new(),
            hosts: BTreeMap::new(),
            past_hosts: Vec::new(),
            faults: Faults::default(),
            write_limit: RateLimiter::new(),
            read_limit: RateLimiter::new(),
            counts: RequestCounts::default(),
        };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the requests counted since the start.
    #[must_use]
    pub fn request_counts(&self) -> RequestCounts {
        self.lock().counts
    }

    /// Adds hosts to the list. Replaces entries with the same id.
    pub fn put_hosts(&self, hosts: impl IntoIterator<Item = Host>) {
        self.change_hosts(|all| all.extend(hosts.into_iter().map(|h| (h.id.clone(), h))));
    }

    /// Removes hosts from the list.
    pub fn remove_hosts(&self, ids: &[String]) {
        self.change_hosts(|all| all.retain(|id, _| !ids.contains(id)));
    }

    fn change_hosts(&self, change: impl FnOnce(&mut BTreeMap<String, Host>)) {
        let mut inner = self.lock();
        let replaced_list = inner.hosts.values().cloned().collect();
        inner.past_hosts.push((Instant::now(), replaced_list));
        change(&mut inner.hosts);
    }

    /// Returns the host list as it was [`Faults::hosts_lag_ms`] ago.
    #[must_use]
    pub fn hosts(&self) -> Vec<Host> {
        let mut inner = self.lock();
        let lag = Duration::from_millis(inner.faults.hosts_lag_ms);
        let Some(as_of) = Instant::now().checked_sub(lag) else {
            return inner.hosts.values().cloned().collect();
        };
        inner.past_hosts.retain(|(replaced_at, _)| *replaced_at > as_of);
        match inner.past_hosts.first() {
            Some((_, list)) => list.clone(),
            None => inner.hosts.values().cloned().collect(),
        }
    }

    /// Serves on `addr`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn serve(&self, addr: SocketAddr) -> std::io::Result<ServerHandle> {
        let shared = self.clone();
        serve(addr, move |req| {
            let shared = shared.clone();
            async move { shared.handle_request(req).await }
        })
        .await
    }

    async fn handle_request(&self, req: Request<Incoming>) -> Response<Body> {
        let (head, incoming) = req.into_parts();
        let bytes = match body::read(incoming, MAX_BODY_BYTES).await {
            Ok(bytes) => bytes,
            Err(e) => return body::text(400, e.to_string()),
        };
        let path = head.uri.path().to_owned();
        match (&head.method, path.as_str()) {
            (&Method::PUT, "/fault") => self.put_faults(&bytes),
            (&Method::GET, "/taken") => body::json(200, &self.request_counts()),
            (&Method::GET, "/v1/hosts") => {
                let region = query::value(&head.uri, "region");
                let mut hosts = self.hosts();
                hosts.retain(|h| region.as_ref().is_none_or(|r| h.region == *r));
                with_entity_tag(&head.headers, &hosts)
            }
            (&Method::POST, "/v1/hosts") => self.post_hosts(&bytes),
            (&Method::DELETE, "/v1/hosts") => self.delete_hosts(&bytes),
            (method, path) => {
                if let Some(res) = self.inject_faults(method == Method::POST).await {
                    return res;
                }
                self.handle_storage(method, path, &head.uri, bytes).await
            }
        }
    }

    /// Handles a request to the table service or the object store without faults.
    async fn handle_storage(
        &self,
        method: &Method,
        path: &str,
        uri: &hyper::Uri,
        bytes: Bytes,
    ) -> Response<Body> {
        let object = path.strip_prefix("/v1/objects/");
        match (method, path, object) {
            (&Method::POST, "/v1/txn", _) => self.handle_transaction(&bytes).await,
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

    /// Waits for the injected latency. Returns a response if an outage or a rate limit fails the request.
    async fn inject_faults(&self, is_write: bool) -> Option<Response<Body>> {
        let (faults, within_limit) = {
            let mut inner = self.lock();
            let faults = inner.faults.clone();
            let within_limit = if is_write {
                inner.write_limit.try_acquire(faults.writes_per_s)
            } else {
                inner.counts.reads += 1;
                inner.read_limit.try_acquire(faults.reads_per_s)
            };
            (faults, within_limit)
        };
        if faults.latency_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.latency_ms)).await;
        }
        match faults.outage {
            Outage::None if within_limit => None,
            Outage::None => Some(body::text(503, "over the rate")),
            Outage::Refuse => Some(body::text(503, "outage")),
            Outage::Hang => {
                tokio::time::sleep(HANG_DURATION).await;
                Some(body::text(503, "outage"))
            }
        }
    }

    async fn handle_transaction(&self, bytes: &Bytes) -> Response<Body> {
        let Ok(txn) = serde_json::from_slice(bytes) else {
            return body::text(400, "malformed transaction");
        };
        let (answer, lose_answer) = self.run_transaction(&txn);
        if lose_answer {
            tokio::time::sleep(HANG_DURATION).await;
        }
        body::json(200, &answer)
    }

    fn run_transaction(&self, txn: &catkin_store::Txn) -> (catkin_store::table::Answer, bool) {
        let mut inner = self.lock();
        inner.counts.transactions += 1;
        inner.counts.rows += txn.puts.len() as u64;
        let lose_answer = inner.faults.lose_answers > 0;
        inner.faults.lose_answers = inner.faults.lose_answers.saturating_sub(1);
        (inner.table.run(txn), lose_answer)
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

/// Returns the list with an entity tag of its content, or status 304 if `If-None-Match` has the same tag.
fn with_entity_tag(headers: &HeaderMap, hosts: &[Host]) -> Response<Body> {
    let bytes = serde_json::to_vec(hosts).unwrap_or_default();
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    let tag = format!("\"{:016x}\"", hasher.finish());
    let unchanged = headers.get(IF_NONE_MATCH).is_some_and(|t| t.as_bytes() == tag.as_bytes());
    let mut res = if unchanged { body::text(304, "") } else { body::text(200, bytes) };
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        res.headers_mut().insert(ETAG, tag);
    }
    res
}
