//! Pages for operators and for the platform's balancer.

use super::{Answered, Caller, Failure, Gate, jobs};
use crate::{Cx, route};
use catkin_http::{Body, body};
use catkin_schema::peer::{Request as PeerRequest, Response as PeerResponse};
use catkin_store::hosts::Kind;
use catkin_types::Code;
use hyper::Response;
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Duration;

const CALL: Duration = Duration::from_secs(1);

/// Whether the balancer may send requests here.
pub(super) fn ready(cx: &Cx) -> Response<Body> {
    if cx.draining() {
        return body::text(503, "draining\n");
    }
    if cx.table().is_none() {
        return body::text(503, "no table of weights and limits\n");
    }
    // Once only: later a shard that changes owners is no reason to send requests elsewhere.
    if !cx.was_ready() && !jobs::workers_known(cx) {
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
    pub(super) fn shards(&self, caller: &Caller) -> Answered {
        caller.need_operator()?;
        let now = self.cx.now();
        let directory = self.cx.directory.borrow().clone();
        let line = |(id, e): (&String, &crate::cx::Entry)| {
            let a = self.cx.live.aggregate(id).unwrap_or_default();
            ShardLine {
                shard: id.clone(),
                owner: e.shard.term.owner.clone(),
                epoch: e.shard.term.epoch,
                released: e.shard.term.released,
                settled: e.shard.term.settled,
                alive: self.cx.live.alive(&e.shard.term.owner, now),
                free: a.free,
                waiting: a.waiting,
            }
        };
        let lines: Vec<ShardLine> = directory.iter().map(line).collect();
        Ok(body::json(200, &lines))
    }

    pub(super) async fn workers(&self, caller: &Caller) -> Answered {
        caller.need_operator()?;
        let directory = self.cx.directory.borrow().clone();
        let mut out: Vec<serde_json::Value> = Vec::new();
        for (shard, _) in directory.iter().filter(|(_, e)| e.shard.kind == Kind::Worker) {
            let req = PeerRequest::Workers(shard.clone());
            if let Ok(PeerResponse::Text(json)) = route::call(&self.cx, shard, req, CALL).await {
                out.extend(
                    serde_json::from_slice::<Vec<serde_json::Value>>(&json).unwrap_or_default(),
                );
            }
        }
        Ok(body::json(200, &out))
    }

    pub(super) async fn hosts(&self, caller: &Caller) -> Answered {
        caller.need_operator()?;
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

    /// Takes the daemon out of the balancer's and its peers' sight. It goes on with what it has.
    pub(super) fn drain(&self, caller: &Caller) -> Answered {
        caller.need_operator()?;
        tracing::info!("drain: asked for by {}", caller.name);
        self.cx.drain();
        Ok(body::text(202, "draining\n"))
    }
}
