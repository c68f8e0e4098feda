//! Endpoints for operators and for the platform's load balancer.

use super::{Caller, Failure, Gate, GateResult, jobs};
use crate::{Cx, route};
use catkin_http::{Body, body};
use catkin_schema::peer::{Request as PeerRequest, Response as PeerResponse};
use catkin_store::hosts::Kind;
use catkin_types::Code;
use hyper::Response;
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reports whether the load balancer may send requests to this daemon.
pub(super) fn ready(cx: &Cx) -> Response<Body> {
    if cx.draining() {
        return body::text(503, "draining\n");
    }
    if cx.table().is_none() {
        return body::text(503, "no table of weights and limits\n");
    }
    // Required only until the daemon is ready for the first time: a later change of a shard's owner is no reason to
    // send requests elsewhere.
    if !cx.was_ready() && !jobs::any_workers_reported(cx) {
        return body::text(503, "no shards\n");
    }
    cx.set_ready();
    body::text(200, "ready\n")
}

#[derive(Serialize)]
struct ShardLine {
    shard: String,
    owner: String,
    epoch: u64,
    released: bool,
    settled: bool,
    alive: bool,
    free: catkin_types::Resources,
    waiting: u64,
}

impl Gate {
    pub(super) fn shards(&self, caller: &Caller) -> GateResult {
        caller.require_operator()?;
        let now = self.cx.now();
        let directory = self.cx.directory.borrow().clone();
        let line = |(id, entry): (&String, &crate::cx::DirectoryEntry)| {
            let reported = self.cx.liveness.aggregate(id).unwrap_or_default();
            ShardLine {
                shard: id.clone(),
                owner: entry.shard.term.owner.clone(),
                epoch: entry.shard.term.epoch,
                released: entry.shard.term.released,
                settled: entry.shard.term.settled,
                alive: self.cx.liveness.alive(&entry.shard.term.owner, now),
                free: reported.free,
                waiting: reported.waiting,
            }
        };
        let lines: Vec<ShardLine> = directory.iter().map(line).collect();
        Ok(body::json(200, &lines))
    }

    pub(super) async fn workers(&self, caller: &Caller) -> GateResult {
        caller.require_operator()?;
        let directory = self.cx.directory.borrow().clone();
        let mut answers: Vec<serde_json::Value> = Vec::new();
        for (shard, _) in directory.iter().filter(|(_, entry)| entry.shard.kind == Kind::Worker) {
            let req = PeerRequest::Workers(shard.clone());
            if let Ok(PeerResponse::Json(json)) =
                route::call(&self.cx, shard, req, CALL_TIMEOUT).await
            {
                answers.extend(
                    serde_json::from_slice::<Vec<serde_json::Value>>(&json).unwrap_or_default(),
                );
            }
        }
        Ok(body::json(200, &answers))
    }

    pub(super) async fn hosts(&self, caller: &Caller) -> GateResult {
        caller.require_operator()?;
        let regions = self.cx.settings.peers.iter().map(|p| &p.region).chain([&self
            .cx
            .settings
            .daemon
            .region]);
        let regions: BTreeSet<&String> = regions.collect();
        let mut hosts = Vec::new();
        for region in regions {
            let list = self.cx.store.hosts(region).await;
            hosts.extend(list.map_err(|e| Failure::new(Code::STORE_DOWN, e.to_string()))?);
        }
        Ok(body::json(200, &hosts))
    }

    /// Marks the daemon as draining, so that the load balancer and peers stop sending it work. Work in progress
    /// continues.
    pub(super) fn drain(&self, caller: &Caller) -> GateResult {
        caller.require_operator()?;
        tracing::info!("drain: requested by {}", caller.name);
        self.cx.drain();
        Ok(body::text(202, "draining\n"))
    }
}
