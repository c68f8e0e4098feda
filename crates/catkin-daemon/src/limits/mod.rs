//! The table of weights and limits: read from the table service, pushed to peers, pulled from them in an outage.

use crate::Cx;
use crate::rows::{self, Audit, LIMITS, LIMITS_VERSION};
use catkin_limits::{Change, Edit, Error as EditError, Table};
use catkin_schema::peer::{Request, Response};
use catkin_store::{Error as StoreError, Txn};
use catkin_types::Region;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Polls the table service.
pub struct Poller {
    /// The shared part.
    pub cx: Arc<Cx>,
}

/// What the actor is told.
#[derive(Debug)]
pub enum Message {
    /// It is time to read.
    Tick,
}

impl Actor for Poller {
    type Msg = Message;
    type State = ();
    type Arguments = ();

    async fn pre_start(&self, me: ActorRef<Message>, (): ()) -> Result<(), ActorProcessingErr> {
        me.send_message(Message::Tick)?;
        Ok(())
    }

    async fn handle(
        &self,
        me: ActorRef<Message>,
        _: Message,
        (): &mut (),
    ) -> Result<(), ActorProcessingErr> {
        if let Err(e) = self.poll().await {
            tracing::debug!("limits: read failed: {e}");
        }
        let period = Duration::from_millis(self.cx.settings.limits.poll_ms.get());
        me.send_after(period, || Message::Tick);
        Ok(())
    }
}

impl Poller {
    /// Reads the version, and the whole table only if that is newer.
    async fn poll(&self) -> Result<(), StoreError> {
        let row = self.cx.store.row(LIMITS_VERSION).await?;
        let version = row.and_then(|r| r.value.parse::<u64>().ok()).unwrap_or(0);
        if version <= self.cx.limits.borrow().version() {
            return Ok(());
        }
        if let Some(table) =
            self.cx.store.row(LIMITS).await?.as_ref().and_then(rows::from_json::<Table>)
        {
            offer(&self.cx, table);
        }
        Ok(())
    }
}

/// Takes a version if it is newer than the one in force. Returns the version in force.
pub fn offer(cx: &Cx, table: Table) -> u64 {
    let version = table.version;
    let table = Arc::new(table);
    let newer = cx.limits.send_if_modified(|view| view.offer(table));
    if newer {
        tracing::info!("limits: version {version} in force");
    }
    cx.limits.borrow().version()
}

/// Takes a version that a peer pushed.
pub fn pushed(cx: &Cx, json: &[u8]) -> u64 {
    match serde_json::from_slice(json) {
        Ok(table) => offer(cx, table),
        Err(e) => {
            tracing::error!("limits: a pushed table can't be read: {e}");
            cx.limits.borrow().version()
        }
    }
}

/// The table for a peer that has `version`: empty if there is nothing newer.
#[must_use]
pub fn newer_than(cx: &Cx, version: u64) -> Vec<u8> {
    let view = cx.limits.borrow();
    let newer = view.table().filter(|t| t.version > version);
    newer.map(|t| serde_json::to_vec(&**t).unwrap_or_default()).unwrap_or_default()
}

const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Fetches the table of a peer that has a newer one.
pub async fn pull(cx: &Cx, from: SocketAddr) {
    let have = cx.limits.borrow().version();
    let answer = cx.calls.call(from, Request::PullLimits(have), PULL_TIMEOUT).await;
    if let Ok(Response::Limits(json)) = answer
        && !json.is_empty()
    {
        pushed(cx, &json);
    }
}

/// What became of an edit.
#[derive(Debug)]
pub enum Outcome {
    /// Durable, and a daemon of every region has it.
    Accepted(Arc<Table>),
    /// Durable. These regions have not confirmed it.
    Stored(Arc<Table>, Vec<Region>),
    /// Nothing changed.
    Refused(EditError),
    /// Nothing changed: the table service does not answer.
    Down(String),
    /// It may have been accepted.
    Unknown,
}

/// How often an edit is tried again after other operators' edits of other rows came in between.
const MAX_TRIES: usize = 8;

/// Makes an edit durable, together with its entry in the audit trail, and spreads it.
pub async fn edit(cx: &Arc<Cx>, by: &str, edit: &Edit) -> Outcome {
    for _ in 0..MAX_TRIES {
        let row = match cx.store.row(LIMITS).await {
            Ok(row) => row,
            Err(e) => return Outcome::Down(e.to_string()),
        };
        let version = row.as_ref().map_or(0, |r| r.version);
        let current = row.as_ref().and_then(rows::from_json::<Table>).unwrap_or_default();
        let next = match edit.apply(&current) {
            Ok(next) => next,
            Err(e) => return Outcome::Refused(e),
        };
        let audit = audit(by, edit, &current, &next);
        let txn = Txn::default()
            .check(LIMITS, version)
            .put(LIMITS, rows::to_json(&next))
            .put(LIMITS_VERSION, next.version.to_string())
            .put(audit.key(), rows::to_json(&audit));
        let patience = Duration::from_millis(cx.settings.platform.timeout_ms.get());
        match cx.store.commit(txn, patience * 2).await {
            Ok(_) => return spread(cx, next).await,
            Err(StoreError::Conflict(_)) => {}
            Err(StoreError::Unknown) => return Outcome::Unknown,
            Err(e) => return Outcome::Down(e.to_string()),
        }
    }
    Outcome::Down("too many edits at once".into())
}

fn audit(by: &str, edit: &Edit, current: &Table, next: &Table) -> Audit {
    let old = |c: &Change| Change { name: c.name.clone(), row: current.get(&c.name).cloned() };
    Audit {
        by: by.to_owned(),
        at_ms: rows::wall_clock_ms(),
        action: "limits edit".into(),
        from_version: current.version,
        to_version: next.version,
        old: edit.changes.iter().map(old).collect(),
        new: edit.changes.clone(),
        subject: String::new(),
    }
}

/// Pushes a version to every peer, and waits for one in each region.
async fn spread(cx: &Arc<Cx>, table: Table) -> Outcome {
    let version = table.version;
    let json = serde_json::to_vec(&table).unwrap_or_default();
    let table = Arc::new(table);
    cx.limits.send_if_modified(|view| view.offer(Arc::clone(&table)));
    let patience = Duration::from_millis(cx.settings.limits.confirm_ms.get());
    let mut pending: BTreeSet<Region> =
        cx.settings.peers.iter().map(|p| p.region.clone()).collect();
    pending.remove(&cx.settings.daemon.region);
    let mut pushes = push(cx, &json, patience);
    let all = async {
        while let Some(done) = pushes.join_next().await {
            if let Ok((region, Some(has))) = done
                && has >= version
            {
                pending.remove(&region);
            }
            if pending.is_empty() {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(patience, all).await;
    // The rest of the pushes go on without anybody waiting for them.
    cx.tasks.spawn(async move { while pushes.join_next().await.is_some() {} });
    if pending.is_empty() {
        return Outcome::Accepted(table);
    }
    Outcome::Stored(table, pending.into_iter().collect())
}

fn push(cx: &Arc<Cx>, json: &[u8], patience: Duration) -> JoinSet<(Region, Option<u64>)> {
    let mut pushes = JoinSet::new();
    for peer in cx.peers() {
        let Ok(addr) = peer.peer_addr.parse() else { continue };
        let (cx, json, region) = (Arc::clone(cx), json.to_vec(), peer.region.clone());
        pushes.spawn(async move {
            match cx.calls.call(addr, Request::PushLimits(json), patience).await {
                Ok(Response::Version(has)) => (region, Some(has)),
                _ => (region, None),
            }
        });
    }
    pushes
}

/// Which daemons have which version.
#[must_use]
pub fn versions(cx: &Cx) -> BTreeMap<String, String> {
    let state =
        |v: u64, alive: bool| if alive { v.to_string() } else { format!("{v} (not heard lately)") };
    let all = cx.live.versions(cx.now()).into_iter();
    all.map(|(id, v, alive)| (id, state(v, alive))).collect()
}
