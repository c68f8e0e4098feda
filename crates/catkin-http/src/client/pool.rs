//! Open connections that no request uses.

use super::connection::Connection;
use hyper::http::uri::Authority;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The unused connections of a client, by address.
#[derive(Debug)]
pub(super) struct Pool {
    idle_timeout: Duration,
    max_idle_per_host: usize,
    idle: Mutex<Idle>,
}

#[derive(Debug)]
struct Idle {
    /// For each address, those used last at the end.
    connections: HashMap<Authority, Vec<Connection>>,
    /// When connections that were unused for too long were last closed.
    swept: Instant,
}

impl Pool {
    pub(super) fn new(idle_timeout: Duration, max_idle_per_host: usize) -> Self {
        let idle = Idle { connections: HashMap::new(), swept: Instant::now() };
        Self { idle_timeout, max_idle_per_host, idle: Mutex::new(idle) }
    }

    /// Takes the connection that was used last.
    pub(super) fn take(&self, addr: &Authority) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.connections.get_mut(addr)?;
        connections.retain(|c| self.is_usable(c));
        connections.pop()
    }

    /// Keeps a connection for further requests. Closes the one that was unused for longest if there are too many.
    pub(super) fn put(&self, mut conn: Connection) {
        conn.record_unused();
        let mut idle = self.lock();
        let connections = idle.connections.entry(conn.addr().clone()).or_default();
        if connections.len() >= self.max_idle_per_host && !connections.is_empty() {
            connections.remove(0);
        }
        if self.max_idle_per_host > 0 {
            connections.push(conn);
        }
        if idle.swept.elapsed() >= self.idle_timeout {
            self.sweep(&mut idle);
        }
    }

    /// Closes all unused connections to an address. Returns how many there were.
    pub(super) fn close_all(&self, addr: &Authority) -> usize {
        self.lock().connections.remove(addr).map_or(0, |closed| closed.len())
    }

    fn sweep(&self, idle: &mut Idle) {
        idle.swept = Instant::now();
        idle.connections.retain(|_, connections| {
            connections.retain(|c| self.is_usable(c));
            !connections.is_empty()
        });
    }

    fn is_usable(&self, conn: &Connection) -> bool {
        let is_fresh = conn.unused_since().is_none_or(|at| at.elapsed() < self.idle_timeout);
        is_fresh && !conn.is_closed()
    }

    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
