//! Looks at workers: each waits there for the next end, and renews the lease.

use super::{Message, Running};
use catkin_cell::Action;
use catkin_cell::worker::{Reply, WorkerIndex, WorkerReport};
use catkin_platform::workers::PollRequest;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How long a look waits for an end.
const WAIT: Duration = Duration::from_millis(1_200);
/// How much longer than the worker waits the answer may take.
const PATIENCE: Duration = Duration::from_millis(700);
/// The pause after a look that failed.
const PAUSE: Duration = Duration::from_millis(250);
/// The pause after a look that found ends, so that the next one finds several.
const GATHER: Duration = Duration::from_millis(40);
/// How long ends may wait to be durable before the lease is renewed beside them.
const RENEW_BESIDE: Duration = Duration::from_millis(800);

/// The looks of one worker.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    waiting: bool,
    next: Duration,
    last: Duration,
}

/// The looks of all workers.
#[derive(Debug, Default)]
pub(super) struct Looks {
    workers: HashMap<WorkerIndex, State>,
}

impl Running {
    /// Sends the looks that are due.
    pub(super) fn look_around(&mut self, now: Duration) {
        for no in self.cell.worker_indices() {
            let state = self.looks.workers.entry(no).or_default();
            if state.waiting || now < state.next || self.cell.can_stop_polling(no, now) {
                continue;
            }
            let pending = self.cell.has_unacknowledged_ends(no);
            if pending && now.saturating_sub(state.last) < RENEW_BESIDE {
                continue;
            }
            state.waiting = true;
            state.last = now;
            let wait = if pending || !self.cell.is_responsive(no) { Duration::ZERO } else { WAIT };
            self.look(no, wait, now, true);
        }
    }

    /// Looks at a worker. The one `long` look at a time is followed by the next; others are beside it.
    pub(super) fn look(&mut self, no: WorkerIndex, wait: Duration, now: Duration, long: bool) {
        let view = self.cell.poll_params(no, now);
        let look = PollRequest {
            worker: view.id,
            epoch: self.cell.epoch(),
            lease_until_ms: view.lease_to_ms,
            acknowledged_end: view.acknowledged,
            max_wait: wait,
        };
        let (cx, me) = (Arc::clone(&self.cx), self.me.clone());
        self.spawn(async move {
            let sent = cx.now();
            let seen = cx.workers.poll(&view.addr, &look, wait + PATIENCE).await;
            let seen = seen
                .inspect_err(|e| tracing::debug!(worker = look.worker, "owner: not seen: {e}"))
                .ok();
            drop(me.send_message(Message::Seen(no, sent, long, seen)));
        });
    }

    pub(super) fn seen(
        &mut self,
        no: WorkerIndex,
        sent: Duration,
        long: bool,
        seen: Option<Result<WorkerReport, Reply>>,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let pause = match seen {
            Some(Ok(seen)) => {
                let pause = if seen.ended.is_empty() { Duration::ZERO } else { GATHER };
                self.cell.handle_report(no, sent, &seen, now, out);
                pause
            }
            Some(Err(Reply::Fenced)) => {
                out.push(Action::StepDown);
                PAUSE
            }
            Some(Err(reply)) => {
                let worker = self.cell.contact(no).0;
                tracing::info!(worker, "owner: look answered {reply:?}");
                if reply == Reply::OtherLife {
                    self.cell.handle_other_incarnation(no);
                }
                PAUSE
            }
            None => {
                self.cell.handle_missed_poll(no);
                PAUSE
            }
        };
        if long {
            let state = self.looks.workers.entry(no).or_default();
            state.waiting = false;
            state.next = now + pause;
        }
    }
}
