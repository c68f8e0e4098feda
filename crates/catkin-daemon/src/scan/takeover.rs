//! Begin and end of a term of a shard.

use super::{Scan, State};
use crate::cx::{DirectoryEntry, LocalOwner};
use crate::rows::{self, Member, Shard};
use crate::{owner, slots};
use catkin_lease::term::Term;
use catkin_store::hosts::{Host, Kind};
use catkin_store::{Error as StoreError, Txn};
use catkin_types::ShardId;
use ractor::Actor;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Upper bound on the compare-and-set of a shard's row.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound on the time that an owner takes to end its term.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

impl Scan {
    /// Begins a new term of the shard in `previous`. Does nothing without a previous row.
    pub(super) async fn take_over(
        &self,
        s: &mut State,
        id: &ShardId,
        previous: Option<&DirectoryEntry>,
    ) {
        let Some(template) = previous.map(|p| p.shard.clone()) else { return };
        let term = Term::successor(
            previous.map(|p| &p.shard.term),
            self.cx.id(),
            &self.cx.lease_options(),
        );
        let shard = Shard { term, ..template };
        let settle_after = previous.map(|p| p.shard.term.settle_delay(&self.cx.lease_options()));
        self.begin_term(s, id, shard, previous.map_or(0, |p| p.version), settle_after).await;
    }

    /// Writes the shard's row by compare-and-set on `version`, then starts the owner. Another daemon's write in between
    /// leaves the shard to that daemon.
    pub(super) async fn begin_term(
        &self,
        s: &mut State,
        id: &ShardId,
        shard: Shard,
        version: u64,
        settle_after: Option<Duration>,
    ) {
        let key = format!("shard/{id}");
        let txn = Txn::default().check(&key, version).put(&key, rows::to_json(&shard));
        let asked = self.cx.now();
        let version = match self.cx.store.commit(txn, COMMIT_TIMEOUT).await {
            Ok(version) => version,
            Err(StoreError::Conflict(_)) => return,
            Err(e) => {
                tracing::warn!("scan: cannot take over shard {id}: {e}");
                return;
            }
        };
        let now = self.cx.now();
        tracing::info!("scan: shard {id} taken over in term {}", shard.term.epoch);
        self.cx.metrics.count_takeover();
        let entry = DirectoryEntry { shard, version };
        self.cx.directory.send_modify(|d| {
            Arc::make_mut(d).insert(id.clone(), entry.clone());
        });
        let started = match entry.shard.kind {
            Kind::Worker => self.start_worker_owner(id, entry, (asked, now), settle_after).await,
            Kind::Executor => self.start_executor_owner(id, &entry).await,
        };
        match started {
            Ok((local, join)) => {
                self.cx.set_local_owner(id, Some(local));
                s.owner_handles.insert(id.clone(), join);
            }
            Err(e) => tracing::error!("scan: cannot start the owner of shard {id}: {e}"),
        }
    }

    async fn start_worker_owner(
        &self,
        id: &ShardId,
        entry: DirectoryEntry,
        times: (Duration, Duration),
        settle_after: Option<Duration>,
    ) -> Result<(LocalOwner, tokio::task::JoinHandle<()>), ractor::SpawnErr> {
        let start = owner::TermStart { shard: id.clone(), entry, times, settle_after };
        let (actor, join) =
            Actor::spawn(None, owner::WorkerOwner { cx: Arc::clone(&self.cx) }, start).await?;
        Ok((LocalOwner::Workers(actor), join))
    }

    async fn start_executor_owner(
        &self,
        id: &ShardId,
        entry: &DirectoryEntry,
    ) -> Result<(LocalOwner, tokio::task::JoinHandle<()>), ractor::SpawnErr> {
        let hosts = self.hosts_of(id).await.unwrap_or_default();
        let start = slots::TermStart { shard: id.clone(), epoch: entry.shard.term.epoch, hosts };
        let (actor, join) =
            Actor::spawn(None, slots::ExecutorOwner { cx: Arc::clone(&self.cx) }, start).await?;
        Ok((LocalOwner::Slots(actor), join))
    }

    /// Reads the hosts of a shard from its durable list.
    pub(super) async fn hosts_of(&self, id: &str) -> Result<Vec<Host>, StoreError> {
        let row = self.cx.store.row(&format!("hosts/{id}")).await?;
        let members = row.as_ref().and_then(rows::from_json::<Vec<Member>>).unwrap_or_default();
        Ok(members.into_iter().map(|m| m.host).collect())
    }

    /// Ends the term. The owner stops sending first, then the row is marked as released.
    pub(super) async fn release(&self, id: &ShardId, local: &LocalOwner) {
        let settled = match local {
            LocalOwner::Workers(actor) => {
                let (tx, rx) = oneshot::channel();
                let _ = actor.send_message(owner::Message::Release(tx));
                matches!(tokio::time::timeout(RELEASE_TIMEOUT, rx).await, Ok(Ok(true)))
            }
            LocalOwner::Slots(_) => true,
        };
        let directory = self.cx.directory.borrow().clone();
        let Some(entry) = directory.get(id).filter(|e| e.shard.term.owner == self.cx.id()) else {
            return;
        };
        let term = &entry.shard.term;
        let term = if settled {
            term.settle(&self.cx.lease_options()).release(true)
        } else {
            term.release(false)
        };
        let shard = Shard { term, ..entry.shard.clone() };
        let key = format!("shard/{id}");
        let txn = Txn::default().check(&key, entry.version).put(&key, rows::to_json(&shard));
        match self.cx.store.commit(txn, COMMIT_TIMEOUT).await {
            Ok(_) => tracing::info!("scan: shard {id} released"),
            Err(e) => tracing::warn!("scan: cannot write the release of shard {id}: {e}"),
        }
    }
}
