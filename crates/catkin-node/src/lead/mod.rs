//! Who owns the cell.
//!
//! A row of the table names the owner and its term. Whoever changes it under the condition that nobody else did owns
//! the cell from then on. Workers and the rows of jobs refuse orders and writes of earlier terms, so that nothing
//! depends on clocks but how soon an owner that died is followed by another.

pub mod load;

use crate::cx::{Cx, Leader};
use crate::owner::{self, Owner};
use crate::table::{self, Lead};
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Row, Transaction};
use catkin_schema::peer::{Heartbeat, Request, Response};
use rand::RngExt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How often the owner writes its row.
pub const RENEW: Duration = Duration::from_millis(500);
/// How old the row may become before somebody else takes over: the owner missed two of its writes.
const TAKE_OVER_AFTER: Duration = Duration::from_millis(1_500);
/// The age from which an owner that is gone, or does not call itself one, is not just beginning.
const BEGINNING: Duration = Duration::from_millis(600);
/// How often the owner is called.
const BEAT: Duration = Duration::from_millis(300);
/// How long the owner may take to answer.
const BEAT_PATIENCE: Duration = Duration::from_millis(400);
/// How long the table service may take to answer, at most.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// The pause before the row is read again.
const READ_AGAIN: Duration = Duration::from_millis(200);
/// A daemon waits for closer ones this many times as long as the table service takes to answer it, and at most so long.
const FAR_FACTOR: u32 = 4;
const FAR_MOST: Duration = Duration::from_millis(350);
/// The processors, in thousandths of a core, with which a daemon can own a cell of some hundred workers.
const ENOUGH_MILLI: u64 = 200;
/// How long a daemon with fewer waits for others to take over.
const SMALL_LAST: Duration = Duration::from_millis(400);
/// A daemon with fewer owns the cell at least so long before it lets go for another.
const SMALL_OWNS: Duration = Duration::from_secs(4);
/// A daemon that the table service has not served for so long does not offer to own the cell.
const UNSERVED: Duration = Duration::from_secs(2);
/// For how long an owner that can't write its row still calls itself one.
const UNCONFIRMED: Duration = Duration::from_millis(700);
/// How long an owner that answers, and says that it can't write, is given to write after all.
const GRACE: Duration = Duration::from_millis(300);
/// For how long an owner acts without an answer of the table service.
pub const AUTONOMY: Duration = Duration::from_secs(10);

/// What is known of the row.
#[derive(Clone, Debug, Default)]
struct Known {
    lead: Lead,
    version: u64,
}

/// Follows the owner of the cell, and becomes it when there is none, until the daemon stops.
pub async fn run(cx: Arc<Cx>) {
    let mut heard = Heard::Well;
    let mut known = Known::default();
    loop {
        let quiet = heard != Heard::Well || known.lead.address.is_empty();
        if quiet && let Some(now_known) = read(&cx).await {
            known = now_known;
            announce(&cx, &known.lead);
            if !cx.is_draining() && is_free(&cx, &known.lead, heard) {
                let busy = heard == Heard::Other && !known.lead.address.is_empty();
                let grace = if busy { GRACE } else { Duration::ZERO };
                tokio::time::sleep(grace + far_last(&cx) + small_last(&cx) + jitter()).await;
                known = take_over(&cx, known).await;
                announce(&cx, &known.lead);
                heard = Heard::Well;
                continue;
            }
        }
        if known.lead.address.is_empty() {
            tokio::time::sleep(READ_AGAIN).await;
            continue;
        }
        heard = beat(&cx, &known.lead).await;
        cx.owner_answers.store(heard == Heard::Well, Ordering::Relaxed);
        tokio::time::sleep(if heard == Heard::Well { BEAT } else { READ_AGAIN }).await;
    }
}

/// What came of calling the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heard {
    /// It answers as the owner of the term.
    Well,
    /// Nobody takes calls at its address.
    Gone,
    /// Whoever answers there does not call itself the owner.
    Other,
    /// It does not answer in time.
    Silent,
}

/// Whoever is close to the table service goes first: an owner writes to it before each start and after each end.
fn far_last(cx: &Cx) -> Duration {
    (cx.table.took() * FAR_FACTOR).min(FAR_MOST)
}

/// The owner's work needs more than the smallest daemons have.
fn small_last(cx: &Cx) -> Duration {
    if is_small(cx) { SMALL_LAST } else { Duration::ZERO }
}

fn is_small(cx: &Cx) -> bool {
    processors_milli(cx) < ENOUGH_MILLI
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a share of a core")]
fn processors_milli(cx: &Cx) -> u64 {
    (cx.cfg.daemon.processors * 1_000.0) as u64
}

/// Whether the daemon of a beat would be a better owner than a small one.
#[must_use]
pub fn is_better(beat: &Heartbeat) -> bool {
    !beat.draining && beat.processors_milli >= ENOUGH_MILLI
}

/// Daemons that find the cell free at the same time do not all write at once.
fn jitter() -> Duration {
    Duration::from_millis(rand::rng().random_range(0..60))
}

/// Whether the owner of the row let go, died, or has not renewed it for too long.
fn is_free(cx: &Cx, lead: &Lead, heard: Heard) -> bool {
    if lead.address.is_empty() {
        return true;
    }
    let age = Duration::from_millis(cx.table.clock_ms().saturating_sub(lead.renewed_ms));
    // This daemon does not own the cell: the row speaks of a life that is over, or of a term that it let go.
    let own = lead.daemon == cx.cfg.daemon.id;
    own || age > TAKE_OVER_AFTER || (matches!(heard, Heard::Gone | Heard::Other) && age > BEGINNING)
}

/// Calls the owner.
async fn beat(cx: &Cx, lead: &Lead) -> Heard {
    let Ok(addr) = lead.address.parse() else { return Heard::Gone };
    let req = Request::Heartbeat(own_beat(cx));
    match cx.calls.call(addr, req, BEAT_PATIENCE).await {
        Ok(Response::Heartbeat(b)) if b.leads == lead.epoch => Heard::Well,
        Ok(_) => Heard::Other,
        Err(e) => {
            tracing::debug!("lead: the owner does not answer: {e}");
            if e.is_refused() { Heard::Gone } else { Heard::Silent }
        }
    }
}

/// What this daemon says of itself.
#[must_use]
pub fn own_beat(cx: &Cx) -> Heartbeat {
    Heartbeat {
        daemon: cx.cfg.daemon.id.clone(),
        incarnation: cx.incarnation,
        limits_version: cx.config.borrow().as_ref().map_or(0, |c| c.version),
        draining: cx.is_draining(),
        address: cx.peer_address(),
        leads: cx.leads.load(Ordering::Relaxed),
        processors_milli: if cx.table.unserved() < UNSERVED { processors_milli(cx) } else { 0 },
        ..Heartbeat::default()
    }
}

async fn read(cx: &Cx) -> Option<Known> {
    match cx.table.read_one(&table::lead_key(), PATIENCE).await {
        Ok(row) => Some(row.map_or_else(Known::default, |r| known(&r))),
        Err(e) => {
            tracing::debug!("lead: not read: {e}");
            None
        }
    }
}

fn known(row: &Row) -> Known {
    Known { lead: table::read(row).unwrap_or_default(), version: row.version }
}

fn announce(cx: &Cx, lead: &Lead) {
    let leader = lead.address.parse().ok().map(|addr| Leader { epoch: lead.epoch, addr });
    cx.leader.send_if_modified(|old| {
        let changed = *old != leader;
        if changed {
            tracing::info!(epoch = lead.epoch, daemon = lead.daemon, "lead: the cell is owned");
            old.clone_from(&leader);
        }
        changed
    });
}

/// Takes the cell over, owns it until somebody else does, and returns what is known of the row then.
async fn take_over(cx: &Arc<Cx>, before: Known) -> Known {
    if cx.config.borrow().is_none() {
        tokio::time::sleep(READ_AGAIN).await;
        return before;
    }
    let mine = Lead {
        epoch: before.lead.epoch + 1,
        daemon: cx.cfg.daemon.id.clone(),
        incarnation: cx.incarnation,
        address: cx.peer_address(),
        renewed_ms: cx.table.clock_ms(),
    };
    let known = match write(cx, &mine, before.version).await {
        Written::Mine(version) => Known { lead: mine, version },
        Written::Other(other) => return other,
        Written::No => return before,
    };
    tracing::info!(
        epoch = known.lead.epoch,
        from = before.lead.daemon,
        age_ms = known.lead.renewed_ms.saturating_sub(before.lead.renewed_ms),
        "lead: taken over"
    );
    cx.metrics.took_over();
    cx.leads.store(known.lead.epoch, Ordering::Relaxed);
    announce(cx, &known.lead);
    let known = own(cx, known).await;
    cx.leads.store(0, Ordering::Relaxed);
    cx.owner.send_replace(None);
    known
}

/// What came of writing the row.
enum Written {
    Mine(u64),
    Other(Known),
    No,
}

/// Writes the row, and settles what came of it when the answer was lost.
async fn write(cx: &Cx, lead: &Lead, version: u64) -> Written {
    let key = table::lead_key();
    let changes = Transaction {
        preconditions: vec![(key.clone(), version)],
        put: vec![(key, table::to_json(lead))],
        remove: Vec::new(),
    };
    match cx.table.commit(&changes, PATIENCE).await {
        Ok(CommitOutcome::Committed { version, .. }) => Written::Mine(version),
        Ok(CommitOutcome::Conflict(rows)) => {
            let other = rows.first().map_or_else(Known::default, known);
            // An earlier try of the same write, whose answer was lost.
            let same = other.lead.epoch == lead.epoch && other.lead.incarnation == lead.incarnation;
            if same { Written::Mine(other.version) } else { Written::Other(other) }
        }
        Err(Error::NotDone(e)) => {
            tracing::debug!("lead: not written: {e}");
            Written::No
        }
        Err(e) => {
            tracing::warn!("lead: it is not known whether the row is written: {e}");
            Written::No
        }
    }
}

/// Owns the cell until somebody else does or the daemon stops.
async fn own(cx: &Arc<Cx>, mut known: Known) -> Known {
    let epoch = known.lead.epoch;
    let load = load::load(cx, epoch);
    tokio::pin!(load);
    // The row is renewed also while the jobs are read.
    let loaded = loop {
        tokio::select! {
            loaded = &mut load => match loaded {
                Ok(loaded) => break loaded,
                Err(e) => {
                    tracing::warn!(epoch, "lead: let go, the jobs can't be read: {e}");
                    return release(cx, known).await;
                }
            },
            () = tokio::time::sleep(RENEW) => match renew(cx, &mut known).await {
                Renewed::Other(other) => return other,
                Renewed::Mine | Renewed::No => {}
            },
        }
    };
    let owner = Owner::start(Arc::clone(cx), epoch, loaded).await;
    cx.owner.send_replace(Some(owner.clone()));
    let since = cx.now();
    let mut confirmed = since;
    let end = loop {
        tokio::select! {
            () = tokio::time::sleep(RENEW) => {}
            () = cx.drain.cancelled() => {}
            () = owner.deposed() => {
                tracing::info!(epoch, "lead: a later owner was seen");
                break Known::default();
            }
        }
        if cx.is_draining() {
            break release(cx, known).await;
        }
        let better = cx.better_heard.swap(false, Ordering::Relaxed);
        if better && is_small(cx) && cx.now().saturating_sub(since) > SMALL_OWNS {
            tracing::info!(epoch, "lead: let go, for a daemon with more processors");
            break release(cx, known).await;
        }
        match renew(cx, &mut known).await {
            Renewed::Mine => confirmed = cx.now(),
            Renewed::Other(other) => break other,
            Renewed::No => {}
        }
        // An owner that can't write says so. Whoever can takes over; if nobody can, it goes on.
        let unconfirmed = cx.now().saturating_sub(confirmed) > UNCONFIRMED;
        cx.leads.store(if unconfirmed { 0 } else { epoch }, Ordering::Relaxed);
        if cx.now().saturating_sub(confirmed) > AUTONOMY {
            tracing::warn!(epoch, "lead: let go, the table service does not answer");
            break known;
        }
    };
    cx.owner.send_replace(None);
    owner::stop(owner).await;
    tracing::info!(epoch, next = end.lead.epoch, "lead: no longer the owner");
    end
}

enum Renewed {
    Mine,
    Other(Known),
    No,
}

async fn renew(cx: &Cx, known: &mut Known) -> Renewed {
    let lead = Lead { renewed_ms: cx.table.clock_ms(), ..known.lead.clone() };
    match write(cx, &lead, known.version).await {
        Written::Mine(version) => {
            *known = Known { lead, version };
            Renewed::Mine
        }
        Written::Other(other) => Renewed::Other(other),
        Written::No => Renewed::No,
    }
}

/// Lets go of the cell, so that the others need not wait.
async fn release(cx: &Cx, mut known: Known) -> Known {
    known.lead.address = String::new();
    match write(cx, &known.lead, known.version).await {
        Written::Mine(version) => Known { version, ..known },
        Written::Other(other) => other,
        Written::No => known,
    }
}
