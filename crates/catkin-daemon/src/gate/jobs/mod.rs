//! Jobs: accepted in one write, cut into chunks, each for one shard.

mod cancel;
mod cut;
mod status;

pub(super) use cut::workers_known;

use super::{Answered, Caller, Failure, Gate, IDEMPOTENCY_KEY, digest, intent};
use crate::cx::SHARD_KEYS;
use crate::route;
use crate::rows::{self, Bits, Chunk, Job, Key, Part};
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

/// What a caller submits.
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

/// The most tasks of a job.
const MAX_TASKS: u32 = 100_000;
/// The longest program, in bytes.
const MAX_PROGRAM: usize = 4_096;
/// How long the write of a job may take.
const PATIENCE: Duration = Duration::from_secs(3);
/// How often a write is tried again after a shard got another owner in between.
const MAX_TRIES: usize = 8;
/// How long an owner's answer is awaited.
const CALL: Duration = Duration::from_secs(1);

impl Gate {
    pub(super) async fn submit(
        &self,
        req: Request<Incoming>,
        caller: &Caller,
        id: &str,
    ) -> Answered {
        let given =
            req.headers().get(IDEMPOTENCY_KEY).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let key = given.unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string());
        if !intent::fine_key(&key) {
            return Err(Failure::new(
                Code::BAD_REQUEST,
                "the key has to be 1 to 128 letters, digits or '-_.:'",
            ));
        }
        let submit: Submit = self.json(req).await?;
        let table = self.cx.table().ok_or_else(|| Failure::of(Code::NO_LIMITS))?;
        let row = table.get(&submit.row).filter(|r| r.service.is_empty());
        let row = row.ok_or_else(|| {
            Failure::new(Code::UNKNOWN_ROW, format!("there is no task row {}", submit.row))
        })?;
        if !caller.may_see(&row.borrower) {
            return Err(Failure::of(Code::FORBIDDEN));
        }
        check(&submit, row)?;
        let digest = digest(rows::to_json(&submit).as_bytes());
        let key = format!("key/{}/{key}", row.borrower);
        for _ in 0..MAX_TRIES {
            if let Some(job) = self.known(&key, &digest).await? {
                return Ok(accepted(&job, id));
            }
            match self.accept(&submit, row, &key, &digest).await {
                Ok(job) => {
                    tracing::info!(
                        request_id = id,
                        "gate: job {} accepted, {} tasks",
                        job.id,
                        job.tasks
                    );
                    self.cx.metrics.answered(&row.name, Code::JOB_ACCEPTED.number());
                    return Ok(accepted(&job.id, id));
                }
                Err(Ok(failure)) => return Err(failure),
                Err(Err(StoreError::Conflict(_))) => self.refresh().await,
                Err(Err(StoreError::Unknown)) => {
                    let what = "the table did not say whether the job was accepted; submit it again under the same key";
                    return Err(Failure::new(Code::STORE_UNKNOWN, what));
                }
                Err(Err(e)) => return Err(Failure::new(Code::STORE_DOWN, e.to_string())),
            }
        }
        Err(Failure::new(Code::CONFLICT, "shards changed owners too often; submit it again"))
    }

    /// The job that was accepted under the key before.
    async fn known(&self, key: &str, digest: &str) -> Result<Option<String>, Failure> {
        let row = self
            .cx
            .store
            .row(key)
            .await
            .map_err(|e| Failure::new(Code::STORE_DOWN, e.to_string()))?;
        let Some(known) = row.as_ref().and_then(rows::from_json::<Key>) else { return Ok(None) };
        if known.digest == digest {
            Ok(Some(known.job))
        } else {
            Err(Failure::of(Code::KEY_REUSED))
        }
    }

    /// Writes the job, its key and its chunks. Every shard's row is checked, so that the term in each chunk is true.
    async fn accept(
        &self,
        submit: &Submit,
        row: &Row,
        key: &str,
        digest: &str,
    ) -> Result<Job, Result<Failure, StoreError>> {
        let directory = self.cx.directory.borrow().clone();
        let parts = self.cut(submit, &directory).map_err(Ok)?;
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
        let known = Key { job: job.id.clone(), digest: digest.to_owned() };
        let mut txn = Txn::default().check(key, 0).put(key, rows::to_json(&known));
        txn = txn.put(format!("job/{}", job.id), rows::to_json(&job));
        let shards: BTreeSet<&ShardId> = parts.iter().map(|p| &p.shard).collect();
        for shard in &shards {
            let version = directory.get(*shard).map_or(0, |e| e.version);
            txn = txn.check(format!("shard/{shard}"), version);
        }
        for part in &parts {
            let epoch = directory.get(&part.shard).map_or(0, |e| e.shard.term.epoch);
            let chunk = chunk(&job, part, epoch);
            txn = txn.put(chunk.key(&part.shard), rows::to_json(&chunk));
        }
        self.cx.store.commit(txn, PATIENCE).await.map_err(Err)?;
        for shard in shards {
            let offer = PeerRequest::Offer {
                shard: shard.clone(),
                job: parse_job(&job.id).unwrap_or_default(),
            };
            self.tell(shard.clone(), offer);
        }
        Ok(job)
    }

    /// Tells the owner of a shard, which reads the table in any case a little later.
    fn tell(&self, shard: ShardId, req: PeerRequest) {
        let cx = Arc::clone(&self.cx);
        self.cx.tasks.spawn(async move { drop(route::call(&cx, &shard, req, CALL).await) });
    }

    /// Reads the shards again, after a write found one changed.
    async fn refresh(&self) {
        if let Ok(list) = self.cx.store.rows(SHARD_KEYS).await {
            self.cx.put_shards(SHARD_KEYS, &list);
        }
    }
}

fn accepted(job: &str, id: &str) -> hyper::Response<catkin_http::Body> {
    let code = Code::JOB_ACCEPTED;
    let answer = serde_json::json!({ "code": code.number(), "job": job, "request_id": id });
    body::json(code.status(), &answer)
}

fn chunk(job: &Job, part: &Part, epoch: u64) -> Chunk {
    Chunk {
        job: job.id.clone(),
        row: job.row.clone(),
        epoch,
        from: part.from,
        to: part.to,
        size: job.size,
        program: job.program.clone(),
        gang: job.gang,
        ended: Bits::default(),
        failed: Bits::default(),
        cancelled: false,
        reason: String::new(),
    }
}

fn check(submit: &Submit, row: &Row) -> Result<(), Failure> {
    if submit.tasks == 0 || submit.tasks > MAX_TASKS {
        return Err(Failure::new(Code::BAD_REQUEST, format!("a job has 1 to {MAX_TASKS} tasks")));
    }
    if submit.size.is_zero() {
        return Err(Failure::new(Code::BAD_REQUEST, "a task has to take something"));
    }
    if submit.program.len() > MAX_PROGRAM {
        return Err(Failure::new(
            Code::BAD_REQUEST,
            format!("a program has at most {MAX_PROGRAM} bytes"),
        ));
    }
    if u64::from(submit.tasks) > row.queue_bound {
        let what = format!(
            "the job has {} tasks; row {} lets {} wait",
            submit.tasks, row.name, row.queue_bound
        );
        return Err(Failure::new(Code::OVER_LIMIT, what));
    }
    let n = if submit.gang { u64::from(submit.tasks) } else { 1 };
    if !row.limit.is_zero() && !within(&submit.size.times(n), &row.limit) {
        let what = format!("row {} may hold {} at most", row.name, row.limit);
        return Err(Failure::new(Code::OVER_LIMIT, what));
    }
    Ok(())
}

/// Whether `size` is within a limit in which zero stands for no limit.
fn within(size: &Resources, limit: &Resources) -> bool {
    size.as_array().iter().zip(limit.as_array()).all(|(s, l)| l == 0 || *s <= l)
}
