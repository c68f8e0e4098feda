//! The clock of the table service, as a daemon estimates it.
//!
//! Pure. The load that it answers is a slow service: an answer that was under way for a second carries a time that is up to
//! a second old, and the age of the owner row must not be wrong by as much.

use catkin_cell::worker::millis;
use std::time::Duration;
use tokio::time::Instant;

/// An estimate of the service's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceClock {
    /// The estimate in milliseconds, and when it was made; `None` before the first answer.
    estimate: Option<(u64, Instant)>,
}

impl ServiceClock {
    /// Records the time `read_ms` of an answer that arrived at `now`, `took` after the call was sent. The service read its
    /// clock at some moment in between, so the clock shows `read_ms` to `read_ms + took` now. An earlier estimate
    /// within these bounds stands.
    pub fn record(&mut self, read_ms: u64, took: Duration, now: Instant) {
        let estimate_ms = self.at(now).clamp(read_ms, read_ms.saturating_add(millis(took)));
        self.estimate = Some((estimate_ms, now));
    }

    /// Returns the time of the service at `now` in milliseconds; 0 before the first answer.
    #[must_use]
    pub fn at(&self, now: Instant) -> u64 {
        self.estimate.map_or(0, |(ms, at)| ms + millis(now.saturating_duration_since(at)))
    }
}
