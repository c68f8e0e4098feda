//! One scheduling pass over all waiting steps, and the execution of the actions that it returns.

use super::{Message, OwnerState};
use crate::advice;
use catkin_cell::Action;
use catkin_cell::AdviceRequest;
use catkin_cell::cell::AdviceAnswer;
use catkin_cell::worker::millis;
use catkin_types::id::format_job;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

impl OwnerState {
    pub(super) fn pass(&mut self) {
        let now = self.cx.now();
        self.last_pass = now;
        let mut out = Vec::new();
        self.cell.begin_occurrences(unix_time_ms());
        self.cell.tick(now, &mut out);
        self.execute(out, now);
        self.report_events();
        self.commit_batches(now);
        self.send_due_polls(now);
        self.dispatch_asks(now);
        self.last_pass_duration = self.cx.now().saturating_sub(now);
    }

    /// Executes the actions that the cell returned.
    pub(super) fn execute(&mut self, actions: Vec<Action>, now: Duration) {
        for action in actions {
            match action {
                Action::Start(s) => self.order_start(s),
                Action::Stop(s) => self.order_stop(s),
                Action::RequestAdvice(ask) => self.dispatcher.push(ask),
                Action::Poll(index) => self.poll(index, Duration::ZERO, now, false),
                Action::StepDown => self.superseded.cancel(),
            }
        }
    }

    /// Dispatches waiting advice requests to the daemons that have capacity for them.
    fn dispatch_asks(&mut self, now: Duration) {
        let cell = &self.cell;
        self.dispatcher.retain(|a| cell.is_open(a.step.job));
        for (ask, by) in self.dispatcher.dispatch(now) {
            let (cx, myself) = (std::sync::Arc::clone(&self.cx), self.myself.clone());
            self.spawn(async move {
                let sent = cx.now();
                let answer = advice::request_advice_via(&cx, by, &ask).await;
                let answer = answer
                    .inspect_err(|e| {
                        let job = format_job(ask.step.job);
                        tracing::info!(job, by = ?by, "owner: advice request failed: {e}");
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
                    "owner: advice request completed"
                );
                drop(myself.send_message(Message::AdviceReply(Box::new(ask), by, sent, answer)));
            });
        }
    }

    pub(super) fn handle_advice(
        &mut self,
        ask: &AdviceRequest,
        by: Option<SocketAddr>,
        sent: Duration,
        advised: Option<AdviceAnswer>,
        now: Duration,
    ) {
        self.dispatcher.complete(ask, by, advised.is_some(), now);
        // The adviser needs `cost` to decide, so it decided at `sent + cost` at the earliest.
        let answered = (sent + ask.cost).min(now);
        self.cell.handle_advice(ask, advised.unwrap_or(AdviceAnswer::Unavailable), answered, now);
    }
}

/// Returns the wall-clock time in milliseconds since 1970.
fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}
