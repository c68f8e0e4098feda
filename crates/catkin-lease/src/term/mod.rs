//! The durable row that names the owner of a shard, and how long its successor has to wait.

use crate::Options;
use catkin_types::{DaemonId, Epoch};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The row of a shard in the table. Owners replace it by compare-and-set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Term {
    /// The daemon that owns the shard in this term.
    pub owner: DaemonId,
    /// The number of the term. Each takeover raises it by 1; the first term has 1.
    pub epoch: Epoch,
    /// Whether the owner has ended the term itself. It sends nothing from then on.
    pub released: bool,
    /// How long an owner may act without confirmation, in milliseconds. The largest value of all owners that may still
    /// act.
    pub autonomy_ms: u64,
    /// The lease length, in milliseconds. The largest value of all leases that may still be valid.
    pub length_ms: u64,
    /// Whether every worker of the shard was claimed in this or an earlier term, or every older lease on it has
    /// certainly expired.
    pub settled: bool,
}

impl Term {
    /// Returns the row that `owner` writes to take over from `previous`. `None`: the shard has had no owner yet.
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
            // Owners before the previous one may still act within their larger bounds: the bounds never shrink here.
            Some(p) => Self {
                autonomy_ms: row.autonomy_ms.max(p.autonomy_ms),
                length_ms: row.length_ms.max(p.length_ms),
                ..row
            },
            None => row,
        }
    }

    /// Returns the row that the owner writes once it has claimed every worker, or older leases have expired. Only its
    /// own bounds apply from then on.
    #[must_use]
    pub fn settle(&self, opt: &Options) -> Self {
        let autonomy_ms = ceil_millis(opt.autonomy);
        let length_ms = ceil_millis(opt.length);
        Self { settled: true, autonomy_ms, length_ms, ..self.clone() }
    }

    /// Returns the row with which the owner ends its term.
    #[must_use]
    pub fn release(&self, settled: bool) -> Self {
        Self { released: true, settled, ..self.clone() }
    }

    /// Returns how long after its own compare-and-set a successor has to assume that a worker that has not answered
    /// still runs its tasks.
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

/// Returns `d` in milliseconds, rounded up.
fn ceil_millis(d: Duration) -> u64 {
    u64::try_from(d.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
