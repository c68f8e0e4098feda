//! Holds: work that needs much room at once gets it although small work could fill every gap.
//!
//! While a row is held for, only it and rows that are let through get new work, so that room gathers. A hold is bounded,
//! and a rest follows one that came to nothing, so that work that can't start soon does not idle the workers.

use catkin_types::RowName;
use std::time::Duration;

/// The settings of a [`Hold`].
#[derive(Clone, Debug)]
pub struct Options {
    /// How long work waits before room is held for it.
    pub min_wait: Duration,
    /// How long room is held at most.
    pub max_duration: Duration,
    /// How long nothing is held after a hold that came to nothing.
    pub cooldown: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_wait: Duration::from_secs(1),
            max_duration: Duration::from_secs(30),
            cooldown: Duration::from_secs(30),
        }
    }
}

/// Whether room is held, and for whom.
#[derive(Clone, Debug)]
pub struct Reservation {
    opt: Options,
    row: Option<RowName>,
    until: Duration,
    cooldown_until: Duration,
}

impl Reservation {
    /// Nothing is held.
    #[must_use]
    pub fn new(opt: Options) -> Self {
        Self { opt, row: None, until: Duration::ZERO, cooldown_until: Duration::ZERO }
    }

    /// The row for which room is held at `now`.
    #[must_use]
    pub fn row(&self, now: Duration) -> Option<&RowName> {
        self.row.as_ref().filter(|_| now < self.until)
    }

    /// Begins a hold for the row whose next work is blocked and has waited that long, if none is in force.
    pub fn try_begin(&mut self, row: &RowName, waited: Duration, now: Duration) {
        self.expire(now);
        if self.row.is_none() && waited >= self.opt.min_wait && now >= self.cooldown_until {
            self.row = Some(row.clone());
            self.until = now + self.opt.max_duration;
        }
    }

    /// Ends the hold, because the row's work was placed.
    pub fn end_for(&mut self, row: &RowName) {
        if self.row.as_ref() == Some(row) {
            self.row = None;
        }
    }

    fn expire(&mut self, now: Duration) {
        if self.row.is_some() && now >= self.until {
            self.row = None;
            self.cooldown_until = self.until + self.opt.cooldown;
        }
    }
}
