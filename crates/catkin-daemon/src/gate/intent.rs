//! Requests that run at most once: an intent is durable before the request is sent, the result after.

use super::call::Call;
use super::{Answered, Failure, Gate, digest};
use crate::Cx;
use crate::rows::{self, Intent, Recorded};
use bytes::Bytes;
use catkin_http::body;
use catkin_store::{Error as StoreError, Txn};
use catkin_types::Code;
use hyper::header::CONTENT_TYPE;
use std::sync::Arc;
use std::time::Duration;

/// The longest body that is recorded in a row; longer ones go to the object store.
const MAX_INLINE: usize = 4 << 10;
/// How long the write of an intent may take.
const INTENT_PATIENCE: Duration = Duration::from_secs(2);
/// How long the write of a result may take before it is tried again, and how often it is.
const RESULT_PATIENCE: Duration = Duration::from_secs(5);
const RESULT_TRIES: u32 = 60;
const RESULT_PAUSE: Duration = Duration::from_secs(2);

/// Whether a caller's key can be part of a row's key.
pub(super) fn fine_key(key: &str) -> bool {
    let fine = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    !key.is_empty() && key.len() <= 128 && key.chars().all(fine)
}

/// The intent of one request, before and after it is durable.
pub(super) struct Guard<'a> {
    gate: &'a Gate,
    key: String,
    intent: Intent,
    /// The version of the row, once it is there.
    version: Option<u64>,
}

impl Guard<'_> {
    /// Makes the intent durable, once.
    pub async fn insert(&mut self) -> Result<(), Failure> {
        if self.version.is_some() {
            return Ok(());
        }
        let txn = Txn::default().check(&self.key, 0).put(&self.key, rows::to_json(&self.intent));
        match self.gate.cx.store.commit(txn, INTENT_PATIENCE).await {
            Ok(version) => {
                self.version = Some(version);
                Ok(())
            }
            Err(StoreError::Conflict(_)) => Err(Failure::of(Code::IN_PROGRESS)),
            Err(StoreError::Unknown) => {
                // Nothing was sent. The row may come to be there all the same, and is removed then.
                self.withdraw_later();
                Err(Failure::new(
                    Code::STORE_DOWN,
                    "the table did not confirm the intent; nothing was sent",
                ))
            }
            Err(e) => Err(Failure::new(Code::STORE_DOWN, e.to_string())),
        }
    }

    /// Removes the intent of a request that was certainly not run.
    async fn withdraw(&self) {
        let Some(version) = self.version else { return };
        let txn = Txn::default().check(&self.key, version).remove(&self.key);
        if self.gate.cx.store.commit(txn, INTENT_PATIENCE).await.is_err() {
            self.withdraw_later();
        }
    }

    /// Removes the row as soon as the table answers, if it is this attempt's.
    fn withdraw_later(&self) {
        let (cx, key, nonce) =
            (Arc::clone(&self.gate.cx), self.key.clone(), self.intent.nonce.clone());
        let tasks = cx.tasks.clone();
        tasks.spawn(async move {
            for _ in 0..RESULT_TRIES {
                if cx.draining() {
                    return;
                }
                if let Ok(row) = cx.store.row(&key).await {
                    let own = |r: &catkin_store::Row| {
                        rows::from_json::<Intent>(r).is_some_and(|i| i.nonce == nonce)
                    };
                    let Some(row) = row.filter(own) else { return };
                    let txn = Txn::default().check(&key, row.version).remove(&key);
                    if cx.store.commit(txn, INTENT_PATIENCE).await.is_ok() {
                        return;
                    }
                }
                tokio::time::sleep(RESULT_PAUSE).await;
            }
        });
    }
}

/// Runs a request at most once under its caller's key, or tells what is known of an earlier run.
pub(super) async fn run(gate: &Gate, call: &Call) -> Answered {
    let caller_key = call.key.as_deref().unwrap_or_default();
    let key = format!("intent/{}/{}/{caller_key}", call.row.borrower, call.row.name);
    let digest = digest(&call.body);
    match gate.cx.store.row(&key).await {
        Ok(None) => {}
        Ok(Some(row)) => return earlier(gate, &row, &digest).await,
        Err(e) => return Err(Failure::new(Code::STORE_DOWN, e.to_string())),
    }
    let nonce = uuid::Uuid::new_v4().simple().to_string();
    let intent =
        Intent { daemon: gate.cx.id().to_owned(), nonce, digest: digest.clone(), result: None };
    let mut guard = Guard { gate, key: key.clone(), intent, version: None };
    let target = match gate.dispatch(call, Some(&mut guard)).await {
        Ok(target) => target,
        Err(f) if f.code == Code::IN_PROGRESS => {
            // Another request with the key came first.
            return match gate.cx.store.row(&key).await {
                Ok(Some(row)) => earlier(gate, &row, &digest).await,
                _ => Err(Failure::of(Code::INTENT_OPEN)),
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
    let whole = match body::read(incoming, max).await {
        Ok(whole) => whole,
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
    let recorded = Recorded {
        status: head.status.as_u16(),
        content_type: content_type.to_owned(),
        text: None,
        object: None,
    };
    record(&guard, recorded.clone(), whole.clone()).await;
    Ok(answer(&recorded, whole))
}

/// The answer to a repeated request.
async fn earlier(gate: &Gate, row: &catkin_store::Row, digest: &str) -> Answered {
    let Some(intent) = rows::from_json::<Intent>(row) else {
        return Err(Failure::of(Code::INTERNAL));
    };
    if intent.digest != digest {
        return Err(Failure::of(Code::KEY_REUSED));
    }
    let Some(recorded) = intent.result else {
        let here = intent.daemon == gate.cx.id();
        return Err(Failure::of(if here { Code::IN_PROGRESS } else { Code::INTENT_OPEN }));
    };
    if let Some(text) = &recorded.text {
        return Ok(answer(&recorded, Bytes::from(text.clone())));
    }
    let object = recorded.object.clone().unwrap_or_default();
    match gate.cx.store.get_object(&object).await {
        Ok(Some(bytes)) => Ok(answer(&recorded, bytes)),
        Ok(None) => Err(Failure::of(Code::INTENT_OPEN)),
        Err(e) => Err(Failure::new(Code::STORE_UNKNOWN, e.to_string())),
    }
}

fn answer(recorded: &Recorded, bytes: Bytes) -> hyper::Response<catkin_http::Body> {
    let mut res = body::text(recorded.status, bytes);
    if let Ok(value) = hyper::header::HeaderValue::from_str(&recorded.content_type) {
        res.headers_mut().insert(CONTENT_TYPE, value);
    }
    res
}

/// A result that has to become durable.
struct Writing {
    cx: Arc<Cx>,
    key: String,
    version: u64,
    intent: Intent,
    object: Option<(String, Bytes)>,
}

impl Writing {
    async fn write(&self) -> Result<(), StoreError> {
        if let Some((name, bytes)) = &self.object {
            self.cx.store.put_object(name, bytes.clone()).await?;
        }
        let txn = Txn::default()
            .check(&self.key, self.version)
            .put(&self.key, rows::to_json(&self.intent));
        match self.cx.store.commit(txn, RESULT_PATIENCE).await {
            // The row changed by an earlier try of this write.
            Ok(_) | Err(StoreError::Conflict(_)) => Ok(()),
            Err(e) => Err(e),
        }
    }

    async fn write_later(self) {
        for _ in 0..RESULT_TRIES {
            if self.cx.draining() {
                return;
            }
            tokio::time::sleep(RESULT_PAUSE).await;
            if self.write().await.is_ok() {
                return;
            }
        }
        tracing::error!("intent: the result of {} was given up", self.key);
    }
}

/// Makes the result durable. If the table does not answer now, that is tried on in the background.
async fn record(guard: &Guard<'_>, mut recorded: Recorded, bytes: Bytes) {
    let Some(version) = guard.version else { return };
    let short = bytes.len() <= MAX_INLINE;
    recorded.text = short.then(|| String::from_utf8(bytes.to_vec()).ok()).flatten();
    let name = format!("result-{}", guard.intent.nonce);
    let object = recorded.text.is_none().then_some((name, bytes));
    recorded.object = object.as_ref().map(|(name, _)| name.clone());
    let writing = Writing {
        cx: Arc::clone(&guard.gate.cx),
        key: guard.key.clone(),
        version,
        intent: Intent { result: Some(recorded), ..guard.intent.clone() },
        object,
    };
    if let Err(e) = writing.write().await {
        tracing::warn!("intent: a result was not recorded, trying on: {e}");
        let tasks = writing.cx.tasks.clone();
        tasks.spawn(writing.write_later());
    }
}
