//! Questions to the adviser. It takes one call at a time of each machine, so that the daemons ask for each other.

use crate::cx::Cx;
use catkin_cell::{AdviceRequest, StepRef};
use catkin_platform::error::Error;
use catkin_schema::peer::{Advise, Request, Response};
use catkin_types::WorkerId;
use std::net::SocketAddr;
use std::time::Duration;

/// How much longer than the adviser's own time an answer may take.
const CALL_MARGIN: Duration = Duration::from_millis(500);
/// Calls that take the adviser longer than this are long: a daemon asks nothing else meanwhile.
const LONG_THRESHOLD: Duration = Duration::from_millis(250);
/// Calls that take the adviser less than this are short.
const SHORT_THRESHOLD: Duration = Duration::from_millis(40);
/// One daemon of so many asks short questions only.
const SHORT_ONLY_DIVISOR: usize = 4;
/// How long a daemon that was not heard of gets no questions.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a daemon that did not answer gets no questions.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Asks the adviser for this daemon itself.
///
/// # Errors
/// The adviser declined or did not answer.
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

/// Has another daemon ask.
///
/// # Errors
/// It or the adviser declined or did not answer.
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
        Ok(other) => Err(Error::NotDone(format!("the daemon at {addr} answers {other:?}"))),
        Err(e) => Err(Error::Unknown(e.to_string())),
    }
}

/// The adviser's time that the questions of one daemon may take together: the next one is there when one is answered.
const MAX_PENDING_COST: Duration = Duration::from_millis(220);
/// The same for a daemon that asks short questions only.
const MAX_PENDING_COST_SHORT_ONLY: Duration = Duration::from_millis(80);

/// A daemon that can ask.
#[derive(Clone, Debug)]
struct Caller {
    /// Where it takes calls; nothing for this daemon itself.
    addr: Option<SocketAddr>,
    last_heartbeat: Duration,
    paused_until: Duration,
    /// What the adviser needs for what it asks now.
    pending_cost: Duration,
    /// Whether that includes a long question.
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

    fn is_free(&self, now: Duration) -> bool {
        is_alive(self, now) && now >= self.paused_until && !self.has_long
    }
}

/// Which daemon asks what next.
#[derive(Debug)]
pub struct Dispatcher {
    callers: Vec<Caller>,
    waiting: Vec<Ask>,
}

impl Default for Dispatcher {
    fn default() -> Self {
        let own = Caller::new(None, Duration::MAX);
        Self { callers: vec![own], waiting: Vec::new() }
    }
}

impl Dispatcher {
    /// A daemon said at `now` that it is there.
    pub fn record_heartbeat(&mut self, addr: SocketAddr, draining: bool, now: Duration) {
        let last_heartbeat = if draining { Duration::ZERO } else { now };
        match self.callers.iter_mut().find(|a| a.addr == Some(addr)) {
            Some(a) => a.last_heartbeat = last_heartbeat,
            None => self.callers.push(Caller::new(Some(addr), last_heartbeat)),
        }
        self.callers.retain(|a| !a.pending_cost.is_zero() || is_alive(a, now));
    }

    /// A question waits for a daemon.
    pub fn push(&mut self, ask: AdviceRequest) {
        self.waiting.push(ask);
    }

    /// How many questions wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// How many daemons can ask.
    #[must_use]
    pub fn alive(&self, now: Duration) -> usize {
        self.callers.iter().filter(|a| is_alive(a, now)).count()
    }

    /// The questions that daemons are free for, and those daemons.
    pub fn dispatch(&mut self, now: Duration) -> Vec<(Ask, Option<SocketAddr>)> {
        let shorter_waiting = self.waiting.iter().any(|a| CostClass::of(a.cost) < CostClass::Long);
        let mut capacity = Capacity::new(&self.callers, shorter_waiting, now);
        let rank = |a: &Ask| {
            let late = a.before < now;
            (late, if late { a.cost } else { a.before })
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

    /// The daemon at `addr` has its answer.
    pub fn complete(
        &mut self,
        ask: &Ask,
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

    /// Drops the questions for which `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(&AdviceRequest) -> bool) {
        self.waiting.retain(keep);
    }
}

/// How long a question is.
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

/// What the daemons can still take in one round.
struct Capacity {
    /// So many daemons, the first ones, ask short questions only.
    short_only_count: usize,
    /// How many more long questions may be asked.
    long_left: usize,
    /// The shortest question that no daemon is free for.
    exhausted: Option<CostClass>,
}

impl Capacity {
    /// Long questions take half of the daemons while shorter ones wait, else all but those for short ones.
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

    /// Whether a daemon may be free for such a question.
    fn may_fit(&self, cost: Duration) -> bool {
        let class = CostClass::of(cost);
        self.exhausted.is_none_or(|u| class < u) && (class < CostClass::Long || self.long_left > 0)
    }

    /// No daemon is free for such a question, and so none for a longer one.
    fn mark_exhausted(&mut self, cost: Duration) {
        self.exhausted = Some(CostClass::of(cost));
    }

    /// The daemon with the least to ask that is free for such a question.
    fn assign<'a>(
        &mut self,
        callers: &'a mut [Caller],
        cost: Duration,
        now: Duration,
    ) -> Option<&'a mut Caller> {
        let class = CostClass::of(cost);
        let fits = |(n, a): &(usize, &mut Caller)| {
            let short_only = *n < self.short_only_count;
            a.is_free(now)
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
