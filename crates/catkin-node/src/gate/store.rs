//! Jobs made durable: here, or by the owner of the cell where the table refuses this daemon.

use super::jobs::{Stored, ask, stored, tell};
use crate::cx::Cx;
use crate::table::{self, JOBS, job_key};
use catkin_cell::Job;
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Row, Transaction};
use catkin_schema::peer::{Request, Response};
use catkin_types::id::format_job;
use catkin_types::{Code, JobId};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::SemaphorePermit;

/// The pause before a call whose answer was lost is made again.
const PAUSE: Duration = Duration::from_millis(60);

/// How long the owner may take to store a job: two batches of a slow table.
const OWNER_PATIENCE: Duration = Duration::from_millis(1_500);
/// The same for an owner that did not answer the last beat.
const SILENT_OWNER_PATIENCE: Duration = Duration::from_millis(400);

/// What came of making something durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durable {
    /// It is.
    Yes,
    /// It was before.
    Before,
    /// There is no such job.
    Never,
    /// It is not, and will not be.
    No,
    /// That is not known.
    Unknown,
}

impl Durable {
    /// The answer to another daemon.
    #[must_use]
    pub fn answer(self) -> Response {
        let refused = |code: Code| {
            Response::Refused(catkin_schema::peer::Refused {
                code: code.number(),
                ..Default::default()
            })
        };
        match self {
            Self::Yes => Response::Done,
            Self::Before => Response::Count(0),
            Self::Never => refused(Code::NOT_FOUND),
            Self::No => refused(Code::STORE_DOWN),
            Self::Unknown => refused(Code::STORE_UNKNOWN),
        }
    }

    /// What the owner answered; nothing if it did not.
    fn read(answer: Response) -> Option<Self> {
        match answer {
            Response::Done => Some(Self::Yes),
            Response::Count(_) => Some(Self::Before),
            Response::Refused(r) if r.code == Code::NOT_FOUND.number() => Some(Self::Never),
            Response::Refused(r) if r.code == Code::NO_OWNER.number() => None,
            Response::Refused(r) if r.code == Code::STORE_UNKNOWN.number() => Some(Self::Unknown),
            Response::Refused(_) => Some(Self::No),
            _ => Some(Self::Unknown),
        }
    }
}

/// Stores a job: by the owner of the cell, which writes many at once; else with this daemon's own calls.
pub async fn accept(cx: &Arc<Cx>, id: JobId, job: &Job, deadline: Duration) -> Durable {
    let well = cx.owner_answers.load(Ordering::Relaxed);
    let patience = if well { OWNER_PATIENCE } else { SILENT_OWNER_PATIENCE };
    let by_owner = store_by_owner(cx, id, job, deadline.min(cx.now() + patience)).await;
    match by_owner {
        Some(Durable::No | Durable::Unknown) | None => {}
        Some(durable) => return durable,
    }
    if cx.table.is_silent() {
        return by_owner.unwrap_or(Durable::No);
    }
    let here = accept_here(cx, id, job, deadline).await;
    if here == Durable::Yes {
        tell(cx, Request::Offer { shard: String::new(), job: id });
    }
    if by_owner == Some(Durable::Unknown) { here.after_unknown() } else { here }
}

/// Has the owner store a job. Nothing if it certainly does not.
async fn store_by_owner(cx: &Arc<Cx>, id: JobId, job: &Job, deadline: Duration) -> Option<Durable> {
    let owner = cx.owner.borrow().clone();
    if let Some(owner) = owner {
        let left = deadline.saturating_sub(cx.now());
        let durable = tokio::time::timeout(left, owner.accept(id, job.clone())).await;
        return Some(durable.ok().flatten().unwrap_or(Durable::Unknown));
    }
    by_owner(cx, Request::Store { job: id, body: table::to_json(job) }, deadline).await
}

impl Durable {
    /// A refusal says nothing of an earlier try that may yet be carried out.
    fn after_unknown(self) -> Self {
        if self == Self::No { Self::Unknown } else { self }
    }
}

/// Asks the owner, unless that is this daemon. Nothing if the question certainly did not arrive.
async fn by_owner(cx: &Arc<Cx>, req: Request, deadline: Duration) -> Option<Durable> {
    if cx.owner.borrow().is_some() {
        return None;
    }
    let left = deadline.saturating_sub(cx.now());
    match ask(cx, req, left).await {
        Ok(answer) => Durable::read(answer),
        Err(catkin_peer::Error::Lost(_)) => Some(Durable::Unknown),
        Err(_) => None,
    }
}

/// Stores a job with this daemon's own calls.
pub async fn accept_here(cx: &Cx, id: JobId, job: &Job, deadline: Duration) -> Durable {
    let Some(_turn) = turn(cx, deadline).await else { return Durable::No };
    let changes = table::accept(id, job);
    let mut lost = false;
    loop {
        let left = deadline.saturating_sub(cx.now());
        if left.is_zero() {
            return Durable::Unknown;
        }
        match cx.table.commit(&changes, left).await {
            Ok(CommitOutcome::Committed { .. }) => return Durable::Yes,
            Ok(CommitOutcome::Conflict(rows)) => return after_conflict(&rows, lost),
            Err(Error::NotDone(e)) if !lost => {
                tracing::debug!(job = format_job(id), "gate: not stored: {e}");
                return Durable::No;
            }
            Err(e) => {
                lost |= !matches!(e, Error::NotDone(_));
                tracing::debug!(job = format_job(id), "gate: not known to be stored: {e}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// This daemon's turn to write; nothing if it does not come in time.
async fn turn(cx: &Cx, deadline: Duration) -> Option<SemaphorePermit<'_>> {
    let left = deadline.saturating_sub(cx.now());
    tokio::time::timeout(left, cx.own_writes.acquire()).await.ok()?.ok()
}

/// What a conflict says of a job: it is there, by an earlier try if an answer was `lost`; or it is at its end.
#[must_use]
pub fn after_conflict(rows: &[Row], lost: bool) -> Durable {
    let open = |r: &Row| table::read::<Job>(r).is_some_and(|job| !job.steps.is_empty());
    if lost && rows.iter().any(open) { Durable::Yes } else { Durable::Before }
}

/// Makes it durable that a job is cancelled, by the owner if the table refuses this daemon.
pub async fn cancel(cx: &Arc<Cx>, id: JobId, deadline: Duration) -> Durable {
    let here = if cx.table.is_silent() {
        Durable::No
    } else {
        cancel_here(cx, id, deadline.min(cx.now() + cx.table.patience() * 2)).await
    };
    if !matches!(here, Durable::No | Durable::Unknown) {
        return here;
    }
    match by_owner(cx, Request::StoreCancellation(id), deadline).await {
        Some(Durable::No) | None => cancel_here(cx, id, deadline).await,
        Some(by_owner) => by_owner,
    }
}

/// Makes it durable with this daemon's own calls.
pub async fn cancel_here(cx: &Cx, id: JobId, deadline: Duration) -> Durable {
    while let Some(known) = stored(cx, id, deadline).await {
        let (job, version) = match known {
            Stored::Never => return Durable::Never,
            Stored::Ended(_) => return Durable::Before,
            Stored::Open { job, .. } if job.cancelled => return Durable::Yes,
            Stored::Open { job, version } => (job, version),
        };
        let Some(_turn) = turn(cx, deadline).await else { return Durable::Unknown };
        let key = job_key(JOBS, id);
        let cancelled = Job { cancelled: true, ..job };
        let changes = Transaction {
            preconditions: vec![(key.clone(), version)],
            put: vec![(key, table::to_json(&cancelled))],
            remove: Vec::new(),
        };
        let left = deadline.saturating_sub(cx.now());
        match cx.table.commit(&changes, left).await {
            Ok(CommitOutcome::Committed { .. }) => return Durable::Yes,
            Ok(CommitOutcome::Conflict(_)) => {}
            Err(e) => {
                tracing::debug!(job = format_job(id), "gate: not known to be cancelled: {e}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    Durable::Unknown
}
