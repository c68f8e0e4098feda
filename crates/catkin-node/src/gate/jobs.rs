//! Jobs of clients: accepted, asked for, cancelled.

use super::refused;
use super::store::{self, Durable};
use crate::cx::Cx;
use crate::peers;
use crate::table::{self, ENDED, End, JOBS, job_key};
use catkin_cell::{Job, State};
use catkin_http::body::{self, Body};
use catkin_platform::client_api;
use catkin_platform::error::Error;
use catkin_schema::peer::{Request, Response as Answer};
use catkin_types::JobId;
use catkin_types::id::format_job;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use std::sync::Arc;
use std::time::Duration;

/// How long a client is kept while it is not known whether its job is stored: then it is told so, and may ask another
/// daemon.
const SETTLE: Duration = Duration::from_millis(2_200);
/// The pause before a call whose answer was lost is made again.
const PAUSE: Duration = Duration::from_millis(60);
/// How long the owner may take for one answer.
const OWNER_PATIENCE: Duration = Duration::from_millis(500);
/// How long the owner is told of a job, at most. It reads the table in any case.
const TELL_PATIENCE: Duration = Duration::from_millis(800);

/// What is known of a job in the table.
pub(super) enum Stored {
    Open { job: Job, version: u64 },
    Ended(State),
    Never,
}

/// Stores a job and answers whether it is accepted.
pub(super) async fn accept(
    cx: &Arc<Cx>,
    id: JobId,
    job: Job,
    deadline: Duration,
) -> Response<Body> {
    let durable = store::accept(cx, id, &job, deadline.min(cx.now() + SETTLE)).await;
    tracing::info!(job = format_job(id), queue = job.queue, "gate: job stored: {durable:?}");
    match durable {
        Durable::Yes => body::text(200, "accepted\n"),
        Durable::Before => body::text(200, "accepted before\n"),
        Durable::No | Durable::Never => refused(503, "the job is not stored"),
        Durable::Unknown => body::text(504, "it is not known whether the job is accepted\n"),
    }
}

/// Tells the owner of the cell something that it would find in the table a little later.
pub(super) fn tell(cx: &Arc<Cx>, req: Request) {
    let mine = Arc::clone(cx);
    cx.spawn(async move {
        drop(ask(&mine, req, TELL_PATIENCE).await);
    });
}

/// Calls the owner of the cell.
///
/// # Errors
/// It is not known or did not answer.
pub(super) async fn ask(
    cx: &Arc<Cx>,
    req: Request,
    patience: Duration,
) -> Result<Answer, catkin_peer::Error> {
    if cx.owner.borrow().is_some() {
        let answer = tokio::time::timeout(patience, peers::answer(cx, req)).await;
        return answer.map_err(|_| catkin_peer::Error::Lost("the owner is busy".into()));
    }
    let leader = cx.leader.borrow().clone();
    let Some(leader) = leader else {
        return Err(catkin_peer::Error::NotSent("the owner is not known".into()));
    };
    let answer = cx.calls.call(leader.addr, req, patience).await;
    answer.inspect_err(|e| tracing::debug!("gate: the owner does not answer: {e}"))
}

/// Answers how far a job is.
pub(super) async fn state(cx: &Arc<Cx>, id: JobId, deadline: Duration) -> Response<Body> {
    let answer = ask(cx, Request::JobStatus(id), OWNER_PATIENCE).await;
    if let Ok(Answer::Json(word)) = answer
        && let Some(state) = parse_state(&word)
    {
        return shown(state);
    }
    match stored(cx, id, deadline).await {
        Some(Stored::Open { job, .. }) if job.cancelled => shown(State::Cancelled),
        // Whether a task has started is known to the owner alone.
        Some(Stored::Open { .. }) => shown(State::Running),
        Some(Stored::Ended(state)) => shown(state),
        Some(Stored::Never) => body::text(410, "no such job\n"),
        None => refused(503, "the state of the job can't be read now"),
    }
}

fn parse_state(word: &[u8]) -> Option<State> {
    let all = [State::Queued, State::Running, State::Completed, State::Failed, State::Cancelled];
    all.into_iter().find(|s| s.to_string().as_bytes() == word)
}

fn shown(state: State) -> Response<Body> {
    json(client_api::state_body(state))
}

/// An answer with a body that is JSON already.
fn json(bytes: Vec<u8>) -> Response<Body> {
    let mut res = body::text(200, bytes);
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}

/// What the table has of a job, nothing if it can't be read in time.
pub(super) async fn stored(cx: &Cx, id: JobId, deadline: Duration) -> Option<Stored> {
    loop {
        let left = deadline.saturating_sub(cx.now());
        if left.is_zero() {
            return None;
        }
        match read(cx, id, left).await {
            Ok(stored) => return Some(stored),
            Err(e) => {
                tracing::debug!(job = format_job(id), "gate: not read: {e}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Reads a job. Its end is written in the same transaction in which its row is dropped: the row is read first.
async fn read(cx: &Cx, id: JobId, patience: Duration) -> Result<Stored, Error> {
    if let Some(row) = cx.table.read_one(&job_key(JOBS, id), patience).await? {
        let job: Job = table::read(&row)
            .ok_or_else(|| Error::Malformed(format!("the row of job {}", row.key)))?;
        return Ok(Stored::Open { job, version: row.version });
    }
    let Some(row) = cx.table.read_one(&job_key(ENDED, id), patience).await? else {
        return Ok(Stored::Never);
    };
    let end: End =
        table::read(&row).ok_or_else(|| Error::Malformed(format!("the end of job {}", row.key)))?;
    Ok(Stored::Ended(end.state))
}

/// Cancels a job and answers once that is durable.
pub(super) async fn cancel(cx: &Arc<Cx>, id: JobId, deadline: Duration) -> Response<Body> {
    let durable = store::cancel(cx, id, deadline).await;
    tracing::info!(job = format_job(id), "gate: job cancelled: {durable:?}");
    match durable {
        Durable::Yes => {
            tell(cx, Request::Cancel { shard: String::new(), jobs: vec![id] });
            body::text(200, "cancelled\n")
        }
        Durable::Before => body::text(200, "the job is at its end\n"),
        Durable::Never => body::text(410, "no such job\n"),
        Durable::No | Durable::Unknown => {
            body::text(504, "it is not known whether the job is cancelled\n")
        }
    }
}

/// Answers how many jobs of a queue wait for their first start.
pub(super) async fn waiting(cx: &Arc<Cx>, queue: &str, deadline: Duration) -> Response<Body> {
    let left = deadline.saturating_sub(cx.now());
    match ask(cx, Request::CountWaiting(queue.to_owned()), left).await {
        Ok(Answer::Count(n)) => json(client_api::waiting_body(n)),
        _ => refused(503, "the length of the queue is not known now"),
    }
}
