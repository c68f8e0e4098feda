//! Which daemon has capacity for a request to the adviser.

use std::net::SocketAddr;
use std::time::Duration;

/// Requests that take the adviser longer than this are long. A daemon has no other request pending beside a long one.
pub(super) const LONG_THRESHOLD: Duration = Duration::from_millis(250);
/// Requests that take the adviser at most this long are short.
const SHORT_THRESHOLD: Duration = Duration::from_millis(40);
/// One in this many daemons makes short requests only.
const SHORT_ONLY_DIVISOR: usize = 4;
/// The time without a heartbeat after which a daemon gets no requests.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The adviser time that the pending requests of one daemon may take together. More than one may be pending, so that
/// the next one is at the daemon when one completes.
const MAX_PENDING_COST: Duration = Duration::from_millis(220);
/// The same for a daemon that makes short requests only.
const MAX_PENDING_COST_SHORT_ONLY: Duration = Duration::from_millis(80);

/// A daemon that can call the adviser.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    /// Where it takes calls; `None` for this daemon.
    pub addr: Option<SocketAddr>,
    pub last_heartbeat: Duration,
    pub paused_until: Duration,
    /// The adviser time of its pending requests.
    pub pending_cost: Duration,
    /// Whether a long request is pending.
    pub has_long: bool,
}

impl Caller {
    pub(super) fn new(addr: Option<SocketAddr>, last_heartbeat: Duration) -> Self {
        Self {
            addr,
            last_heartbeat,
            paused_until: Duration::ZERO,
            pending_cost: Duration::ZERO,
            has_long: false,
        }
    }

    fn is_available(&self, now: Duration) -> bool {
        is_alive(self, now) && now >= self.paused_until && !self.has_long
    }
}

pub(super) fn is_alive(a: &Caller, now: Duration) -> bool {
    a.addr.is_none() || now.saturating_sub(a.last_heartbeat) < HEARTBEAT_TIMEOUT
}

/// Classifies requests by the adviser time that they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CostClass {
    Short,
    Medium,
    Long,
}

impl CostClass {
    pub(super) fn of(cost: Duration) -> Self {
        match cost {
            c if c > LONG_THRESHOLD => Self::Long,
            c if c > SHORT_THRESHOLD => Self::Medium,
            _ => Self::Short,
        }
    }
}

/// The capacity of the daemons during one dispatch.
pub(super) struct Capacity {
    /// The number of daemons, from the first on, that make short requests only.
    short_only_count: usize,
    /// The number of long requests that may still be assigned.
    long_left: usize,
    /// The shortest class that no daemon has capacity for.
    exhausted: Option<CostClass>,
}

impl Capacity {
    /// Computes the capacity. Long requests use at most half of the daemons while shorter ones wait, otherwise all but
    /// the daemons for short requests.
    pub(super) fn new(callers: &[Caller], shorter_waiting: bool, now: Duration) -> Self {
        let live = callers.iter().filter(|a| is_alive(a, now)).count();
        let long_pending = callers.iter().filter(|a| a.has_long).count();
        let max_long = if shorter_waiting { (live / 2).max(1) } else { live };
        Self {
            short_only_count: if live > 1 { (live / SHORT_ONLY_DIVISOR).max(1) } else { 0 },
            long_left: max_long.saturating_sub(long_pending),
            exhausted: None,
        }
    }

    /// Whether a daemon may have capacity for a request of this cost.
    pub(super) fn may_fit(&self, cost: Duration) -> bool {
        let class = CostClass::of(cost);
        self.exhausted.is_none_or(|u| class < u) && (class < CostClass::Long || self.long_left > 0)
    }

    /// Records that no daemon has capacity for a request of this cost, nor for a longer one.
    pub(super) fn mark_exhausted(&mut self, cost: Duration) {
        self.exhausted = Some(CostClass::of(cost));
    }

    /// Returns the least loaded daemon that has capacity for a request of this cost.
    pub(super) fn find<'a>(
        &self,
        callers: &'a mut [Caller],
        cost: Duration,
        now: Duration,
    ) -> Option<&'a mut Caller> {
        let class = CostClass::of(cost);
        let fits = |(n, a): &(usize, &mut Caller)| {
            let short_only = *n < self.short_only_count;
            a.is_available(now)
                && match class {
                    CostClass::Long => !short_only && a.pending_cost.is_zero(),
                    CostClass::Medium => !short_only && a.pending_cost < MAX_PENDING_COST,
                    CostClass::Short => {
                        a.pending_cost
                            < if short_only {
                                MAX_PENDING_COST_SHORT_ONLY
                            } else {
                                MAX_PENDING_COST
                            }
                    }
                }
        };
        let free = callers.iter_mut().enumerate().filter(fits);
        free.min_by_key(|(_, a)| a.pending_cost).map(|(_, a)| a)
    }

    /// Assigns a request of this cost to `caller`.
    pub(super) fn take(&mut self, caller: &mut Caller, cost: Duration) {
        caller.pending_cost += cost;
        caller.has_long = cost > LONG_THRESHOLD;
        if caller.has_long {
            self.long_left = self.long_left.saturating_sub(1);
        }
    }
}
