//! Which daemons are alive: direct probes, which also carry versions and aggregates of shards.

use crate::Cx;
use crate::cx::Local;
use crate::{limits, owner, slots};
use catkin_schema::peer::{Aggregate, Beat, Request, Response};
use catkin_schema::settings::{Peer, Settings};
use catkin_types::{DaemonId, ShardId};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

/// What was heard of one daemon.
#[derive(Clone, Debug, Default)]
struct Heard {
    at: Option<Duration>,
    beat: Beat,
}

/// What was heard of every daemon.
#[derive(Debug)]
pub struct Live {
    me: DaemonId,
    suspect: Duration,
    region: String,
    regions: BTreeMap<DaemonId, String>,
    heard: Mutex<BTreeMap<DaemonId, Heard>>,
}

/// How many daemons of the region, and of the others, are probed in one round. With more, a daemon's turn comes more
/// rarely and patience with it grows as much, so that the bytes stay the same.
const MAX_PROBES: usize = 4;
/// Probes of other regions are this many times rarer, and patience with them as much longer.
const FAR_FACTOR: u32 = 4;

impl Live {
    /// Nothing heard so far.
    #[must_use]
    pub fn new(s: &Settings) -> Self {
        let regions = s.peers.iter().map(|p| (p.id.clone(), p.region.clone())).collect();
        Self {
            me: s.daemon.id.clone(),
            suspect: Duration::from_millis(s.shards.suspect_ms.get()),
            region: s.daemon.region.clone(),
            regions,
            heard: Mutex::default(),
        }
    }

    /// Notes what a daemon said of itself at `now`.
    pub fn heard(&self, beat: Beat, now: Duration) {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.insert(beat.daemon.clone(), Heard { at: Some(now), beat });
    }

    fn patience(&self, id: &str) -> Duration {
        let region = self.regions.get(id).unwrap_or(&self.region);
        let near = *region == self.region;
        let among = self
            .regions
            .iter()
            .filter(|(p, r)| **p != self.me && (**r == self.region) == near)
            .count();
        let rounds = u32::try_from(among.div_ceil(MAX_PROBES)).unwrap_or(1).max(1);
        self.suspect * rounds * if near { 1 } else { FAR_FACTOR }
    }

    /// Whether the daemon was heard lately.
    #[must_use]
    pub fn alive(&self, id: &str, now: Duration) -> bool {
        if id == self.me {
            return true;
        }
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let at = heard.get(id).and_then(|h| h.at);
        at.is_some_and(|at| now.saturating_sub(at) < self.patience(id))
    }

    /// Whether the daemon can take shards: it was heard lately and is not stopping.
    #[must_use]
    pub fn takes_shards(&self, id: &str, now: Duration) -> bool {
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let draining = heard.get(id).is_some_and(|h| h.beat.draining);
        drop(heard);
        !draining && self.alive(id, now)
    }

    /// What the owner of a shard said of it last.
    #[must_use]
    pub fn aggregate(&self, shard: &str) -> Option<Aggregate> {
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let all = heard.values().flat_map(|h| &h.beat.shards);
        all.filter(|a| a.shard == shard).max_by_key(|a| a.epoch).cloned()
    }

    /// Who said last, with the highest epoch, that it owns the shard.
    #[must_use]
    pub fn owner(&self, shard: &str) -> Option<(DaemonId, u64)> {
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let claims = heard.iter().flat_map(|(id, h)| h.beat.shards.iter().map(move |a| (id, a)));
        let own = claims.filter(|(_, a)| a.shard == shard).max_by_key(|(_, a)| a.epoch);
        own.map(|(id, a)| (id.clone(), a.epoch))
    }

    /// The version of the table of weights and limits of each daemon that was ever heard, and whether it is alive.
    #[must_use]
    pub fn versions(&self, now: Duration) -> Vec<(DaemonId, u64, bool)> {
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let all: Vec<_> = heard.iter().map(|(id, h)| (id.clone(), h.beat.limits_version)).collect();
        drop(heard);
        all.into_iter().map(|(id, v)| (id.clone(), v, self.alive(&id, now))).collect()
    }
}

/// What this daemon says of itself.
pub async fn own_beat(cx: &Cx) -> Beat {
    let mut shards = Vec::new();
    for (shard, local) in cx.locals() {
        shards.extend(aggregate(&shard, &local).await);
    }
    Beat {
        daemon: cx.id().to_owned(),
        incarnation: cx.incarnation,
        limits_version: cx.limits.borrow().version(),
        draining: cx.draining(),
        shards,
        ..Beat::default()
    }
}

/// How long an owner may take to describe its shard.
const DESCRIBE: Duration = Duration::from_millis(200);

async fn aggregate(shard: &ShardId, local: &Local) -> Option<Aggregate> {
    let (tx, rx) = oneshot::channel();
    match local {
        Local::Workers(a) => a.send_message(owner::Message::Describe(tx)).ok()?,
        Local::Slots(a) => a.send_message(slots::Message::Describe(tx)).ok()?,
    }
    let mut aggregate = tokio::time::timeout(DESCRIBE, rx).await.ok()?.ok()?;
    aggregate.shard.clone_from(shard);
    Some(aggregate)
}

/// Probes the peers.
pub struct Beats {
    /// The shared part.
    pub cx: Arc<Cx>,
}

/// What the actor is told.
#[derive(Debug)]
pub enum Message {
    /// It is time to probe.
    Tick,
}

/// Where the actor is.
#[derive(Debug, Default)]
pub struct Round {
    n: u32,
    probes: JoinSet<()>,
}

impl Actor for Beats {
    type Msg = Message;
    type State = Round;
    type Arguments = ();

    async fn pre_start(&self, me: ActorRef<Message>, (): ()) -> Result<Round, ActorProcessingErr> {
        me.send_message(Message::Tick)?;
        Ok(Round::default())
    }

    async fn handle(
        &self,
        me: ActorRef<Message>,
        Message::Tick: Message,
        round: &mut Round,
    ) -> Result<(), ActorProcessingErr> {
        let period = Duration::from_millis(self.cx.settings.shards.beat_ms.get());
        while round.probes.try_join_next().is_some() {}
        let beat = own_beat(&self.cx).await;
        self.cx.live.heard(beat.clone(), self.cx.now());
        for peer in self.due(round.n) {
            let near = peer.region == self.cx.settings.daemon.region;
            let Ok(addr) = peer.peer_addr.parse() else { continue };
            let timeout = if near { period * 2 } else { period * 2 * FAR_FACTOR };
            round.probes.spawn(probe(Arc::clone(&self.cx), addr, beat.clone(), timeout));
        }
        round.n = round.n.wrapping_add(1);
        me.send_after(period, || Message::Tick);
        Ok(())
    }

    async fn post_stop(
        &self,
        _: ActorRef<Message>,
        round: &mut Round,
    ) -> Result<(), ActorProcessingErr> {
        round.probes.shutdown().await;
        Ok(())
    }
}

impl Beats {
    /// The peers to probe in a round: a bounded number of the region's, in turn, and now and then of the others.
    fn due(&self, n: u32) -> Vec<&Peer> {
        let here = &self.cx.settings.daemon.region;
        let (near, far): (Vec<&Peer>, Vec<&Peer>) =
            self.cx.peers().partition(|p| p.region == *here);
        let mut due = in_turn(&near, n);
        if n.is_multiple_of(FAR_FACTOR) {
            due.extend(in_turn(&far, n / FAR_FACTOR));
        }
        due
    }
}

/// The next few of a list, so that all of it comes up in equal turns.
fn in_turn<'a>(peers: &[&'a Peer], n: u32) -> Vec<&'a Peer> {
    let count = peers.len().min(MAX_PROBES);
    let first = n as usize * MAX_PROBES;
    (0..count).map(|k| peers[(first + k) % peers.len()]).collect()
}

async fn probe(cx: Arc<Cx>, addr: SocketAddr, beat: Beat, timeout: Duration) {
    let answer = cx.calls.call(addr, Request::Beat(beat), timeout).await;
    if let Ok(Response::Beat(theirs)) = answer {
        let newer = theirs.limits_version > cx.limits.borrow().version();
        cx.live.heard(theirs, cx.now());
        if newer {
            limits::pull(&cx, addr).await;
        }
    }
}
