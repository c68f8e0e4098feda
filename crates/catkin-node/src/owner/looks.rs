//! Looks at workers: each waits there for the next end, and renews the lease.

use super::{Message, Running};
use catkin_cell::Action;
use catkin_cell::worker::{Reply, Seen};
use catkin_platform::workers::Look;
use catkin_types::WorkerId;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How long a look waits for an end.
const WAIT: Duration = Duration::from_millis(1_800);
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
    workers: HashMap<WorkerId, State>,
}

impl Running {
    /// Sends the looks that are due.
    pub(super) fn look_around(&mut self, now: Duration) {
        for id in self.cell.worker_ids() {
            let state = self.looks.workers.entry(id.clone()).or_default();
            if state.waiting || now < state.next {
                continue;
            }
            let pending = self.cell.ends_pending(&id);
            if pending && now.saturating_sub(state.last) < RENEW_BESIDE {
                continue;
            }
            state.waiting = true;
            state.last = now;
            let wait = if pending || !self.cell.answers(&id) { Duration::ZERO } else { WAIT };
            self.look_waiting(&id, wait, now, true);
        }
    }

    /// Looks at a worker beside the look that waits there.
    pub(super) fn look(&mut self, id: &WorkerId, wait: Duration, now: Duration) {
        self.look_waiting(id, wait, now, false);
    }

    fn look_waiting(&mut self, id: &WorkerId, wait: Duration, now: Duration, long: bool) {
        let Some(view) = self.cell.view(id, now) else { return };
        let look = Look {
            worker: id.clone(),
            epoch: self.cell.epoch(),
            lease_to_ms: view.lease_to_ms,
            acknowledged: view.acknowledged,
            wait,
        };
        let (cx, me, id) = (Arc::clone(&self.cx), self.me.clone(), id.clone());
        self.spawn(async move {
            let sent = cx.now();
            let seen = cx.workers.look(&view.addr, &look, wait + PATIENCE).await;
            let seen = seen
                .inspect_err(|e| tracing::debug!(worker = id, "owner: look not answered: {e}"))
                .ok();
            drop(me.send_message(Message::Seen(id, sent, long, seen)));
        });
    }

    pub(super) fn seen(
        &mut self,
        id: &WorkerId,
        sent: Duration,
        long: bool,
        seen: Option<Result<Seen, Reply>>,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let pause = match seen {
            Some(Ok(seen)) => {
                let pause = if seen.ended.is_empty() { Duration::ZERO } else { GATHER };
                self.cell.seen(id, sent, &seen, now, out);
                pause
            }
            Some(Err(Reply::Fenced)) => {
                out.push(Action::Deposed);
                PAUSE
            }
            Some(Err(reply)) => {
                tracing::info!(worker = id, "owner: look answered {reply:?}");
                if reply == Reply::OtherLife {
                    self.cell.other_life(id);
                }
                PAUSE
            }
            None => {
                self.cell.not_seen(id);
                PAUSE
            }
        };
        if long {
            let state = self.looks.workers.entry(id.clone()).or_default();
            state.waiting = false;
            state.next = now + pause;
        }
    }
}
