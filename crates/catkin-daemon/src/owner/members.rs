//! The durable list of the shard's workers.
//!
//! Tasks of an earlier term may run on any worker of the list, so a new owner waits for each one that does not answer.
//! An owner therefore marks a worker as vacant once the worker's lease has ended, and clears the mark durably before it
//! starts tasks there again.

use super::Message;
use super::state::State;
use crate::rows::{self, Member};
use catkin_lease::message::{Reply, Request};
use catkin_store::hosts::Host;
use catkin_store::{Row, Txn};
use catkin_types::WorkerId;
use hyper::Method;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The list as last read or written, and the changes to make to it.
#[derive(Debug, Default)]
pub(super) struct Members {
    list: Vec<Member>,
    version: u64,
    writing: bool,
    /// Workers whose lease ended, with the time of the end.
    lost: BTreeMap<WorkerId, Duration>,
    /// Workers to be marked as vacant.
    leaving: BTreeSet<WorkerId>,
    /// Vacant workers that answered a probe; their mark is to be cleared.
    returning: BTreeSet<WorkerId>,
    probe_at: Duration,
    read_at: Duration,
}

/// How long a worker's lease must have been over before the worker is marked as vacant.
const VACATE_DELAY: Duration = Duration::from_secs(30);
/// Interval between reads of the list when nothing indicates that it changed.
const READ_INTERVAL: Duration = Duration::from_mins(1);
/// Interval between probes of vacant workers.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

impl Members {
    /// Returns whether the list is due to be read again, and if so restarts the interval. The list is the largest row
    /// of a shard and changes rarely.
    pub fn take_read_due(&mut self, now: Duration) -> bool {
        let due = now >= self.read_at;
        if due {
            self.read_at = now + READ_INTERVAL;
        }
        due
    }

    /// Makes the next load read the list.
    pub fn read_soon(&mut self) {
        self.read_at = Duration::ZERO;
    }

    /// Returns whether the list contains the host.
    pub fn contains_host(&self, id: &str) -> bool {
        self.list.iter().any(|m| m.host.id == id)
    }

    pub fn mark_heard(&mut self, worker: &WorkerId) {
        self.lost.remove(worker);
    }

    pub fn lost(&mut self, worker: &WorkerId, now: Duration) {
        self.lost.insert(worker.clone(), now);
    }

    /// Returns the list with the pending changes.
    fn desired(&self) -> Vec<Member> {
        let change = |m: &Member| {
            let vacant =
                match (self.leaving.contains(&m.host.id), self.returning.contains(&m.host.id)) {
                    (true, _) => true,
                    (_, true) => false,
                    _ => m.vacant,
                };
            Member { vacant, ..m.clone() }
        };
        self.list.iter().map(change).collect()
    }
}

impl State {
    /// Adopts the list as read. Workers that are not vacant may still run tasks of earlier terms when this term begins.
    pub(super) fn read_members(&mut self, row: Option<&Row>) {
        let Some(row) = row.filter(|r| r.version > self.members.version) else { return };
        let Some(list) = rows::from_json::<Vec<Member>>(row) else { return };
        self.members.version = row.version;
        let occupied: Vec<Host> =
            list.iter().filter(|m| !m.vacant).map(|m| m.host.clone()).collect();
        self.members.list = list;
        if !self.loaded {
            self.lease.inherit_workers(occupied.iter().map(|h| h.id.clone()));
        }
        for host in occupied {
            self.add_host(host);
        }
    }

    /// Adds a worker to the shard, unless it is to be marked as vacant.
    fn add_host(&mut self, host: Host) {
        let worker = host.id.clone();
        if self.members.leaving.contains(&worker) {
            return;
        }
        if self.hosts.insert(worker.clone(), host).is_none() {
            self.health.add(&worker);
            self.lease.add_worker(worker.clone());
            self.sync_worker(&worker);
        }
    }

    /// Marks workers whose lease ended long enough ago as vacant, and probes the vacant ones.
    pub(super) fn check_members(&mut self) {
        let now = self.cx.now();
        let is_overdue =
            |(_, at): &(&WorkerId, &Duration)| now.saturating_sub(**at) >= VACATE_DELAY;
        let overdue: Vec<WorkerId> =
            self.members.lost.iter().filter(is_overdue).map(|(w, _)| w.clone()).collect();
        for worker in overdue {
            if self.lease.remove_worker(now, &worker) {
                self.members.lost.remove(&worker);
                self.hosts.remove(&worker);
                self.sync_worker(&worker);
                self.members.leaving.insert(worker);
            }
        }
        self.write_members();
        if now >= self.members.probe_at {
            self.members.probe_at = now + PROBE_INTERVAL;
            self.probe_vacant();
        }
    }

    fn write_members(&mut self) {
        let wanted = self.members.desired();
        if self.members.writing || wanted == self.members.list {
            return;
        }
        self.members.writing = true;
        let key = format!("hosts/{}", self.shard);
        let txn =
            Txn::default().check(&key, self.members.version).put(&key, rows::to_json(&wanted));
        let (store, me) = (self.cx.store.clone(), self.me.clone());
        self.io.spawn(async move {
            let result = store.commit(txn, COMMIT_TIMEOUT).await;
            let written = result.map(|version| (version, wanted)).ok();
            let _ = me.send_message(Message::MembersWritten(written));
        });
    }

    pub(super) fn members_written(&mut self, written: Option<(u64, Vec<Member>)>) {
        self.members.writing = false;
        let Some((version, list)) = written else {
            // Another daemon may have added a host: the next load reads the newer list.
            self.members.read_soon();
            self.load();
            return;
        };
        self.members.version = version;
        let mut reoccupied = Vec::new();
        for m in &list {
            if m.vacant {
                self.members.leaving.remove(&m.host.id);
            } else if self.members.returning.remove(&m.host.id) {
                reoccupied.push(m.host.clone());
            }
        }
        self.members.list = list;
        for host in reoccupied {
            tracing::info!(
                "owner: vacant worker {} of shard {} answers again and takes tasks",
                host.id,
                self.shard
            );
            self.add_host(host);
        }
    }

    fn probe_vacant(&mut self) {
        let timeout = self.cx.lease_options().reply_timeout;
        for m in self.members.list.iter().filter(|m| m.vacant) {
            let (http, me, worker) =
                (self.cx.worker_http.clone(), self.me.clone(), m.host.id.clone());
            let url = format!("http://{}/v1/lease", m.host.addr);
            self.io.spawn(async move {
                let hello = Request::Hello { seq: 0 };
                if http.json::<_, Reply>(Method::POST, &url, &hello, timeout).await.is_ok() {
                    let _ = me.send_message(Message::ProbeAnswered(worker));
                }
            });
        }
    }

    /// Handles the answer of a vacant worker: it gets tasks once the list no longer marks it as vacant.
    pub(super) fn handle_probe_answer(&mut self, worker: &WorkerId) {
        if !self.members.leaving.contains(worker) {
            self.members.returning.insert(worker.clone());
            self.write_members();
        }
    }
}
