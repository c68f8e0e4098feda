//! The status of a job, and the reasons why its tasks wait.

use super::CALL_TIMEOUT;
use crate::gate::{Caller, Failure, Gate, GateResult};
use crate::route;
use crate::rows::{self, Chunk, Job};
use catkin_http::body;
use catkin_schema::peer::{Request as PeerRequest, Response as PeerResponse};
use catkin_store::Error as StoreError;
use catkin_types::id::parse_job;
use catkin_types::{Code, JobId, ShardId};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

impl Gate {
    pub(super) async fn load_job(
        &self,
        caller: &Caller,
        id: &str,
    ) -> Result<(JobId, Job, u64), Failure> {
        let unknown = || Failure::new(Code::NOT_FOUND, format!("there is no job {id}"));
        let number = parse_job(id).ok_or_else(unknown)?;
        let row = self.cx.store.row(&format!("job/{id}")).await;
        let row =
            row.map_err(|e| Failure::new(Code::STORE_DOWN, e.to_string()))?.ok_or_else(unknown)?;
        let job = rows::from_json::<Job>(&row).ok_or_else(|| Failure::from_code(Code::INTERNAL))?;
        // Answers as for an unknown job, so that callers can't find out whether a job of another borrower exists.
        if !caller.may_see(&job.borrower) {
            return Err(unknown());
        }
        Ok((number, job, row.version))
    }

    pub(in crate::gate) async fn status(&self, caller: &Caller, id: &str) -> GateResult {
        let (number, job, _) = self.load_job(caller, id).await?;
        let chunks = self
            .load_chunks(&job)
            .await
            .map_err(|e| Failure::new(Code::STORE_DOWN, e.to_string()))?;
        let reports = self.query_owners(&job, |_| PeerRequest::JobStatus(number)).await;
        Ok(body::json(200, &Status::summarize(&job, &chunks, &reports)))
    }

    /// Loads the chunks of a job: the completed ones, and the open ones from the shards that they belong to.
    async fn load_chunks(&self, job: &Job) -> Result<Vec<Chunk>, StoreError> {
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

    /// Sends a request to each daemon that owns a shard of the job, once each, and collects the answers.
    async fn query_owners(
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
        let mut answers = Vec::new();
        for shard in owners.values() {
            if let Ok(PeerResponse::Json(json)) =
                route::call(&self.cx, shard, req(shard), CALL_TIMEOUT).await
            {
                answers.extend(
                    serde_json::from_slice::<Vec<serde_json::Value>>(&json).unwrap_or_default(),
                );
            }
        }
        answers
    }

    pub(in crate::gate) async fn explain(&self, caller: &Caller, id: &str) -> GateResult {
        let (number, job, _) = self.load_job(caller, id).await?;
        let mut reasons = self.query_owners(&job, |_| PeerRequest::Explain(number)).await;
        let chunks = self
            .load_chunks(&job)
            .await
            .map_err(|e| Failure::new(Code::STORE_DOWN, e.to_string()))?;
        for chunk in chunks.iter().filter(|c| !c.reason.is_empty()) {
            reasons.push(
                serde_json::json!({ "row": chunk.row, "reason": chunk.reason, "would_help": "" }),
            );
        }
        Ok(body::json(200, &reasons))
    }
}

/// The response to a status request.
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
    fn summarize(job: &Job, chunks: &[Chunk], reports: &[serde_json::Value]) -> Self {
        let sum = |field: &str| reports.iter().filter_map(|p| p.get(field)?.as_u64()).sum::<u64>();
        let ended = chunks.iter().map(|c| c.ended.count()).sum();
        let failed = chunks.iter().map(|c| c.failed.count()).sum();
        let complete = chunks.len() == job.chunks.len() && chunks.iter().all(Chunk::is_complete);
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
