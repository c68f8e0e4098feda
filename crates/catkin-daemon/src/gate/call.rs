//! Requests to services: admission, a slot, the executor, the answer.

use super::{
    Answered, Caller, Failure, Gate, IDEMPOTENCY_KEY, REQUEST_ID, body_failure, intent, reply,
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

/// A caller's request, read and admitted.
pub(super) struct Call {
    pub row: Row,
    pub id: String,
    pub key: Option<String>,
    method: Method,
    path: String,
    headers: HeaderMap,
    pub body: Bytes,
    /// The share of the memory for bodies.
    _memory: OwnedSemaphorePermit,
}

/// An answer of a target, with the slot that it uses.
pub(super) struct Target {
    pub res: Response<Incoming>,
    pub slot: Slot,
}

/// A slot. It is given back when this is dropped.
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
        self.cx.tasks.spawn(async move {
            // A release that is lost is made good by the permit's end.
            let _ = route::call(&cx, &shard, PeerRequest::Release(release), RELEASE_TIMEOUT).await;
        });
    }
}

const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// How much longer than the wait itself the answer of an owner is awaited.
const ACQUIRE_MARGIN: Duration = Duration::from_millis(500);
/// How often a request is tried that is certain not to have run.
const MAX_ATTEMPTS: usize = 4;
/// The header with which a target says that it did not run a request.
const NOT_RUN: &str = "x-not-run";

impl Gate {
    pub(super) async fn call(
        self: Arc<Self>,
        req: Request<Incoming>,
        caller: &Caller,
        rest: &str,
        id: &str,
    ) -> Answered {
        let call = self.admit(req, caller, rest, id).await?;
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).request();
        if call.row.at_most_once {
            // It goes on when the caller leaves, so that its result is recorded.
            let gate = Arc::clone(&self);
            let row = call.row.name.clone();
            let task = self.cx.tasks.spawn(async move { intent::run(&gate, &call).await });
            let res = task.await.unwrap_or_else(|_| Err(Failure::of(Code::INTERNAL)))?;
            self.cx.metrics.answered(&row, Code::OK.number());
            return Ok(res);
        }
        let target = self.dispatch(&call, None).await?;
        self.cx.metrics.answered(&call.row.name, Code::OK.number());
        Ok(pass_on(target))
    }

    /// Checks the row and the caller, and reads the body.
    async fn admit(
        &self,
        req: Request<Incoming>,
        caller: &Caller,
        rest: &str,
        id: &str,
    ) -> Result<Call, Failure> {
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let table = self.cx.table().ok_or_else(|| Failure::of(Code::NO_LIMITS))?;
        let row = table.get(name).filter(|r| !r.service.is_empty()).cloned();
        let row = row.ok_or_else(|| {
            Failure::new(Code::UNKNOWN_ROW, format!("there is no service row {name}"))
        })?;
        if !caller.may_see(&row.borrower) {
            return Err(Failure::of(Code::FORBIDDEN));
        }
        let query = req.uri().query().map(|q| format!("?{q}")).unwrap_or_default();
        let path = format!("/{path}{query}");
        let (head, incoming) = req.into_parts();
        let key =
            head.headers.get(IDEMPOTENCY_KEY).and_then(|v| v.to_str().ok()).map(str::to_owned);
        if row.at_most_once && !key.as_deref().is_some_and(intent::fine_key) {
            return Err(Failure::of(Code::KEY_MISSING));
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

    /// Sets memory aside for a body before it is read.
    async fn body_memory(&self, headers: &HeaderMap) -> Result<OwnedSemaphorePermit, Failure> {
        let max = self.cx.settings.gate.max_body_bytes;
        let length = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        let chunked = headers.contains_key(hyper::header::TRANSFER_ENCODING);
        let bytes = length.unwrap_or(if chunked { max } else { 0 });
        if bytes > max {
            let what = format!("the body has {bytes} bytes; at most {max} are taken");
            return Err(Failure::new(Code::BODY_TOO_LARGE, what));
        }
        let kib =
            u32::try_from(bytes.div_ceil(1_024)).unwrap_or(u32::MAX).min(super::BODY_MEMORY_KIB);
        let memory = Arc::clone(&self.body_memory).acquire_many_owned(kib);
        memory.await.map_err(|_| Failure::of(Code::DRAINING))
    }

    /// Finds a slot and sends the request, again where that is safe. `before` runs between slot and sending.
    pub(super) async fn dispatch(
        &self,
        call: &Call,
        mut before: Option<&mut intent::Guard<'_>>,
    ) -> Result<Target, Failure> {
        let mut last = Failure::of(Code::NO_TARGET);
        for _ in 0..MAX_ATTEMPTS {
            let mut slot = self.acquire(call).await?;
            if let Some(guard) = before.as_deref_mut() {
                guard.insert().await?;
            }
            let timeout = Duration::from_millis(self.cx.settings.gate.request_timeout_ms.get());
            match self.cx.targets.send(call.to_target(&slot.target), timeout).await {
                Ok(res) if res.headers().contains_key(NOT_RUN) => {
                    last = Failure::of(Code::TARGET_REFUSED).retry_after(catkin_queue::MIN_RETRY);
                }
                Ok(res) => return Ok(Target { res, slot }),
                Err(HttpError::NotSent(why)) => {
                    tracing::warn!(
                        request_id = call.id,
                        "gate: {} not reached: {why}",
                        slot.target
                    );
                    slot.healthy = false;
                    last = Failure::of(Code::NO_TARGET).retry_after(catkin_queue::MIN_RETRY);
                }
                Err(e) => {
                    tracing::warn!(
                        request_id = call.id,
                        "gate: {} gave no answer: {e}",
                        slot.target
                    );
                    slot.healthy = false;
                    last = Failure::of(Code::TARGET_LOST);
                    if call.row.at_most_once || !call.idempotent() || !self.may_retry() {
                        return Err(last);
                    }
                }
            }
        }
        Err(last)
    }

    fn may_retry(&self) -> bool {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).retry()
    }

    /// Asks for a slot until the row's longest wait is over. Shards that change owners are without one for a moment.
    async fn acquire(&self, call: &Call) -> Result<Slot, Failure> {
        let until = self.cx.now() + Duration::from_millis(call.row.max_wait_ms);
        loop {
            let failure = match self.acquire_once(call, until.saturating_sub(self.cx.now())).await {
                Ok(slot) => return Ok(slot),
                Err(failure) => failure,
            };
            if !transient(failure.code) || self.cx.now() + ACQUIRE_PAUSE >= until {
                return Err(failure);
            }
            tokio::time::sleep(ACQUIRE_PAUSE).await;
        }
    }

    /// Asks the owners of the service's executors for a slot, near ones first.
    async fn acquire_once(&self, call: &Call, wait: Duration) -> Result<Slot, Failure> {
        let shards = self.shards_of(&call.row.service);
        let none = || {
            Failure::new(Code::NO_TARGET, format!("service {} has no executors", call.row.service))
        };
        let mut last = none().retry_after(catkin_queue::MIN_RETRY);
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
                    last = Failure::new(code, r.message).retry_after(r.retry_after);
                    if !transient(code) {
                        return Err(last);
                    }
                }
                Ok(_) => last = Failure::of(Code::INTERNAL),
                Err(e) => {
                    last = Failure::new(Code::NO_OWNER, e.to_string())
                        .retry_after(catkin_queue::MIN_RETRY);
                }
            }
        }
        Err(last)
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

    /// The executor shards of a service: this zone's, this region's, then others; the one with more free slots first.
    fn shards_of(&self, service: &str) -> Vec<ShardId> {
        let here = &self.cx.settings.daemon;
        let directory = self.cx.directory.borrow().clone();
        let of_service = directory
            .iter()
            .filter(|(_, e)| e.shard.kind == Kind::Executor && e.shard.service == service);
        let mut ranked: Vec<_> = of_service
            .map(|(id, e)| {
                let far =
                    match (e.shard.region == here.region, crate::rows::zone_of(id) == here.zone) {
                        (true, true) => 0,
                        (true, false) => 1,
                        (false, _) => 2,
                    };
                let free = self.cx.live.aggregate(id).map_or(0, |a| a.free.cpu_milli);
                // Full shards come after those with room, wherever they are.
                ((free == 0, far, u64::MAX - free), id.clone())
            })
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(_, id)| id).collect()
    }
}

const ACQUIRE_PAUSE: Duration = Duration::from_millis(50);

/// Whether another shard, or the same a little later, may answer otherwise.
fn transient(code: Code) -> bool {
    matches!(code, Code::NO_OWNER | Code::NO_TARGET)
}

impl Call {
    /// Whether running it twice is the same as running it once.
    fn idempotent(&self) -> bool {
        !self.row.at_most_once
    }

    fn to_target(&self, target: &str) -> Request<catkin_http::Body> {
        let mut req = Request::new(body::full(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = format!("http://{target}{}", self.path).parse().unwrap_or_default();
        *req.headers_mut() = self.headers.clone();
        let headers = req.headers_mut();
        reply::strip(headers);
        headers.remove(HOST);
        headers.remove(CONTENT_LENGTH);
        headers.remove(AUTHORIZATION);
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            headers.insert(REQUEST_ID, id);
        }
        req
    }
}

/// The target's answer, as it comes.
fn pass_on(target: Target) -> Response<catkin_http::Body> {
    let Target { res, slot } = target;
    let (mut head, incoming) = res.into_parts();
    reply::strip(&mut head.headers);
    Response::from_parts(head, reply::held(incoming, slot))
}
