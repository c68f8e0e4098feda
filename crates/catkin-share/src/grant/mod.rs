//! Divides a limit of the whole cell among shards, as fractions whose sum never exceeds one.
//!
//! Fractions are used instead of amounts so that a changed limit applies to a shard as soon as it has the new version
//! of the table. A shard that gets no messages keeps its last fraction. A fraction is increased only out of what other
//! shards have acknowledged to have returned.

use catkin_types::ShardId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A fraction of a limit, in units of one [`WHOLE`]th.
pub type Parts = u32;
/// The number of parts that make up a whole limit.
pub const WHOLE: Parts = 1_000_000;

/// The divider's knowledge of the part that one shard has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Holding {
    /// The largest part that the shard may still use.
    held: Parts,
    /// The part in the last grant to the shard.
    told: Parts,
    /// The sequence number of that grant.
    seq: u64,
}

/// The message that sets the part of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The shard that the grant is for.
    pub shard: ShardId,
    /// The part that replaces the shard's former one.
    pub parts: Parts,
    /// The sequence number. A shard applies a grant only if its number is higher than all earlier ones, and
    /// acknowledges that number.
    pub seq: u64,
}

/// Divides one limit among shards. It is stored in the durable row from which shards read their parts, so that the next
/// divider knows the largest part that each shard may still use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Divider {
    shards: BTreeMap<ShardId, Holding>,
    seq: u64,
}

impl Divider {
    /// The sum of the parts that the shards may still use. Never above [`WHOLE`].
    #[must_use]
    pub fn held(&self) -> Parts {
        self.shards.values().map(|h| h.held).sum()
    }

    /// Returns the last grant to a shard.
    #[must_use]
    pub fn last_grant(&self, shard: &str) -> Option<Grant> {
        let h = self.shards.get(shard)?;
        Some(Grant { shard: shard.to_owned(), parts: h.told, seq: h.seq })
    }

    /// Whether no shard holds any part.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held() == 0
    }

    /// Divides the limit in proportion to `wanted` and returns the grants to send. Decreases are granted at once,
    /// increases only as far as parts are free.
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

    /// Records that the shard applied the grant with the number `seq` and uses no more than its part.
    pub fn acknowledge(&mut self, shard: &str, seq: u64) {
        if let Some(h) = self.shards.get_mut(shard).filter(|h| h.seq == seq) {
            h.held = h.told;
        }
    }
}

/// Returns parts in proportion to `wanted`. A shard without demand gets none, so that a small limit is not divided
/// into parts too small for any task.
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

/// The part of a limit that a shard may use, as the shard knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardShare {
    parts: Parts,
    seq: u64,
}

impl ShardShare {
    /// Applies a grant if it is newer than the last one. Returns the number to acknowledge.
    pub fn apply(&mut self, grant: &Grant) -> u64 {
        if grant.seq > self.seq {
            *self = Self { parts: grant.parts, seq: grant.seq };
        }
        self.seq
    }

    /// The sequence number of the last applied grant. Zero before the first.
    #[must_use]
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The part, out of [`WHOLE`].
    #[must_use]
    pub fn parts(&self) -> Parts {
        self.parts
    }

    /// Returns the shard's portion of a limit, rounded down.
    #[must_use]
    pub fn portion_of(&self, limit: u64) -> u64 {
        let part = u128::from(limit) * u128::from(self.parts) / u128::from(WHOLE);
        u64::try_from(part).unwrap_or(u64::MAX)
    }
}
