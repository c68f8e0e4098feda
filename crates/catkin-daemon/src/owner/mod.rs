//! The owner of a shard of workers: an actor around the lease state machine, placement and fair shares.

mod chunks;
mod members;
mod report;
mod schedule;
mod state;
mod wire;

use crate::Cx;
use crate::cx::Entry;
use crate::quota;
use crate::rows::{Acks, Chunk, Member};
use catkin_lease::message::{Reply, Request};
use catkin_schema::peer::{Aggregate, Response};
use catkin_store::hosts::Host;
use catkin_store::{Error as StoreError, Row};
use catkin_types::{JobId, ShardId, WorkerId};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use state::State;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// What an owner is told.
#[derive(Debug)]
pub enum Message {
    /// It is time to look at leases.
    Tick,
    /// There is work that may be placed now.
    Schedule,
    /// A worker answered.
    Reply(WorkerId, Request, Reply),
    /// The row, asked for at that time, still names this term.
    Confirm(Duration),
    /// The row names another term.
    Depose,
    /// The host list was read.
    Hosts(Arc<Vec<Host>>),
    /// There may be new jobs or cancellations in the table.
    Offer(oneshot::Sender<Response>),
    /// Chunks and cancellations were read.
    Loaded(Result<Loaded, StoreError>),
    /// A chunk was written.
    ChunkWritten(Box<ChunkWritten>),
    /// The version of a chunk's row was read, after a write found another one.
    ChunkVersionRead((JobId, u32), Result<Option<u64>, StoreError>),
    /// The list of members was written, with this version, or not.
    MembersWritten(Option<(u64, Vec<Member>)>),
    /// A vacant member answered.
    ProbeAnswered(WorkerId),
    /// Brings the shard's parts of limits, and asks what it wants and acknowledges.
    UpdateShares(quota::ShareUpdates, oneshot::Sender<Acks>),
    /// Asks for the aggregate.
    Describe(oneshot::Sender<Aggregate>),
    /// Asks where the tasks of a job are.
    Status(JobId, oneshot::Sender<Response>),
    /// Asks why a job waits.
    Explain(JobId, oneshot::Sender<Response>),
    /// Asks for the workers.
    Workers(oneshot::Sender<Response>),
    /// Ends the term. The answer says whether every worker of earlier terms was settled.
    Release(oneshot::Sender<bool>),
}

/// What the table has for a shard.
#[derive(Debug)]
pub struct Loaded {
    chunks: Vec<Row>,
    cancels: Vec<Row>,
    hosts: Option<Row>,
}

/// A chunk that was written.
#[derive(Debug)]
pub struct ChunkWritten {
    key: (JobId, u32),
    chunk: Chunk,
    result: Result<u64, StoreError>,
}

/// How a term begins.
#[derive(Debug)]
pub struct TermStart {
    /// The shard.
    pub shard: ShardId,
    /// The row as this owner wrote it.
    pub entry: Entry,
    /// When the compare-and-set was asked for, and answered.
    pub times: (Duration, Duration),
    /// How long workers of earlier terms are waited for. `None` if there was no earlier term.
    pub settle_after: Option<Duration>,
}

/// The actor.
pub struct WorkerOwner {
    /// The shared part.
    pub cx: Arc<Cx>,
}

impl Actor for WorkerOwner {
    type Msg = Message;
    type State = State;
    type Arguments = TermStart;

    async fn pre_start(
        &self,
        me: ActorRef<Message>,
        begin: TermStart,
    ) -> Result<State, ActorProcessingErr> {
        let mut s = State::new(Arc::clone(&self.cx), me.clone(), begin);
        s.load();
        me.send_message(Message::Tick)?;
        Ok(s)
    }

    async fn handle(
        &self,
        _: ActorRef<Message>,
        msg: Message,
        s: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match msg {
            Message::Tick => s.tick(),
            Message::Schedule => {
                s.schedule_pending = false;
                s.schedule();
            }
            Message::Reply(worker, req, reply) => s.reply(&worker, &req, &reply),
            Message::Confirm(asked) => {
                s.lease.confirm(asked);
                s.poll();
            }
            Message::Depose => s.lease.step_down(),
            Message::Hosts(hosts) => s.hosts(&hosts),
            Message::Offer(tx) => {
                s.load();
                let _ = tx.send(Response::Done);
            }
            Message::Loaded(loaded) => s.handle_loaded(loaded),
            Message::ChunkWritten(written) => s.handle_written(*written),
            Message::ChunkVersionRead(key, version) => s.handle_chunk_version(key, version),
            Message::MembersWritten(written) => s.members_written(written),
            Message::ProbeAnswered(worker) => s.handle_probe_answer(&worker),
            Message::UpdateShares(parts, tx) => drop(tx.send(s.update_shares(&parts))),
            Message::Describe(tx) => drop(tx.send(s.describe())),
            Message::Status(job, tx) => drop(tx.send(s.status(job))),
            Message::Explain(job, tx) => drop(tx.send(s.explain(job))),
            Message::Workers(tx) => drop(tx.send(s.workers())),
            Message::Release(tx) => {
                s.lease.step_down();
                let _ = tx.send(s.lease.settled());
            }
        }
        Ok(())
    }

    async fn post_stop(
        &self,
        _: ActorRef<Message>,
        s: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        s.io.shutdown().await;
        Ok(())
    }
}

/// The ids of hosts that the platform's list says are leaving.
fn leaving(hosts: &[Host]) -> BTreeSet<&str> {
    let is_leaving = |h: &&Host| h.state == catkin_store::hosts::State::Leaving;
    hosts.iter().filter(is_leaving).map(|h| h.id.as_str()).collect()
}
