//! What a daemon knows of the cell's owner, and whether the cell can be taken over from it.
//!
//! Pure. The load that it answers is a hand-over under load: each needless one costs a second in which nothing starts, so
//! the cell is taken over only from an owner that is lost or can't renew its row.

use catkin_types::Epoch;
use std::time::Duration;

/// The age of the row from which an owner that does not answer is replaced. It has missed two renewals by then.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(800);
/// The age of the row up to which an owner that never answered, or does not report its term, may still be starting.
const STARTUP_GRACE: Duration = Duration::from_millis(600);

/// The result of a heartbeat to the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OwnerHealth {
    /// The owner answered and reported the expected term.
    #[default]
    Healthy,
    /// The connection to its address was refused.
    Unreachable,
    /// The daemon at its address answered without reporting the expected term.
    NotOwner,
    /// There was no answer in time.
    TimedOut,
}

/// Why the cell can be taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vacancy {
    /// Its owner answers, but can't renew its row.
    OwnerBusy,
    /// This daemon released it.
    ReleasedHere,
    /// It has no owner, or its owner is lost.
    Other,
}

/// The owner row as a daemon read it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RowView {
    /// The term of the owner.
    pub epoch: Epoch,
    /// Whether the owner released the cell.
    pub is_released: bool,
    /// Whether the row names this daemon. As this daemon does not own the cell now, the row is of an earlier process or
    /// of a term that it gave up.
    pub is_ours: bool,
    /// The time since the last renewal, without what a slow table service may delay it by.
    pub age: Duration,
}

/// What a daemon knows of the owner beside its row.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnerWatch {
    /// The result of the last heartbeat.
    health: OwnerHealth,
    /// The term of the owner to which it went.
    asked_epoch: Epoch,
    /// The last term whose owner answered a heartbeat well.
    answered_epoch: Epoch,
    /// Whether an owner has announced itself since the row was read.
    announced: bool,
}

impl OwnerWatch {
    /// Records the result of a heartbeat to the owner of the term `epoch`.
    pub fn record_heartbeat(&mut self, epoch: Epoch, health: OwnerHealth) {
        self.health = health;
        self.asked_epoch = epoch;
        if health == OwnerHealth::Healthy {
            self.answered_epoch = epoch;
        }
    }

    /// Records that an owner announced itself. That is news about the row, and says nothing against the owner.
    pub fn record_announcement(&mut self) {
        self.announced = true;
    }

    /// Records that the row was read.
    pub fn record_read(&mut self) {
        self.announced = false;
    }

    /// Records that this daemon owned the cell until now.
    pub fn record_own_term(&mut self) {
        self.health = OwnerHealth::Healthy;
    }

    /// Whether the owner row has to be read.
    #[must_use]
    pub fn is_read_due(&self) -> bool {
        self.announced || self.health != OwnerHealth::Healthy
    }

    /// Returns why the cell can be taken over: its owner released it, is unreachable, or has not renewed the row in time.
    /// Returns `None` if it can't. An owner of a term that is new to this daemon is asked first: it may have waited long
    /// for its row to be written.
    #[must_use]
    pub fn vacancy(&self, row: &RowView) -> Option<Vacancy> {
        if row.is_released {
            return Some(if row.is_ours { Vacancy::ReleasedHere } else { Vacancy::Other });
        }
        if row.is_ours {
            return Some(Vacancy::Other);
        }
        if self.asked_epoch != row.epoch {
            return None;
        }
        let may_be_starting = self.answered_epoch != row.epoch && row.age <= STARTUP_GRACE;
        match self.health {
            OwnerHealth::Unreachable => (!may_be_starting).then_some(Vacancy::Other),
            OwnerHealth::NotOwner => (!may_be_starting).then_some(Vacancy::OwnerBusy),
            OwnerHealth::TimedOut => (row.age > TAKEOVER_TIMEOUT).then_some(Vacancy::Other),
            OwnerHealth::Healthy => None,
        }
    }
}
