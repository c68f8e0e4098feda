//! Who owns the cell.
//!
//! A row of the table names the owner and its term. Whoever changes it under the condition that nobody else did owns
//! the cell from then on. Workers and the rows of jobs refuse orders and writes of earlier terms, so that nothing
//! depends on clocks but how soon an owner that died is followed by another.

pub mod load;

use crate::cx::{Cx, Leader};
use crate::owner::{self, Owner};
use crate::table::{self, OwnerRecord};
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Row, Transaction};
use catkin_schema::peer::{Heartbeat, Request, Response};
use rand::RngExt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How often the owner writes its row.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// How old the row may become before somebody else takes over: the owner missed two of its writes.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The age from which an owner that is gone, or does not call itself one, is not just beginning.
const STARTUP_GRACE: Duration = Duration::from_millis(600);
/// How often the owner is called.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// How long the owner may take to answer.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the table service may take to answer, at most.
const TABLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause before the row is read again.
const REREAD_DELAY: Duration = Duration::from_millis(200);
/// A daemon waits for closer ones this many times as long as the table service takes to answer it, and at most so long.
const LATENCY_DELAY_FACTOR: u32 = 4;
const MAX_LATENCY_DELAY: Duration = Duration::from_millis(350);
/// The processors, in thousandths of a core, with which a daemon can own a cell of some hundred workers.
const MIN_OWNER_CPU_MILLI: u64 = 200;
/// How long a daemon with fewer waits for others to take over.
const SMALL_DAEMON_DELAY: Duration = Duration::from_millis(400);
/// A daemon with fewer owns the cell at least so long before it lets go for another.
const SMALL_DAEMON_MIN_TERM: Duration = Duration::from_secs(4);
/// A daemon that the table service has not served for so long does not offer to own the cell.
const TABLE_SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// For how long an owner that can't write its row still calls itself one.
const UNCONFIRMED_LIMIT: Duration = Duration::from_millis(700);
/// How long an owner that answers, and says that it can't write, is given to write after all.
const BUSY_OWNER_GRACE: Duration = Duration::from_millis(300);
/// For how long an owner acts without an answer of the table service.
pub const AUTONOMY_LIMIT: Duration = Duration::from_secs(10);

/// What is known of the row.
#[derive(Clone, Debug, Default)]
struct OwnerRow {
    record: OwnerRecord,
    version: u64,
}

/// Follows the owner of the cell, and becomes it when there is none, until the daemon stops.
pub async fn run(cx: Arc<Cx>) {
    let mut health = OwnerHealth::Healthy;
    let mut current = OwnerRow::default();
    loop {
        let read_due = health != OwnerHealth::Healthy || current.record.address.is_empty();
        if read_due && let Some(newer) = read_row(&cx).await {
            current = newer;
            publish_leader(&cx, &current.record);
            if !cx.is_draining() && can_take_over(&cx, &current.record, health) {
                let owner_busy =
                    health == OwnerHealth::NotOwner && !current.record.address.is_empty();
                let grace = if owner_busy { BUSY_OWNER_GRACE } else { Duration::ZERO };
                tokio::time::sleep(grace + latency_delay(&cx) + small_daemon_delay(&cx) + jitter())
                    .await;
                current = take_over(&cx, current).await;
                publish_leader(&cx, &current.record);
                health = OwnerHealth::Healthy;
                continue;
            }
        }
        if current.record.address.is_empty() {
            tokio::time::sleep(REREAD_DELAY).await;
            continue;
        }
        health = send_heartbeat(&cx, &current.record).await;
        cx.owner_healthy.store(health == OwnerHealth::Healthy, Ordering::Relaxed);
        tokio::time::sleep(if health == OwnerHealth::Healthy {
            HEARTBEAT_INTERVAL
        } else {
            REREAD_DELAY
        })
        .await;
    }
}

/// What came of calling the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerHealth {
    /// It answers as the owner of the term.
    Healthy,
    /// Nobody takes calls at its address.
    Unreachable,
    /// Whoever answers there does not call itself the owner.
    NotOwner,
    /// It does not answer in time.
    TimedOut,
}

/// Whoever is close to the table service goes first: an owner writes to it before each start and after each end.
fn latency_delay(cx: &Cx) -> Duration {
    (cx.table.latency() * LATENCY_DELAY_FACTOR).min(MAX_LATENCY_DELAY)
}

/// The owner's work needs more than the smallest daemons have.
fn small_daemon_delay(cx: &Cx) -> Duration {
    if is_small(cx) { SMALL_DAEMON_DELAY } else { Duration::ZERO }
}

fn is_small(cx: &Cx) -> bool {
    processors_milli(cx) < MIN_OWNER_CPU_MILLI
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a share of a core")]
fn processors_milli(cx: &Cx) -> u64 {
    (cx.cfg.daemon.processors * 1_000.0) as u64
}

/// Whether the daemon of a beat would be a better owner than a small one.
#[must_use]
pub fn is_better_owner(beat: &Beat) -> bool {
    !beat.draining && beat.processors_milli >= MIN_OWNER_CPU_MILLI
}

/// Daemons that find the cell free at the same time do not all write at once.
fn jitter() -> Duration {
    Duration::from_millis(rand::rng().random_range(0..60))
}

/// Whether the owner of the row let go, died, or has not renewed it for too long.
fn can_take_over(cx: &Cx, record: &OwnerRecord, health: OwnerHealth) -> bool {
    if record.address.is_empty() {
        return true;
    }
    let age = Duration::from_millis(cx.table.clock_ms().saturating_sub(record.renewed_ms));
    // This daemon does not own the cell: the row speaks of a life that is over, or of a term that it let go.
    let is_ours = record.daemon == cx.cfg.daemon.id;
    is_ours
        || age > TAKEOVER_TIMEOUT
        || (matches!(health, OwnerHealth::Unreachable | OwnerHealth::NotOwner)
            && age > STARTUP_GRACE)
}

/// Calls the owner.
async fn send_heartbeat(cx: &Cx, record: &OwnerRecord) -> OwnerHealth {
    let Ok(addr) = record.address.parse() else { return OwnerHealth::Unreachable };
    let req = Request::Beat(own_beat(cx));
    match cx.calls.call(addr, req, HEARTBEAT_TIMEOUT).await {
        Ok(Response::Beat(b)) if b.leads == record.epoch => OwnerHealth::Healthy,
        Ok(_) => OwnerHealth::NotOwner,
        Err(e) => {
            tracing::debug!("lead: the owner does not answer: {e}");
            if e.is_refused() { OwnerHealth::Unreachable } else { OwnerHealth::TimedOut }
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
        leads: cx.owned_epoch.load(Ordering::Relaxed),
        processors_milli: if cx.table.since_last_served() < TABLE_SILENCE_LIMIT {
            processors_milli(cx)
        } else {
            0
        },
        ..Beat::default()
    }
}

async fn read_row(cx: &Cx) -> Option<OwnerRow> {
    match cx.table.read_one(&table::owner_key(), TABLE_TIMEOUT).await {
        Ok(row) => Some(row.map_or_else(OwnerRow::default, |r| parse_row(&r))),
        Err(e) => {
            tracing::debug!("lead: not read: {e}");
            None
        }
    }
}

fn parse_row(row: &Row) -> OwnerRow {
    OwnerRow { record: table::decode(row).unwrap_or_default(), version: row.version }
}

fn publish_leader(cx: &Cx, record: &OwnerRecord) {
    let leader = record.address.parse().ok().map(|addr| Leader { epoch: record.epoch, addr });
    cx.leader.send_if_modified(|old| {
        let changed = *old != leader;
        if changed {
            tracing::info!(epoch = record.epoch, daemon = record.daemon, "lead: the cell is owned");
            old.clone_from(&leader);
        }
        changed
    });
}

/// Takes the cell over, owns it until somebody else does, and returns what is known of the row then.
async fn take_over(cx: &Arc<Cx>, previous: OwnerRow) -> OwnerRow {
    if cx.config.borrow().is_none() {
        tokio::time::sleep(REREAD_DELAY).await;
        return previous;
    }
    let claimed = OwnerRecord {
        epoch: previous.record.epoch + 1,
        daemon: cx.cfg.daemon.id.clone(),
        incarnation: cx.incarnation,
        address: cx.peer_address(),
        renewed_ms: cx.table.clock_ms(),
    };
    let current = match write_row(cx, &claimed, previous.version).await {
        RowWrite::Applied(version) => OwnerRow { record: claimed, version },
        RowWrite::Superseded(other) => return other,
        RowWrite::NotConfirmed => return previous,
    };
    tracing::info!(
        epoch = current.record.epoch,
        from = previous.record.daemon,
        age_ms = current.record.renewed_ms.saturating_sub(previous.record.renewed_ms),
        "lead: taken over"
    );
    cx.metrics.count_takeover();
    cx.owned_epoch.store(current.record.epoch, Ordering::Relaxed);
    publish_leader(cx, &current.record);
    let current = run_as_owner(cx, current).await;
    cx.owned_epoch.store(0, Ordering::Relaxed);
    cx.owner.send_replace(None);
    current
}

/// What came of writing the row.
enum RowWrite {
    Applied(u64),
    Superseded(OwnerRow),
    NotConfirmed,
}

/// Writes the row, and settles what came of it when the answer was lost.
async fn write_row(cx: &Cx, record: &OwnerRecord, version: u64) -> RowWrite {
    let key = table::owner_key();
    let changes = Changes {
        expect: vec![(key.clone(), version)],
        put: vec![(key, table::to_json(record))],
        remove: Vec::new(),
    };
    match cx.table.commit(&changes, TABLE_TIMEOUT).await {
        Ok(Outcome::Done { version, .. }) => RowWrite::Applied(version),
        Ok(Outcome::Conflict(rows)) => {
            let other = rows.first().map_or_else(OwnerRow::default, parse_row);
            // An earlier try of the same write, whose answer was lost.
            let same = other.record.epoch == record.epoch
                && other.record.incarnation == record.incarnation;
            if same { RowWrite::Applied(other.version) } else { RowWrite::Superseded(other) }
        }
        Err(Error::NotDone(e)) => {
            tracing::debug!("lead: not written: {e}");
            RowWrite::NotConfirmed
        }
        Err(e) => {
            tracing::warn!("lead: it is not known whether the row is written: {e}");
            RowWrite::NotConfirmed
        }
    }
}

/// Owns the cell until somebody else does or the daemon stops.
async fn run_as_owner(cx: &Arc<Cx>, mut current: OwnerRow) -> OwnerRow {
    let epoch = current.record.epoch;
    let load = load::load(cx, epoch);
    tokio::pin!(load);
    // The row is renewed also while the jobs are read.
    let loaded = loop {
        tokio::select! {
            loaded = &mut load => match loaded {
                Ok(loaded) => break loaded,
                Err(e) => {
                    tracing::warn!(epoch, "lead: let go, the jobs can't be read: {e}");
                    return release(cx, current).await;
                }
            },
            () = tokio::time::sleep(RENEW_INTERVAL) => match renew(cx, &mut current).await {
                Renewed::Superseded(other) => return other,
                Renewed::Applied | Renewed::NotConfirmed => {}
            },
        }
    };
    let owner = Owner::start(Arc::clone(cx), epoch, loaded).await;
    cx.owner.send_replace(Some(owner.clone()));
    let started = cx.now();
    let mut last_confirmed = started;
    let last = loop {
        tokio::select! {
            () = tokio::time::sleep(RENEW_INTERVAL) => {}
            () = cx.drain.cancelled() => {}
            () = owner.superseded() => {
                tracing::info!(epoch, "lead: a later owner was seen");
                break OwnerRow::default();
            }
        }
        if cx.is_draining() {
            break release(cx, current).await;
        }
        let better = cx.better_owner_seen.swap(false, Ordering::Relaxed);
        if better && is_small(cx) && cx.now().saturating_sub(started) > SMALL_DAEMON_MIN_TERM {
            tracing::info!(epoch, "lead: let go, for a daemon with more processors");
            break release(cx, current).await;
        }
        match renew(cx, &mut current).await {
            Renewed::Applied => last_confirmed = cx.now(),
            Renewed::Superseded(other) => break other,
            Renewed::NotConfirmed => {}
        }
        // An owner that can't write says so. Whoever can takes over; if nobody can, it goes on.
        let unconfirmed = cx.now().saturating_sub(last_confirmed) > UNCONFIRMED_LIMIT;
        cx.owned_epoch.store(if unconfirmed { 0 } else { epoch }, Ordering::Relaxed);
        if cx.now().saturating_sub(last_confirmed) > AUTONOMY_LIMIT {
            tracing::warn!(epoch, "lead: let go, the table service does not answer");
            break current;
        }
    };
    cx.owner.send_replace(None);
    owner::stop(owner).await;
    tracing::info!(epoch, next = last.record.epoch, "lead: no longer the owner");
    last
}

enum Renewed {
    Applied,
    Superseded(OwnerRow),
    NotConfirmed,
}

async fn renew(cx: &Cx, current: &mut OwnerRow) -> Renewed {
    let record = OwnerRecord { renewed_ms: cx.table.clock_ms(), ..current.record.clone() };
    match write_row(cx, &record, current.version).await {
        RowWrite::Applied(version) => {
            *current = OwnerRow { record, version };
            Renewed::Applied
        }
        RowWrite::Superseded(other) => Renewed::Superseded(other),
        RowWrite::NotConfirmed => Renewed::NotConfirmed,
    }
}

/// Lets go of the cell, so that the others need not wait.
async fn release(cx: &Cx, mut current: OwnerRow) -> OwnerRow {
    current.record.address = String::new();
    match write_row(cx, &current.record, current.version).await {
        RowWrite::Applied(version) => OwnerRow { version, ..current },
        RowWrite::Superseded(other) => other,
        RowWrite::NotConfirmed => current,
    }
}
