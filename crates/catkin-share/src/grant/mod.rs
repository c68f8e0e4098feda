//! A limit of the whole cell, divided among shards as fractions whose sum is never above one.
//!
//! Fractions, not amounts, so that a changed limit binds a shard as soon as it has the new version of the table. A
//! shard that has no news keeps its last fraction. An increase is given only out of what was acknowledged as returned.

use catkin_types::ShardId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Parts of a limit. A whole limit is [`WHOLE`] parts.
pub type Parts = u32;
/// The number of parts of a whole limit.
pub const WHOLE: Parts = 1_000_000;

/// What one shard has of a limit, as the divider knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Holding {
    /// The most that the shard may believe it has.
    held: Parts,
    /// What it was told last.
    told: Parts,
    /// The number of the message that told it.
    seq: u64,
}

/// The message that tells a shard its part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The shard.
    pub shard: ShardId,
    /// Its part from now on.
    pub parts: Parts,
    /// The number of the message. A shard takes a higher number only, and acknowledges it.
    pub seq: u64,
}

/// Divides one limit. Written as it is to the durable row that shards read their parts from, so that whoever divides
/// next knows the most that each shard may believe.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Divider {
    shards: BTreeMap<ShardId, Holding>,
    seq: u64,
}

impl Divider {
    /// The most that all shards together may believe they have.
    #[must_use]
    pub fn held(&self) -> Parts {
        self.shards.values().map(|h| h.held).sum()
    }

    /// What a shard was told last.
    #[must_use]
    pub fn last_grant(&self, shard: &str) -> Option<Grant> {
        let h = self.shards.get(shard)?;
        Some(Grant { shard: shard.to_owned(), parts: h.told, seq: h.seq })
    }

    /// Whether nobody holds anything.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held() == 0
    }

    /// Aims at parts in proportion to `wanted`. Decreases are told at once, increases as far as parts are free.
    pub fn divide(&mut self, wanted: &BTreeMap<ShardId, f64>) -> Vec<Grant> {
        let desired = desired_parts(wanted);
        for shard in desired.keys() {
            self.shards.entry(shard.clone()).or_default();
        }
        let mut out = Vec::new();
        let mut free = WHOLE.saturating_sub(self.held());
        let shards: Vec<ShardId> = self.shards.keys().cloned().collect();
        for shard in shards {
            let goal = desired.get(&shard).copied().unwrap_or(0);
            let held = self.shards[&shard].held;
            let increase = goal.saturating_sub(held).min(free);
            free -= increase;
            out.extend(self.set_part(&shard, goal.min(held + increase)));
        }
        out
    }

    fn set_part(&mut self, shard: &ShardId, parts: Parts) -> Option<Grant> {
        let h = self.shards.get_mut(shard)?;
        if h.told == parts && h.held == parts {
            return None;
        }
        self.seq += 1;
        h.told = parts;
        h.held = h.held.max(parts);
        h.seq = self.seq;
        Some(Grant { shard: shard.clone(), parts, seq: self.seq })
    }

    /// Notes that the shard took the message of that number, and uses no more than it was told.
    pub fn acknowledge(&mut self, shard: &str, seq: u64) {
        if let Some(h) = self.shards.get_mut(shard).filter(|h| h.seq == seq) {
            h.held = h.told;
        }
    }
}

/// Parts in proportion to what is wanted. A shard that wants nothing gets nothing, so that small limits are not cut into
/// parts that hold no task.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the result is at most WHOLE"
)]
fn desired_parts(wanted: &BTreeMap<ShardId, f64>) -> BTreeMap<ShardId, Parts> {
    let sum: f64 = wanted.values().sum();
    let part = |w: f64| if sum > 0.0 { (w / sum * f64::from(WHOLE)).floor() as Parts } else { 0 };
    wanted.iter().map(|(s, w)| (s.clone(), part(*w))).collect()
}

/// What a shard holds of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardShare {
    parts: Parts,
    seq: u64,
}

impl ShardShare {
    /// Takes a message if it is newer. Returns the number to acknowledge.
    pub fn apply(&mut self, grant: &Grant) -> u64 {
        if grant.seq > self.seq {
            *self = Self { parts: grant.parts, seq: grant.seq };
        }
        self.seq
    }

    /// The number of the message that it was told by.
    #[must_use]
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The part.
    #[must_use]
    pub fn parts(&self) -> Parts {
        self.parts
    }

    /// The shard's part of a limit, rounded down.
    #[must_use]
    pub fn portion_of(&self, limit: u64) -> u64 {
        let part = u128::from(limit) * u128::from(self.parts) / u128::from(WHOLE);
        u64::try_from(part).unwrap_or(u64::MAX)
    }
}
