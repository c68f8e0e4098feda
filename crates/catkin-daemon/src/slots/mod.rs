//! The owner of a shard of executors: counts their slots and gives them to gates, rows in fair order.
//!
//! An executor refuses what it has no slot for, before it runs anything. So a new owner that does not know which slots
//! are taken is slower for a moment and never wrong.

mod executors;

use crate::Cx;
use crate::quota::{LimitShares, ShareUpdates};
use crate::route::refused;
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

/// What an owner of executors is told.
#[derive(Debug)]
pub enum Message {
    /// It is time to look at waits and permits that are over.
    Tick,
    /// A gate wants a slot.
    Acquire(Acquire, oneshot::Sender<Response>),
    /// A gate gives a slot back.
    Release(Release, oneshot::Sender<Response>),
    /// The host list was read, with the hosts of the shard.
    Hosts(Arc<Vec<Host>>, Vec<Host>),
    /// Brings the shard's parts of limits, and asks what it wants and acknowledges.
    UpdateShares(ShareUpdates, oneshot::Sender<Acks>),
    /// Asks for the aggregate.
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

/// The owner's state.
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

/// How a term begins.
#[derive(Debug)]
pub struct TermStart {
    /// The shard.
    pub shard: ShardId,
    /// The term.
    pub epoch: Epoch,
    /// The executors.
    pub hosts: Vec<Host>,
}

/// The actor.
pub struct ExecutorOwner {
    /// The shared part.
    pub cx: Arc<Cx>,
}

/// How often waits and permits are looked at.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How much longer a permit lasts than the longest request.
const PERMIT_MARGIN: Duration = Duration::from_secs(5);

impl Actor for ExecutorOwner {
    type Msg = Message;
    type State = State;
    type Arguments = TermStart;

    async fn pre_start(
        &self,
        me: ActorRef<Message>,
        begin: TermStart,
    ) -> Result<State, ActorProcessingErr> {
        let mut executors = Executors::default();
        executors.update(&begin.hosts, &[]);
        me.send_message(Message::Tick)?;
        Ok(State {
            shard: begin.shard,
            epoch: begin.epoch,
            executors,
            queue: Queue::new(Options::default()),
            permits: HashMap::new(),
            running: BTreeMap::new(),
            limit_shares: LimitShares::default(),
            // Numbers of different terms differ, so that a slot of an earlier term is not given back in this one.
            next_id: begin.epoch << 32,
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
            let _ = tx.send(refused(Code::UNKNOWN_ROW, "the row is not in the table"));
            return;
        };
        if !s.executors.any_usable(now) {
            let _ = tx.send(refused(Code::NO_TARGET, "no executor of the shard takes requests"));
            return;
        }
        let max_wait_ms =
            row.max_wait_ms.min(u64::try_from(req.wait.as_millis()).unwrap_or(u64::MAX));
        let row = Row { max_wait_ms, ..row };
        let (waiter, rejection) = (Waiter { tx, since: now }, s.queue.probe(&row));
        match rejection {
            Some(rejected) => drop(waiter.tx.send(rejection_response(&rejected))),
            None => drop(s.queue.offer(&row, waiter, now)),
        }
    }

    /// Gives free slots to those whose turn it is.
    fn dispatch(&self, s: &mut State, now: Duration) {
        let Some(table) = self.cx.table() else { return };
        while let Some(executor) = s.executors.pick(now) {
            let usage = Usage {
                executors: &s.executors,
                running: &s.running,
                limit_shares: &s.limit_shares,
            };
            let below =
                |name: &RowName| table.get(name).is_some_and(|row| usage.admits(row, &table));
            let Some((name, waiter)) = s.queue.take(now, below) else { return };
            if waiter.tx.is_closed() {
                continue;
            }
            self.cx.metrics.waited(&name, now.saturating_sub(waiter.since));
            self.grant(s, executor, name, waiter, now);
        }
    }

    /// Takes up the shard's parts of limits, and tells what the rows want.
    fn update_shares(&self, s: &mut State, updates: &ShareUpdates) -> Acks {
        s.limit_shares.apply(updates);
        let Some(table) = self.cx.table() else { return Acks::new() };
        let mut acks = Acks::new();
        for row in table.rows().filter(|r| r.max_running > 0 && !r.service.is_empty()) {
            let running = s.running.get(&row.name).copied().unwrap_or_default();
            let within = running <= s.limit_shares.share_of(&row.name, row.max_running);
            let waiting = s.queue.len_of(&row.name) as u64;
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
        let longest =
            Duration::from_millis(self.cx.settings.gate.request_timeout_ms.get()) + PERMIT_MARGIN;
        s.next_id += 1;
        let id = s.next_id;
        let (name, target) = s.executors.take_slot(executor);
        *s.running.entry(row.clone()).or_default() += 1;
        s.permits.insert(id, GrantedPermit { executor: name, row, expires: now + longest });
        let permit = Response::Permit(Permit { id, target, expires: longest });
        if waiter.tx.send(permit).is_err() {
            s.release_permit(id);
        }
    }
}

/// How many slots are left to urgent rows below their share: half of the square root, as for staff on call.
fn urgent_reserve(slots: u64) -> u64 {
    (slots / 4).isqrt().max(u64::from(slots > 1))
}

/// What is taken of the shard's slots.
struct Usage<'a> {
    executors: &'a Executors,
    running: &'a BTreeMap<RowName, u64>,
    limit_shares: &'a LimitShares,
}

impl Usage<'_> {
    /// Whether a row may have the next slot: it is within its limit, and leaves the last few slots to urgent rows that
    /// are below their share, so that these need not wait for an end.
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
        let same = table.rows().filter(|r| r.service == row.service);
        let weights: u64 = same.map(|r| u64::from(r.weight)).sum();
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
            let _ = waiter.tx.send(refused(Code::WAIT_TOO_LONG, "no slot came free in time"));
        }
        let over: Vec<u64> =
            self.permits.iter().filter(|(_, g)| g.expires <= now).map(|(id, _)| *id).collect();
        for id in over {
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
