//! The actor that commits writes in batches, one transaction at a time, and the handle that sends it writes.

mod resolve;

use crate::error::Error;
use crate::hosts::Host;
use crate::table::{Answer, Row, SendResult, Txn};
use crate::{Options, batch, hosts, objects, table};
use bytes::Bytes;
use catkin_http::Client;
use catkin_http::client::Traffic;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

const WAITING: u8 = 0;
const SENT: u8 = 1;
const WITHDRAWN: u8 = 2;

type Reply = oneshot::Sender<Result<u64, Error>>;

/// A queued write. Either the actor sends it or its caller withdraws it, never both.
#[derive(Debug)]
pub struct Pending {
    txn: Txn,
    phase: Arc<AtomicU8>,
    tx: Reply,
}

impl Pending {
    /// Moves from [`WAITING`] to `to`. Returns false if the write is no longer waiting.
    fn leave_waiting(phase: &AtomicU8, to: u8) -> bool {
        phase.compare_exchange(WAITING, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
}

/// Messages of the committing actor.
#[derive(Debug)]
pub enum Message {
    /// Adds a write to the queue.
    Commit(Pending),
    /// The batching delay has passed: send a transaction.
    Flush,
    /// The outcome of the batch's transaction is known.
    Resolved(Box<Batch>, Outcome),
}

/// The writes of one transaction.
#[derive(Debug)]
pub struct Batch {
    id: String,
    writes: Vec<Pending>,
}

/// The final outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect. The rows that it wrote have this version.
    Committed(u64),
    /// It had no effect: the versions of the rows with these keys differ from the expected ones.
    Conflicts(Vec<String>),
    /// It had no effect, and never will, for this reason.
    Aborted(String),
}

/// Counts of requests to the table service since the start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Transactions sent, without those that abort another.
    pub transactions: AtomicU64,
    /// Rows written or removed by the transactions sent, whether or not they took effect.
    pub rows: AtomicU64,
    /// Reads by callers.
    pub reads: AtomicU64,
    /// Transactions whose answer was lost.
    pub lost: AtomicU64,
}

struct Committer {
    opt: Arc<Options>,
    http: Client,
    counts: Arc<Counts>,
}

struct CommitterState {
    waiting: VecDeque<Pending>,
    flush_scheduled: bool,
    in_flight: Option<JoinHandle<()>>,
    previous: Option<String>,
}

impl Actor for Committer {
    type Msg = Message;
    type State = CommitterState;
    type Arguments = ();

    async fn pre_start(
        &self,
        _: ActorRef<Message>,
        (): (),
    ) -> Result<CommitterState, ActorProcessingErr> {
        Ok(CommitterState {
            waiting: VecDeque::new(),
            flush_scheduled: false,
            in_flight: None,
            previous: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        msg: Message,
        state: &mut CommitterState,
    ) -> Result<(), ActorProcessingErr> {
        match msg {
            Message::Commit(pending) => self.enqueue(&myself, pending, state),
            Message::Flush => {
                state.flush_scheduled = false;
                self.flush(&myself, state);
            }
            Message::Resolved(batch, outcome) => {
                state.in_flight = None;
                finish(*batch, &outcome, state);
                self.flush(&myself, state);
            }
        }
        Ok(())
    }

    async fn post_stop(
        &self,
        _: ActorRef<Message>,
        state: &mut CommitterState,
    ) -> Result<(), ActorProcessingErr> {
        if let Some(in_flight) = state.in_flight.take() {
            in_flight.abort();
            let _ = in_flight.await;
        }
        Ok(())
    }
}

impl Committer {
    fn enqueue(&self, myself: &ActorRef<Message>, pending: Pending, state: &mut CommitterState) {
        if state.waiting.len() >= self.opt.max_waiting {
            let _ = pending.tx.send(Err(Error::Unavailable("too many writes wait".into())));
            return;
        }
        state.waiting.push_back(pending);
        if !state.flush_scheduled && state.in_flight.is_none() {
            state.flush_scheduled = true;
            myself.send_after(self.opt.batch_delay, || Message::Flush);
        }
    }

    fn flush(&self, myself: &ActorRef<Message>, state: &mut CommitterState) {
        if state.in_flight.is_some() {
            return;
        }
        let chosen = batch::select_disjoint(
            state.waiting.iter().map(|write| &write.txn),
            self.opt.max_batch,
        );
        let mut writes = Vec::new();
        for i in chosen.into_iter().rev() {
            writes.extend(
                state.waiting.remove(i).filter(|write| Pending::leave_waiting(&write.phase, SENT)),
            );
        }
        writes.reverse();
        if writes.is_empty() {
            return;
        }
        let batch = Box::new(Batch { id: uuid::Uuid::new_v4().simple().to_string(), writes });
        let txn = batch::merge(
            &batch.id,
            state.previous.as_deref(),
            batch.writes.iter().map(|write| &write.txn),
        );
        let (opt, http, counts) =
            (Arc::clone(&self.opt), self.http.clone(), Arc::clone(&self.counts));
        let myself = myself.clone();
        state.in_flight = Some(tokio::spawn(async move {
            let outcome = resolve::commit(&opt, &http, &counts, &batch.id, &txn).await;
            // Fails if the actor has stopped. The reply channels then close, and callers return `Error::Unknown`.
            let _ = myself.send_message(Message::Resolved(batch, outcome));
        }));
    }
}

fn finish(batch: Batch, outcome: &Outcome, state: &mut CommitterState) {
    match outcome {
        Outcome::Committed(version) => {
            state.previous = Some(batch.id);
            for write in batch.writes {
                let _ = write.tx.send(Ok(*version));
            }
        }
        Outcome::Aborted(reason) => {
            for write in batch.writes {
                let _ = write.tx.send(Err(Error::Unavailable(reason.clone())));
            }
        }
        Outcome::Conflicts(rows) => {
            for write in batch.writes.into_iter().rev() {
                let own = batch::conflicts_of(&write.txn, rows);
                if own.is_empty() {
                    write.phase.store(WAITING, Ordering::Release);
                    state.waiting.push_front(write);
                } else {
                    let _ = write.tx.send(Err(Error::Conflict(own)));
                }
            }
        }
    }
}

/// A handle to the platform's services.
#[derive(Clone, Debug)]
pub struct Store {
    opt: Arc<Options>,
    http: Client,
    actor: ActorRef<Message>,
    counts: Arc<Counts>,
    host_lists: Arc<hosts::Cache>,
}

impl Store {
    /// Starts the committing actor. The caller awaits the returned handle after [`Store::stop`].
    ///
    /// # Errors
    /// Fails if the actor can't be spawned.
    pub async fn start(opt: Options) -> Result<(Self, JoinHandle<()>), ractor::SpawnErr> {
        let opt = Arc::new(opt);
        let http = Client::default();
        let counts = Arc::new(Counts::default());
        let committer =
            Committer { opt: Arc::clone(&opt), http: http.clone(), counts: Arc::clone(&counts) };
        let (actor, handle) = Actor::spawn(None, committer, ()).await?;
        Ok((Self { opt, http, actor, counts, host_lists: Arc::default() }, handle))
    }

    /// Stops the actor. Commits that wait for their outcome fail with [`Error::Unknown`].
    pub fn stop(&self) {
        self.actor.stop(None);
    }

    /// Returns the counts of requests to the table service.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Commits a transaction and returns the version of the rows that it wrote.
    ///
    /// # Errors
    /// [`Error::Conflict`] or [`Error::Unavailable`] if it certainly had no effect. [`Error::Unknown`] if it was sent
    /// and its outcome is not known after `max_wait`, or if the actor stops.
    pub async fn commit(&self, txn: Txn, max_wait: Duration) -> Result<u64, Error> {
        let (tx, rx) = oneshot::channel();
        let phase = Arc::new(AtomicU8::new(WAITING));
        let pending = Pending { txn, phase: Arc::clone(&phase), tx };
        if self.actor.send_message(Message::Commit(pending)).is_err() {
            return Err(Error::Unavailable("the daemon is stopping".into()));
        }
        match tokio::time::timeout(max_wait, rx).await {
            Ok(Ok(result)) => result,
            Err(_) if Pending::leave_waiting(&phase, WITHDRAWN) => {
                Err(Error::Unavailable("the write was not sent in time".into()))
            }
            Ok(Err(_)) | Err(_) => Err(Error::Unknown),
        }
    }

    /// Reads the rows whose keys begin with `prefix`, in order of key.
    ///
    /// # Errors
    /// As [`table::rows`].
    pub async fn rows(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        table::rows(&self.http, &self.opt.table_url, prefix, self.opt.timeout).await
    }

    /// Reads one row, or `None` if it does not exist.
    ///
    /// # Errors
    /// As [`table::row`].
    pub async fn row(&self, key: &str) -> Result<Option<Row>, Error> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        table::row(&self.http, &self.opt.table_url, key, self.opt.timeout).await
    }

    /// Reads the host list of a region. An unchanged list comes from the cache.
    ///
    /// # Errors
    /// As [`hosts::list`].
    pub async fn hosts(&self, region: &str) -> Result<Vec<Host>, Error> {
        hosts::list(&self.http, &self.opt.hosts_url, region, &self.host_lists, self.opt.timeout)
            .await
    }

    /// Returns the counts of bytes sent to the platform and received from it.
    #[must_use]
    pub fn traffic(&self) -> &Arc<Traffic> {
        self.http.traffic()
    }

    /// Writes an object. Each key is written only once.
    ///
    /// # Errors
    /// As [`objects::put`].
    pub async fn put_object(&self, key: &str, bytes: Bytes) -> Result<(), Error> {
        objects::put(&self.http, &self.opt.objects_url, key, bytes, self.opt.timeout).await
    }

    /// Reads an object, or `None` if it does not exist.
    ///
    /// # Errors
    /// As [`objects::get`].
    pub async fn get_object(&self, key: &str) -> Result<Option<Bytes>, Error> {
        objects::get(&self.http, &self.opt.objects_url, key, self.opt.timeout).await
    }
}

fn outcome_of(answer: Answer) -> Outcome {
    match answer {
        Answer::Committed(version) => Outcome::Committed(version),
        Answer::Conflicts(rows) => Outcome::Conflicts(rows),
    }
}

/// Returns the outcome that one attempt shows, or `None` if the answer was lost.
fn outcome_if_known(sent: SendResult) -> Option<Outcome> {
    match sent {
        SendResult::Answered(answer) => Some(outcome_of(answer)),
        SendResult::Refused(reason) => Some(Outcome::Aborted(reason)),
        SendResult::Lost(_) => None,
    }
}
