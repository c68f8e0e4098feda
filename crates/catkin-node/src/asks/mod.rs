//! Questions to the adviser. It takes one call at a time of each machine, so that the daemons ask for each other.

use crate::cx::Cx;
use catkin_cell::{AdviceRequest, StepRef};
use catkin_platform::error::Error;
use catkin_schema::peer::{Advise, Request, Response};
use catkin_types::WorkerId;
use std::net::SocketAddr;
use std::time::Duration;

/// How much longer than the adviser's own time an answer may take.
const SLACK: Duration = Duration::from_millis(500);
/// Calls that take the adviser longer than this are long: a daemon asks nothing else meanwhile.
const LONG: Duration = Duration::from_millis(250);
/// Calls that take the adviser less than this are short.
const SHORT: Duration = Duration::from_millis(40);
/// One daemon of so many asks short questions only.
const FOR_SHORT: usize = 4;
/// How long a daemon that was not heard of gets no questions.
const FORGET: Duration = Duration::from_millis(1_200);
/// How long a daemon that did not answer gets no questions.
const PAUSE: Duration = Duration::from_secs(1);

/// Asks the adviser for this daemon itself.
///
/// # Errors
/// The adviser declined or did not answer.
pub async fn ask(
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
    cx.metrics.advised(outcome, cx.now().saturating_sub(sent));
    answer
}

/// Has another daemon ask.
///
/// # Errors
/// It or the adviser declined or did not answer.
pub async fn ask_by(
    cx: &Cx,
    by: Option<SocketAddr>,
    ask: &AdviceRequest,
) -> Result<Vec<(WorkerId, String)>, Error> {
    let wait = ask.cost + SLACK;
    let Some(addr) = by else {
        return self::ask(cx, ask.step, &ask.workers, wait).await;
    };
    let req = Request::Advise(Advise {
        job: ask.step.job,
        occurrence: ask.step.occurrence,
        step: ask.step.step,
        workers: ask.workers.clone(),
        wait,
    });
    match cx.calls.call(addr, req, wait + SLACK).await {
        Ok(Response::Advice(rows)) => Ok(rows),
        Ok(other) => Err(Error::NotDone(format!("the daemon at {addr} answers {other:?}"))),
        Err(e) => Err(Error::Unknown(e.to_string())),
    }
}

/// The adviser's time that the questions of one daemon may take together: the next one is there when one is answered.
const AHEAD: Duration = Duration::from_millis(220);
/// The same for a daemon that asks short questions only.
const AHEAD_SHORT: Duration = Duration::from_millis(80);

/// A daemon that can ask.
#[derive(Clone, Debug)]
struct Asker {
    /// Where it takes calls; nothing for this daemon itself.
    addr: Option<SocketAddr>,
    heard: Duration,
    paused_until: Duration,
    /// What the adviser needs for what it asks now.
    asked: Duration,
    /// Whether that includes a long question.
    long: bool,
}

impl Asker {
    fn new(addr: Option<SocketAddr>, heard: Duration) -> Self {
        Self { addr, heard, paused_until: Duration::ZERO, asked: Duration::ZERO, long: false }
    }

    fn is_free(&self, now: Duration) -> bool {
        alive(self, now) && now >= self.paused_until && !self.long
    }
}

/// Which daemon asks what next.
#[derive(Debug)]
pub struct Askers {
    askers: Vec<Asker>,
    waiting: Vec<AdviceRequest>,
}

impl Default for Askers {
    fn default() -> Self {
        let own = Asker::new(None, Duration::MAX);
        Self { askers: vec![own], waiting: Vec::new() }
    }
}

impl Askers {
    /// A daemon said at `now` that it is there.
    pub fn heard(&mut self, addr: SocketAddr, draining: bool, now: Duration) {
        let heard = if draining { Duration::ZERO } else { now };
        match self.askers.iter_mut().find(|a| a.addr == Some(addr)) {
            Some(a) => a.heard = heard,
            None => self.askers.push(Asker::new(Some(addr), heard)),
        }
        self.askers.retain(|a| !a.asked.is_zero() || alive(a, now));
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
        self.askers.iter().filter(|a| alive(a, now)).count()
    }

    /// The questions that daemons are free for, and those daemons.
    pub fn hand_out(&mut self, now: Duration) -> Vec<(AdviceRequest, Option<SocketAddr>)> {
        let others_wait = self.waiting.iter().any(|a| Length::of(a.cost) < Length::Long);
        let mut room = Room::new(&self.askers, others_wait, now);
        let rank = |a: &AdviceRequest| {
            let late = a.latest_start < now;
            (late, if late { a.cost } else { a.latest_start })
        };
        self.waiting.sort_by_key(rank);
        let mut out = Vec::new();
        self.waiting.retain(|ask| {
            if !room.left(ask.cost) {
                return true;
            }
            let Some(asker) = room.find(&mut self.askers, ask.cost, now) else {
                room.used_up(ask.cost);
                return true;
            };
            asker.asked += ask.cost;
            asker.long = ask.cost > LONG;
            out.push((ask.clone(), asker.addr));
            false
        });
        out
    }

    /// The daemon at `addr` has its answer.
    pub fn answered(
        &mut self,
        ask: &AdviceRequest,
        addr: Option<SocketAddr>,
        well: bool,
        now: Duration,
    ) {
        if let Some(a) = self.askers.iter_mut().find(|a| a.addr == addr) {
            a.asked = a.asked.saturating_sub(ask.cost);
            a.long &= ask.cost <= LONG;
            if !well && a.addr.is_some() {
                a.paused_until = now + PAUSE;
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
enum Length {
    Short,
    Middle,
    Long,
}

impl Length {
    fn of(cost: Duration) -> Self {
        match cost {
            c if c > LONG => Self::Long,
            c if c > SHORT => Self::Middle,
            _ => Self::Short,
        }
    }
}

/// What the daemons can still take in one round.
struct Room {
    /// So many daemons, the first ones, ask short questions only.
    for_short: usize,
    /// How many more long questions may be asked.
    long: usize,
    /// The shortest question that no daemon is free for.
    used_up: Option<Length>,
}

impl Room {
    /// Long questions take half of the daemons while shorter ones wait, else all but those for short ones.
    fn new(askers: &[Asker], others_wait: bool, now: Duration) -> Self {
        let live = askers.iter().filter(|a| alive(a, now)).count();
        let long_now = askers.iter().filter(|a| a.long).count();
        let most_long = if others_wait { (live / 2).max(1) } else { live };
        Self {
            for_short: if live > 1 { (live / FOR_SHORT).max(1) } else { 0 },
            long: most_long.saturating_sub(long_now),
            used_up: None,
        }
    }

    /// Whether a daemon may be free for such a question.
    fn left(&self, cost: Duration) -> bool {
        let length = Length::of(cost);
        self.used_up.is_none_or(|u| length < u) && (length < Length::Long || self.long > 0)
    }

    /// No daemon is free for such a question, and so none for a longer one.
    fn used_up(&mut self, cost: Duration) {
        self.used_up = Some(Length::of(cost));
    }

    /// The daemon with the least to ask that is free for such a question.
    fn find<'a>(
        &mut self,
        askers: &'a mut [Asker],
        cost: Duration,
        now: Duration,
    ) -> Option<&'a mut Asker> {
        let length = Length::of(cost);
        let fits = |(n, a): &(usize, &mut Asker)| {
            let short_only = *n < self.for_short;
            a.is_free(now)
                && match length {
                    Length::Long => !short_only && a.asked.is_zero(),
                    Length::Middle => !short_only && a.asked < AHEAD,
                    Length::Short => a.asked < if short_only { AHEAD_SHORT } else { AHEAD },
                }
        };
        let free = askers.iter_mut().enumerate().filter(fits);
        let (_, asker) = free.min_by_key(|(_, a)| a.asked)?;
        if length == Length::Long {
            self.long -= 1;
        }
        Some(asker)
    }
}

fn alive(a: &Asker, now: Duration) -> bool {
    a.addr.is_none() || now.saturating_sub(a.heard) < FORGET
}
