//! One pass over all that waits.

use super::{Message, Running};
use crate::asks;
use catkin_cell::Action;
use catkin_cell::AdviceRequest;
use catkin_cell::cell::AdviceAnswer;
use catkin_cell::worker::millis;
use catkin_types::id::format_job;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

impl Running {
    pub(super) fn pass(&mut self) {
        let now = self.cx.now();
        self.last_pass = now;
        let mut out = Vec::new();
        self.cell.begin_occurrences(wall_ms());
        self.cell.tick(now, &mut out);
        self.act(out, now);
        self.tell();
        self.commit(now);
        self.look_around(now);
        self.ask_around(now);
        self.pass_took = self.cx.now().saturating_sub(now);
    }

    /// Has done what the cell decided.
    pub(super) fn act(&mut self, actions: Vec<Action>, now: Duration) {
        for action in actions {
            match action {
                Action::Start(s) => self.order_start(s),
                Action::Stop(s) => self.order_stop(s),
                Action::RequestAdvice(ask) => self.askers.push(ask),
                Action::Poll(no) => self.look(no, Duration::ZERO, now, false),
                Action::StepDown => self.deposed.cancel(),
            }
        }
    }

    /// Hands questions to the daemons that are free to ask.
    fn ask_around(&mut self, now: Duration) {
        let cell = &self.cell;
        self.askers.retain(|a| cell.is_open(a.step.job));
        for (ask, by) in self.askers.hand_out(now) {
            let (cx, me) = (std::sync::Arc::clone(&self.cx), self.me.clone());
            self.spawn(async move {
                let sent = cx.now();
                let answer = asks::ask_by(&cx, by, &ask).await;
                let answer = answer
                    .inspect_err(|e| {
                        let job = format_job(ask.step.job);
                        tracing::info!(job, by = ?by, "owner: no advice: {e}");
                    })
                    .ok()
                    .map(AdviceAnswer::Eligible);
                tracing::info!(
                    job = format_job(ask.step.job),
                    step = ask.step.step,
                    workers = ask.workers.len(),
                    by = ?by,
                    took_ms = millis(cx.now().saturating_sub(sent)),
                    cost_ms = millis(ask.cost),
                    "owner: advised"
                );
                drop(me.send_message(Message::Advised(Box::new(ask), by, sent, answer)));
            });
        }
    }

    pub(super) fn advised(
        &mut self,
        ask: &AdviceRequest,
        by: Option<SocketAddr>,
        sent: Duration,
        advised: Option<AdviceAnswer>,
        now: Duration,
    ) {
        self.askers.answered(ask, by, advised.is_some(), now);
        // The adviser decided at the earliest so long after it was asked.
        let answered = (sent + ask.cost).min(now);
        self.cell.handle_advice(ask, advised.unwrap_or(AdviceAnswer::Unavailable), answered, now);
    }
}

/// The time of day, in milliseconds since 1970.
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}
