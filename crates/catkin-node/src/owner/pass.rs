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
        if let Some(term) = *self.cx.term.borrow() {
            self.cell.limit_earlier_owners(term.earlier.until());
            self.cell.confirm_term(term.renewed_at);
            self.cell.handle_silent_workers_written(term.silent_version);
        }
        self.cell.begin_occurrences(unix_time_ms());
        self.cell.tick(now, &mut out);
        self.publish_silent_workers();
        self.execute(out, now);
        self.report_events();
        self.commit_batches(now);
        self.send_due_polls(now);
        self.dispatch_advice_requests(now);
        self.last_pass_duration = self.cx.now().saturating_sub(now);
    }

    /// Hands changes of the silent workers to the renewals of the owner row.
    fn publish_silent_workers(&self) {
        let silent = self.cell.silent_workers();
        self.cx.silent_workers.send_if_modified(|known| {
            let is_newer = known.version != silent.version;
            if is_newer {
                known.clone_from(silent);
            }
            is_newer
        });
    }

    /// Executes the actions that the cell returned.
    pub(super) fn execute(&mut self, actions: Vec<Action>, now: Duration) {
        for action in actions {
            match action {
                Action::Start(s) => self.order_start(s),
                Action::Stop(s) => self.order_stop(s),
                Action::RequestAdvice(request) => self.dispatcher.push(request, now),
                Action::Poll(index) => self.poll(index, Duration::ZERO, now, false),
                Action::StepDown => self.superseded.cancel(),
            }
        }
    }

    /// Dispatches waiting advice requests to the daemons that have capacity for them.
    fn dispatch_advice_requests(&mut self, now: Duration) {
        let Self { cell, dispatcher, .. } = self;
        dispatcher.retain(|a| cell.is_open(a.step.job));
        for (request, by) in dispatcher.dispatch(now, |a| cell.request_to_send(a, now)) {
            let (cx, myself) = (std::sync::Arc::clone(&self.cx), self.myself.clone());
            self.spawn(async move {
                let sent = cx.now();
                let answer = advice::request_advice_via(&cx, by, &request).await;
                let answer = answer
                    .inspect_err(|e| {
                        let job = format_job(request.step.job);
                        tracing::info!(job, by = ?by, "owner: advice request failed: {e}");
                    })
                    .ok()
                    .map(AdviceAnswer::Eligible);
                tracing::info!(
                    job = format_job(request.step.job),
                    step = request.step.step,
                    workers = request.workers.len(),
                    by = ?by,
                    took_ms = millis(cx.now().saturating_sub(sent)),
                    cost_ms = millis(request.cost),
                    "owner: advice request completed"
                );
                drop(myself.send_message(Message::AdviceReply(
                    Box::new(request),
                    by,
                    sent,
                    answer,
                )));
            });
        }
    }

    pub(super) fn handle_advice(
        &mut self,
        request: &AdviceRequest,
        by: Option<SocketAddr>,
        sent: Duration,
        advice: Option<AdviceAnswer>,
        now: Duration,
    ) {
        self.dispatcher.complete(request, by, advice.is_some(), now);
        // The adviser needs `cost` to decide, so it decided at `sent + cost` at the earliest.
        let answered = (sent + request.cost).min(now);
        self.cell.handle_advice(
            request,
            advice.unwrap_or(AdviceAnswer::Unavailable),
            answered,
            now,
        );
    }
}

/// Returns the wall-clock time in milliseconds since 1970.
fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}
