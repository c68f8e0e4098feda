//! Cancellation of jobs.

use super::WRITE_TIMEOUT;
use crate::gate::{Caller, Failure, Gate, GateResult};
use crate::rows::{self, Audit, Job};
use catkin_http::body;
use catkin_schema::peer::Request as PeerRequest;
use catkin_store::{Error as StoreError, Txn};
use catkin_types::{Code, ShardId};
use hyper::Request;
use hyper::body::Incoming;
use std::collections::BTreeSet;

impl Gate {
    pub(in crate::gate) async fn cancel(
        &self,
        req: Request<Incoming>,
        caller: &Caller,
        id: &str,
    ) -> GateResult {
        let jobs: Vec<String> = self.read_json_body(req).await?;
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
        let (number, job, version) = self.load_job(caller, id).await?;
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
        self.cx.store.commit(txn, WRITE_TIMEOUT).await.map_err(|e| match e {
            StoreError::Unknown => Failure::from_code(Code::STORE_UNKNOWN),
            StoreError::Conflict(_) => Failure::from_code(Code::CONFLICT),
            e => Failure::new(Code::STORE_DOWN, e.to_string()),
        })?;
        for shard in shards {
            let req = PeerRequest::Cancel { shard: shard.clone(), jobs: vec![number] };
            self.notify_owner(shard, req);
        }
        Ok(())
    }
}
