//! The term of this daemon as the owner of the cell.
//!
//! Pure. Times are those of [`crate::cx::Cx::now`].

use super::earlier::EarlierOwners;
use catkin_types::Epoch;
use std::time::Duration;

/// How long an owner continues without an answer of the table service.
pub const AUTONOMY_LIMIT: Duration = Duration::from_secs(10);

/// The term of this daemon as the owner of the cell.
#[derive(Clone, Copy, Debug)]
pub struct Term {
    /// The number of the term.
    pub epoch: Epoch,
    /// When the table service last confirmed a write of this term.
    pub confirmed_at: Duration,
    /// When the last write of the owner row that is known to have taken effect was sent. A successor reads this write or
    /// a later one, so it knows that this owner acts for [`AUTONOMY_LIMIT`] from its own claim at most.
    pub renewed_at: Duration,
    /// The number of renewals that failed at once, in a row.
    pub fast_failures: u32,
    /// Until when owners of earlier terms may act.
    pub earlier: EarlierOwners,
    /// The newest version of the silent workers that the owner row is known to name.
    pub silent_version: u64,
    /// Whether the owner could not act for a while, and has dropped what it was told meanwhile.
    pub is_over: bool,
}

impl Term {
    /// Returns a term whose claim was sent at `claimed_at` and confirmed at `now`.
    #[must_use]
    pub fn new(epoch: Epoch, claimed_at: Duration, now: Duration, earlier: EarlierOwners) -> Self {
        Self {
            epoch,
            confirmed_at: now,
            renewed_at: claimed_at,
            fast_failures: 0,
            earlier,
            silent_version: 0,
            is_over: false,
        }
    }

    /// Records that the table service confirmed a write of this term.
    pub fn confirm(&mut self, now: Duration) {
        (self.confirmed_at, self.fast_failures) = (now, 0);
    }

    /// Records a renewal that took effect and was sent at `sent`. It does not revive a term whose owner could not act any
    /// more when the answer came at `now`.
    pub fn record_renewal(&mut self, sent: Duration, now: Duration) {
        self.is_over |= !self.may_act(now);
        self.renewed_at = sent;
    }

    /// Whether the owner may still send orders to workers.
    #[must_use]
    pub fn may_act(&self, now: Duration) -> bool {
        !self.is_over && now.saturating_sub(self.renewed_at) <= AUTONOMY_LIMIT
    }
}
