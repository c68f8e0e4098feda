//! Reservations for large tasks and gangs, which would starve if small tasks took all resources as they become free.
//!
//! While a reservation for a row is active, only this row and rows that the caller exempts get new tasks, so that free
//! resources accumulate. A reservation is limited in time, and a cooldown follows one that expired unused, so that work
//! that can't start soon does not leave the workers idle.

use catkin_types::RowName;
use std::time::Duration;

/// The settings of a [`Reservation`].
#[derive(Clone, Debug)]
pub struct Options {
    /// How long work has to wait before a reservation is made for it.
    pub min_wait: Duration,
    /// The longest time that a reservation lasts.
    pub max_duration: Duration,
    /// The time without reservations after one that expired unused.
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

/// The reservation of a shard: at most one is active at a time.
#[derive(Clone, Debug)]
pub struct Reservation {
    opt: Options,
    row: Option<RowName>,
    until: Duration,
    cooldown_until: Duration,
}

impl Reservation {
    /// Returns a state without an active reservation.
    #[must_use]
    pub fn new(opt: Options) -> Self {
        Self { opt, row: None, until: Duration::ZERO, cooldown_until: Duration::ZERO }
    }

    /// The row for which a reservation is active at `now`.
    #[must_use]
    pub fn row(&self, now: Duration) -> Option<&RowName> {
        self.row.as_ref().filter(|_| now < self.until)
    }

    /// Begins a reservation for a row whose next work is blocked and has waited for `waited`, if none is active.
    pub fn try_begin(&mut self, row: &RowName, waited: Duration, now: Duration) {
        self.expire(now);
        if self.row.is_none() && waited >= self.opt.min_wait && now >= self.cooldown_until {
            self.row = Some(row.clone());
            self.until = now + self.opt.max_duration;
        }
    }

    /// Ends the reservation if it is for `row`, whose work was placed.
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
