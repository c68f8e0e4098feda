//! Advice requests. The adviser serves one call at a time from each machine, so the owner distributes its requests over
//! all daemons.

use crate::cx::Cx;
use catkin_cell::{AdviceRequest, StepRef};
use catkin_platform::error::Error;
use catkin_schema::peer::{Advise, Request, Response};
use catkin_types::WorkerId;
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout of a call beyond the time that the adviser is expected to take.
const CALL_MARGIN: Duration = Duration::from_millis(500);
/// Requests that take the adviser longer than this are long. A daemon has no other request pending beside a long one.
const LONG_THRESHOLD: Duration = Duration::from_millis(250);
/// Requests that take the adviser at most this long are short.
const SHORT_THRESHOLD: Duration = Duration::from_millis(40);
/// One in this many daemons makes short requests only.
const SHORT_ONLY_DIVISOR: usize = 4;
/// The time without a heartbeat after which a daemon gets no requests.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a daemon gets no requests after one that failed.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Requests advice with a call of this daemon. Returns the suitable workers, each with its ticket.
///
/// # Errors
/// The adviser declined or did not answer in time.
pub async fn request_advice(
    cx: &Cx,
    r: StepRef,
    workers: &[WorkerId],
    wait: Duration,
) -> Result<Vec<(WorkerId, String)>, Error> {
    let sent = cx.now();
    let answer = cx.adviser.request_advice(r, workers, wait).await;
    let outcome = match &answer {
        Ok(_) => "answered",
        Err(Error::NotDone(_)) => "declined",
        Err(_) => "lost",
    };
    cx.metrics.record_advice(outcome, cx.now().saturating_sub(sent));
    answer
}

/// Requests advice through the daemon at `by`, or with a call of this daemon if `by` is `None`.
///
/// # Errors
/// That daemon or the adviser declined or did not answer in time.
pub async fn request_advice_via(
    cx: &Cx,
    by: Option<SocketAddr>,
    ask: &AdviceRequest,
) -> Result<Vec<(WorkerId, String)>, Error> {
    let wait = ask.cost + CALL_MARGIN;
    let Some(addr) = by else {
        return self::request_advice(cx, ask.step, &ask.workers, wait).await;
    };
    let req = Request::Advise(Advise {
        job: ask.step.job,
        occurrence: ask.step.occurrence,
        step: ask.step.step,
        workers: ask.workers.clone(),
        wait,
    });
    match cx.calls.call(addr, req, wait + CALL_MARGIN).await {
        Ok(Response::Advice(rows)) => Ok(rows),
        Ok(other) => Err(Error::NotDone(format!("the daemon at {addr} answered {other:?}"))),
        Err(e) => Err(Error::Unknown(e.to_string())),
    }
}

/// The adviser time that the pending requests of one daemon may take together. More than one may be pending, so that
/// the next one is at the daemon when one completes.
const MAX_PENDING_COST: Duration = Duration::from_millis(220);
/// The same for a daemon that makes short requests only.
const MAX_PENDING_COST_SHORT_ONLY: Duration = Duration::from_millis(80);

/// A daemon that can call the adviser.
#[derive(Clone, Debug)]
struct Caller {
    /// Where it takes calls; `None` for this daemon.
    addr: Option<SocketAddr>,
    last_heartbeat: Duration,
    paused_until: Duration,
    /// The adviser time of its pending requests.
    pending_cost: Duration,
    /// Whether a long request is pending.
    has_long: bool,
}

impl Caller {
    fn new(addr: Option<SocketAddr>, last_heartbeat: Duration) -> Self {
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

/// Assigns advice requests to daemons.
#[derive(Debug)]
pub struct Dispatcher {
    callers: Vec<Caller>,
    waiting: Vec<AdviceRequest>,
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

    /// Queues a request.
    pub fn push(&mut self, ask: AdviceRequest) {
        self.waiting.push(ask);
    }

    /// The number of requests that wait for a daemon.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The number of daemons, this one included, whose heartbeat is recent.
    #[must_use]
    pub fn alive(&self, now: Duration) -> usize {
        self.callers.iter().filter(|a| is_alive(a, now)).count()
    }

    /// Removes the requests that a daemon has capacity for from the queue. Returns each with the daemon that makes the
    /// call, `None` for this daemon.
    pub fn dispatch(&mut self, now: Duration) -> Vec<(AdviceRequest, Option<SocketAddr>)> {
        let shorter_waiting = self.waiting.iter().any(|a| CostClass::of(a.cost) < CostClass::Long);
        let mut capacity = Capacity::new(&self.callers, shorter_waiting, now);
        let rank = |a: &AdviceRequest| {
            let late = a.latest_start < now;
            (late, if late { a.cost } else { a.latest_start })
        };
        self.waiting.sort_by_key(rank);
        let mut assigned = Vec::new();
        self.waiting.retain(|ask| {
            if !capacity.may_fit(ask.cost) {
                return true;
            }
            let Some(caller) = capacity.assign(&mut self.callers, ask.cost, now) else {
                capacity.mark_exhausted(ask.cost);
                return true;
            };
            caller.pending_cost += ask.cost;
            caller.has_long = ask.cost > LONG_THRESHOLD;
            assigned.push((ask.clone(), caller.addr));
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
        self.waiting.retain(keep);
    }
}

/// Classifies requests by the adviser time that they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CostClass {
    Short,
    Medium,
    Long,
}

impl CostClass {
    fn of(cost: Duration) -> Self {
        match cost {
            c if c > LONG_THRESHOLD => Self::Long,
            c if c > SHORT_THRESHOLD => Self::Medium,
            _ => Self::Short,
        }
    }
}

/// The capacity of the daemons during one dispatch.
struct Capacity {
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
    fn new(callers: &[Caller], shorter_waiting: bool, now: Duration) -> Self {
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
    fn may_fit(&self, cost: Duration) -> bool {
        let class = CostClass::of(cost);
        self.exhausted.is_none_or(|u| class < u) && (class < CostClass::Long || self.long_left > 0)
    }

    /// Records that no daemon has capacity for a request of this cost, nor for a longer one.
    fn mark_exhausted(&mut self, cost: Duration) {
        self.exhausted = Some(CostClass::of(cost));
    }

    /// Picks the least loaded daemon that has capacity for a request of this cost.
    fn assign<'a>(
        &mut self,
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
        let (_, caller) = free.min_by_key(|(_, a)| a.pending_cost)?;
        if class == CostClass::Long {
            self.long_left -= 1;
        }
        Some(caller)
    }
}

fn is_alive(a: &Caller, now: Duration) -> bool {
    a.addr.is_none() || now.saturating_sub(a.last_heartbeat) < HEARTBEAT_TIMEOUT
}
