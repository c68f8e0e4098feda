//! Calls of services: admits a request, acquires an executor slot, sends the request and forwards the response.

use super::{
    Caller, Failure, Gate, GateResult, IDEMPOTENCY_KEY, REQUEST_ID, body_failure, intent, reply,
};
use crate::{Cx, route};
use bytes::Bytes;
use catkin_http::{Error as HttpError, body};
use catkin_schema::peer::{
    Acquire, Permit, Release, Request as PeerRequest, Response as PeerResponse,
};
use catkin_store::hosts::Kind;
use catkin_types::{Code, Row, ShardId};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response};
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;

/// A caller's request after admission, with its whole body.
pub(super) struct Call {
    pub row: Row,
    pub id: String,
    pub key: Option<String>,
    method: Method,
    path: String,
    headers: HeaderMap,
    pub body: Bytes,
    /// Reserves the body's share of [`super::BODY_MEMORY_KIB`] until the call is dropped.
    _memory: OwnedSemaphorePermit,
}

/// The response of a target, with the slot that it occupies.
pub(super) struct TargetResponse {
    pub res: Response<Incoming>,
    pub slot: Slot,
}

/// An executor slot, which is released on drop.
pub(super) struct Slot {
    cx: Arc<Cx>,
    shard: ShardId,
    id: u64,
    pub target: String,
    pub healthy: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let release = Release { shard: self.shard.clone(), id: self.id, healthy: self.healthy };
        let (cx, shard) = (Arc::clone(&self.cx), self.shard.clone());
        self.cx.background_tasks.spawn(async move {
            // If the release is lost, the slot becomes free when its permit expires.
            let _ = route::call(&cx, &shard, PeerRequest::Release(release), RELEASE_TIMEOUT).await;
        });
    }
}

const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Added to the permitted wait to get the timeout of an acquire request.
const ACQUIRE_MARGIN: Duration = Duration::from_millis(500);
/// The maximum number of attempts to send a request, which is sent again only where that is safe.
const MAX_ATTEMPTS: usize = 4;
/// The response header by which a target states that it did not run the request.
const NOT_RUN_HEADER: &str = "x-not-run";

impl Gate {
    pub(super) async fn call(
        self: Arc<Self>,
        req: Request<Incoming>,
        caller: &Caller,
        rest: &str,
        id: &str,
    ) -> GateResult {
        let call = self.admit(req, caller, rest, id).await?;
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner).record_request();
        if call.row.at_most_once {
            // Runs in a task of its own, so that the result is recorded even if the caller disconnects.
            let gate = Arc::clone(&self);
            let row = call.row.name.clone();
            let task =
                self.cx.background_tasks.spawn(async move { intent::run(&gate, &call).await });
            let res = task.await.unwrap_or_else(|_| Err(Failure::from_code(Code::INTERNAL)))?;
            self.cx.metrics.count_answer(&row, Code::OK.number());
            return Ok(res);
        }
        let target = self.dispatch(&call, None).await?;
        self.cx.metrics.count_answer(&call.row.name, Code::OK.number());
        Ok(forward(target))
    }

    /// Checks the row and the caller's permission, and reads the body.
    async fn admit(
        &self,
        req: Request<Incoming>,
        caller: &Caller,
        rest: &str,
        id: &str,
    ) -> Result<Call, Failure> {
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let table = self.cx.table().ok_or_else(|| Failure::from_code(Code::NO_LIMITS))?;
        let row = table.get(name).filter(|r| !r.service.is_empty()).cloned();
        let row = row.ok_or_else(|| {
            Failure::new(Code::UNKNOWN_ROW, format!("there is no service row {name}"))
        })?;
        if !caller.may_see(&row.borrower) {
            return Err(Failure::from_code(Code::FORBIDDEN));
        }
        let query = req.uri().query().map(|q| format!("?{q}")).unwrap_or_default();
        let path = format!("/{path}{query}");
        let (head, incoming) = req.into_parts();
        let key =
            head.headers.get(IDEMPOTENCY_KEY).and_then(|v| v.to_str().ok()).map(str::to_owned);
        if row.at_most_once && !key.as_deref().is_some_and(intent::is_valid_key) {
            return Err(Failure::from_code(Code::KEY_MISSING));
        }
        let memory = self.body_memory(&head.headers).await?;
        let max = self.cx.settings.gate.max_body_bytes;
        let body = body::read(incoming, max).await.map_err(|e| body_failure(&e))?;
        Ok(Call {
            row,
            id: id.to_owned(),
            key,
            method: head.method,
            path,
            headers: head.headers,
            body,
            _memory: memory,
        })
    }

    /// Reserves memory for a body before it is read.
    async fn body_memory(&self, headers: &HeaderMap) -> Result<OwnedSemaphorePermit, Failure> {
        let max = self.cx.settings.gate.max_body_bytes;
        let length = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        let chunked = headers.contains_key(hyper::header::TRANSFER_ENCODING);
        let bytes = length.unwrap_or(if chunked { max } else { 0 });
        if bytes > max {
            let reason = format!("the body has {bytes} bytes; at most {max} are taken");
            return Err(Failure::new(Code::BODY_TOO_LARGE, reason));
        }
        let kib =
            u32::try_from(bytes.div_ceil(1_024)).unwrap_or(u32::MAX).min(super::BODY_MEMORY_KIB);
        let memory = Arc::clone(&self.body_memory).acquire_many_owned(kib);
        memory.await.map_err(|_| Failure::from_code(Code::DRAINING))
    }

    /// Acquires a slot and sends the request, repeating both where a retry is safe. `intent_guard` makes the intent
    /// durable after the slot is acquired and before the request is sent.
    pub(super) async fn dispatch(
        &self,
        call: &Call,
        mut intent_guard: Option<&mut intent::IntentGuard<'_>>,
    ) -> Result<TargetResponse, Failure> {
        let mut last_failure = Failure::from_code(Code::NO_TARGET);
        for _ in 0..MAX_ATTEMPTS {
            let mut slot = self.acquire(call).await?;
            if let Some(guard) = intent_guard.as_deref_mut() {
                guard.ensure_durable().await?;
            }
            let timeout = Duration::from_millis(self.cx.settings.gate.request_timeout_ms.get());
            match self.cx.target_http.send(call.to_target_request(&slot.target), timeout).await {
                Ok(res) if res.headers().contains_key(NOT_RUN_HEADER) => {
                    last_failure = Failure::from_code(Code::TARGET_REFUSED)
                        .retry_after(catkin_queue::MIN_RETRY_AFTER);
                }
                Ok(res) => return Ok(TargetResponse { res, slot }),
                Err(HttpError::NotSent(why)) => {
                    tracing::warn!(
                        request_id = call.id,
                        "gate: cannot reach target {}: {why}",
                        slot.target
                    );
                    slot.healthy = false;
                    last_failure = Failure::from_code(Code::NO_TARGET)
                        .retry_after(catkin_queue::MIN_RETRY_AFTER);
                }
                Err(e) => {
                    tracing::warn!(
                        request_id = call.id,
                        "gate: no response from target {}: {e}",
                        slot.target
                    );
                    slot.healthy = false;
                    last_failure = Failure::from_code(Code::TARGET_LOST);
                    if call.row.at_most_once || !call.idempotent() || !self.take_retry() {
                        return Err(last_failure);
                    }
                }
            }
        }
        Err(last_failure)
    }

    fn take_retry(&self) -> bool {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner).try_take()
    }

    /// Acquires a slot, and retries until the row's maximum wait is over: a shard has no owner for a moment while it
    /// changes owners.
    async fn acquire(&self, call: &Call) -> Result<Slot, Failure> {
        let deadline = self.cx.now() + Duration::from_millis(call.row.max_wait_ms);
        loop {
            let failure =
                match self.acquire_once(call, deadline.saturating_sub(self.cx.now())).await {
                    Ok(slot) => return Ok(slot),
                    Err(failure) => failure,
                };
            if !is_transient(failure.code) || self.cx.now() + ACQUIRE_RETRY_INTERVAL >= deadline {
                return Err(failure);
            }
            tokio::time::sleep(ACQUIRE_RETRY_INTERVAL).await;
        }
    }

    /// Asks the owners of the service's executor shards for a slot once each, in order of preference.
    async fn acquire_once(&self, call: &Call, wait: Duration) -> Result<Slot, Failure> {
        let shards = self.ranked_shards(&call.row.service);
        let no_executors = || {
            Failure::new(Code::NO_TARGET, format!("service {} has no executors", call.row.service))
        };
        let mut last_failure = no_executors().retry_after(catkin_queue::MIN_RETRY_AFTER);
        for shard in shards {
            let acquire = Acquire {
                shard: shard.clone(),
                row: call.row.name.clone(),
                request_id: call.id.clone(),
                wait,
            };
            match route::call(
                &self.cx,
                &shard,
                PeerRequest::Acquire(acquire),
                wait + ACQUIRE_MARGIN,
            )
            .await
            {
                Ok(PeerResponse::Permit(p)) => return Ok(self.slot(shard, p)),
                Ok(PeerResponse::Refused(r)) => {
                    let code = Code::from_number(r.code).unwrap_or(Code::NO_TARGET);
                    last_failure = Failure::new(code, r.message).retry_after(r.retry_after);
                    if !is_transient(code) {
                        return Err(last_failure);
                    }
                }
                Ok(_) => last_failure = Failure::from_code(Code::INTERNAL),
                Err(e) => {
                    last_failure = Failure::new(Code::NO_OWNER, e.to_string())
                        .retry_after(catkin_queue::MIN_RETRY_AFTER);
                }
            }
        }
        Err(last_failure)
    }

    fn slot(&self, shard: ShardId, permit: Permit) -> Slot {
        Slot {
            cx: Arc::clone(&self.cx),
            shard,
            id: permit.id,
            target: permit.target,
            healthy: true,
        }
    }

    /// Returns the executor shards of a service in order of preference: those of this zone, of this region, then
    /// others; within each group the shard with more free slots first.
    fn ranked_shards(&self, service: &str) -> Vec<ShardId> {
        let own = &self.cx.settings.daemon;
        let directory = self.cx.directory.borrow().clone();
        let of_service = directory
            .iter()
            .filter(|(_, e)| e.shard.kind == Kind::Executor && e.shard.service == service);
        let mut ranked: Vec<_> = of_service
            .map(|(id, e)| {
                let distance =
                    match (e.shard.region == own.region, crate::rows::zone_of(id) == own.zone) {
                        (true, true) => 0,
                        (true, false) => 1,
                        (false, _) => 2,
                    };
                let free = self.cx.liveness.aggregate(id).map_or(0, |a| a.free.cpu_milli);
                // Shards without free slots come last, whatever their distance.
                ((free == 0, distance, u64::MAX - free), id.clone())
            })
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(_, id)| id).collect()
    }
}

const ACQUIRE_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether another shard, or the same shard a little later, may grant a slot.
fn is_transient(code: Code) -> bool {
    matches!(code, Code::NO_OWNER | Code::NO_TARGET)
}

impl Call {
    /// Returns whether the request may be sent again after it may have run.
    fn idempotent(&self) -> bool {
        !self.row.at_most_once
    }

    fn to_target_request(&self, target: &str) -> Request<catkin_http::Body> {
        let mut req = Request::new(body::full(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = format!("http://{target}{}", self.path).parse().unwrap_or_default();
        *req.headers_mut() = self.headers.clone();
        let headers = req.headers_mut();
        reply::strip_hop_by_hop(headers);
        headers.remove(HOST);
        headers.remove(CONTENT_LENGTH);
        headers.remove(AUTHORIZATION);
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            headers.insert(REQUEST_ID, id);
        }
        req
    }
}

/// Forwards the target's response as a stream. The slot is released when the body ends.
fn forward(target: TargetResponse) -> Response<catkin_http::Body> {
    let TargetResponse { res, slot } = target;
    let (mut head, incoming) = res.into_parts();
    reply::strip_hop_by_hop(&mut head.headers);
    Response::from_parts(head, reply::with_guard(incoming, slot))
}
