//! The queue of requests to the adviser, and their assignment to daemons.

use super::capacity::{Caller, Capacity, CostClass, LONG_THRESHOLD, is_alive};
use catkin_cell::AdviceRequest;
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a daemon gets no requests after one that failed.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// The waiting time of a late request is compared with its cost in parts of this size.
const RATIO_SCALE: u128 = 1_000;

/// Assigns advice requests to daemons.
#[derive(Debug)]
pub struct Dispatcher {
    callers: Vec<Caller>,
    waiting: Vec<Queued>,
}

/// A request that waits for a daemon.
#[derive(Clone, Debug)]
struct Queued {
    request: AdviceRequest,
    since: Duration,
}

impl Queued {
    /// The requests with the smallest rank are sent first: those in time by the latest start, then late ones by the
    /// ratio of their waiting time to their cost: short ones go first, and no late one waits for ever behind others.
    fn rank(&self, now: Duration) -> (bool, Duration, Reverse<u128>) {
        let request = &self.request;
        if request.latest_start >= now {
            return (false, request.latest_start, Reverse(0));
        }
        let waited = now.saturating_sub(self.since);
        let ratio = waited.as_micros() * RATIO_SCALE / request.cost.as_micros().max(1);
        (true, Duration::ZERO, Reverse(ratio))
    }
}

impl Default for Dispatcher {
    fn default() -> Self {
        let own = Caller::new(None, Duration::MAX);
        Self { callers: vec![own], waiting: Vec::new() }
    }
}

impl Dispatcher {
    /// Records a heartbeat of another daemon. A daemon that is draining gets no further requests.
    pub fn record_heartbeat(&mut self, addr: SocketAddr, draining: bool, now: Duration) {
        let last_heartbeat = if draining { Duration::ZERO } else { now };
        match self.callers.iter_mut().find(|a| a.addr == Some(addr)) {
            Some(a) => a.last_heartbeat = last_heartbeat,
            None => self.callers.push(Caller::new(Some(addr), last_heartbeat)),
        }
        self.callers.retain(|a| !a.pending_cost.is_zero() || is_alive(a, now));
    }

    /// Queues a request at `now`.
    pub fn push(&mut self, request: AdviceRequest, now: Duration) {
        self.waiting.push(Queued { request, since: now });
    }

    /// The number of requests that wait for a daemon.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how long the oldest waiting request has waited; zero if none waits.
    #[must_use]
    pub fn longest_wait(&self, now: Duration) -> Duration {
        let waits = self.waiting.iter().map(|q| now.saturating_sub(q.since));
        waits.max().unwrap_or_default()
    }

    /// The number of daemons, this one included, whose heartbeat is recent.
    #[must_use]
    pub fn alive(&self, now: Duration) -> usize {
        self.callers.iter().filter(|a| is_alive(a, now)).count()
    }

    /// Removes the requests that a daemon has capacity for from the queue. `confirm` returns what to ask now in place of
    /// each, or `None` if its step needs nothing. Returns each request with the daemon that makes the call, `None` for
    /// this daemon.
    pub fn dispatch(
        &mut self,
        now: Duration,
        mut confirm: impl FnMut(AdviceRequest) -> Option<AdviceRequest>,
    ) -> Vec<(AdviceRequest, Option<SocketAddr>)> {
        let shorter_waiting =
            self.waiting.iter().any(|q| CostClass::of(q.request.cost) < CostClass::Long);
        let mut capacity = Capacity::new(&self.callers, shorter_waiting, now);
        self.waiting.sort_by_key(|q| q.rank(now));
        let mut assigned = Vec::new();
        self.waiting.retain(|Queued { request, .. }| {
            if !capacity.may_fit(request.cost) {
                return true;
            }
            let Some(caller) = capacity.find(&mut self.callers, request.cost, now) else {
                capacity.mark_exhausted(request.cost);
                return true;
            };
            if let Some(confirmed) = confirm(request.clone()) {
                capacity.take(caller, confirmed.cost);
                assigned.push((confirmed, caller.addr));
            }
            false
        });
        assigned
    }

    /// Records that a request of the daemon at `addr` completed. If it did not succeed, that daemon is paused.
    pub fn complete(
        &mut self,
        ask: &AdviceRequest,
        addr: Option<SocketAddr>,
        succeeded: bool,
        now: Duration,
    ) {
        if let Some(a) = self.callers.iter_mut().find(|a| a.addr == addr) {
            a.pending_cost = a.pending_cost.saturating_sub(ask.cost);
            a.has_long &= ask.cost <= LONG_THRESHOLD;
            if !succeeded && a.addr.is_some() {
                a.paused_until = now + FAILURE_BACKOFF;
            }
        }
    }

    /// Drops the queued requests for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&AdviceRequest) -> bool) {
        self.waiting.retain(|q| keep(&q.request));
    }
}
