//! The owner of a shard of workers: an actor that drives the lease state machine, placement and fair shares.

mod chunks;
mod members;
mod preempt;
mod report;
mod schedule;
mod shares;
mod state;
mod wire;

use crate::Cx;
use crate::cx::DirectoryEntry;
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

/// Messages to a [`WorkerOwner`].
#[derive(Debug)]
pub enum Message {
    /// Periodic check of leases, members and writes.
    Tick,
    /// Runs a scheduling pass: tasks may be ready to be placed.
    Schedule,
    /// A worker answered the request.
    Reply(WorkerId, Request, Reply),
    /// The shard's row still named this term when read. The time is when the read was requested.
    Confirm(Duration),
    /// The shard's row names another term.
    Depose,
    /// The host list was read.
    Hosts(Arc<Vec<Host>>),
    /// The table may have new jobs or cancellations.
    Offer(oneshot::Sender<Response>),
    /// The result of reading chunks, cancellations and members.
    Loaded(Result<Loaded, StoreError>),
    /// The result of writing a chunk.
    ChunkWritten(Box<ChunkWritten>),
    /// The version of a chunk's row, read after a write met a version conflict. `None` if the row does not exist.
    ChunkVersionRead((JobId, u32), Result<Option<u64>, StoreError>),
    /// The list of members was written, with this version. `None` if the write failed.
    MembersWritten(Option<(u64, Vec<Member>)>),
    /// A vacant member answered a probe.
    ProbeAnswered(WorkerId),
    /// Updates the shard's shares of limits. The answer has the shard's demand and the updates that it acknowledges.
    UpdateShares(quota::ShareUpdates, oneshot::Sender<Acks>),
    /// Requests the aggregate of the shard.
    Describe(oneshot::Sender<Aggregate>),
    /// Requests how many tasks of a job are in which state.
    Status(JobId, oneshot::Sender<Response>),
    /// Requests the reasons why a job waits.
    Explain(JobId, oneshot::Sender<Response>),
    /// Requests the list of workers.
    Workers(oneshot::Sender<Response>),
    /// Ends the term. The answer is `true` if every worker of earlier terms was settled.
    Release(oneshot::Sender<bool>),
}

/// The rows of a shard as read from the table.
#[derive(Debug)]
pub struct Loaded {
    chunks: Vec<Row>,
    cancels: Vec<Row>,
    hosts: Option<Row>,
}

/// The result of writing a chunk.
#[derive(Debug)]
pub struct ChunkWritten {
    key: (JobId, u32),
    chunk: Chunk,
    result: Result<u64, StoreError>,
}

/// The arguments with which a [`WorkerOwner`] begins a term.
#[derive(Debug)]
pub struct TermStart {
    /// The shard that is owned in this term.
    pub shard: ShardId,
    /// The row as this owner wrote it.
    pub entry: DirectoryEntry,
    /// When the compare-and-set of the row was requested, and when it was answered.
    pub times: (Duration, Duration),
    /// How long to wait for workers of earlier terms. `None` if there was no earlier term.
    pub settle_after: Option<Duration>,
}

/// The actor that owns a shard of workers.
pub struct WorkerOwner {
    /// The context that all parts of the daemon share.
    pub cx: Arc<Cx>,
}

impl Actor for WorkerOwner {
    type Msg = Message;
    type State = State;
    type Arguments = TermStart;

    async fn pre_start(
        &self,
        me: ActorRef<Message>,
        start: TermStart,
    ) -> Result<State, ActorProcessingErr> {
        let mut s = State::new(Arc::clone(&self.cx), me.clone(), start);
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

/// Returns the ids of the hosts that the platform's list marks as leaving.
fn leaving(hosts: &[Host]) -> BTreeSet<&str> {
    let is_leaving = |h: &&Host| h.state == catkin_store::hosts::State::Leaving;
    hosts.iter().filter(is_leaving).map(|h| h.id.as_str()).collect()
}
