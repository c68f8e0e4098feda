//! Requests on jobs: submitting, state, cancelling, and the length of a queue.

use super::cancel::{self, read_job};
use super::outcome::WriteOutcome;
use super::owner_call::{call_owner, notify_owner};
use super::{accept, refused};
use crate::cx::Cx;
use crate::table::record::JobRecord;
use catkin_cell::{Job, State};
use catkin_http::body::{self, Body};
use catkin_platform::client_api;
use catkin_schema::peer::{Request, Response as Answer};
use catkin_types::JobId;
use catkin_types::id::format_job;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use std::sync::Arc;
use std::time::Duration;

/// The timeout of a call to the owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Stores a job and responds whether it is accepted.
pub(super) async fn accept(
    cx: &Arc<Cx>,
    id: JobId,
    job: Job,
    deadline: Duration,
) -> Response<Body> {
    let outcome = accept::accept(cx, id, &job, deadline).await;
    tracing::info!(job = format_job(id), queue = job.queue, "gate: job stored: {outcome:?}");
    match outcome {
        WriteOutcome::Durable => body::text(200, "accepted\n"),
        WriteOutcome::AlreadyDone => body::text(200, "accepted before\n"),
        WriteOutcome::NotCommitted => refused(cx, 503, "the job is not stored"),
        // Without Retry-After: no later attempt is accepted either.
        WriteOutcome::NoSuchJob => body::text(503, "the job was cancelled and is not stored\n"),
        WriteOutcome::Refused => {
            body::text(413, "the job is larger than the table service allows\n")
        }
        WriteOutcome::Unknown => body::text(504, "it is not known whether the job is accepted\n"),
    }
}

/// Responds with the state of a job, from the owner or, if it does not answer, from the table.
pub(super) async fn job_state(cx: &Arc<Cx>, id: JobId, deadline: Duration) -> Response<Body> {
    let answer = call_owner(cx, Request::JobStatus(id), OWNER_TIMEOUT).await;
    if let Ok(Answer::Json(word)) = answer
        && let Some(state) = parse_state(&word)
    {
        return state_response(state);
    }
    match read_job(cx, id, deadline).await {
        Some(JobRecord::Open { job, .. }) if job.cancelled => state_response(State::Cancelled),
        // The table does not show whether a task has started; only the owner knows.
        Some(JobRecord::Open { .. }) => state_response(State::Running),
        Some(JobRecord::Ended(state)) => state_response(state),
        Some(JobRecord::Missing | JobRecord::Withdrawn) => body::text(410, "no such job\n"),
        None => refused(cx, 503, "the state of the job can't be read now"),
    }
}

fn parse_state(word: &[u8]) -> Option<State> {
    let all = [State::Queued, State::Running, State::Completed, State::Failed, State::Cancelled];
    all.into_iter().find(|s| s.to_string().as_bytes() == word)
}

fn state_response(state: State) -> Response<Body> {
    json_response(client_api::state_body(state))
}

/// Returns a response with a body that is already JSON.
fn json_response(bytes: Vec<u8>) -> Response<Body> {
    let mut res = body::text(200, bytes);
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}

/// Cancels a job and responds once the cancellation is durable.
pub(super) async fn cancel(cx: &Arc<Cx>, id: JobId, deadline: Duration) -> Response<Body> {
    let outcome = cancel::cancel(cx, id, deadline).await;
    tracing::info!(job = format_job(id), "gate: job cancelled: {outcome:?}");
    match outcome {
        WriteOutcome::Durable => {
            notify_owner(cx, Request::Cancel { shard: String::new(), jobs: vec![id] });
            body::text(200, "cancelled\n")
        }
        WriteOutcome::AlreadyDone => body::text(200, "the job is at its end\n"),
        WriteOutcome::NoSuchJob => body::text(410, "no such job\n"),
        WriteOutcome::NotCommitted | WriteOutcome::Refused | WriteOutcome::Unknown => {
            body::text(504, "it is not known whether the job is cancelled\n")
        }
    }
}

/// Responds with the number of jobs of a queue that wait for their first start.
pub(super) async fn waiting(cx: &Arc<Cx>, queue: &str, deadline: Duration) -> Response<Body> {
    let left = deadline.saturating_sub(cx.now());
    match call_owner(cx, Request::CountWaiting(queue.to_owned()), left).await {
        Ok(Answer::Count(n)) => json_response(client_api::waiting_body(n)),
        _ => refused(cx, 503, "the length of the queue is not known now"),
    }
}
