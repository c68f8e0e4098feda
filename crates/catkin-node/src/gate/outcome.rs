//! The result of storing or cancelling a job durably, and how daemons tell it each other.

use crate::table;
use catkin_cell::Job;
use catkin_platform::store::Row;
use catkin_schema::peer::Response;
use catkin_types::Code;

/// The result of storing or cancelling a job durably.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write is durable.
    Durable,
    /// The job was accepted before, or has ended.
    AlreadyDone,
    /// The job does not exist, and never will: it was cancelled before it was accepted.
    NoSuchJob,
    /// The write was not carried out, and will not be.
    NotCommitted,
    /// The table service refuses the write for good. A repeated one would be refused too.
    Refused,
    /// The write may or may not be carried out.
    Unknown,
}

impl WriteOutcome {
    /// Returns the response that reports this outcome to another daemon.
    #[must_use]
    pub fn into_response(self) -> Response {
        let refused = |code: Code| {
            Response::Refused(catkin_schema::peer::Refused {
                code: code.number(),
                ..Default::default()
            })
        };
        match self {
            Self::Durable => Response::Done,
            Self::AlreadyDone => Response::Count(0),
            Self::NoSuchJob => refused(Code::NOT_FOUND),
            Self::NotCommitted => refused(Code::STORE_DOWN),
            Self::Refused => refused(Code::BODY_TOO_LARGE),
            Self::Unknown => refused(Code::STORE_UNKNOWN),
        }
    }

    /// Returns the outcome that the owner's response reports. Returns `None` if the daemon that answered is not the
    /// owner.
    pub(super) fn from_response(answer: Response) -> Option<Self> {
        match answer {
            Response::Done => Some(Self::Durable),
            Response::Count(_) => Some(Self::AlreadyDone),
            Response::Refused(r) if r.code == Code::NOT_FOUND.number() => Some(Self::NoSuchJob),
            Response::Refused(r) if r.code == Code::NO_OWNER.number() => None,
            Response::Refused(r) if r.code == Code::STORE_UNKNOWN.number() => Some(Self::Unknown),
            Response::Refused(r) if r.code == Code::BODY_TOO_LARGE.number() => Some(Self::Refused),
            Response::Refused(_) => Some(Self::NotCommitted),
            _ => Some(Self::Unknown),
        }
    }

    /// Combines this outcome with that of an earlier attempt with an unknown outcome, which may still be carried out
    /// even if this one was refused.
    pub(super) fn after_unknown(self) -> Self {
        if matches!(self, Self::NotCommitted | Self::Refused) { Self::Unknown } else { self }
    }
}

/// Derives the outcome of an accepting write from the rows of its conflict: the job is stored, by an earlier attempt if
/// its answer was lost; or it has ended; or it was cancelled before it was stored.
#[must_use]
pub fn outcome_of_conflict(rows: &[Row], answer_lost: bool) -> WriteOutcome {
    if rows.iter().any(table::is_withdrawn) {
        return WriteOutcome::NoSuchJob;
    }
    let is_open = |r: &Row| table::decode::<Job>(r).is_some_and(|job| !job.steps.is_empty());
    if answer_lost && rows.iter().any(is_open) {
        WriteOutcome::Durable
    } else {
        WriteOutcome::AlreadyDone
    }
}
