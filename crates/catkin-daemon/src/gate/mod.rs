//! The gate: the HTTP API for callers and operators.

mod access;
mod admin;
mod call;
mod intent;
mod jobs;
mod limits;
mod reply;

pub use access::{Caller, sha256_hex};

use crate::Cx;
use catkin_http::{Body, body, server};
use catkin_queue::RetryBudget;
use catkin_types::{Answer, Code};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// The header with the request id, which also stands in the log lines of a request.
pub const REQUEST_ID: &str = "x-request-id";
/// The header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The retry budget: retries that each request adds.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// The maximum number of retries in the budget.
const MAX_SAVED_RETRIES: f64 = 100.0;
/// The bound on callers' request bodies in memory at once, in KiB.
const BODY_MEMORY_KIB: u32 = 64 << 10;

/// The HTTP server for callers and operators, with the state that its requests share.
#[derive(Debug)]
pub struct Gate {
    cx: Arc<Cx>,
    retry_budget: Mutex<RetryBudget>,
    body_memory: Arc<Semaphore>,
}

/// An error response of the gate itself, as opposed to the response of a target.
#[derive(Debug)]
pub(crate) struct Failure {
    code: Code,
    message: String,
    retry_after: Option<Duration>,
}

impl Failure {
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), retry_after: None }
    }

    /// Creates a failure with the meaning of the code as its message.
    pub fn from_code(code: Code) -> Self {
        Self::new(code, code.entry().meaning)
    }

    pub fn retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }
}

type GateResult = Result<Response<Body>, Failure>;

impl Gate {
    /// Creates the gate of a daemon.
    #[must_use]
    pub fn new(cx: Arc<Cx>) -> Arc<Self> {
        Arc::new(Self {
            cx,
            retry_budget: Mutex::new(RetryBudget::new(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)),
            body_memory: Arc::new(Semaphore::new(BODY_MEMORY_KIB as usize)),
        })
    }

    /// Serves until `stop` is cancelled, then drains open connections for at most the configured time.
    pub async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        stop: CancellationToken,
    ) -> server::Drained {
        let gate = &self.cx.settings.gate;
        let opt = server::Options {
            max_connections: usize::try_from(gate.max_connections.get()).unwrap_or(usize::MAX),
            header_timeout: Duration::from_millis(gate.header_timeout_ms.get()),
            drain_timeout: Duration::from_millis(gate.drain_ms),
        };
        let handler = move |req| {
            let gate = Arc::clone(&self);
            async move { gate.handle(req).await }
        };
        server::serve(listener, opt, handler, stop).await
    }

    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let id = request_id(&req);
        let path = req.uri().path().to_owned();
        let res = match Arc::clone(&self).route(req, &path, &id).await {
            Ok(res) => res,
            Err(failure) => self.failure_response(&failure, &path, &id),
        };
        let mut res = with_request_id(res, &id);
        if self.cx.draining() {
            // Makes the caller open its next connection, which the load balancer sends to another daemon.
            res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        res
    }

    fn failure_response(&self, failure: &Failure, path: &str, id: &str) -> Response<Body> {
        let code = failure.code;
        tracing::info!(
            request_id = id,
            code = code.number(),
            "gate: {path} answered: {}",
            failure.message
        );
        self.cx.metrics.count_answer(row_of_path(path), code.number());
        let mut res = body::json(code.status(), &Answer::new(code, failure.message.clone(), id));
        if let Some(after) = failure.retry_after {
            let seconds = after.as_millis().div_ceil(1_000).max(1);
            let value = HeaderValue::from_str(&seconds.to_string());
            res.headers_mut().insert(RETRY_AFTER, value.unwrap_or(HeaderValue::from_static("1")));
        }
        res
    }

    async fn route(self: Arc<Self>, req: Request<Incoming>, path: &str, id: &str) -> GateResult {
        match path {
            "/healthz" => return Ok(body::text(200, "ok\n")),
            "/readyz" => return Ok(admin::ready(&self.cx)),
            "/metrics" => return Ok(body::text(200, self.cx.metrics.page())),
            _ => {}
        }
        let caller = access::authenticate(&self.cx.settings.access, req.headers())?;
        if let Some(rest) = path.strip_prefix("/v1/call/") {
            return self.call(req, &caller, rest, id).await;
        }
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (req.method().clone(), segments.as_slice()) {
            (Method::POST, ["v1", "jobs"]) => self.submit(req, &caller, id).await,
            (Method::POST, ["v1", "jobs", "cancel"]) => self.cancel(req, &caller, id).await,
            (Method::GET, ["v1", "jobs", job]) => self.status(&caller, job).await,
            (Method::GET, ["v1", "jobs", job, "explain"]) => self.explain(&caller, job).await,
            (Method::GET, ["v1", "limits"]) => self.read_limits(),
            (Method::GET, ["v1", "limits.csv"]) => self.read_limits_csv(),
            (Method::GET, ["v1", "limits", "versions"]) => Ok(self.limit_versions()),
            (Method::POST, ["v1", "limits"]) => self.edit_limits(req, &caller, id).await,
            (Method::GET, ["v1", "audit"]) => self.audit(&caller, req.uri()).await,
            (Method::GET, ["v1", "workers"]) => self.workers(&caller).await,
            (Method::GET, ["v1", "shards"]) => self.shards(&caller),
            (Method::GET, ["v1", "hosts"]) => self.hosts(&caller).await,
            (Method::POST, ["v1", "drain"]) => self.drain(&caller),
            _ => Err(Failure::new(Code::NOT_FOUND, format!("there is no {} {path}", req.method()))),
        }
    }

    /// Reads a JSON body of at most `max_body_bytes`.
    async fn read_json_body<T: serde::de::DeserializeOwned>(
        &self,
        req: Request<Incoming>,
    ) -> Result<T, Failure> {
        let max = self.cx.settings.gate.max_body_bytes;
        body::read_json(req.into_body(), max).await.map_err(|e| body_failure(&e))
    }
}

fn body_failure(e: &catkin_http::Error) -> Failure {
    match e {
        catkin_http::Error::TooLarge(_) => Failure::new(Code::BODY_TOO_LARGE, e.to_string()),
        _ => Failure::new(Code::BAD_REQUEST, e.to_string()),
    }
}

/// Returns the row in the path of a call, as a metric label. `-` for other paths.
fn row_of_path(path: &str) -> &str {
    let row = path.strip_prefix("/v1/call/").and_then(|rest| rest.split('/').next());
    row.unwrap_or("-")
}

const MAX_REQUEST_ID_LEN: usize = 64;

fn request_id(req: &Request<Incoming>) -> String {
    let given = req.headers().get(REQUEST_ID).and_then(|v| v.to_str().ok());
    let is_valid = |id: &&str| {
        !id.is_empty() && id.len() <= MAX_REQUEST_ID_LEN && id.chars().all(|c| c.is_ascii_graphic())
    };
    match given.filter(is_valid) {
        Some(id) => id.to_owned(),
        None => uuid::Uuid::new_v4().simple().to_string(),
    }
}

fn with_request_id(mut res: Response<Body>, id: &str) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(id) {
        res.headers_mut().insert(REQUEST_ID, value);
    }
    res
}
