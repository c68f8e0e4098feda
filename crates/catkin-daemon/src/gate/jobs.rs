//! Jobs: accepted in one write, cut into chunks, each for one shard.

use super::{Answered, Caller, Failure, Gate, IDEMPOTENCY_KEY, digest, intent};
use crate::cx::{Cx, Directory};
use crate::route;
use crate::rows::{self, Audit, Bits, Chunk, Job, Key, Part};
use catkin_http::body;
use catkin_schema::peer::{Request as PeerRequest, Response as PeerResponse};
use catkin_store::hosts::Kind;
use catkin_store::{Error as StoreError, Txn};
use catkin_types::id::{format_job, parse_job};
use catkin_types::{Code, JobId, Resources, Row, ShardId};
use hyper::Request;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
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

/// The most tasks of a chunk.
const MAX_CHUNK: u32 = 512;
/// The most tasks of a job.
const MAX_TASKS: u32 = 100_000;
/// The longest program, in bytes.
const MAX_PROGRAM: usize = 4_096;
/// How many tasks wait at a shard before it takes no more.
const MAX_WAITING: u64 = 100_000;
/// How long the write of a job may take.
const PATIENCE: Duration = Duration::from_secs(3);
/// How often a write is tried again after a shard got another owner in between.
const MAX_TRIES: usize = 8;
const CALL: Duration = Duration::from_secs(1);

/// A shard that can take a part of a job.
#[derive(Clone, Debug)]
struct Target {
    shard: ShardId,
    free: Resources,
    near: bool,
}

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
        let Ok(list) = self.cx.store.rows("shard/").await else { return };
        let mut directory = Directory::new();
        for row in &list {
            let Some(shard) = rows::from_json(row) else { continue };
            let id = row.key.trim_start_matches("shard/").to_owned();
            directory.insert(id, crate::cx::Entry { shard, version: row.version });
        }
        self.cx.directory.send_replace(Arc::new(directory));
    }

    /// Cuts a job into parts: each part goes to the freer of two shards drawn at random, near ones first. A gang is one
    /// part.
    fn cut(&self, submit: &Submit, directory: &Directory) -> Result<Vec<Part>, Failure> {
        let mut targets = self.targets(submit, directory)?;
        let step = if submit.gang { submit.tasks } else { MAX_CHUNK };
        let mut parts = Vec::new();
        for from in (0..submit.tasks).step_by(step as usize) {
            let to = (from + step).min(submit.tasks);
            let target = draw(&mut targets);
            target.free = target.free.saturating_sub(&submit.size.times(u64::from(to - from)));
            parts.push(Part { shard: target.shard.clone(), from, to });
        }
        Ok(parts)
    }

    fn targets(&self, submit: &Submit, directory: &Directory) -> Result<Vec<Target>, Failure> {
        let workers: Vec<_> =
            directory.iter().filter(|(_, e)| e.shard.kind == Kind::Worker).collect();
        if workers.is_empty() {
            return Err(Failure::new(Code::NO_OWNER, "there is no shard of workers yet"));
        }
        let (mut targets, mut silent) = (Vec::new(), Vec::new());
        let (mut too_small, mut full) = (0, 0);
        let mut largest = Resources::default();
        for (id, entry) in &workers {
            let near = entry.shard.region == self.cx.settings.daemon.region;
            let target = |free| Target { shard: (*id).clone(), free, near };
            let Some(a) = self.cx.live.aggregate(id).filter(|a| !a.largest.is_zero()) else {
                silent.push(target(Resources::default()));
                continue;
            };
            largest = largest.max(&a.largest);
            if !submit.size.fits(&a.largest) {
                too_small += 1;
            } else if a.waiting + u64::from(submit.tasks) > MAX_WAITING {
                full += 1;
            } else {
                targets.push(target(a.free));
            }
        }
        if too_small == workers.len() {
            let what = format!("a task takes {}; the largest worker has {largest}", submit.size);
            return Err(Failure::new(Code::NEVER_FITS, what));
        }
        if targets.is_empty() && full > 0 {
            return Err(
                Failure::new(Code::QUEUE_FULL, "too many tasks wait already").retry_after(CALL)
            );
        }
        if targets.is_empty() {
            // Their owners have just begun. The job waits for the one that it goes to.
            targets = silent;
        }
        // Another region only if this one has no room for a single task.
        let fits_near = targets.iter().any(|t| t.near && submit.size.fits(&t.free));
        targets.retain(|t| t.near || !fits_near);
        Ok(targets)
    }

    async fn job(&self, caller: &Caller, id: &str) -> Result<(JobId, Job, u64), Failure> {
        let unknown = || Failure::new(Code::NOT_FOUND, format!("there is no job {id}"));
        let number = parse_job(id).ok_or_else(unknown)?;
        let row = self.cx.store.row(&format!("job/{id}")).await;
        let row =
            row.map_err(|e| Failure::new(Code::STORE_DOWN, e.to_string()))?.ok_or_else(unknown)?;
        let job = rows::from_json::<Job>(&row).ok_or_else(|| Failure::of(Code::INTERNAL))?;
        // Whether a job of another borrower exists is nobody's business.
        if !caller.may_see(&job.borrower) {
            return Err(unknown());
        }
        Ok((number, job, row.version))
    }

    pub(super) async fn status(&self, caller: &Caller, id: &str) -> Answered {
        let (number, job, _) = self.job(caller, id).await?;
        let chunks =
            self.chunks(&job).await.map_err(|e| Failure::new(Code::STORE_DOWN, e.to_string()))?;
        let places = self.ask_owners(&job, |_| PeerRequest::JobStatus(number)).await;
        Ok(body::json(200, &Status::of(&job, &chunks, &places)))
    }

    /// The chunks of a job, wherever they are.
    async fn chunks(&self, job: &Job) -> Result<Vec<Chunk>, StoreError> {
        let ended = self.cx.store.rows(&format!("ended/{}/", job.id)).await?;
        let mut found: BTreeMap<u32, Chunk> =
            ended.iter().filter_map(rows::from_json::<Chunk>).map(|c| (c.from, c)).collect();
        let shards: BTreeSet<&ShardId> =
            job.chunks.iter().filter(|p| !found.contains_key(&p.from)).map(|p| &p.shard).collect();
        for shard in shards {
            let open = self.cx.store.rows(&format!("chunk/{shard}/{}/", job.id)).await?;
            found.extend(open.iter().filter_map(rows::from_json::<Chunk>).map(|c| (c.from, c)));
        }
        Ok(found.into_values().collect())
    }

    /// Asks each owner of a part of the job once.
    async fn ask_owners(
        &self,
        job: &Job,
        req: impl Fn(&ShardId) -> PeerRequest,
    ) -> Vec<serde_json::Value> {
        let directory = self.cx.directory.borrow().clone();
        let shards: BTreeSet<&ShardId> = job.chunks.iter().map(|p| &p.shard).collect();
        let mut owners: BTreeMap<String, &ShardId> = BTreeMap::new();
        for shard in shards {
            if let Some(entry) = directory.get(shard) {
                owners.insert(entry.shard.term.owner.clone(), shard);
            }
        }
        let mut out = Vec::new();
        for shard in owners.values() {
            if let Ok(PeerResponse::Text(json)) =
                route::call(&self.cx, shard, req(shard), CALL).await
            {
                out.extend(
                    serde_json::from_slice::<Vec<serde_json::Value>>(&json).unwrap_or_default(),
                );
            }
        }
        out
    }

    pub(super) async fn explain(&self, caller: &Caller, id: &str) -> Answered {
        let (number, job, _) = self.job(caller, id).await?;
        let mut reasons = self.ask_owners(&job, |_| PeerRequest::Explain(number)).await;
        let chunks =
            self.chunks(&job).await.map_err(|e| Failure::new(Code::STORE_DOWN, e.to_string()))?;
        for chunk in chunks.iter().filter(|c| !c.reason.is_empty()) {
            reasons.push(
                serde_json::json!({ "row": chunk.row, "reason": chunk.reason, "would_help": "" }),
            );
        }
        Ok(body::json(200, &reasons))
    }

    pub(super) async fn cancel(
        &self,
        req: Request<Incoming>,
        caller: &Caller,
        id: &str,
    ) -> Answered {
        let jobs: Vec<String> = self.json(req).await?;
        let mut cancelled = Vec::new();
        for job in jobs {
            self.cancel_one(caller, &job).await?;
            cancelled.push(job);
        }
        tracing::info!(
            request_id = id,
            "gate: {} jobs cancelled by {}",
            cancelled.len(),
            caller.name
        );
        Ok(body::json(Code::CANCEL_ACCEPTED.status(), &cancelled))
    }

    async fn cancel_one(&self, caller: &Caller, id: &str) -> Result<(), Failure> {
        let (number, job, version) = self.job(caller, id).await?;
        if job.cancelled {
            return Ok(());
        }
        let shards: BTreeSet<ShardId> = job.chunks.iter().map(|p| p.shard.clone()).collect();
        let audit = Audit {
            by: caller.name.clone(),
            at_ms: rows::wall_clock_ms(),
            action: "cancel".into(),
            from_version: 0,
            to_version: 0,
            old: Vec::new(),
            new: Vec::new(),
            subject: id.to_owned(),
        };
        let key = format!("job/{id}");
        let job = Job { cancelled: true, ..job };
        let mut txn = Txn::default().check(&key, version).put(&key, rows::to_json(&job));
        txn = txn.put(audit.key(), rows::to_json(&audit));
        for shard in &shards {
            txn = txn.put(format!("cancel/{shard}/{id}"), "{}");
        }
        self.cx.store.commit(txn, PATIENCE).await.map_err(|e| match e {
            StoreError::Unknown => Failure::of(Code::STORE_UNKNOWN),
            StoreError::Conflict(_) => Failure::of(Code::CONFLICT),
            e => Failure::new(Code::STORE_DOWN, e.to_string()),
        })?;
        for shard in shards {
            let req = PeerRequest::Cancel { shard: shard.clone(), jobs: vec![number] };
            self.tell(shard, req);
        }
        Ok(())
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

/// The freer of two targets drawn at random.
fn draw(targets: &mut [Target]) -> &mut Target {
    let n = targets.len();
    let (a, b) = (rand::random_range(0..n), rand::random_range(0..n));
    let total = targets[a].free.max(&targets[b].free);
    let free = |i: usize| targets[i].free.dominant_fraction(&total);
    let best = if free(a) >= free(b) { a } else { b };
    &mut targets[best]
}

/// What a caller is told of a job.
#[derive(Debug, Serialize)]
struct Status {
    job: String,
    row: String,
    state: &'static str,
    tasks: u32,
    ended: u32,
    failed: u32,
    waiting: u64,
    running: u64,
    #[serde(skip_serializing_if = "String::is_empty")]
    reason: String,
}

impl Status {
    fn of(job: &Job, chunks: &[Chunk], places: &[serde_json::Value]) -> Self {
        let sum = |field: &str| places.iter().filter_map(|p| p.get(field)?.as_u64()).sum::<u64>();
        let ended = chunks.iter().map(|c| c.ended.count()).sum();
        let failed = chunks.iter().map(|c| c.failed.count()).sum();
        let complete = chunks.len() == job.chunks.len() && chunks.iter().all(Chunk::complete);
        let running = sum("running");
        let state = match (complete, job.cancelled) {
            (true, true) => "cancelled",
            (true, false) if failed > 0 => "failed",
            (true, false) => "done",
            (false, true) => "cancelling",
            (false, false) if running > 0 || ended > 0 => "running",
            (false, false) => "waiting",
        };
        Self {
            job: job.id.clone(),
            row: job.row.clone(),
            state,
            tasks: job.tasks,
            ended,
            failed,
            waiting: sum("waiting") + sum("held"),
            running,
            reason: chunks
                .iter()
                .map(|c| c.reason.clone())
                .find(|r| !r.is_empty())
                .unwrap_or_default(),
        }
    }
}

/// Whether the daemon's directory has any shard of workers that told of itself.
pub(super) fn workers_known(cx: &Cx) -> bool {
    let directory = cx.directory.borrow().clone();
    directory.iter().any(|(id, e)| {
        e.shard.kind == Kind::Worker && cx.live.aggregate(id).is_some_and(|a| !a.largest.is_zero())
    })
}
