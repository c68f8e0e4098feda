//! Routes requests to the owner of a shard, in this daemon or at a peer.

use crate::cx::LocalOwner;
use crate::{Cx, limits, owner, peers, slots};
use catkin_peer::{Error as CallError, Incoming};
use catkin_schema::peer::{Refused, Request, Response};
use catkin_types::{Code, ShardId};
use ractor::ActorRef;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Sends a request to the owner of `shard` and waits for its response for at most `timeout`.
///
/// # Errors
/// Returns [`CallError::NotSent`] if the request certainly had no effect, or [`CallError::Lost`] if it may have had
/// one.
pub async fn call(
    cx: &Arc<Cx>,
    shard: &str,
    req: Request,
    timeout: Duration,
) -> Result<Response, CallError> {
    if cx.local_owner(shard).is_some() {
        return match tokio::time::timeout(timeout, handle_request(cx, req)).await {
            Ok(res) => Ok(res),
            Err(_) => Err(CallError::Lost(format!("no answer within {} ms", timeout.as_millis()))),
        };
    }
    let owner = owner_of(cx, shard);
    let addr = owner.as_deref().filter(|o| *o != cx.id()).and_then(|o| cx.peer_addr(o));
    let addr =
        addr.ok_or_else(|| CallError::NotSent(format!("shard {shard} has no known owner")))?;
    cx.calls.call(addr, req, timeout).await
}

/// Returns the daemon that owns a shard: by the table or by the owner's own heartbeat, whichever has the higher epoch.
fn owner_of(cx: &Cx, shard: &str) -> Option<String> {
    let directory = cx.directory.borrow().clone();
    let recorded = directory.get(shard).map(|e| &e.shard.term);
    let claimed = cx.liveness.claimed_owner(shard);
    match (recorded, claimed) {
        (Some(term), Some((id, epoch))) if epoch > term.epoch => Some(id),
        (Some(term), _) if !term.released => Some(term.owner.clone()),
        (None, Some((id, _))) => Some(id),
        _ => None,
    }
}

/// Returns a response that refuses a request and asks the caller to retry after 200 ms.
#[must_use]
pub fn refusal(code: Code, message: &str) -> Response {
    Response::Refused(Refused {
        code: code.number(),
        retry_after: Duration::from_millis(200),
        message: message.to_owned(),
    })
}

fn not_owner(shard: &ShardId) -> Response {
    refusal(Code::NO_OWNER, &format!("shard {shard} is not owned here"))
}

/// Handles a request from a peer or from this daemon's own gate.
pub async fn handle_request(cx: &Arc<Cx>, req: Request) -> Response {
    match req {
        Request::Heartbeat(beat) => {
            cx.liveness.record_beat(beat, cx.now());
            Response::Heartbeat(peers::own_beat(cx).await)
        }
        Request::PushLimits(json) => Response::Version(limits::handle_push(cx, &json)),
        Request::PullLimits(version) => Response::Limits(limits::encode_if_newer(cx, version)),
        Request::Acquire(x) => {
            let shard = x.shard.clone();
            call_slots(cx, &shard, |tx| slots::Message::Acquire(x, tx)).await
        }
        Request::Release(x) => {
            let shard = x.shard.clone();
            call_slots(cx, &shard, |tx| slots::Message::Release(x, tx)).await
        }
        Request::Offer { shard, .. } | Request::Cancel { shard, .. } => {
            call_worker_owner(cx, &shard, owner::Message::Offer).await
        }
        Request::JobStatus(job) => {
            call_all_worker_owners(cx, |tx| owner::Message::Status(job, tx)).await
        }
        Request::Explain(job) => {
            call_all_worker_owners(cx, |tx| owner::Message::Explain(job, tx)).await
        }
        Request::ShardsChanged => {
            cx.scan_requested.notify_one();
            Response::Done
        }
        Request::Workers(shard) => call_worker_owner(cx, &shard, owner::Message::Workers).await,
        Request::CountWaiting(_)
        | Request::Advise(_)
        | Request::Store { .. }
        | Request::StoreCancellation(_) => refusal(Code::BAD_REQUEST, "this daemon owns no cell"),
    }
}

async fn call_slots(
    cx: &Cx,
    shard: &ShardId,
    msg: impl FnOnce(oneshot::Sender<Response>) -> slots::Message,
) -> Response {
    let Some(LocalOwner::Slots(actor)) = cx.local_owner(shard) else { return not_owner(shard) };
    ask(&actor, msg).await.unwrap_or_else(|| not_owner(shard))
}

async fn call_worker_owner(
    cx: &Cx,
    shard: &ShardId,
    msg: impl FnOnce(oneshot::Sender<Response>) -> owner::Message,
) -> Response {
    let Some(LocalOwner::Workers(actor)) = cx.local_owner(shard) else { return not_owner(shard) };
    ask(&actor, msg).await.unwrap_or_else(|| not_owner(shard))
}

/// Sends a message to an actor and waits for the answer. `None` if the actor has stopped.
async fn ask<M: ractor::Message>(
    actor: &ActorRef<M>,
    msg: impl FnOnce(oneshot::Sender<Response>) -> M,
) -> Option<Response> {
    let (tx, rx) = oneshot::channel();
    actor.send_message(msg(tx)).ok()?;
    rx.await.ok()
}

/// Sends a message to every worker shard owner in this daemon and concatenates their answers.
async fn call_all_worker_owners(
    cx: &Cx,
    msg: impl Fn(oneshot::Sender<Response>) -> owner::Message,
) -> Response {
    let mut answers: Vec<serde_json::Value> = Vec::new();
    for (_, local) in cx.local_owners() {
        let LocalOwner::Workers(actor) = local else { continue };
        if let Some(Response::Json(json)) = ask(&actor, &msg).await {
            answers.extend(
                serde_json::from_slice::<Vec<serde_json::Value>>(&json).unwrap_or_default(),
            );
        }
    }
    Response::Json(serde_json::to_vec(&answers).unwrap_or_default())
}

/// Handles requests from peers until the channel closes.
pub async fn serve(cx: Arc<Cx>, mut rx: mpsc::Receiver<Incoming>) {
    while let Some(incoming) = rx.recv().await {
        let cx = Arc::clone(&cx);
        cx.background_tasks.clone().spawn(async move {
            let res = handle_request(&cx, incoming.req).await;
            let _ = incoming.tx.send(res);
        });
    }
}
