//! Calls to the owner of the cell, which may be this daemon.

use super::outcome::WriteOutcome;
use crate::cx::Cx;
use crate::peers;
use catkin_schema::peer::{Request, Response};
use std::sync::Arc;
use std::time::Duration;

/// The timeout of a notification to the owner. If it fails, the owner finds the change in the table.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(800);

/// Notifies the owner of the cell of a change, without waiting. The owner finds the change in the table if this fails.
pub(super) fn notify_owner(cx: &Arc<Cx>, req: Request) {
    let task_cx = Arc::clone(cx);
    cx.spawn(async move {
        drop(call_owner(&task_cx, req, NOTIFY_TIMEOUT).await);
    });
}

/// Calls the owner of the cell.
///
/// # Errors
/// The owner is not known or did not answer in time.
pub(super) async fn call_owner(
    cx: &Arc<Cx>,
    req: Request,
    max_wait: Duration,
) -> Result<Response, catkin_peer::Error> {
    if cx.owner.borrow().is_some() {
        let answer = tokio::time::timeout(max_wait, peers::handle_call(cx, req)).await;
        return answer.map_err(|_| catkin_peer::Error::Lost("the owner is busy".into()));
    }
    let leader = cx.leader.borrow().clone();
    let Some(leader) = leader else {
        return Err(catkin_peer::Error::NotSent("the owner is not known".into()));
    };
    let answer = cx.calls.call(leader.addr, req, max_wait).await;
    answer.inspect_err(|e| tracing::debug!("gate: call to the owner failed: {e}"))
}

/// Calls the owner, unless it is this daemon. Returns `None` if the call certainly did not arrive.
pub(super) async fn write_via_owner(
    cx: &Arc<Cx>,
    req: Request,
    deadline: Duration,
) -> Option<WriteOutcome> {
    if cx.owner.borrow().is_some() {
        return None;
    }
    let left = deadline.saturating_sub(cx.now());
    match call_owner(cx, req, left).await {
        Ok(answer) => WriteOutcome::from_response(answer),
        Err(catkin_peer::Error::Lost(_)) => Some(WriteOutcome::Unknown),
        Err(_) => None,
    }
}
