//! Jobs: accepted in a single transaction and split into chunks, each of which belongs to one shard.

mod cancel;
mod split;
mod status;

pub(super) use split::any_workers_reported;

use super::{Caller, Failure, Gate, GateResult, IDEMPOTENCY_KEY, intent, sha256_hex};
use crate::cx::SHARD_KEY_PREFIX;
use crate::route;
use crate::rows::{self, BitSet, Chunk, IdempotencyKey, Job, Part};
use catkin_http::body;
use catkin_schema::peer::Request as PeerRequest;
use catkin_store::{Error as StoreError, Txn};
use catkin_types::id::{format_job, parse_job};
use catkin_types::{Code, Resources, Row, ShardId};
use hyper::Request;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// The body of a job submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Submit {
    row: String,
    tasks: u32,
    size: Resources,
    program: String,
    #[serde(default)]
    gang: bool,
}

/// The maximum number of tasks in a job.
const MAX_TASKS: u32 = 100_000;
/// The maximum length of a program, in bytes.
const MAX_PROGRAM_BYTES: usize = 4_096;
/// The timeout of the transaction that accepts or cancels a job.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of attempts to accept a job, each of which fails if a shard's owner changed in between.
const MAX_ATTEMPTS: usize = 8;
/// The timeout of a request to a shard's owner.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

impl Gate {
    pub(super) async fn submit(
        &self,
        req: Request<Incoming>,
        caller: &Caller,
        id: &str,
    ) -> GateResult {
        let given =
            req.headers().get(IDEMPOTENCY_KEY).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let key = given.unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string());
        if !intent::is_valid_key(&key) {
            return Err(Failure::new(
                Code::BAD_REQUEST,
                "the key has to be 1 to 128 letters, digits or '-_.:'",
            ));
        }
        let submit: Submit = self.read_json_body(req).await?;
        let table = self.cx.table().ok_or_else(|| Failure::from_code(Code::NO_LIMITS))?;
        let row = table.get(&submit.row).filter(|r| r.service.is_empty());
        let row = row.ok_or_else(|| {
            Failure::new(Code::UNKNOWN_ROW, format!("there is no task row {}", submit.row))
        })?;
        if !caller.may_see(&row.borrower) {
            return Err(Failure::from_code(Code::FORBIDDEN));
        }
        validate(&submit, row)?;
        let digest = sha256_hex(rows::to_json(&submit).as_bytes());
        let key = format!("key/{}/{key}", row.borrower);
        for _ in 0..MAX_ATTEMPTS {
            if let Some(job) = self.find_accepted(&key, &digest).await? {
                return Ok(accepted_response(&job, id));
            }
            match self.accept(&submit, row, &key, &digest).await {
                Ok(job) => {
                    tracing::info!(
                        request_id = id,
                        "gate: job {} accepted, {} tasks",
                        job.id,
                        job.tasks
                    );
                    self.cx.metrics.count_answer(&row.name, Code::JOB_ACCEPTED.number());
                    return Ok(accepted_response(&job.id, id));
                }
                Err(Ok(failure)) => return Err(failure),
                Err(Err(StoreError::Conflict(_))) => self.refresh_directory().await,
                Err(Err(StoreError::Unknown)) => {
                    let message = "the table did not say whether the job was accepted; submit it again under the same key";
                    return Err(Failure::new(Code::STORE_UNKNOWN, message));
                }
                Err(Err(e)) => return Err(Failure::new(Code::STORE_DOWN, e.to_string())),
            }
        }
        Err(Failure::new(Code::CONFLICT, "shards changed owners too often; submit it again"))
    }

    /// Returns the job that was accepted earlier under the same key, if any.
    async fn find_accepted(&self, key: &str, digest: &str) -> Result<Option<String>, Failure> {
        let row = self
            .cx
            .store
            .row(key)
            .await
            .map_err(|e| Failure::new(Code::STORE_DOWN, e.to_string()))?;
        let Some(known) = row.as_ref().and_then(rows::from_json::<IdempotencyKey>) else {
            return Ok(None);
        };
        if known.digest == digest {
            Ok(Some(known.job))
        } else {
            Err(Failure::from_code(Code::KEY_REUSED))
        }
    }

    /// Writes the job, its key and its chunks in one transaction. The transaction checks the version of each shard's
    /// row, so that the epoch in each chunk is the shard's current one.
    async fn accept(
        &self,
        submit: &Submit,
        row: &Row,
        key: &str,
        digest: &str,
    ) -> Result<Job, Result<Failure, StoreError>> {
        let directory = self.cx.directory.borrow().clone();
        let parts = self.split(submit, &directory).map_err(Ok)?;
        let job = Job {
            id: format_job(rand::random()),
            row: row.name.clone(),
            borrower: row.borrower.clone(),
            tasks: submit.tasks,
            size: submit.size,
            program: submit.program.clone(),
            gang: submit.gang,
            chunks: parts.clone(),
            cancelled: false,
        };
        let known = IdempotencyKey { job: job.id.clone(), digest: digest.to_owned() };
        let mut txn = Txn::default().check(key, 0).put(key, rows::to_json(&known));
        txn = txn.put(format!("job/{}", job.id), rows::to_json(&job));
        let shards: BTreeSet<&ShardId> = parts.iter().map(|p| &p.shard).collect();
        for shard in &shards {
            let version = directory.get(*shard).map_or(0, |e| e.version);
            txn = txn.check(format!("shard/{shard}"), version);
        }
        for part in &parts {
            let epoch = directory.get(&part.shard).map_or(0, |e| e.shard.term.epoch);
            let chunk = new_chunk(&job, part, epoch);
            txn = txn.put(chunk.key(&part.shard), rows::to_json(&chunk));
        }
        self.cx.store.commit(txn, WRITE_TIMEOUT).await.map_err(Err)?;
        for shard in shards {
            let offer = PeerRequest::Offer {
                shard: shard.clone(),
                job: parse_job(&job.id).unwrap_or_default(),
            };
            self.notify_owner(shard.clone(), offer);
        }
        Ok(job)
    }

    /// Notifies the owner of a shard in the background. Failures are ignored, because the owner also reads the table
    /// periodically.
    fn notify_owner(&self, shard: ShardId, req: PeerRequest) {
        let cx = Arc::clone(&self.cx);
        self.cx
            .background_tasks
            .spawn(async move { drop(route::call(&cx, &shard, req, CALL_TIMEOUT).await) });
    }

    /// Reads the shards' rows again, after a write failed because one of them had changed.
    async fn refresh_directory(&self) {
        if let Ok(list) = self.cx.store.rows(SHARD_KEY_PREFIX).await {
            self.cx.replace_shards(SHARD_KEY_PREFIX, &list);
        }
    }
}

fn accepted_response(job: &str, id: &str) -> hyper::Response<catkin_http::Body> {
    let code = Code::JOB_ACCEPTED;
    let answer = serde_json::json!({ "code": code.number(), "job": job, "request_id": id });
    body::json(code.status(), &answer)
}

fn new_chunk(job: &Job, part: &Part, epoch: u64) -> Chunk {
    Chunk {
        job: job.id.clone(),
        row: job.row.clone(),
        epoch,
        from: part.from,
        to: part.to,
        size: job.size,
        program: job.program.clone(),
        gang: job.gang,
        ended: BitSet::default(),
        failed: BitSet::default(),
        cancelled: false,
        reason: String::new(),
    }
}

fn validate(submit: &Submit, row: &Row) -> Result<(), Failure> {
    if submit.tasks == 0 || submit.tasks > MAX_TASKS {
        return Err(Failure::new(Code::BAD_REQUEST, format!("a job has 1 to {MAX_TASKS} tasks")));
    }
    if submit.size.is_zero() {
        return Err(Failure::new(Code::BAD_REQUEST, "a task has to take something"));
    }
    if submit.program.len() > MAX_PROGRAM_BYTES {
        return Err(Failure::new(
            Code::BAD_REQUEST,
            format!("a program has at most {MAX_PROGRAM_BYTES} bytes"),
        ));
    }
    if u64::from(submit.tasks) > row.queue_bound {
        let message = format!(
            "the job has {} tasks; row {} lets {} wait",
            submit.tasks, row.name, row.queue_bound
        );
        return Err(Failure::new(Code::OVER_LIMIT, message));
    }
    let n = if submit.gang { u64::from(submit.tasks) } else { 1 };
    if !row.limit.is_zero() && !within_limit(&submit.size.times(n), &row.limit) {
        let message = format!("row {} may hold {} at most", row.name, row.limit);
        return Err(Failure::new(Code::OVER_LIMIT, message));
    }
    Ok(())
}

/// Returns whether `size` is within `limit`. A zero component of the limit means unlimited.
fn within_limit(size: &Resources, limit: &Resources) -> bool {
    size.as_array().iter().zip(limit.as_array()).all(|(s, l)| l == 0 || *s <= l)
}
