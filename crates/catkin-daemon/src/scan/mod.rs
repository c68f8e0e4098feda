//! Ownership of shards: reads the directory, takes over shards without a live owner, hands shards over to their
//! preferred owner, and assigns new hosts to shards.

mod assign;
mod takeover;

use crate::cx::{DirectoryEntry, LocalOwner};
use crate::{Cx, owner, slots};
use catkin_schema::peer::Request;
use catkin_store::hosts::Host;
use catkin_types::ShardId;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Messages to the [`Scan`] actor.
#[derive(Debug)]
pub enum Message {
    /// Runs a scan round.
    Tick,
    /// Releases every shard. The answer is sent once a release was tried for each; a shard whose row could not be
    /// written stays unreleased in the table.
    ReleaseAll(oneshot::Sender<()>),
}

/// The actor that takes over, hands over and releases shards.
pub struct Scan {
    /// The context that all parts of the daemon share.
    pub cx: Arc<Cx>,
}

/// State of the [`Scan`] actor.
#[derive(Default)]
pub struct State {
    round: u32,
    owner_handles: BTreeMap<ShardId, JoinHandle<()>>,
    assignments: assign::Assignments,
    last_handover: Duration,
    released: bool,
    next: Option<JoinHandle<()>>,
}

/// Rows of shards of other regions are read once in this many rounds.
const ALL_REGIONS_ROUNDS: u32 = 8;
/// The host list is read once in this many rounds.
const HOST_LIST_ROUNDS: u32 = 3;
/// How long a daemon waits after its start for the first answers of its peers before it takes over any shard.
const STARTUP_DELAY: Duration = Duration::from_millis(300);
/// Upper bound on the notification of a peer that shards changed.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);
/// Shortest interval between two handovers of shards to their preferred owners.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(5);

impl Actor for Scan {
    type Msg = Message;
    type State = State;
    type Arguments = ();

    async fn pre_start(&self, me: ActorRef<Message>, (): ()) -> Result<State, ActorProcessingErr> {
        me.send_after(STARTUP_DELAY, || Message::Tick);
        Ok(State::default())
    }

    async fn handle(
        &self,
        me: ActorRef<Message>,
        msg: Message,
        s: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match msg {
            Message::Tick => {
                self.round(s).await;
                s.next = Some(self.schedule_tick(me));
            }
            Message::ReleaseAll(tx) => {
                s.released = true;
                for (shard, local) in self.cx.local_owners() {
                    self.release(&shard, &local).await;
                    self.stop(s, &shard, &local).await;
                }
                self.notify_peers().await;
                let _ = tx.send(());
            }
        }
        Ok(())
    }

    async fn post_stop(
        &self,
        _: ActorRef<Message>,
        s: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        if let Some(next) = s.next.take() {
            next.abort();
            let _ = next.await;
        }
        for (shard, local) in self.cx.local_owners() {
            self.stop(s, &shard, &local).await;
        }
        Ok(())
    }
}

impl Scan {
    /// Sends the next tick after the scan interval, or as soon as a peer reports that shards changed.
    fn schedule_tick(&self, me: ActorRef<Message>) -> JoinHandle<()> {
        let cx = Arc::clone(&self.cx);
        tokio::spawn(async move {
            let period = Duration::from_millis(cx.settings.shards.scan_ms.get());
            let _ = tokio::time::timeout(period, cx.scan_requested.notified()).await;
            let _ = me.send_message(Message::Tick);
        })
    }

    /// Notifies the region's other daemons that shards changed.
    async fn notify_peers(&self) {
        let here = &self.cx.settings.daemon.region;
        let near =
            self.cx.peers().filter(|p| p.region == *here).filter_map(|p| p.peer_addr.parse().ok());
        let calls =
            near.map(|addr| self.cx.calls.call(addr, Request::ShardsChanged, NOTIFY_TIMEOUT));
        futures::future::join_all(calls).await;
    }

    async fn round(&self, s: &mut State) {
        let all_regions = s.round.is_multiple_of(ALL_REGIONS_ROUNDS);
        s.round = s.round.wrapping_add(1);
        let asked = self.cx.now();
        let prefix = if all_regions {
            "shard/".to_owned()
        } else {
            format!("shard/{}/", self.cx.settings.daemon.region)
        };
        match self.cx.store.rows(&prefix).await {
            Ok(list) => self.read(s, &prefix, &list, asked).await,
            Err(e) => tracing::debug!(
                "scan: cannot read the rows of shards, retrying in the next round: {e}"
            ),
        }
        if s.round % HOST_LIST_ROUNDS == 1 {
            match self.read_hosts().await {
                Ok(hosts) => self.hosts(s, Arc::new(hosts)).await,
                Err(e) => tracing::debug!("scan: cannot read the host list: {e}"),
            }
        }
    }

    /// Reads the hosts of this region and of the regions without a live daemon.
    async fn read_hosts(&self) -> Result<Vec<Host>, catkin_store::Error> {
        let here = &self.cx.settings.daemon.region;
        let all: BTreeSet<&String> =
            self.cx.settings.peers.iter().map(|p| &p.region).chain([here]).collect();
        let mut hosts = Vec::new();
        for region in all.into_iter().filter(|r| *r == here || self.region_has_no_live_daemon(r)) {
            hosts.extend(self.cx.store.hosts(region).await?);
        }
        Ok(hosts)
    }

    /// Updates the directory with the rows of shards whose read was requested at `asked`, and reconciles each shard.
    async fn read(&self, s: &mut State, prefix: &str, list: &[catkin_store::Row], asked: Duration) {
        let directory = self.cx.replace_shards(prefix, list);
        for (id, entry) in
            directory.iter().filter(|(id, _)| format!("shard/{id}").starts_with(prefix))
        {
            self.reconcile_shard(s, id, entry, asked).await;
        }
    }

    async fn reconcile_shard(
        &self,
        s: &mut State,
        id: &ShardId,
        entry: &DirectoryEntry,
        asked: Duration,
    ) {
        let term = &entry.shard.term;
        let owned_here = term.owner == self.cx.id() && !term.released;
        match self.cx.local_owner(id) {
            Some(local) if owned_here => {
                if let LocalOwner::Workers(actor) = &local {
                    let _ = actor.send_message(owner::Message::Confirm(asked));
                }
                self.hand_over_if_due(s, id, entry, &local).await;
            }
            Some(local) => {
                tracing::warn!(
                    "scan: shard {id} is now owned by {}; stopping the owner in this daemon",
                    term.owner
                );
                if let LocalOwner::Workers(actor) = &local {
                    let _ = actor.send_message(owner::Message::Depose);
                }
                self.stop(s, id, &local).await;
            }
            None => {
                // A row that names this daemon, without an owner in this process, was written before the daemon
                // restarted.
                let without_owner = term.released
                    || owned_here
                    || !self.cx.liveness.alive(&term.owner, self.cx.now());
                if without_owner
                    && !s.released
                    && !self.cx.draining()
                    && self.preferred_owner(id, &entry.shard.region) == self.cx.id()
                {
                    self.take_over(s, id, Some(entry)).await;
                }
            }
        }
    }

    /// Returns the daemon that should own a shard, by rendezvous hashing: the highest hash of daemon and shard among
    /// the live daemons of the region, or of all regions if the region has none. Empty if no daemon can take shards.
    pub(crate) fn preferred_owner(&self, id: &str, region: &str) -> String {
        let now = self.cx.now();
        let me = std::iter::once((self.cx.id(), self.cx.settings.daemon.region.as_str()));
        let peers = self.cx.peers().map(|p| (p.id.as_str(), p.region.as_str()));
        let live: Vec<_> = me
            .filter(|_| !self.cx.draining())
            .chain(peers.filter(|(p, _)| self.cx.liveness.can_own_shards(p, now)))
            .collect();
        let near: Vec<_> = live.iter().filter(|(_, r)| *r == region).copied().collect();
        let candidates = if near.is_empty() { live } else { near };
        let best = candidates.into_iter().max_by_key(|(daemon, _)| rank(daemon, id));
        best.map(|(daemon, _)| daemon.to_owned()).unwrap_or_default()
    }

    /// Hands a shard over to its preferred owner, at most one per [`HANDOVER_INTERVAL`].
    async fn hand_over_if_due(
        &self,
        s: &mut State,
        id: &ShardId,
        entry: &DirectoryEntry,
        local: &LocalOwner,
    ) {
        let now = self.cx.now();
        if now.saturating_sub(s.last_handover) < HANDOVER_INTERVAL || self.cx.draining() {
            return;
        }
        let preferred = self.preferred_owner(id, &entry.shard.region);
        if preferred.is_empty() || preferred == self.cx.id() {
            return;
        }
        s.last_handover = now;
        tracing::info!("scan: handing shard {id} over to {preferred}");
        self.release(id, local).await;
        self.stop(s, id, local).await;
        self.notify_peers().await;
    }

    async fn stop(&self, s: &mut State, id: &ShardId, local: &LocalOwner) {
        self.cx.set_local_owner(id, None);
        match local {
            LocalOwner::Workers(actor) => actor.stop(None),
            LocalOwner::Slots(actor) => actor.stop(None),
        }
        if let Some(join) = s.owner_handles.remove(id) {
            let _ = join.await;
        }
    }

    async fn hosts(&self, s: &mut State, hosts: Arc<Vec<Host>>) {
        self.assign(s, &hosts).await;
        for (shard, local) in self.cx.local_owners() {
            match local {
                LocalOwner::Workers(actor) => {
                    drop(actor.send_message(owner::Message::Hosts(Arc::clone(&hosts))));
                }
                LocalOwner::Slots(actor) => {
                    let own = s.assignments.hosts_of_shard(&shard);
                    drop(actor.send_message(slots::Message::Hosts(Arc::clone(&hosts), own)));
                }
            }
        }
    }
}

fn rank(daemon: &str, shard: &str) -> [u8; 32] {
    let mut h = Sha256::new();
    h.update(daemon.as_bytes());
    h.update([0]);
    h.update(shard.as_bytes());
    h.finalize().into()
}
