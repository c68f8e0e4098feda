//! Leader election for the cell.
//!
//! A row of the table names the owner and its term (epoch). A daemon becomes the owner by a conditional write of this
//! row. Workers and the rows of jobs refuse orders and writes of earlier terms, so safety does not depend on clocks.
//! Clocks only determine how soon a dead owner is replaced.

pub mod candidate;
pub mod earlier;
pub mod load;
mod previous;
pub mod renewal;
mod row;
pub mod silent;
pub mod term;
pub mod watch;

use crate::cx::{Cx, Leader};
use crate::owner::{self, Owner};
use crate::table::OwnerRecord;
use candidate::Candidate;
use catkin_cell::fence::next_epoch;
use catkin_cell::worker::millis;
use catkin_schema::peer::{Heartbeat, Request, Response};
use catkin_types::Epoch;
use earlier::EarlierOwners;
use rand::RngExt;
use renewal::{Renewed, confirm_term, keep_renewed, renew, renew_interval};
use row::{OwnerRow, RowWrite, TABLE_TIMEOUT};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use term::Term;
use watch::{OwnerHealth, OwnerWatch, RowView, Vacancy};

/// The interval between heartbeats to the owner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// The timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);
/// The delay before the row is read again.
const REREAD_DELAY: Duration = Duration::from_millis(200);
/// The minimum time that a daemon owns the cell before it releases it for a better one.
const MIN_TERM: Duration = Duration::from_secs(4);
/// A daemon that the table service has not served for this long does not report itself as a candidate for ownership.
const TABLE_SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// How long an owner that can't renew its row still reports itself as the owner in heartbeats.
const UNCONFIRMED_LIMIT: Duration = Duration::from_millis(700);
/// After this many renewals in a row that failed at once, an owner no longer reports itself as the owner.
const MAX_FAST_FAILURES: u32 = 2;

/// Monitors the owner of the cell and takes over when there is none, until the daemon stops.
pub async fn run(cx: Arc<Cx>) {
    let mut watch = OwnerWatch::default();
    let mut current = OwnerRow::default();
    loop {
        let read_due = watch.is_read_due() || current.record.address.is_empty();
        if read_due && let Some(newer) = row::read(&cx).await {
            current = newer;
            watch.record_read();
            publish_leader(&cx, &current.record);
            if !cx.is_draining()
                && let Some(vacancy) = watch.vacancy(&row_view(&cx, &current.record))
            {
                tokio::time::sleep(takeover_delay(&cx, vacancy)).await;
                current = take_over(&cx, current).await;
                publish_leader(&cx, &current.record);
                watch.record_own_term();
                continue;
            }
        }
        let mut wait = REREAD_DELAY;
        if !current.record.address.is_empty() {
            let health = send_heartbeat(&cx, &current.record).await;
            watch.record_heartbeat(current.record.epoch, health);
            let healthy = health == OwnerHealth::Healthy;
            cx.set_owner_healthy(healthy);
            wait = if healthy { HEARTBEAT_INTERVAL } else { REREAD_DELAY };
        }
        if wait_for_announcement(&cx, wait).await {
            watch.record_announcement();
        }
    }
}

/// Waits for `time`, or until another daemon announces itself as the owner. Returns whether one did.
async fn wait_for_announcement(cx: &Cx, time: Duration) -> bool {
    tokio::time::timeout(time, cx.owner_announced.notified()).await.is_ok()
}

/// Returns how long this daemon waits before it takes the cell over.
fn takeover_delay(cx: &Cx, vacancy: Vacancy) -> Duration {
    own_candidate(cx).takeover_delay(vacancy) + jitter()
}

/// Returns this daemon as a candidate for owning the cell.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a share of a core")]
fn own_candidate(cx: &Cx) -> Candidate {
    Candidate {
        processors_milli: (cx.cfg.daemon.processors * 1_000.0) as u64,
        table_latency: cx.table.latency().shortest(),
    }
}

/// Whether the sender of a heartbeat would be a better owner than this daemon.
#[must_use]
pub fn is_better_owner(cx: &Cx, beat: &Heartbeat) -> bool {
    let sender = Candidate {
        processors_milli: beat.processors_milli,
        table_latency: Duration::from_millis(beat.table_latency_ms),
    };
    !beat.draining && sender.is_better_than(own_candidate(cx))
}

/// Returns a random delay, so that daemons that find the cell without an owner do not all write at once.
fn jitter() -> Duration {
    Duration::from_millis(rand::rng().random_range(0..60))
}

/// Returns the owner row as the decision about a takeover sees it.
fn row_view(cx: &Cx, record: &OwnerRecord) -> RowView {
    let age = Duration::from_millis(cx.table.clock_ms().saturating_sub(record.renewed_ms));
    RowView {
        epoch: record.epoch,
        is_released: record.address.is_empty(),
        is_ours: record.daemon == cx.cfg.daemon.id,
        // A slow table service delays the renewals of every owner.
        age: age.saturating_sub(cx.table.latency().renewal_allowance()),
    }
}

/// Sends a heartbeat to the owner.
async fn send_heartbeat(cx: &Cx, record: &OwnerRecord) -> OwnerHealth {
    let Ok(addr) = record.address.parse() else { return OwnerHealth::Unreachable };
    let req = Request::Heartbeat(own_heartbeat(cx));
    match cx.calls.call(addr, req, HEARTBEAT_TIMEOUT).await {
        Ok(Response::Heartbeat(b)) if b.leads == record.epoch => OwnerHealth::Healthy,
        Ok(_) => OwnerHealth::NotOwner,
        Err(e) => {
            tracing::debug!("lead: heartbeat to the owner failed: {e}");
            if e.is_refused() { OwnerHealth::Unreachable } else { OwnerHealth::TimedOut }
        }
    }
}

/// Returns the heartbeat of this daemon.
#[must_use]
pub fn own_heartbeat(cx: &Cx) -> Heartbeat {
    let candidate = own_candidate(cx);
    Heartbeat {
        daemon: cx.cfg.daemon.id.clone(),
        incarnation: cx.incarnation,
        limits_version: cx.config.borrow().as_ref().map_or(0, |c| c.version),
        draining: cx.is_draining(),
        address: cx.peer_address(),
        leads: confirmed_epoch(cx),
        processors_milli: if cx.table.since_last_served() < TABLE_SILENCE_LIMIT {
            candidate.processors_milli
        } else {
            0
        },
        table_latency_ms: millis(candidate.table_latency),
        ..Heartbeat::default()
    }
}

/// Returns the term in which this daemon owns the cell; 0 if it does not own it, or could not renew its row lately. A
/// daemon that can write then takes over; if none can, this owner continues.
fn confirmed_epoch(cx: &Cx) -> Epoch {
    let Some(term) = *cx.term.borrow() else { return 0 };
    let limit = UNCONFIRMED_LIMIT + cx.table.latency().renewal_allowance();
    let is_confirmed = term.fast_failures < MAX_FAST_FAILURES
        && cx.now().saturating_sub(term.confirmed_at) <= limit;
    if is_confirmed { term.epoch } else { 0 }
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

/// Tries to take the cell over, and owns it until it is released or lost. Returns the owner row as known afterwards.
async fn take_over(cx: &Arc<Cx>, previous: OwnerRow) -> OwnerRow {
    if cx.config.borrow().is_none() {
        tokio::time::sleep(REREAD_DELAY).await;
        return previous;
    }
    let sent = cx.now();
    let earlier = EarlierOwners::new(&previous.record, &cx.cfg.daemon.id, sent);
    let silent = silent::inherit(&previous.record.silent_workers_ms, sent);
    let claimed = OwnerRecord {
        epoch: next_epoch(previous.record.epoch),
        daemon: cx.cfg.daemon.id.clone(),
        incarnation: cx.incarnation,
        address: cx.peer_address(),
        renewed_ms: cx.table.clock_ms(),
        peers: other_peers(cx, &previous.record),
        earlier_owners_ms: earlier.left_ms(sent),
        silent_workers_ms: silent::left_ms(&silent, sent),
    };
    let current = match row::write(cx, &claimed, previous.version, TABLE_TIMEOUT).await {
        RowWrite::Applied(version) => OwnerRow { record: claimed, version },
        // A claim that took effect earlier than this attempt is not used: it is not known when.
        RowWrite::AppliedEarlier(other) | RowWrite::Superseded(other) => return other,
        RowWrite::NotConfirmed => return previous,
    };
    tracing::info!(
        epoch = current.record.epoch,
        from = previous.record.daemon,
        earlier_owners_ms = current.record.earlier_owners_ms,
        silent_workers = current.record.silent_workers_ms.len(),
        age_ms = current.record.renewed_ms.saturating_sub(previous.record.renewed_ms),
        "lead: taken over"
    );
    cx.metrics.count_takeover();
    let epoch = current.record.epoch;
    cx.silent_workers.send_replace(silent);
    cx.term.send_replace(Some(Term::new(epoch, sent, cx.now(), earlier)));
    previous::spawn_watch(cx, previous.record, epoch);
    publish_leader(cx, &current.record);
    let current = run_as_owner(cx, current).await;
    cx.term.send_replace(None);
    cx.owner.send_replace(None);
    current
}

/// Returns the daemons that the previous owner knew, without that owner and this daemon.
fn other_peers(cx: &Cx, previous: &OwnerRecord) -> Vec<String> {
    let own = cx.peer_address();
    let others = previous.peers.iter().filter(|addr| **addr != own && **addr != previous.address);
    others.cloned().collect()
}

/// Tells the daemons that the previous owner knew that this one owns the cell. Those that answer can call the adviser
/// for it from then on.
fn announce(cx: &Arc<Cx>, owner: &Owner, record: &OwnerRecord) {
    for addr in record.peers.iter().filter_map(|addr| addr.parse().ok()) {
        let (task_cx, owner) = (Arc::clone(cx), owner.clone());
        cx.spawn(async move {
            let req = Request::Heartbeat(own_heartbeat(&task_cx));
            match task_cx.calls.call(addr, req, HEARTBEAT_TIMEOUT).await {
                Ok(Response::Heartbeat(b)) => {
                    owner.notify(owner::Message::PeerHeartbeat(addr, b.draining));
                }
                Ok(_) => {}
                Err(e) => tracing::debug!("lead: announcement to {addr} failed: {e}"),
            }
        });
    }
}

/// Handles a heartbeat of a daemon that reports itself as the owner. If its term is newer than the known one, requests go
/// to it from now on.
pub fn handle_announcement(cx: &Cx, beat: &Heartbeat) {
    let Ok(addr) = beat.address.parse() else { return };
    let is_newer = cx.leader.borrow().as_ref().is_none_or(|old| old.epoch < beat.leads);
    if beat.leads > 0 && is_newer && cx.owner.borrow().is_none() {
        tracing::info!(epoch = beat.leads, daemon = beat.daemon, "lead: an owner announced itself");
        cx.leader.send_replace(Some(Leader { epoch: beat.leads, addr }));
        cx.owner_announced.notify_one();
    }
}

/// Runs the owner until another daemon takes over, this daemon releases the cell, or it drains.
async fn run_as_owner(cx: &Arc<Cx>, mut current: OwnerRow) -> OwnerRow {
    let epoch = current.record.epoch;
    let loaded = tokio::select! {
        loaded = load::load(cx, epoch) => loaded,
        newer = keep_renewed(cx, &mut current) => return newer,
    };
    let loaded = match loaded {
        Ok(loaded) => loaded,
        Err(e) => {
            tracing::warn!(epoch, "lead: releasing the cell, reading its jobs failed: {e}");
            return row::release(cx, current).await;
        }
    };
    confirm_term(cx);
    if !may_act(cx) {
        tracing::warn!(epoch, "lead: giving up the cell, reading its jobs took too long");
        return row::release(cx, current).await;
    }
    let owner = match Owner::start(Arc::clone(cx), epoch, loaded).await {
        Ok(owner) => owner,
        Err(e) => {
            tracing::error!(epoch, "lead: releasing the cell, its owner did not start: {e}");
            return row::release(cx, current).await;
        }
    };
    cx.owner.send_replace(Some(owner.clone()));
    cx.set_owner_healthy(true);
    announce(cx, &owner, &current.record);
    let next = serve(cx, &owner, &mut current).await;
    cx.owner.send_replace(None);
    owner::stop(owner).await;
    // A released cell is taken over at once, by a daemon that takes the release for proof that this one acts no more.
    let last = match next {
        Next::Release => row::release(cx, current).await,
        Next::Owner(row) => row,
    };
    tracing::info!(epoch, next = last.record.epoch, "lead: no longer the owner");
    last
}

/// What follows a term.
enum Next {
    /// The cell is to be released.
    Release,
    /// The cell is not released; its row is this one, as far as it is known.
    Owner(OwnerRow),
}

/// Renews the row of a running owner until its term ends.
async fn serve(cx: &Cx, owner: &Owner, current: &mut OwnerRow) -> Next {
    let epoch = current.record.epoch;
    let started = cx.now();
    let mut failed = false;
    loop {
        tokio::select! {
            () = tokio::time::sleep(renew_interval(failed)) => {}
            () = cx.drain.cancelled() => {}
            () = owner.superseded() => {
                tracing::info!(epoch, "lead: an owner of a later term exists");
                return Next::Owner(OwnerRow::default());
            }
            () = owner.failed() => {
                tracing::error!(epoch, "lead: releasing the cell, its owner has ended by itself");
                return Next::Release;
            }
        }
        if cx.is_draining() {
            return Next::Release;
        }
        let better = cx.better_owner_seen.swap(false, Ordering::Relaxed);
        if better && cx.now().saturating_sub(started) > MIN_TERM {
            tracing::info!(epoch, "lead: releasing the cell for a better owner");
            return Next::Release;
        }
        current.record.peers = cx.recent_peers();
        match renew(cx, current).await {
            Renewed::Applied => failed = false,
            Renewed::Superseded(other) => return Next::Owner(other),
            Renewed::NotConfirmed => failed = true,
        }
        if !may_act(cx) {
            tracing::warn!(epoch, "lead: giving up the cell, the table service did not answer");
            // A cell whose row was renewed after all is released, so that no daemon waits for it.
            return if failed { Next::Owner(current.clone()) } else { Next::Release };
        }
    }
}

/// Whether this daemon owns the cell and its term allows it to send orders now.
#[must_use]
pub fn may_act(cx: &Cx) -> bool {
    cx.term.borrow().is_some_and(|t| t.may_act(cx.now()))
}
