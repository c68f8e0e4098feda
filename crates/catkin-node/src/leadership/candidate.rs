//! Which daemon should own the cell.
//!
//! Pure. The load that it answers is many small jobs: each waits for several writes of the owner before it starts, so an
//! owner far from the table service, or with little processor time, delays all of them.

use super::watch::Vacancy;
use std::time::Duration;

/// The processor share, in thousandths of a core, that suffices to own a cell of a few hundred workers.
const MIN_CPU_MILLI: u64 = 200;
/// A daemon is closer to the table service if its answers arrive this much sooner. Zones of a region differ by less.
const MIN_LATENCY_GAIN: Duration = Duration::from_millis(20);
/// Before a takeover, a daemon waits this many times its latency to the table service, up to [`MAX_LATENCY_DELAY`].
const LATENCY_DELAY_FACTOR: u32 = 4;
const MAX_LATENCY_DELAY: Duration = Duration::from_millis(350);
/// The additional delay of a daemon with a small share of a processor.
const SMALL_DAEMON_DELAY: Duration = Duration::from_millis(400);
/// The additional delay while the owner answers heartbeats but reports that it can't renew.
const BUSY_OWNER_GRACE: Duration = Duration::from_millis(150);
/// The additional delay of the daemon that released the cell for a better one, so that all others go first.
const RELEASE_DELAY: Duration = Duration::from_secs(1);

/// A daemon that could own the cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// The processors that it has for owning the cell, in thousandths of a core; 0 if it can't write to the table now.
    pub processors_milli: u64,
    /// The shortest time in which the table service answers it.
    pub table_latency: Duration,
}

impl Candidate {
    /// Whether the daemon has too little processor time for the owner's work.
    #[must_use]
    pub fn is_small(self) -> bool {
        self.processors_milli < MIN_CPU_MILLI
    }

    /// Whether the cell is better owned by this daemon than by its `owner`.
    #[must_use]
    pub fn is_better_than(self, owner: Self) -> bool {
        let closer = self.table_latency + MIN_LATENCY_GAIN < owner.table_latency;
        !self.is_small() && (owner.is_small() || closer)
    }

    /// Returns how long the daemon waits before it takes the cell over. Daemons close to the table service go first,
    /// because an owner writes to it before each start and after each end.
    #[must_use]
    pub fn takeover_delay(self, vacancy: Vacancy) -> Duration {
        let latency = (self.table_latency * LATENCY_DELAY_FACTOR).min(MAX_LATENCY_DELAY);
        let size = if self.is_small() { SMALL_DAEMON_DELAY } else { Duration::ZERO };
        let further = match vacancy {
            Vacancy::OwnerBusy => BUSY_OWNER_GRACE,
            Vacancy::ReleasedHere => RELEASE_DELAY,
            Vacancy::Other => Duration::ZERO,
        };
        latency + size + further
    }
}
