//! Failure detection among daemons by direct probes. The heartbeats also carry table versions and aggregates of shards.

use crate::Cx;
use crate::cx::LocalOwner;
use crate::{limits, owner, slots};
use catkin_schema::peer::{Aggregate, Heartbeat, Request, Response};
use catkin_schema::settings::{Peer, Settings};
use catkin_types::{DaemonId, ShardId};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

/// The newest heartbeat of one daemon.
#[derive(Clone, Debug, Default)]
struct PeerState {
    last_beat: Option<Duration>,
    beat: Heartbeat,
}

/// The newest heartbeat of every daemon, from which liveness is derived.
#[derive(Debug)]
pub struct Liveness {
    own_id: DaemonId,
    suspect_after: Duration,
    own_region: String,
    regions: BTreeMap<DaemonId, String>,
    states: Mutex<BTreeMap<DaemonId, PeerState>>,
}

/// The maximum number of daemons of this region, and of all other regions together, that are probed in one round. With
/// more daemons, each is probed less often and its suspect timeout grows in proportion, so that the probe traffic stays
/// constant.
const MAX_PROBES_PER_ROUND: usize = 4;
/// Daemons of other regions are probed this many times less often, and their suspect timeout is as many times longer.
const OTHER_REGION_FACTOR: u32 = 4;

impl Liveness {
    /// Creates the state before any heartbeat.
    #[must_use]
    pub fn new(s: &Settings) -> Self {
        let regions = s.peers.iter().map(|p| (p.id.clone(), p.region.clone())).collect();
        Self {
            own_id: s.daemon.id.clone(),
            suspect_after: Duration::from_millis(s.shards.suspect_ms.get()),
            own_region: s.daemon.region.clone(),
            regions,
            states: Mutex::default(),
        }
    }

    /// Records a daemon's heartbeat, received at `now`.
    pub fn record_beat(&self, beat: Heartbeat, now: Duration) {
        let mut states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        states.insert(beat.daemon.clone(), PeerState { last_beat: Some(now), beat });
    }

    fn suspect_timeout(&self, id: &str) -> Duration {
        let region = self.regions.get(id).unwrap_or(&self.own_region);
        let near = *region == self.own_region;
        let group_size = self
            .regions
            .iter()
            .filter(|(p, r)| **p != self.own_id && (**r == self.own_region) == near)
            .count();
        let rounds = u32::try_from(group_size.div_ceil(MAX_PROBES_PER_ROUND)).unwrap_or(1).max(1);
        self.suspect_after * rounds * if near { 1 } else { OTHER_REGION_FACTOR }
    }

    /// Returns whether a heartbeat of the daemon was received within its suspect timeout. This daemon is always alive.
    #[must_use]
    pub fn alive(&self, id: &str, now: Duration) -> bool {
        if id == self.own_id {
            return true;
        }
        let states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        let last_beat = states.get(id).and_then(|h| h.last_beat);
        last_beat.is_some_and(|last_beat| now.saturating_sub(last_beat) < self.suspect_timeout(id))
    }

    /// Returns whether the daemon can own shards: it is alive and not draining.
    #[must_use]
    pub fn can_own_shards(&self, id: &str, now: Duration) -> bool {
        let states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        let draining = states.get(id).is_some_and(|h| h.beat.draining);
        drop(states);
        !draining && self.alive(id, now)
    }

    /// Returns the newest aggregate of a shard, by epoch. `None` if no daemon has reported one.
    #[must_use]
    pub fn aggregate(&self, shard: &str) -> Option<Aggregate> {
        let states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        let reported = states.values().flat_map(|h| &h.beat.shards);
        reported.filter(|a| a.shard == shard).max_by_key(|a| a.epoch).cloned()
    }

    /// Returns the daemon that claims the shard with the highest epoch in its heartbeat, and that epoch.
    #[must_use]
    pub fn claimed_owner(&self, shard: &str) -> Option<(DaemonId, u64)> {
        let states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        let claims = states.iter().flat_map(|(id, h)| h.beat.shards.iter().map(move |a| (id, a)));
        let newest = claims.filter(|(_, a)| a.shard == shard).max_by_key(|(_, a)| a.epoch);
        newest.map(|(id, a)| (id.clone(), a.epoch))
    }

    /// Returns, for each daemon that ever sent a heartbeat, its version of the table of weights and limits and whether
    /// it is alive.
    #[must_use]
    pub fn limits_versions(&self, now: Duration) -> Vec<(DaemonId, u64, bool)> {
        let states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        let reported: Vec<_> =
            states.iter().map(|(id, h)| (id.clone(), h.beat.limits_version)).collect();
        drop(states);
        reported.into_iter().map(|(id, v)| (id.clone(), v, self.alive(&id, now))).collect()
    }
}

/// Builds this daemon's own heartbeat.
pub async fn own_beat(cx: &Cx) -> Heartbeat {
    let mut shards = Vec::new();
    for (shard, local) in cx.local_owners() {
        shards.extend(aggregate(&shard, &local).await);
    }
    Heartbeat {
        daemon: cx.id().to_owned(),
        incarnation: cx.incarnation,
        limits_version: cx.limits.borrow().version(),
        draining: cx.draining(),
        shards,
        ..Heartbeat::default()
    }
}

/// The time in which a shard's owner has to return its aggregate; the heartbeat omits the shard otherwise.
const DESCRIBE_TIMEOUT: Duration = Duration::from_millis(200);

async fn aggregate(shard: &ShardId, local: &LocalOwner) -> Option<Aggregate> {
    let (tx, rx) = oneshot::channel();
    match local {
        LocalOwner::Workers(a) => a.send_message(owner::Message::Describe(tx)).ok()?,
        LocalOwner::Slots(a) => a.send_message(slots::Message::Describe(tx)).ok()?,
    }
    let mut aggregate = tokio::time::timeout(DESCRIBE_TIMEOUT, rx).await.ok()?.ok()?;
    aggregate.shard.clone_from(shard);
    Some(aggregate)
}

/// The actor that probes the peers.
pub struct Prober {
    /// The daemon's shared state.
    pub cx: Arc<Cx>,
}

/// Messages to the actor.
#[derive(Debug)]
pub enum Message {
    /// Starts a round of probes.
    Tick,
}

/// The state of the actor.
#[derive(Debug, Default)]
pub struct ProbeState {
    round_number: u32,
    probes: JoinSet<()>,
}

impl Actor for Prober {
    type Msg = Message;
    type State = ProbeState;
    type Arguments = ();

    async fn pre_start(
        &self,
        me: ActorRef<Message>,
        (): (),
    ) -> Result<ProbeState, ActorProcessingErr> {
        me.send_message(Message::Tick)?;
        Ok(ProbeState::default())
    }

    async fn handle(
        &self,
        me: ActorRef<Message>,
        Message::Tick: Message,
        state: &mut ProbeState,
    ) -> Result<(), ActorProcessingErr> {
        let period = Duration::from_millis(self.cx.settings.shards.beat_ms.get());
        while state.probes.try_join_next().is_some() {}
        let beat = own_beat(&self.cx).await;
        self.cx.liveness.record_beat(beat.clone(), self.cx.now());
        for peer in self.peers_to_probe(state.round_number) {
            let near = peer.region == self.cx.settings.daemon.region;
            let Ok(addr) = peer.peer_addr.parse() else { continue };
            let timeout = if near { period * 2 } else { period * 2 * OTHER_REGION_FACTOR };
            state.probes.spawn(probe(Arc::clone(&self.cx), addr, beat.clone(), timeout));
        }
        state.round_number = state.round_number.wrapping_add(1);
        me.send_after(period, || Message::Tick);
        Ok(())
    }

    async fn post_stop(
        &self,
        _: ActorRef<Message>,
        state: &mut ProbeState,
    ) -> Result<(), ActorProcessingErr> {
        state.probes.shutdown().await;
        Ok(())
    }
}

impl Prober {
    /// Returns the peers to probe in round `n`: a bounded number of this region's, round-robin, and in every
    /// [`OTHER_REGION_FACTOR`]th round also of the other regions'.
    fn peers_to_probe(&self, n: u32) -> Vec<&Peer> {
        let here = &self.cx.settings.daemon.region;
        let (near, far): (Vec<&Peer>, Vec<&Peer>) =
            self.cx.peers().partition(|p| p.region == *here);
        let mut due = round_robin(&near, n);
        if n.is_multiple_of(OTHER_REGION_FACTOR) {
            due.extend(round_robin(&far, n / OTHER_REGION_FACTOR));
        }
        due
    }
}

/// Returns the next [`MAX_PROBES_PER_ROUND`] peers of a list, so that all are selected equally often.
fn round_robin<'a>(peers: &[&'a Peer], n: u32) -> Vec<&'a Peer> {
    let count = peers.len().min(MAX_PROBES_PER_ROUND);
    let first = n as usize * MAX_PROBES_PER_ROUND;
    (0..count).map(|k| peers[(first + k) % peers.len()]).collect()
}

async fn probe(cx: Arc<Cx>, addr: SocketAddr, beat: Heartbeat, timeout: Duration) {
    let response = cx.calls.call(addr, Request::Heartbeat(beat), timeout).await;
    if let Ok(Response::Heartbeat(peer_beat)) = response {
        let newer = peer_beat.limits_version > cx.limits.borrow().version();
        cx.liveness.record_beat(peer_beat, cx.now());
        if newer {
            limits::pull(&cx, addr).await;
        }
    }
}
