//! Calls of other daemons.

use crate::asks;
use crate::cx::Cx;
use crate::gate::store::{self, Durable};
use crate::lead;
use crate::owner::Message;
use catkin_cell::{Job, StepRef};
use catkin_peer::Incoming;
use catkin_schema::peer::{Refused, Request, Response};
use catkin_types::{Code, JobId};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;

/// How long a job is tried to be stored for another daemon.
const PATIENCE: Duration = Duration::from_millis(1_200);

/// Answers calls until the daemon stops.
pub async fn run(cx: Arc<Cx>, mut rx: mpsc::Receiver<Incoming>) {
    while let Some(call) = rx.recv().await {
        let mine = Arc::clone(&cx);
        cx.spawn(async move {
            let res = answer(&mine, call.req).await;
            drop(call.tx.send(res));
        });
    }
}

/// Answers a call, of another daemon or of this daemon's own gate.
pub async fn answer(cx: &Arc<Cx>, req: Request) -> Response {
    match req {
        Request::Heartbeat(beat) => {
            if lead::is_better(&beat) {
                cx.better_heard.store(true, Ordering::Relaxed);
            }
            if let (Some(owner), Ok(addr)) = (cx.owner.borrow().clone(), beat.address.parse()) {
                owner.tell(Message::Heard(addr, beat.draining));
            }
            Response::Heartbeat(lead::own_beat(cx))
        }
        Request::Advise(x) => {
            let r = StepRef { job: x.job, occurrence: x.occurrence, step: x.step };
            match asks::ask(cx, r, &x.workers, x.wait).await {
                Ok(rows) => Response::Advice(rows),
                Err(e) => refused(Code::NO_TARGET, &format!("no advice: {e}")),
            }
        }
        Request::Store { job, body } => store_for(cx, job, &body).await,
        Request::StoreCancellation(id) => {
            let durable = store::cancel_here(cx, id, cx.now() + PATIENCE).await;
            if let (Durable::Yes, Some(owner)) = (durable, cx.owner.borrow().clone()) {
                owner.tell(Message::Cancel(id));
            }
            durable.answer()
        }
        req => owned(cx, req).await,
    }
}

/// Stores a job for another daemon.
async fn store_for(cx: &Cx, id: JobId, body: &[u8]) -> Response {
    let owner = cx.owner.borrow().clone();
    let Some(owner) = owner else { return not_owner() };
    let Ok(job) = serde_json::from_slice::<Job>(body) else {
        return refused(Code::BAD_REQUEST, "the job can't be read");
    };
    owner.accept(id, job).await.unwrap_or(Durable::Unknown).answer()
}

/// Answers a call that only the owner of the cell can.
async fn owned(cx: &Cx, req: Request) -> Response {
    let owner = cx.owner.borrow().clone();
    let Some(owner) = owner else { return not_owner() };
    match req {
        Request::Offer { job, .. } => {
            owner.tell(Message::Offer(job));
            Response::Done
        }
        Request::Cancel { jobs, .. } => {
            for id in jobs {
                owner.tell(Message::Cancel(id));
            }
            Response::Done
        }
        Request::JobStatus(id) => match owner.ask(|tx| Message::State(id, tx)).await {
            Some(Some(state)) => Response::Json(state.to_string().into_bytes()),
            Some(None) => refused(Code::NOT_FOUND, "no such job"),
            None => not_owner(),
        },
        Request::CountWaiting(queue) => match owner.ask(|tx| Message::Waiting(queue, tx)).await {
            Some(n) => Response::Count(n),
            None => not_owner(),
        },
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
