//! Limits of the whole cell, divided among shards.
//!
//! The shares of a limit are in a row of the table, which one daemon changes by compare-and-set and every owner reads.
//! An owner acknowledges a smaller share only once its use is within it; only then is the difference given to another
//! shard. So total use never exceeds the limit, even when daemons fail or are partitioned. An owner that receives no
//! update keeps its share.

use crate::Cx;
use crate::cx::LocalOwner;
use crate::rows::{self, Acks};
use crate::{owner, slots};
use catkin_share::grant::{Divider, Grant, ShardShare};
use catkin_store::{Row, Txn};
use catkin_types::{Row as LimitRow, RowName, ShardId};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Updates of one shard's shares, by row.
pub type ShareUpdates = BTreeMap<RowName, Grant>;

/// Returns whether a row has a limit that has to be divided among shards.
#[must_use]
pub fn has_limit(row: &LimitRow) -> bool {
    !row.limit.is_zero() || row.max_running > 0
}

/// One shard's shares of all limits, and the last acknowledged update of each.
#[derive(Debug, Default)]
pub struct LimitShares {
    shares: BTreeMap<RowName, ShardShare>,
    acked: BTreeMap<RowName, u64>,
}

impl LimitShares {
    /// Applies the updates that are newer than the current shares.
    pub fn apply(&mut self, updates: &ShareUpdates) {
        for (row, told) in updates {
            self.shares.entry(row.clone()).or_default().apply(told);
        }
    }

    /// Returns the shard's share of a limit of the row, in the unit of `limit`. 0 until a first update arrives.
    #[must_use]
    pub fn share_of(&self, row: &str, limit: u64) -> u64 {
        self.shares.get(row).map_or(0, |s| s.portion_of(limit))
    }

    /// Returns the sequence number to acknowledge: the current share's if use is within it, otherwise the last
    /// acknowledged one.
    pub fn ack_seq(&mut self, row: &RowName, within: bool) -> u64 {
        let acked = self.acked.entry(row.clone()).or_default();
        if let Some(share) = self.shares.get(row).filter(|_| within) {
            *acked = share.seq();
        }
        *acked
    }
}

/// The actor that passes shares to the owners in this daemon, writes their acknowledgements and divides limits.
pub struct Quota {
    /// The context that all parts of the daemon share.
    pub cx: Arc<Cx>,
}

/// Messages to the [`Quota`] actor.
#[derive(Debug)]
pub enum Message {
    /// Runs a round: reads the shares, updates the owners, writes acknowledgements and divides.
    Tick,
}

/// The acknowledgements that were written last, by shard.
#[derive(Debug, Default)]
pub struct State {
    acks: BTreeMap<ShardId, Acks>,
}

const ROUND_INTERVAL: Duration = Duration::from_secs(1);
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound on an owner's answer.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// A demand is written again once it has changed by more than this factor.
const WANT_CHANGE_FACTOR: f64 = 1.25;

impl Actor for Quota {
    type Msg = Message;
    type State = State;
    type Arguments = ();

    async fn pre_start(&self, me: ActorRef<Message>, (): ()) -> Result<State, ActorProcessingErr> {
        me.send_after(ROUND_INTERVAL, || Message::Tick);
        Ok(State::default())
    }

    async fn handle(
        &self,
        me: ActorRef<Message>,
        _: Message,
        s: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        if self.any_limited()
            && let Err(e) = self.round(s).await
        {
            tracing::debug!("quota: round failed, retrying in the next one: {e}");
        }
        me.send_after(ROUND_INTERVAL, || Message::Tick);
        Ok(())
    }
}

impl Quota {
    fn any_limited(&self) -> bool {
        self.cx.table().is_some_and(|t| t.rows().any(has_limit))
    }

    async fn round(&self, s: &mut State) -> Result<(), catkin_store::Error> {
        let quota = self.cx.store.rows("quota/").await?;
        let dividers: BTreeMap<RowName, (u64, Divider)> =
            quota.iter().filter_map(parse_divider).collect();
        for (shard, local) in self.cx.local_owners() {
            let told = |(row, (_, d)): (&RowName, &(u64, Divider))| {
                Some((row.clone(), d.last_grant(&shard)?))
            };
            let updates: ShareUpdates = dividers.iter().filter_map(told).collect();
            let Some(acks) = exchange_shares(&local, updates).await else { continue };
            self.write_acks(s, &shard, acks).await?;
        }
        if self.is_divider() {
            self.divide(dividers).await?;
        }
        Ok(())
    }

    async fn write_acks(
        &self,
        s: &mut State,
        shard: &ShardId,
        acks: Acks,
    ) -> Result<(), catkin_store::Error> {
        if s.acks.get(shard).is_some_and(|before| nearly_equal(before, &acks)) {
            return Ok(());
        }
        let txn = Txn::default().put(format!("quota-ack/{shard}"), rows::to_json(&acks));
        self.cx.store.commit(txn, COMMIT_TIMEOUT).await?;
        s.acks.insert(shard.clone(), acks);
        Ok(())
    }

    /// Returns whether this daemon divides the limits: it is the first live one by id. If two daemons both consider
    /// themselves first, compare-and-set keeps their writes from conflicting.
    fn is_divider(&self) -> bool {
        let now = self.cx.now();
        let before = self.cx.peers().filter(|p| p.id.as_str() < self.cx.id());
        !self.cx.draining()
            && !before.into_iter().any(|p| self.cx.liveness.can_own_shards(&p.id, now))
    }

    async fn divide(
        &self,
        mut dividers: BTreeMap<RowName, (u64, Divider)>,
    ) -> Result<(), catkin_store::Error> {
        let Some(table) = self.cx.table() else { return Ok(()) };
        let acks: BTreeMap<ShardId, Acks> =
            self.cx.store.rows("quota-ack/").await?.iter().filter_map(parse_acks).collect();
        let mut txn = Txn::default();
        for row in table.rows().filter(|r| has_limit(r)) {
            let (version, before) = dividers.remove(&row.name).unwrap_or_default();
            let mut divider = before.clone();
            let mut wanted = BTreeMap::new();
            for (shard, acks) in &acks {
                let Some(ack) = acks.get(&row.name) else { continue };
                divider.acknowledge(shard, ack.seq);
                wanted.insert(shard.clone(), ack.want);
            }
            divider.divide(&wanted);
            if divider != before {
                let key = format!("quota/{}", row.name);
                txn = txn.check(&key, version).put(key, rows::to_json(&divider));
            }
        }
        if !txn.puts.is_empty() {
            self.cx.store.commit(txn, COMMIT_TIMEOUT).await?;
        }
        Ok(())
    }
}

fn parse_divider(row: &Row) -> Option<(RowName, (u64, Divider))> {
    let name = row.key.strip_prefix("quota/")?.to_owned();
    Some((name, (row.version, rows::from_json(row)?)))
}

fn parse_acks(row: &Row) -> Option<(ShardId, Acks)> {
    Some((row.key.strip_prefix("quota-ack/")?.to_owned(), rows::from_json(row)?))
}

/// Returns whether the acknowledgements differ too little to be written again.
fn nearly_equal(a: &Acks, b: &Acks) -> bool {
    let near = |x: f64, y: f64| {
        let (small, large) = (x.min(y), x.max(y));
        large <= small * WANT_CHANGE_FACTOR
    };
    a.len() == b.len()
        && a.iter().zip(b).all(|((r, x), (s, y))| r == s && x.seq == y.seq && near(x.want, y.want))
}

/// Sends an owner its share updates. Returns its demand and acknowledgements, or `None` if it does not answer in time.
async fn exchange_shares(local: &LocalOwner, updates: ShareUpdates) -> Option<Acks> {
    let (tx, rx) = oneshot::channel();
    match local {
        LocalOwner::Workers(a) => a.send_message(owner::Message::UpdateShares(updates, tx)).ok()?,
        LocalOwner::Slots(a) => a.send_message(slots::Message::UpdateShares(updates, tx)).ok()?,
    }
    tokio::time::timeout(OWNER_TIMEOUT, rx).await.ok()?.ok()
}
