//! At-most-once requests: an intent is made durable before the request is sent, and the result afterwards.

use super::call::Call;
use super::{Failure, Gate, GateResult, sha256_hex};
use crate::Cx;
use crate::rows::{self, Intent, RecordedAnswer};
use bytes::Bytes;
use catkin_http::body;
use catkin_store::{Error as StoreError, Txn};
use catkin_types::Code;
use hyper::header::CONTENT_TYPE;
use std::sync::Arc;
use std::time::Duration;

/// The largest result body that is stored in the row itself; larger ones go to the object store.
const MAX_INLINE_BYTES: usize = 4 << 10;
/// The timeout of an intent's write.
const INTENT_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout of one attempt to write a result.
const RESULT_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of background attempts to write a result or to remove an intent.
const MAX_RESULT_ATTEMPTS: u32 = 60;
/// The delay between two background attempts.
const RESULT_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Returns whether a caller's idempotency key can be part of a table key.
pub(super) fn is_valid_key(key: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    !key.is_empty() && key.len() <= 128 && key.chars().all(is_allowed)
}

/// The intent of one request, which is made durable just before the request is sent.
pub(super) struct IntentGuard<'a> {
    gate: &'a Gate,
    key: String,
    intent: Intent,
    /// The version of the intent's row. `None` until it is durable.
    version: Option<u64>,
}

impl IntentGuard<'_> {
    /// Makes the intent durable, unless an earlier attempt did.
    pub async fn ensure_durable(&mut self) -> Result<(), Failure> {
        if self.version.is_some() {
            return Ok(());
        }
        let txn = Txn::default().check(&self.key, 0).put(&self.key, rows::to_json(&self.intent));
        match self.gate.cx.store.commit(txn, INTENT_WRITE_TIMEOUT).await {
            Ok(version) => {
                self.version = Some(version);
                Ok(())
            }
            Err(StoreError::Conflict(_)) => Err(Failure::from_code(Code::IN_PROGRESS)),
            Err(StoreError::Unknown) => {
                // The request was not sent, but the row may have been written. If so, it has to be removed.
                self.withdraw_in_background();
                Err(Failure::new(
                    Code::STORE_DOWN,
                    "the table did not confirm the intent; nothing was sent",
                ))
            }
            Err(e) => Err(Failure::new(Code::STORE_DOWN, e.to_string())),
        }
    }

    /// Removes the intent of a request that certainly did not run.
    async fn withdraw(&self) {
        let Some(version) = self.version else { return };
        let txn = Txn::default().check(&self.key, version).remove(&self.key);
        if self.gate.cx.store.commit(txn, INTENT_WRITE_TIMEOUT).await.is_err() {
            self.withdraw_in_background();
        }
    }

    /// Removes the row in the background once the table service answers, if the row was written by this attempt.
    fn withdraw_in_background(&self) {
        let (cx, key, nonce) =
            (Arc::clone(&self.gate.cx), self.key.clone(), self.intent.nonce.clone());
        let tasks = cx.background_tasks.clone();
        tasks.spawn(async move {
            for _ in 0..MAX_RESULT_ATTEMPTS {
                if cx.draining() {
                    return;
                }
                if let Ok(row) = cx.store.row(&key).await {
                    let own = |r: &catkin_store::Row| {
                        rows::from_json::<Intent>(r).is_some_and(|i| i.nonce == nonce)
                    };
                    let Some(row) = row.filter(own) else { return };
                    let txn = Txn::default().check(&key, row.version).remove(&key);
                    if cx.store.commit(txn, INTENT_WRITE_TIMEOUT).await.is_ok() {
                        return;
                    }
                }
                tokio::time::sleep(RESULT_RETRY_INTERVAL).await;
            }
        });
    }
}

/// Runs a request at most once under its caller's key, or answers with the state of an earlier request under that key.
pub(super) async fn run(gate: &Gate, call: &Call) -> GateResult {
    let caller_key = call.key.as_deref().unwrap_or_default();
    let key = format!("intent/{}/{}/{caller_key}", call.row.borrower, call.row.name);
    let digest = sha256_hex(&call.body);
    match gate.cx.store.row(&key).await {
        Ok(None) => {}
        Ok(Some(row)) => return replay(gate, &row, &digest).await,
        Err(e) => return Err(Failure::new(Code::STORE_DOWN, e.to_string())),
    }
    let nonce = uuid::Uuid::new_v4().simple().to_string();
    let intent =
        Intent { daemon: gate.cx.id().to_owned(), nonce, digest: digest.clone(), result: None };
    let mut guard = IntentGuard { gate, key: key.clone(), intent, version: None };
    let target = match gate.dispatch(call, Some(&mut guard)).await {
        Ok(target) => target,
        Err(f) if f.code == Code::IN_PROGRESS => {
            // A concurrent request under the same key wrote its intent first.
            return match gate.cx.store.row(&key).await {
                Ok(Some(row)) => replay(gate, &row, &digest).await,
                _ => Err(Failure::from_code(Code::INTENT_OPEN)),
            };
        }
        Err(f) => {
            if f.code.outcome() == catkin_types::answer::Outcome::NotRun {
                guard.withdraw().await;
            }
            return Err(f);
        }
    };
    let mut slot = target.slot;
    let (head, incoming) = target.res.into_parts();
    let max = gate.cx.settings.gate.max_result_bytes;
    let result_body = match body::read(incoming, max).await {
        Ok(result_body) => result_body,
        Err(e) => {
            slot.healthy = false;
            return Err(Failure::new(
                Code::TARGET_LOST,
                format!("the answer was not read whole: {e}"),
            ));
        }
    };
    drop(slot);
    let content_type =
        head.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let recorded = RecordedAnswer {
        status: head.status.as_u16(),
        content_type: content_type.to_owned(),
        text: None,
        object: None,
    };
    record_result(&guard, recorded.clone(), result_body.clone()).await;
    Ok(answer(&recorded, result_body))
}

/// Returns the answer to a repeated request, from the row that the first one wrote.
async fn replay(gate: &Gate, row: &catkin_store::Row, digest: &str) -> GateResult {
    let Some(intent) = rows::from_json::<Intent>(row) else {
        return Err(Failure::from_code(Code::INTERNAL));
    };
    if intent.digest != digest {
        return Err(Failure::from_code(Code::KEY_REUSED));
    }
    let Some(recorded) = intent.result else {
        let same_daemon = intent.daemon == gate.cx.id();
        return Err(Failure::from_code(if same_daemon {
            Code::IN_PROGRESS
        } else {
            Code::INTENT_OPEN
        }));
    };
    if let Some(text) = &recorded.text {
        return Ok(answer(&recorded, Bytes::from(text.clone())));
    }
    let object = recorded.object.clone().unwrap_or_default();
    match gate.cx.store.get_object(&object).await {
        Ok(Some(bytes)) => Ok(answer(&recorded, bytes)),
        Ok(None) => Err(Failure::from_code(Code::INTENT_OPEN)),
        Err(e) => Err(Failure::new(Code::STORE_UNKNOWN, e.to_string())),
    }
}

fn answer(recorded: &RecordedAnswer, bytes: Bytes) -> hyper::Response<catkin_http::Body> {
    let mut res = body::text(recorded.status, bytes);
    if let Ok(value) = hyper::header::HeaderValue::from_str(&recorded.content_type) {
        res.headers_mut().insert(CONTENT_TYPE, value);
    }
    res
}

/// A pending write of a result.
struct ResultWrite {
    cx: Arc<Cx>,
    key: String,
    version: u64,
    intent: Intent,
    object: Option<(String, Bytes)>,
}

impl ResultWrite {
    async fn write(&self) -> Result<(), StoreError> {
        if let Some((name, bytes)) = &self.object {
            self.cx.store.put_object(name, bytes.clone()).await?;
        }
        let txn = Txn::default()
            .check(&self.key, self.version)
            .put(&self.key, rows::to_json(&self.intent));
        match self.cx.store.commit(txn, RESULT_WRITE_TIMEOUT).await {
            // A conflict means that an earlier attempt of this write changed the row.
            Ok(_) | Err(StoreError::Conflict(_)) => Ok(()),
            Err(e) => Err(e),
        }
    }

    async fn retry_in_background(self) {
        for _ in 0..MAX_RESULT_ATTEMPTS {
            if self.cx.draining() {
                return;
            }
            tokio::time::sleep(RESULT_RETRY_INTERVAL).await;
            if self.write().await.is_ok() {
                return;
            }
        }
        tracing::error!("intent: result of {} not recorded after all retries; giving up", self.key);
    }
}

/// Makes the result durable. If the write fails, it is retried in the background.
async fn record_result(guard: &IntentGuard<'_>, mut recorded: RecordedAnswer, bytes: Bytes) {
    let Some(version) = guard.version else { return };
    let fits_inline = bytes.len() <= MAX_INLINE_BYTES;
    recorded.text = fits_inline.then(|| String::from_utf8(bytes.to_vec()).ok()).flatten();
    let name = format!("result-{}", guard.intent.nonce);
    let object = recorded.text.is_none().then_some((name, bytes));
    recorded.object = object.as_ref().map(|(name, _)| name.clone());
    let result_write = ResultWrite {
        cx: Arc::clone(&guard.gate.cx),
        key: guard.key.clone(),
        version,
        intent: Intent { result: Some(recorded), ..guard.intent.clone() },
        object,
    };
    if let Err(e) = result_write.write().await {
        tracing::warn!("intent: cannot record a result, retrying in the background: {e}");
        let tasks = result_write.cx.background_tasks.clone();
        tasks.spawn(result_write.retry_in_background());
    }
}
