//! The durable row that says who owns a shard, and what a successor has to wait for.

use crate::Options;
use catkin_types::{DaemonId, Epoch};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The row of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Term {
    /// The owner.
    pub owner: DaemonId,
    /// The number of the term.
    pub epoch: Epoch,
    /// The owner has ended the term itself and sends nothing more.
    pub released: bool,
    /// How long an earlier holder may act without confirmation, in milliseconds: the largest that may still hold.
    pub autonomy_ms: u64,
    /// The lease length, in milliseconds: the largest that may still hold.
    pub length_ms: u64,
    /// Whether every worker of the shard was claimed, or waited out, in this or an earlier term.
    pub settled: bool,
}

impl Term {
    /// The row that `owner` writes in place of `previous`.
    #[must_use]
    pub fn successor(previous: Option<&Self>, owner: &str, opt: &Options) -> Self {
        let row = Self {
            owner: owner.to_owned(),
            epoch: previous.map_or(0, |p| p.epoch) + 1,
            released: false,
            autonomy_ms: ceil_millis(opt.autonomy),
            length_ms: ceil_millis(opt.length),
            settled: previous.is_none(),
        };
        match previous {
            // Bounds of holders before the previous one may still hold, so that they never shrink here.
            Some(p) => Self {
                autonomy_ms: row.autonomy_ms.max(p.autonomy_ms),
                length_ms: row.length_ms.max(p.length_ms),
                ..row
            },
            None => row,
        }
    }

    /// The row that the owner writes once it has claimed or waited out every worker: only its own bounds hold.
    #[must_use]
    pub fn settle(&self, opt: &Options) -> Self {
        let autonomy_ms = ceil_millis(opt.autonomy);
        let length_ms = ceil_millis(opt.length);
        Self { settled: true, autonomy_ms, length_ms, ..self.clone() }
    }

    /// The row with which the owner ends its term.
    #[must_use]
    pub fn release(&self, settled: bool) -> Self {
        Self { released: true, settled, ..self.clone() }
    }

    /// How long after its own compare-and-set a successor counts an unheard worker's tasks as running.
    #[must_use]
    pub fn settle_delay(&self, opt: &Options) -> Duration {
        let length = Duration::from_millis(self.length_ms);
        let autonomy = Duration::from_millis(self.autonomy_ms);
        if self.released && self.settled {
            return opt.with_drift_margin(length);
        }
        opt.with_drift_margin(opt.with_drift_margin(autonomy.saturating_add(length)))
    }
}

/// `d` in milliseconds, rounded up.
fn ceil_millis(d: Duration) -> u64 {
    u64::try_from(d.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
