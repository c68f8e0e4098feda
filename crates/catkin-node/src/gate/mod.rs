//! The HTTP interface for clients, readiness checks and metrics.

mod accept;
pub mod cancel;
mod jobs;
pub mod outcome;
mod owner_call;
pub mod refusal;
mod route;

use crate::cx::Cx;
use crate::table;
use bytes::Bytes;
use catkin_cell::queue::Policy;
use catkin_http::body::{self, Body};
use catkin_platform::client_api;
use catkin_platform::config::Config;
use catkin_types::id::parse_job;
use hyper::body::Incoming;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Method, Request, Response};
use route::{RouteMatch, find_route};
use std::sync::Arc;
use std::time::Duration;

/// The deadline of a request that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// The part of a client's deadline that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// This daemon reports that it is not ready once the table service has not served it for this long. The configuration
/// is polled each second and a half, so a service that works serves a call at least that often.
const TABLE_SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// The path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Handles a request of a client.
pub async fn handle(cx: Arc<Cx>, req: Request<Incoming>) -> Response<Body> {
    let call = call_label(req.method());
    let res = route(&cx, req).await;
    cx.metrics.record_response(call, res.status().as_u16());
    res
}

/// Returns the metric label for the kind of a request.
fn call_label(method: &Method) -> &'static str {
    match *method {
        Method::POST => "submit",
        Method::GET => "state",
        Method::DELETE => "cancel",
        _ => "other",
    }
}

async fn route(cx: &Arc<Cx>, req: Request<Incoming>) -> Response<Body> {
    let config = cx.config.borrow().clone();
    let Some(config) = config else { return refused(cx, 503, "no configuration yet") };
    let path = req.uri().path().to_owned();
    let host = req.headers().get(HOST).and_then(|h| h.to_str().ok()).unwrap_or_default();
    let Some(found) = find_route(&config, host, &path) else {
        return if cx.is_config_fresh() {
            body::text(404, "no such queue\n")
        } else {
            refused(cx, 503, "no such queue in a configuration that may be old")
        };
    };
    let deadline = cx.now() + client_timeout(&req).saturating_sub(RESPONSE_MARGIN);
    let method = req.method().clone();
    let rest = found.rest.to_owned();
    match (method, parse_job(&rest)) {
        (Method::POST, Some(id)) => submit(cx, &config, &found, id, req, deadline).await,
        (Method::GET, Some(id)) => jobs::job_state(cx, id, deadline).await,
        (Method::DELETE, Some(id)) => jobs::cancel(cx, id, deadline).await,
        (Method::GET, None) if rest.is_empty() => {
            jobs::waiting(cx, &found.route.queue, deadline).await
        }
        (Method::GET | Method::DELETE, None) => body::text(410, "no such job\n"),
        (Method::POST, None) => body::text(400, "a job is named by 16 hexadecimal digits\n"),
        _ => body::text(405, "no such method\n"),
    }
}

async fn submit(
    cx: &Arc<Cx>,
    config: &Config,
    found: &RouteMatch<'_>,
    id: u64,
    req: Request<Incoming>,
    deadline: Duration,
) -> Response<Body> {
    let bytes = match body::read(req.into_body(), config.max_body).await {
        Ok(bytes) => bytes,
        Err(catkin_http::Error::TooLarge(max)) => {
            return body::text(413, format!("the body is larger than {max} bytes\n"));
        }
        Err(e) => return body::text(400, format!("the body did not come whole: {e}\n")),
    };
    match parse_submission(&bytes) {
        Ok(mut job) => {
            job.queue.clone_from(&found.route.queue);
            job.service.clone_from(&found.route.policy.service);
            job.policy = Some(Policy::of(&found.route.policy));
            job.accepted_ms = cx.table.clock_ms();
            if !table::fits_row(&job) {
                return body::text(413, "the job is larger than the table service allows\n");
            }
            jobs::accept(cx, id, job, deadline).await
        }
        Err(e) => body::text(400, format!("{e}\n")),
    }
}

fn parse_submission(bytes: &Bytes) -> Result<catkin_cell::Job, String> {
    let job = client_api::parse_job(bytes).map_err(|e| e.to_string())?;
    job.validate()?;
    Ok(job)
}

/// Returns how long the client waits for the response, from its header or the default.
fn client_timeout<B>(req: &Request<B>) -> Duration {
    let header = req.headers().get(client_api::DEADLINE_HEADER).and_then(|h| h.to_str().ok());
    header.and_then(client_api::parse_deadline).unwrap_or(DEFAULT_TIMEOUT)
}

/// Returns the response to a request that was not carried out and may be retried.
fn refused(cx: &Cx, status: u16, why: &str) -> Response<Body> {
    let mut res = body::text(status, format!("{why}\n"));
    let retry_after = refusal::retry_after(cx.table.since_last_served());
    res.headers_mut().insert(RETRY_AFTER, retry_after.as_secs().into());
    res
}

/// Handles a readiness check of the load balancer.
pub fn readiness(cx: &Cx, path: &str) -> Response<Body> {
    if path != client_api::READY_PATH {
        return body::text(404, "nothing here\n");
    }
    let configured = cx.config.borrow().is_some() && cx.is_config_fresh();
    let ready =
        configured && cx.table.since_last_served() < TABLE_SILENCE_LIMIT && !cx.is_draining();
    if ready { body::text(200, "ready\n") } else { body::text(503, "not ready\n") }
}

/// Handles a request for the metrics page.
pub fn metrics(cx: &Cx, path: &str) -> Response<Body> {
    if path != METRICS_PATH {
        return body::text(404, "nothing here\n");
    }
    let mut res = body::text(200, cx.metrics.render());
    let text = hyper::header::HeaderValue::from_static(catkin_metrics::CONTENT_TYPE);
    res.headers_mut().insert(hyper::header::CONTENT_TYPE, text);
    res
}
