//! The actor that commits writes in batches, one transaction at a time.

mod settle;

use crate::error::Error;
use crate::hosts::Host;
use crate::table::{Answer, Row, Sent, Txn};
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

/// A write that waits. Either the actor sends it or its caller withdraws it, never both.
#[derive(Debug)]
pub struct Pending {
    txn: Txn,
    phase: Arc<AtomicU8>,
    tx: Reply,
}

impl Pending {
    fn move_to(phase: &AtomicU8, to: u8) -> bool {
        phase.compare_exchange(WAITING, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
}

/// What the actor is told.
#[derive(Debug)]
pub enum Message {
    /// A write.
    Commit(Pending),
    /// The time to collect writes is over.
    Flush,
    /// A transaction is settled.
    Settled(Box<Batch>, Settled),
}

/// The writes of one transaction.
#[derive(Debug)]
pub struct Batch {
    id: String,
    parts: Vec<Pending>,
}

/// What became of a transaction, for certain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It took effect, with this version.
    Committed(u64),
    /// It had no effect: these rows were not as expected.
    Conflicts(Vec<String>),
    /// It had no effect, and never will.
    Aborted(String),
}

/// Counts of what the table service was asked.
#[derive(Debug, Default)]
pub struct Counts {
    /// Transactions sent.
    pub transactions: AtomicU64,
    /// Rows written.
    pub rows: AtomicU64,
    /// Reads.
    pub reads: AtomicU64,
    /// Transactions whose answer was lost.
    pub lost: AtomicU64,
}

struct Committer {
    opt: Arc<Options>,
    http: Client,
    counts: Arc<Counts>,
}

struct Progress {
    waiting: VecDeque<Pending>,
    flush_due: bool,
    running: Option<JoinHandle<()>>,
    previous: Option<String>,
}

impl Actor for Committer {
    type Msg = Message;
    type State = Progress;
    type Arguments = ();

    async fn pre_start(
        &self,
        _: ActorRef<Message>,
        (): (),
    ) -> Result<Progress, ActorProcessingErr> {
        Ok(Progress { waiting: VecDeque::new(), flush_due: false, running: None, previous: None })
    }

    async fn handle(
        &self,
        me: ActorRef<Message>,
        msg: Message,
        p: &mut Progress,
    ) -> Result<(), ActorProcessingErr> {
        match msg {
            Message::Commit(pending) => self.enqueue(&me, pending, p),
            Message::Flush => {
                p.flush_due = false;
                self.flush(&me, p);
            }
            Message::Settled(batch, settled) => {
                p.running = None;
                finish(*batch, &settled, p);
                self.flush(&me, p);
            }
        }
        Ok(())
    }

    async fn post_stop(
        &self,
        _: ActorRef<Message>,
        p: &mut Progress,
    ) -> Result<(), ActorProcessingErr> {
        if let Some(running) = p.running.take() {
            running.abort();
            let _ = running.await;
        }
        Ok(())
    }
}

impl Committer {
    fn enqueue(&self, me: &ActorRef<Message>, pending: Pending, p: &mut Progress) {
        if p.waiting.len() >= self.opt.max_waiting {
            let _ = pending.tx.send(Err(Error::Down("too many writes wait".into())));
            return;
        }
        p.waiting.push_back(pending);
        if !p.flush_due && p.running.is_none() {
            p.flush_due = true;
            me.send_after(self.opt.batch, || Message::Flush);
        }
    }

    fn flush(&self, me: &ActorRef<Message>, p: &mut Progress) {
        if p.running.is_some() {
            return;
        }
        let chosen = batch::share(p.waiting.iter().map(|w| &w.txn), self.opt.max_batch);
        let mut parts = Vec::new();
        for i in chosen.into_iter().rev() {
            parts.extend(p.waiting.remove(i).filter(|w| Pending::move_to(&w.phase, SENT)));
        }
        parts.reverse();
        if parts.is_empty() {
            return;
        }
        let batch = Box::new(Batch { id: uuid::Uuid::new_v4().simple().to_string(), parts });
        let txn =
            batch::merge(&batch.id, p.previous.as_deref(), batch.parts.iter().map(|w| &w.txn));
        let (opt, http, counts) =
            (Arc::clone(&self.opt), self.http.clone(), Arc::clone(&self.counts));
        let me = me.clone();
        p.running = Some(tokio::spawn(async move {
            let settled = settle::commit(&opt, &http, &counts, &batch.id, &txn).await;
            // The actor may have stopped: the callers hear that their channel closed, which counts as unknown.
            let _ = me.send_message(Message::Settled(batch, settled));
        }));
    }
}

fn finish(batch: Batch, settled: &Settled, p: &mut Progress) {
    match settled {
        Settled::Committed(version) => {
            p.previous = Some(batch.id);
            for w in batch.parts {
                let _ = w.tx.send(Ok(*version));
            }
        }
        Settled::Aborted(why) => {
            for w in batch.parts {
                let _ = w.tx.send(Err(Error::Down(why.clone())));
            }
        }
        Settled::Conflicts(rows) => {
            for w in batch.parts.into_iter().rev() {
                let own = batch::conflicts_of(&w.txn, rows);
                if own.is_empty() {
                    w.phase.store(WAITING, Ordering::Release);
                    p.waiting.push_front(w);
                } else {
                    let _ = w.tx.send(Err(Error::Conflict(own)));
                }
            }
        }
    }
}

/// A handle on the platform's services.
#[derive(Clone, Debug)]
pub struct Store {
    opt: Arc<Options>,
    http: Client,
    actor: ActorRef<Message>,
    counts: Arc<Counts>,
    lists: Arc<hosts::Cache>,
}

impl Store {
    /// Starts the committing actor. Whoever starts it joins the handle after [`Store::stop`].
    ///
    /// # Errors
    /// The actor could not be spawned.
    pub async fn start(opt: Options) -> Result<(Self, JoinHandle<()>), ractor::SpawnErr> {
        let opt = Arc::new(opt);
        let http = Client::default();
        let counts = Arc::new(Counts::default());
        let committer =
            Committer { opt: Arc::clone(&opt), http: http.clone(), counts: Arc::clone(&counts) };
        let (actor, handle) = Actor::spawn(None, committer, ()).await?;
        Ok((Self { opt, http, actor, counts, lists: Arc::default() }, handle))
    }

    /// Stops the actor.
    pub fn stop(&self) {
        self.actor.stop(None);
    }

    /// What the table service was asked.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Commits a transaction and returns the version of the rows that it wrote.
    ///
    /// # Errors
    /// [`Error::Conflict`] and [`Error::Down`] if it certainly had no effect; [`Error::Unknown`] if it is not
    /// settled within `patience`.
    pub async fn commit(&self, txn: Txn, patience: Duration) -> Result<u64, Error> {
        let (tx, rx) = oneshot::channel();
        let phase = Arc::new(AtomicU8::new(WAITING));
        let pending = Pending { txn, phase: Arc::clone(&phase), tx };
        if self.actor.send_message(Message::Commit(pending)).is_err() {
            return Err(Error::Down("the daemon is stopping".into()));
        }
        match tokio::time::timeout(patience, rx).await {
            Ok(Ok(res)) => res,
            Err(_) if Pending::move_to(&phase, WITHDRAWN) => {
                Err(Error::Down("the write was not sent in time".into()))
            }
            Ok(Err(_)) | Err(_) => Err(Error::Unknown),
        }
    }

    /// Reads the rows whose keys begin with `prefix`.
    ///
    /// # Errors
    /// As [`table::rows`].
    pub async fn rows(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        table::rows(&self.http, &self.opt.table_url, prefix, self.opt.timeout).await
    }

    /// Reads one row.
    ///
    /// # Errors
    /// As [`table::row`].
    pub async fn row(&self, key: &str) -> Result<Option<Row>, Error> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        table::row(&self.http, &self.opt.table_url, key, self.opt.timeout).await
    }

    /// Reads the host list of a region.
    ///
    /// # Errors
    /// As [`hosts::list`].
    pub async fn hosts(&self, region: &str) -> Result<Vec<Host>, Error> {
        hosts::list(&self.http, &self.opt.hosts_url, region, &self.lists, self.opt.timeout).await
    }

    /// The bytes that went to the platform and came from it.
    #[must_use]
    pub fn traffic(&self) -> &Arc<Traffic> {
        self.http.traffic()
    }

    /// Writes an object.
    ///
    /// # Errors
    /// As [`objects::put`].
    pub async fn put_object(&self, key: &str, bytes: Bytes) -> Result<(), Error> {
        objects::put(&self.http, &self.opt.objects_url, key, bytes, self.opt.timeout).await
    }

    /// Reads an object.
    ///
    /// # Errors
    /// As [`objects::get`].
    pub async fn get_object(&self, key: &str) -> Result<Option<Bytes>, Error> {
        objects::get(&self.http, &self.opt.objects_url, key, self.opt.timeout).await
    }
}

/// The answer to a transaction that was answered, as what became of it.
fn answered(answer: Answer) -> Settled {
    match answer {
        Answer::Committed(version) => Settled::Committed(version),
        Answer::Conflicts(rows) => Settled::Conflicts(rows),
    }
}

/// The outcome of one exchange, or nothing if it has to be settled.
fn outcome(sent: Sent) -> Option<Settled> {
    match sent {
        Sent::Answered(answer) => Some(answered(answer)),
        Sent::Refused(why) => Some(Settled::Aborted(why)),
        Sent::Lost(_) => None,
    }
}
