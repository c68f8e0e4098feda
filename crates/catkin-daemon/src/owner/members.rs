//! The durable list of the shard's workers.
//!
//! A new owner waits for every worker of the list that it does not hear, because tasks may run there. So an owner marks a
//! worker as vacant once it has seen the worker's lease end, and clears the mark, durably, before it starts anything
//! there again.

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

/// The list and what is to become of it.
#[derive(Debug, Default)]
pub(super) struct Members {
    list: Vec<Member>,
    version: u64,
    writing: bool,
    /// Workers whose lease ended, and when.
    lost: BTreeMap<WorkerId, Duration>,
    /// Workers to be marked as vacant.
    leaving: BTreeSet<WorkerId>,
    /// Vacant workers that answered.
    returning: BTreeSet<WorkerId>,
    probe_at: Duration,
    read_at: Duration,
}

/// How long a worker is gone before it is marked as vacant.
const VACATE_DELAY: Duration = Duration::from_secs(30);
/// How often the list is read without a sign that it changed.
const READ_INTERVAL: Duration = Duration::from_mins(1);
/// How often vacant workers are asked whether they are back.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

impl Members {
    /// Whether the list is to be read again. It is the largest row of a shard and changes rarely.
    pub fn take_read_due(&mut self, now: Duration) -> bool {
        let due = now >= self.read_at;
        if due {
            self.read_at = now + READ_INTERVAL;
        }
        due
    }

    /// Lets the next load read the list.
    pub fn read_soon(&mut self) {
        self.read_at = Duration::ZERO;
    }

    /// Whether the list has the host.
    pub fn contains_host(&self, id: &str) -> bool {
        self.list.iter().any(|m| m.host.id == id)
    }

    pub fn mark_heard(&mut self, worker: &WorkerId) {
        self.lost.remove(worker);
    }

    pub fn lost(&mut self, worker: &WorkerId, now: Duration) {
        self.lost.insert(worker.clone(), now);
    }

    /// The list as it is to be.
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
    /// Takes up the list. Workers that are not vacant may run tasks of earlier terms when this term begins.
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

    /// Takes up a worker of the shard.
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

    /// Marks workers that are gone, and asks vacant ones whether they are back.
    pub(super) fn check_members(&mut self) {
        let now = self.cx.now();
        let over = |(_, at): &(&WorkerId, &Duration)| now.saturating_sub(**at) >= VACATE_DELAY;
        let gone: Vec<WorkerId> =
            self.members.lost.iter().filter(over).map(|(w, _)| w.clone()).collect();
        for worker in gone {
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
            // Another daemon may have added a host: the next load brings the newer list.
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
            tracing::info!("owner: worker {} of {} is back", host.id, self.shard);
            self.add_host(host);
        }
    }

    fn probe_vacant(&mut self) {
        let timeout = self.cx.lease().reply_timeout;
        for m in self.members.list.iter().filter(|m| m.vacant) {
            let (http, me, worker) = (self.cx.workers.clone(), self.me.clone(), m.host.id.clone());
            let url = format!("http://{}/v1/lease", m.host.addr);
            self.io.spawn(async move {
                let hello = Request::Hello { seq: 0 };
                if http.json::<_, Reply>(Method::POST, &url, &hello, timeout).await.is_ok() {
                    let _ = me.send_message(Message::ProbeAnswered(worker));
                }
            });
        }
    }

    /// A vacant worker answered: it gets work once the list says that it may have some.
    pub(super) fn handle_probe_answer(&mut self, worker: &WorkerId) {
        if !self.members.leaving.contains(worker) {
            self.members.returning.insert(worker.clone());
            self.write_members();
        }
    }
}
