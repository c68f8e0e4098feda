//! Until when owners of earlier terms may act.
//!
//! Pure. The load that it answers is a series of takeovers: an owner holds the steps that an earlier one may have started
//! until none of them can act. The owner row carries how much time is left, and each owner counts it on its own clock, so
//! that no two clocks are compared.

use super::term::AUTONOMY_LIMIT;
use crate::table::OwnerRecord;
use catkin_schema::peer::Heartbeat;
use std::time::Duration;

/// Until when owners of earlier terms may act, on the clock of this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EarlierOwners {
    /// The end of the owner whose row was claimed.
    previous_until: Duration,
    /// The end of the owners before it.
    others_until: Duration,
}

impl EarlierOwners {
    /// Returns what is known from the row `previous`, read before `now`, when the daemon `own` sends a claim on the
    /// condition that the row has not changed. An owner that released the row acts no more, nor does an earlier process
    /// of the same daemon.
    #[must_use]
    pub fn new(previous: &OwnerRecord, own: &str, now: Duration) -> Self {
        let is_gone = previous.address.is_empty() || previous.daemon == own;
        let previous_left = if is_gone { Duration::ZERO } else { AUTONOMY_LIMIT };
        let others_left = Duration::from_millis(previous.earlier_owners_ms).min(AUTONOMY_LIMIT);
        Self { previous_until: now + previous_left, others_until: now + others_left }
    }

    /// Records what a daemon answered, to a call that was sent after the claim, at the address of the previous owner. That
    /// owner acts no more from `now` on if its daemon is another process by then. Returns whether it is.
    pub fn record_answer(
        &mut self,
        previous: &OwnerRecord,
        answer: &Heartbeat,
        now: Duration,
    ) -> bool {
        let is_gone =
            answer.daemon == previous.daemon && answer.incarnation != previous.incarnation;
        if is_gone {
            self.previous_until = self.previous_until.min(now);
        }
        is_gone
    }

    /// Returns the time from which no earlier owner acts.
    #[must_use]
    pub fn until(&self) -> Duration {
        self.previous_until.max(self.others_until)
    }

    /// Returns the time that is left at `now`, for the owner row, in whole milliseconds that are not too few.
    #[must_use]
    pub fn left_ms(&self, now: Duration) -> u64 {
        millis_left(self.until(), now)
    }
}

/// Returns the time that is left at `now` until `end`, in whole milliseconds that are not too few.
pub(super) fn millis_left(end: Duration, now: Duration) -> u64 {
    let left = end.saturating_sub(now);
    u64::try_from(left.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
