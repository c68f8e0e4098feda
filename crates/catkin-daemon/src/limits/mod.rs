//! Distribution of the table of weights and limits: polled from the table service, pushed to peers after an edit, and
//! pulled from peers while the table service is unavailable.

use crate::Cx;
use crate::rows::{self, Audit, LIMITS_KEY, LIMITS_VERSION_KEY};
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

/// The actor that polls the table service.
pub struct Poller {
    /// The daemon's shared state.
    pub cx: Arc<Cx>,
}

/// Messages to the actor.
#[derive(Debug)]
pub enum Message {
    /// Polls the version.
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
            tracing::debug!("limits: cannot read the table, retrying at the next poll: {e}");
        }
        let period = Duration::from_millis(self.cx.settings.limits.poll_ms.get());
        me.send_after(period, || Message::Tick);
        Ok(())
    }
}

impl Poller {
    /// Reads the version, and the whole table only if the version is newer.
    async fn poll(&self) -> Result<(), StoreError> {
        let row = self.cx.store.row(LIMITS_VERSION_KEY).await?;
        let version = row.and_then(|r| r.value.parse::<u64>().ok()).unwrap_or(0);
        if version <= self.cx.limits.borrow().version() {
            return Ok(());
        }
        if let Some(table) =
            self.cx.store.row(LIMITS_KEY).await?.as_ref().and_then(rows::from_json::<Table>)
        {
            install_if_newer(&self.cx, table);
        }
        Ok(())
    }
}

/// Installs a table if it is newer than the current one. Returns the version in force afterwards.
pub fn install_if_newer(cx: &Cx, table: Table) -> u64 {
    let version = table.version;
    let table = Arc::new(table);
    let newer = cx.limits.send_if_modified(|view| view.replace_if_newer(table));
    if newer {
        tracing::info!("limits: version {version} in force");
    }
    cx.limits.borrow().version()
}

/// Installs a table that a peer sent as JSON, if it is newer. Returns the version in force afterwards.
pub fn handle_push(cx: &Cx, json: &[u8]) -> u64 {
    match serde_json::from_slice(json) {
        Ok(table) => install_if_newer(cx, table),
        Err(e) => {
            tracing::error!("limits: cannot parse a table from a peer, ignoring it: {e}");
            cx.limits.borrow().version()
        }
    }
}

/// Returns the current table as JSON for a peer that has `version`. Empty if the current one is not newer.
#[must_use]
pub fn encode_if_newer(cx: &Cx, version: u64) -> Vec<u8> {
    let view = cx.limits.borrow();
    let newer = view.table().filter(|t| t.version > version);
    newer.map(|t| serde_json::to_vec(&**t).unwrap_or_default()).unwrap_or_default()
}

/// The timeout of a request for a peer's table.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Fetches and installs the table of a peer that has a newer one.
pub async fn pull(cx: &Cx, from: SocketAddr) {
    let current_version = cx.limits.borrow().version();
    let answer = cx.calls.call(from, Request::PullLimits(current_version), PULL_TIMEOUT).await;
    if let Ok(Response::Limits(json)) = answer
        && !json.is_empty()
    {
        handle_push(cx, &json);
    }
}

/// The result of an edit.
#[derive(Debug)]
pub enum Outcome {
    /// The edit is durable, and at least one daemon of every region has the new version.
    Accepted(Arc<Table>),
    /// The edit is durable, but these regions have not confirmed the new version yet.
    Stored(Arc<Table>, Vec<Region>),
    /// The edit was rejected; nothing changed.
    Refused(EditError),
    /// The table service is unavailable; nothing changed.
    StoreDown(String),
    /// The table service did not confirm the write, which may have been committed.
    CommitUnknown,
}

/// The maximum number of attempts to commit an edit. An attempt fails if another edit was committed in between.
const MAX_ATTEMPTS: usize = 8;

/// Commits an edit together with its audit entry, and replicates the new version to the peers.
pub async fn edit(cx: &Arc<Cx>, by: &str, edit: &Edit) -> Outcome {
    for _ in 0..MAX_ATTEMPTS {
        let row = match cx.store.row(LIMITS_KEY).await {
            Ok(row) => row,
            Err(e) => return Outcome::StoreDown(e.to_string()),
        };
        let version = row.as_ref().map_or(0, |r| r.version);
        let current = row.as_ref().and_then(rows::from_json::<Table>).unwrap_or_default();
        let next = match edit.apply(&current) {
            Ok(next) => next,
            Err(e) => return Outcome::Refused(e),
        };
        let audit = audit(by, edit, &current, &next);
        let txn = Txn::default()
            .check(LIMITS_KEY, version)
            .put(LIMITS_KEY, rows::to_json(&next))
            .put(LIMITS_VERSION_KEY, next.version.to_string())
            .put(audit.key(), rows::to_json(&audit));
        let write_timeout = Duration::from_millis(cx.settings.platform.timeout_ms.get());
        match cx.store.commit(txn, write_timeout * 2).await {
            Ok(_) => return replicate(cx, next).await,
            Err(StoreError::Conflict(_)) => {}
            Err(StoreError::Unknown) => return Outcome::CommitUnknown,
            Err(e) => return Outcome::StoreDown(e.to_string()),
        }
    }
    Outcome::StoreDown("too many edits at once".into())
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

/// Pushes a version to every peer, and waits until one peer in each region has confirmed it or `confirm_ms` is over.
async fn replicate(cx: &Arc<Cx>, table: Table) -> Outcome {
    let version = table.version;
    let json = serde_json::to_vec(&table).unwrap_or_default();
    let table = Arc::new(table);
    cx.limits.send_if_modified(|view| view.replace_if_newer(Arc::clone(&table)));
    let confirm_timeout = Duration::from_millis(cx.settings.limits.confirm_ms.get());
    let mut pending: BTreeSet<Region> =
        cx.settings.peers.iter().map(|p| p.region.clone()).collect();
    pending.remove(&cx.settings.daemon.region);
    let mut pushes = push(cx, &json, confirm_timeout);
    let confirmations = async {
        while let Some(done) = pushes.join_next().await {
            if let Ok((region, Some(peer_version))) = done
                && peer_version >= version
            {
                pending.remove(&region);
            }
            if pending.is_empty() {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(confirm_timeout, confirmations).await;
    // The remaining pushes finish in the background.
    cx.background_tasks.spawn(async move { while pushes.join_next().await.is_some() {} });
    if pending.is_empty() {
        return Outcome::Accepted(table);
    }
    Outcome::Stored(table, pending.into_iter().collect())
}

fn push(cx: &Arc<Cx>, json: &[u8], confirm_timeout: Duration) -> JoinSet<(Region, Option<u64>)> {
    let mut pushes = JoinSet::new();
    for peer in cx.peers() {
        let Ok(addr) = peer.peer_addr.parse() else { continue };
        let (cx, json, region) = (Arc::clone(cx), json.to_vec(), peer.region.clone());
        pushes.spawn(async move {
            match cx.calls.call(addr, Request::PushLimits(json), confirm_timeout).await {
                Ok(Response::Version(peer_version)) => (region, Some(peer_version)),
                _ => (region, None),
            }
        });
    }
    pushes
}

/// Returns the table version of each daemon, marked if the daemon is not alive.
#[must_use]
pub fn versions(cx: &Cx) -> BTreeMap<String, String> {
    let state =
        |v: u64, alive: bool| if alive { v.to_string() } else { format!("{v} (not heard lately)") };
    let reported = cx.liveness.limits_versions(cx.now()).into_iter();
    reported.map(|(id, v, alive)| (id, state(v, alive))).collect()
}
