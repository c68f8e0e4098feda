//! The executors of a shard and their slots.

use catkin_store::hosts::{Host, State};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Debug)]
struct Executor {
    id: String,
    addr: String,
    slots: u32,
    used: u32,
    leaving: bool,
    /// The executor gets no request before this time, because it did not answer.
    backoff_until: Duration,
    failures: u32,
}

/// The executors in the order in which they were added, with an index by id.
#[derive(Debug, Default)]
pub(super) struct Executors {
    list: Vec<Executor>,
    index: BTreeMap<String, usize>,
}

const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(10);

impl Executors {
    /// Adds or updates the shard's hosts `own`, and marks those as leaving that are not live in the platform's list. An
    /// empty `list` changes no mark.
    pub fn update(&mut self, own: &[Host], list: &[Host]) {
        for host in own {
            if let Some(i) = self.index.get(&host.id) {
                let e = &mut self.list[*i];
                e.addr.clone_from(&host.addr);
                e.slots = host.slots;
            } else {
                self.index.insert(host.id.clone(), self.list.len());
                self.list.push(Executor {
                    id: host.id.clone(),
                    addr: host.addr.clone(),
                    slots: host.slots,
                    used: 0,
                    leaving: host.state == State::Leaving,
                    backoff_until: Duration::ZERO,
                    failures: 0,
                });
            }
        }
        if list.is_empty() {
            return;
        }
        let live: BTreeSet<&str> =
            list.iter().filter(|h| h.state == State::Live).map(|h| h.id.as_str()).collect();
        for e in &mut self.list {
            e.leaving = !live.contains(e.id.as_str());
        }
    }

    fn usable(e: &Executor, now: Duration) -> bool {
        !e.leaving && now >= e.backoff_until
    }

    /// Returns whether any executor takes requests, now or once it has a free slot.
    pub fn any_usable(&self, now: Duration) -> bool {
        self.list.iter().any(|e| Self::usable(e, now))
    }

    /// Returns the executor with the most free slots. Ties are broken from a random starting point, so that executors
    /// fill evenly.
    pub fn pick(&self, now: Duration) -> Option<usize> {
        let n = self.list.len();
        let first = if n == 0 { 0 } else { rand::random_range(0..n) };
        let order = (0..n).map(|k| (first + k) % n);
        let free = |i: &usize| self.list[*i].slots.saturating_sub(self.list[*i].used);
        order.filter(|i| Self::usable(&self.list[*i], now) && free(i) > 0).max_by_key(free)
    }

    /// Takes a slot. Returns the executor's id and address.
    pub fn take_slot(&mut self, i: usize) -> (String, String) {
        self.list[i].used += 1;
        (self.list[i].id.clone(), self.list[i].addr.clone())
    }

    pub fn release_slot(&mut self, id: &str) {
        if let Some(i) = self.index.get(id) {
            let e = &mut self.list[*i];
            e.used = e.used.saturating_sub(1);
        }
    }

    /// Records whether the executor answered. Failures in a row increase its backoff exponentially.
    pub fn record_health(&mut self, id: &str, healthy: bool, now: Duration) {
        let Some(e) = self.index.get(id).map(|i| &mut self.list[*i]) else { return };
        if healthy {
            e.failures = 0;
            return;
        }
        e.failures = (e.failures + 1).min(10);
        e.backoff_until = now + (MIN_BACKOFF * 2_u32.pow(e.failures - 1)).min(MAX_BACKOFF);
    }

    /// Returns the number of free slots of executors that are not leaving.
    pub fn free(&self) -> u64 {
        self.sum_not_leaving(|e| e.slots.saturating_sub(e.used))
    }

    /// Returns the number of slots of executors that are not leaving.
    pub fn slots(&self) -> u64 {
        self.sum_not_leaving(|e| e.slots)
    }

    fn sum_not_leaving(&self, f: impl Fn(&Executor) -> u32) -> u64 {
        self.list.iter().filter(|e| !e.leaving).map(|e| u64::from(f(e))).sum()
    }
}
