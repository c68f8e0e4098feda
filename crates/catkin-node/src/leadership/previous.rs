//! Finds out whether the process of the previous owner is gone.

use super::{HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, own_heartbeat};
use crate::cx::Cx;
use crate::table::OwnerRecord;
use catkin_schema::peer::{Heartbeat, Request, Response};
use catkin_types::Epoch;
use std::net::SocketAddr;
use std::sync::Arc;

/// Calls the daemon of the previous owner until it answers as another process, while the answer can shorten the wait for
/// earlier owners in the term `epoch`.
pub(super) fn spawn_watch(cx: &Arc<Cx>, previous: OwnerRecord, epoch: Epoch) {
    let Ok(addr) = previous.address.parse() else { return };
    if previous.daemon == cx.cfg.daemon.id {
        return;
    }
    let task_cx = Arc::clone(cx);
    cx.spawn(async move {
        while is_open(&task_cx, epoch) {
            if let Some(answer) = ask(&task_cx, addr).await
                && record(&task_cx, &previous, &answer, epoch)
            {
                return;
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    });
}

/// Whether the term still runs and earlier owners may act.
fn is_open(cx: &Cx, epoch: Epoch) -> bool {
    cx.term.borrow().is_some_and(|t| t.epoch == epoch && t.earlier.until() > cx.now())
}

async fn ask(cx: &Cx, addr: SocketAddr) -> Option<Heartbeat> {
    match cx.calls.call(addr, Request::Heartbeat(own_heartbeat(cx)), HEARTBEAT_TIMEOUT).await {
        Ok(Response::Heartbeat(answer)) => Some(answer),
        Ok(_) => None,
        Err(e) => {
            tracing::debug!("lead: the previous owner at {addr} does not answer: {e}");
            None
        }
    }
}

/// Records an answer in the term. Returns whether the previous owner is gone.
fn record(cx: &Cx, previous: &OwnerRecord, answer: &Heartbeat, epoch: Epoch) -> bool {
    let now = cx.now();
    let mut is_gone = false;
    cx.term.send_if_modified(|term| {
        if let Some(term) = term.as_mut().filter(|t| t.epoch == epoch) {
            is_gone = term.earlier.record_answer(previous, answer, now);
        }
        is_gone
    });
    if is_gone {
        let daemon = &previous.daemon;
        tracing::info!(epoch, daemon, "lead: the process of the previous owner is gone");
    }
    is_gone
}
