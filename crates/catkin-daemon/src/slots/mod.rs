//! The owner of a shard of executors: tracks their slots and grants them to gates, rows in fair order.
//!
//! An executor refuses a request for which it has no slot before it runs anything. A new owner does not know which slots
//! are taken: it is slower at first, but no executor runs more than it has slots for.

mod executors;

use crate::Cx;
use crate::quota::{LimitShares, ShareUpdates};
use crate::route::refusal;
use crate::rows::{Ack, Acks};
use catkin_limits::Table;
use catkin_queue::{Options, Queue, Rejected};
use catkin_schema::peer::{Acquire, Aggregate, Permit, Refused, Release, Response};
use catkin_store::hosts::Host;
use catkin_types::resources::ratio;
use catkin_types::row::Urgency;
use catkin_types::{Code, Epoch, Resources, Row, RowName, ShardId};
use executors::Executors;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Messages to an [`ExecutorOwner`].
#[derive(Debug)]
pub enum Message {
    /// Periodic check for waiting requests and permits that have expired.
    Tick,
    /// A gate requests a slot.
    Acquire(Acquire, oneshot::Sender<Response>),
    /// A gate returns a slot.
    Release(Release, oneshot::Sender<Response>),
    /// The host list was read. Carries the list and the hosts of the shard.
    Hosts(Arc<Vec<Host>>, Vec<Host>),
    /// Updates the shard's shares of limits. The answer has the shard's demand and the updates that it acknowledges.
    UpdateShares(ShareUpdates, oneshot::Sender<Acks>),
    /// Requests the aggregate of the shard.
    Describe(oneshot::Sender<Aggregate>),
}

struct Waiter {
    tx: oneshot::Sender<Response>,
    since: Duration,
}

struct GrantedPermit {
    executor: String,
    row: RowName,
    expires: Duration,
}

/// State of an [`ExecutorOwner`].
pub struct State {
    shard: ShardId,
    epoch: Epoch,
    executors: Executors,
    queue: Queue<Waiter>,
    permits: HashMap<u64, GrantedPermit>,
    running: BTreeMap<RowName, u64>,
    limit_shares: LimitShares,
    next_id: u64,
}

/// The arguments with which an [`ExecutorOwner`] begins a term.
#[derive(Debug)]
pub struct TermStart {
    /// The shard that is owned in this term.
    pub shard: ShardId,
    /// The epoch of the term.
    pub epoch: Epoch,
    /// The executors of the shard, from its durable list.
    pub hosts: Vec<Host>,
}

/// The actor that owns a shard of executors.
pub struct ExecutorOwner {
    /// The context that all parts of the daemon share.
    pub cx: Arc<Cx>,
}

/// Interval between checks for expired requests and permits.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How much longer than the request timeout a permit lasts.
const PERMIT_MARGIN: Duration = Duration::from_secs(5);

impl Actor for ExecutorOwner {
    type Msg = Message;
    type State = State;
    type Arguments = TermStart;

    async fn pre_start(
        &self,
        me: ActorRef<Message>,
        start: TermStart,
    ) -> Result<State, ActorProcessingErr> {
        let mut executors = Executors::default();
        executors.update(&start.hosts, &[]);
        me.send_message(Message::Tick)?;
        Ok(State {
            shard: start.shard,
            epoch: start.epoch,
            executors,
            queue: Queue::new(Options::default()),
            permits: HashMap::new(),
            running: BTreeMap::new(),
            limit_shares: LimitShares::default(),
            // Ids of different terms differ, so that a slot of an earlier term is not returned in this one.
            next_id: start.epoch << 32,
        })
    }

    async fn handle(
        &self,
        me: ActorRef<Message>,
        msg: Message,
        s: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = self.cx.now();
        match msg {
            Message::Tick => {
                s.expire(now);
                self.dispatch(s, now);
                me.send_after(TICK_INTERVAL, || Message::Tick);
            }
            Message::Acquire(req, tx) => {
                self.acquire(s, &req, tx, now);
                self.dispatch(s, now);
            }
            Message::Release(req, tx) => {
                s.release(&req, now);
                self.dispatch(s, now);
                let _ = tx.send(Response::Done);
            }
            Message::Hosts(list, own) => {
                s.executors.update(&own, &list);
                self.dispatch(s, now);
            }
            Message::UpdateShares(parts, tx) => {
                let acks = self.update_shares(s, &parts);
                self.dispatch(s, now);
                let _ = tx.send(acks);
            }
            Message::Describe(tx) => drop(tx.send(s.describe())),
        }
        Ok(())
    }
}

impl ExecutorOwner {
    fn acquire(&self, s: &mut State, req: &Acquire, tx: oneshot::Sender<Response>, now: Duration) {
        let Some(row) = self.cx.row(&req.row) else {
            let _ = tx.send(refusal(Code::UNKNOWN_ROW, "the row is not in the table"));
            return;
        };
        if !s.executors.any_usable(now) {
            let _ = tx.send(refusal(Code::NO_TARGET, "no executor of the shard takes requests"));
            return;
        }
        let max_wait_ms =
            row.max_wait_ms.min(u64::try_from(req.wait.as_millis()).unwrap_or(u64::MAX));
        let row = Row { max_wait_ms, ..row };
        let (waiter, rejection) = (Waiter { tx, since: now }, s.queue.check_admission(&row));
        match rejection {
            Some(rejected) => drop(waiter.tx.send(rejection_response(&rejected))),
            None => drop(s.queue.offer(&row, waiter, now)),
        }
    }

    /// Grants free slots to waiting requests in fair order.
    fn dispatch(&self, s: &mut State, now: Duration) {
        let Some(table) = self.cx.table() else { return };
        while let Some(executor) = s.executors.pick(now) {
            let usage = Usage {
                executors: &s.executors,
                running: &s.running,
                limit_shares: &s.limit_shares,
            };
            let admitted =
                |name: &RowName| table.get(name).is_some_and(|row| usage.admits(row, &table));
            let Some((name, waiter)) = s.queue.take(now, admitted) else { return };
            if waiter.tx.is_closed() {
                continue;
            }
            self.cx.metrics.record_wait(&name, now.saturating_sub(waiter.since));
            self.grant(s, executor, name, waiter, now);
        }
    }

    /// Applies updates of the shard's shares of limits. Returns each limited row's demand and the update that it
    /// acknowledges.
    fn update_shares(&self, s: &mut State, updates: &ShareUpdates) -> Acks {
        s.limit_shares.apply(updates);
        let Some(table) = self.cx.table() else { return Acks::new() };
        let mut acks = Acks::new();
        for row in table.rows().filter(|r| r.max_running > 0 && !r.service.is_empty()) {
            let running = s.running.get(&row.name).copied().unwrap_or_default();
            let within = running <= s.limit_shares.share_of(&row.name, row.max_running);
            let waiting = s.queue.row_len(&row.name) as u64;
            let (seq, want) = (
                s.limit_shares.ack_seq(&row.name, within),
                ratio(running + waiting, row.max_running),
            );
            if seq > 0 || want > 0.0 {
                acks.insert(row.name.clone(), Ack { seq, want });
            }
        }
        acks
    }

    fn grant(&self, s: &mut State, executor: usize, row: RowName, waiter: Waiter, now: Duration) {
        let permit_lifetime =
            Duration::from_millis(self.cx.settings.gate.request_timeout_ms.get()) + PERMIT_MARGIN;
        s.next_id += 1;
        let id = s.next_id;
        let (name, target) = s.executors.take_slot(executor);
        *s.running.entry(row.clone()).or_default() += 1;
        s.permits.insert(id, GrantedPermit { executor: name, row, expires: now + permit_lifetime });
        let permit = Response::Permit(Permit { id, target, expires: permit_lifetime });
        if waiter.tx.send(permit).is_err() {
            s.release_permit(id);
        }
    }
}

/// Returns how many slots are reserved for urgent rows below their share: half of the square root of all slots, as in
/// square-root staffing, and at least one of several.
fn urgent_reserve(slots: u64) -> u64 {
    (slots / 4).isqrt().max(u64::from(slots > 1))
}

/// Current use of the shard's slots.
struct Usage<'a> {
    executors: &'a Executors,
    running: &'a BTreeMap<RowName, u64>,
    limit_shares: &'a LimitShares,
}

impl Usage<'_> {
    /// Returns whether a row may have the next slot. It has to be within its limit. The last few slots are reserved for
    /// urgent rows below their share, so that these need not wait until a request ends.
    fn admits(&self, row: &Row, table: &Table) -> bool {
        let running = self.running.get(&row.name).copied().unwrap_or_default();
        if row.max_running > 0 && running >= self.limit_shares.share_of(&row.name, row.max_running)
        {
            return false;
        }
        let slots = self.executors.slots();
        if self.executors.free() > urgent_reserve(slots) {
            return true;
        }
        let same_service = table.rows().filter(|r| r.service == row.service);
        let weights: u64 = same_service.map(|r| u64::from(r.weight)).sum();
        let share = slots * u64::from(row.weight) / weights.max(1);
        row.urgency == Urgency::Urgent && running < share
    }
}

impl State {
    fn release(&mut self, req: &Release, now: Duration) {
        let Some(granted) = self.permits.get(&req.id) else { return };
        self.executors.record_health(&granted.executor, req.healthy, now);
        self.release_permit(req.id);
    }

    fn release_permit(&mut self, id: u64) {
        let Some(granted) = self.permits.remove(&id) else { return };
        self.executors.release_slot(&granted.executor);
        if let Some(n) = self.running.get_mut(&granted.row) {
            *n = n.saturating_sub(1);
        }
    }

    fn expire(&mut self, now: Duration) {
        for (_, waiter) in self.queue.expire(now) {
            let _ = waiter.tx.send(refusal(Code::WAIT_TOO_LONG, "no slot came free in time"));
        }
        let expired: Vec<u64> =
            self.permits.iter().filter(|(_, g)| g.expires <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.release_permit(id);
        }
    }

    fn describe(&self) -> Aggregate {
        Aggregate {
            shard: self.shard.clone(),
            epoch: self.epoch,
            free: Resources::new(self.executors.free(), 0, 0),
            waiting: self.queue.len() as u64,
            largest: Resources::new(self.executors.slots(), 0, 0),
        }
    }
}

fn rejection_response(r: &Rejected) -> Response {
    let (code, retry_after, message) = (r.code().number(), r.retry_after(), r.to_string());
    Response::Refused(Refused { code, retry_after, message })
}
