//! Advice requests. The adviser serves one call at a time from each machine, so the owner distributes its requests over
//! all daemons.

mod capacity;
mod dispatcher;

pub use dispatcher::Dispatcher;

use crate::cx::Cx;
use catkin_cell::{AdviceRequest, StepRef};
use catkin_platform::error::Error;
use catkin_schema::peer::{Advise, Request, Response};
use catkin_types::WorkerId;
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout of a call beyond the time that the adviser is expected to take.
const CALL_MARGIN: Duration = Duration::from_millis(500);

/// Requests advice with a call of this daemon. Returns the suitable workers, each with its ticket.
///
/// # Errors
/// The adviser declined or did not answer in time.
pub async fn request_advice(
    cx: &Cx,
    r: StepRef,
    workers: &[WorkerId],
    wait: Duration,
) -> Result<Vec<(WorkerId, String)>, Error> {
    let sent = cx.now();
    let answer = cx.adviser.request_advice(r, workers, wait).await;
    let outcome = match &answer {
        Ok(_) => "answered",
        Err(Error::NotDone(_)) => "declined",
        Err(_) => "lost",
    };
    cx.metrics.record_advice(outcome, cx.now().saturating_sub(sent));
    answer
}

/// Requests advice through the daemon at `by`, or with a call of this daemon if `by` is `None`.
///
/// # Errors
/// That daemon or the adviser declined or did not answer in time.
pub async fn request_advice_via(
    cx: &Cx,
    by: Option<SocketAddr>,
    ask: &AdviceRequest,
) -> Result<Vec<(WorkerId, String)>, Error> {
    let wait = ask.cost + CALL_MARGIN;
    let Some(addr) = by else {
        return self::request_advice(cx, ask.step, &ask.workers, wait).await;
    };
    let req = Request::Advise(Advise {
        job: ask.step.job,
        occurrence: ask.step.occurrence,
        step: ask.step.step,
        workers: ask.workers.clone(),
        wait,
    });
    match cx.calls.call(addr, req, wait + CALL_MARGIN).await {
        Ok(Response::Advice(rows)) => Ok(rows),
        Ok(other) => Err(Error::NotDone(format!("the daemon at {addr} answered {other:?}"))),
        Err(e) => Err(Error::Unknown(e.to_string())),
    }
}
