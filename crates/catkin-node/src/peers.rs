//! Handling of calls of other daemons.

use crate::advice;
use crate::cx::Cx;
use crate::gate::cancel;
use crate::gate::outcome::WriteOutcome;
use crate::leadership;
use crate::owner::Message;
use catkin_cell::{Job, StepRef};
use catkin_peer::Incoming;
use catkin_schema::peer::{Refused, Request, Response};
use catkin_types::{Code, JobId};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;

/// How long a cancellation is attempted for another daemon.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Handles calls until the daemon stops.
pub async fn run(cx: Arc<Cx>, mut rx: mpsc::Receiver<Incoming>) {
    while let Some(call) = rx.recv().await {
        let task_cx = Arc::clone(&cx);
        cx.spawn(async move {
            let res = handle_call(&task_cx, call.req).await;
            drop(call.tx.send(res));
        });
    }
}

/// Handles a call of another daemon or of this daemon's own gate.
pub async fn handle_call(cx: &Arc<Cx>, req: Request) -> Response {
    match req {
        Request::Heartbeat(beat) => {
            if leadership::is_better_owner(cx, &beat) {
                cx.better_owner_seen.store(true, Ordering::Relaxed);
            }
            leadership::handle_announcement(cx, &beat);
            if let (Some(owner), Ok(addr)) = (cx.owner.borrow().clone(), beat.address.parse()) {
                cx.record_peer(addr);
                owner.notify(Message::PeerHeartbeat(addr, beat.draining));
            }
            Response::Heartbeat(leadership::own_heartbeat(cx))
        }
        Request::Advise(advise) => {
            let r = StepRef { job: advise.job, occurrence: advise.occurrence, step: advise.step };
            match advice::request_advice(cx, r, &advise.workers, advise.wait).await {
                Ok(rows) => Response::Advice(rows),
                Err(e) => refused(Code::NO_TARGET, &format!("no advice: {e}")),
            }
        }
        Request::Store { job, body } => store_for_peer(cx, job, &body).await,
        Request::StoreCancellation(id) => {
            let durable = cancel::cancel_directly(cx, id, cx.now() + WITHDRAW_TIMEOUT).await;
            if let (WriteOutcome::Durable, Some(owner)) = (durable, cx.owner.borrow().clone()) {
                owner.notify(Message::Cancel(id));
            }
            durable.into_response()
        }
        req => handle_as_owner(cx, req).await,
    }
}

/// Stores a job for another daemon.
async fn store_for_peer(cx: &Cx, id: JobId, body: &[u8]) -> Response {
    let owner = cx.owner.borrow().clone();
    let Some(owner) = owner else { return not_owner() };
    let Ok(job) = serde_json::from_slice::<Job>(body) else {
        return refused(Code::BAD_REQUEST, "the job can't be read");
    };
    owner.submit(id, job).await.unwrap_or(WriteOutcome::Unknown).into_response()
}

/// Handles a call that only the owner of the cell can answer.
async fn handle_as_owner(cx: &Cx, req: Request) -> Response {
    let owner = cx.owner.borrow().clone();
    let Some(owner) = owner else { return not_owner() };
    match req {
        Request::Offer { job, .. } => {
            owner.notify(Message::JobAccepted(job));
            Response::Done
        }
        Request::Cancel { jobs, .. } => {
            for id in jobs {
                owner.notify(Message::Cancel(id));
            }
            Response::Done
        }
        Request::JobStatus(id) => match owner.request(|tx| Message::QueryState(id, tx)).await {
            Some(Some(state)) => Response::Json(state.to_string().into_bytes()),
            Some(None) => refused(Code::NOT_FOUND, "no such job"),
            None => not_owner(),
        },
        Request::CountWaiting(queue) => {
            match owner.request(|tx| Message::QueryWaiting(queue, tx)).await {
                Some(n) => Response::Count(n),
                None => not_owner(),
            }
        }
        _ => refused(Code::BAD_REQUEST, "this daemon does not answer that"),
    }
}

fn not_owner() -> Response {
    refused(Code::NO_OWNER, "the cell is not owned here")
}

fn refused(code: Code, message: &str) -> Response {
    Response::Refused(Refused {
        code: code.number(),
        message: message.to_owned(),
        ..Refused::default()
    })
}
