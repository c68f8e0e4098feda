//! Polls of workers. A poll renews the worker's lease and waits at the worker until a task ends.

use super::{Message, OwnerState};
use catkin_cell::Action;
use catkin_cell::cell::SentPoll;
use catkin_cell::worker::{Reply, WorkerIndex, WorkerReport};
use catkin_platform::workers::PollRequest;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How long a long poll waits at the worker for a task to end.
const POLL_WAIT: Duration = Duration::from_millis(1_200);
/// The timeout of a poll beyond the time that the worker waits.
const ANSWER_MARGIN: Duration = Duration::from_millis(700);
/// How long a call to a worker takes at most, from the time at which it is sent to the news that it got no answer.
pub(super) const MAX_CALL_TIME: Duration =
    POLL_WAIT.saturating_add(ANSWER_MARGIN).saturating_add(Duration::from_millis(100));
/// The delay after a poll that failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// The delay after a poll that returned ended tasks, so that the next one returns several together.
const COALESCE_DELAY: Duration = Duration::from_millis(40);
/// How long the lease renewal may be put off while ended tasks are not yet durable. After this, the worker is polled
/// without acknowledging them.
const MAX_RENEW_DELAY: Duration = Duration::from_millis(800);

/// The long poll of one worker.
#[derive(Clone, Copy, Debug, Default)]
struct PollState {
    in_flight: bool,
    not_before: Duration,
    last_sent: Duration,
}

/// The long polls of all workers.
#[derive(Debug, Default)]
pub(super) struct Polls {
    workers: HashMap<WorkerIndex, PollState>,
}

impl OwnerState {
    /// Sends the long polls that are due.
    pub(super) fn send_due_polls(&mut self, now: Duration) {
        for index in self.cell.worker_indices() {
            let state = self.polls.workers.entry(index).or_default();
            if state.in_flight || now < state.not_before || self.cell.can_stop_polling(index, now) {
                continue;
            }
            let pending = self.cell.has_unacknowledged_ends(index);
            if pending && now.saturating_sub(state.last_sent) < MAX_RENEW_DELAY {
                continue;
            }
            state.in_flight = true;
            state.last_sent = now;
            let wait = if self.cell.may_wait_at_worker(index) { POLL_WAIT } else { Duration::ZERO };
            self.poll(index, wait, now, true);
        }
    }

    /// Polls a worker. Each worker has at most one `long_poll` in flight, which is repeated; other polls are sent
    /// beside it.
    pub(super) fn poll(
        &mut self,
        index: WorkerIndex,
        wait: Duration,
        now: Duration,
        long_poll: bool,
    ) {
        let view = self.cell.poll_params(index, now);
        let poll = PollRequest {
            worker: view.id.clone(),
            token: view.token,
            lease_end_ms: view.lease_to_ms,
            acknowledged_end: view.acknowledged,
            max_wait: wait,
        };
        let (cx, myself) = (Arc::clone(&self.cx), self.myself.clone());
        self.spawn(async move {
            let sent = view.sent_at(index, cx.now());
            let answer = cx.workers.poll(&view.addr, &poll, wait + ANSWER_MARGIN).await;
            let answer = answer
                .inspect_err(|e| tracing::debug!(worker = poll.worker, "owner: poll failed: {e}"))
                .ok();
            drop(myself.send_message(Message::PollReply(sent, long_poll, answer)));
        });
    }

    pub(super) fn handle_poll_reply(
        &mut self,
        poll: &SentPoll,
        long_poll: bool,
        answer: Option<Result<WorkerReport, Reply>>,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let index = poll.worker;
        let delay = match answer {
            Some(Ok(report)) => {
                let delay = if report.ended.is_empty() { Duration::ZERO } else { COALESCE_DELAY };
                self.cell.handle_report(poll, &report, now, out);
                delay
            }
            Some(Err(Reply::Fenced)) => {
                let is_own = self.cell.handle_fenced(index, poll.token, out);
                if is_own { Duration::ZERO } else { RETRY_DELAY }
            }
            Some(Err(reply)) => {
                let worker = self.cell.contact(index).0;
                tracing::info!(worker, "owner: poll refused: {reply:?}");
                if reply == Reply::OtherLife {
                    self.cell.handle_other_worker(poll, now);
                } else {
                    self.cell.handle_missed_poll(poll, now);
                }
                RETRY_DELAY
            }
            None => {
                self.cell.handle_missed_poll(poll, now);
                RETRY_DELAY
            }
        };
        if long_poll {
            let state = self.polls.workers.entry(index).or_default();
            state.in_flight = false;
            state.not_before = now + delay;
        }
    }
}
