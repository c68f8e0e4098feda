//! The one client of the table service: how long it is waited for, whether it answers, and its clock.

use crate::metrics::Metrics;
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Key, Row, Rows, StoreClient, Transaction};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The least and the most that an answer is waited for.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(600), Duration::from_secs(3));
/// The shortest time of an answer is taken to grow by one part in so many with each answer.
const TOOK_GROWTH: u32 = 16;
/// How long an answer is taken to take before there was one.
const FIRST: Duration = Duration::from_millis(100);
/// An answer is waited for so many times as long as recent ones took.
const PATIENCE_FACTOR: u32 = 4;

/// What is known of the service.
#[derive(Clone, Copy, Debug)]
struct Health {
    /// When it last did what it was asked.
    served: Option<Instant>,
    /// Whether the last call that ended got no answer.
    silent: bool,
    patience: Duration,
    /// How long its answers take, once there was one.
    took: Option<Duration>,
    /// Its clock and when it was read.
    clock: Option<(u64, Instant)>,
}

/// A client of the table service.
#[derive(Debug)]
pub struct Client {
    store: StoreClient,
    health: Mutex<Health>,
    metrics: Arc<Metrics>,
}

impl Client {
    /// A client that uses `store`.
    #[must_use]
    pub fn new(store: StoreClient, metrics: Arc<Metrics>) -> Self {
        let health =
            Health { served: None, silent: false, patience: PATIENCE.0, took: None, clock: None };
        Self { store, health: Mutex::new(health), metrics }
    }

    /// Applies all changes or none. `most` bounds the wait.
    ///
    /// # Errors
    /// As [`StoreClient::commit`].
    pub async fn commit(
        &self,
        changes: &Transaction,
        most: Duration,
    ) -> Result<CommitOutcome, Error> {
        let (sent, patience) = (Instant::now(), self.patience());
        let outcome = self.store.commit(changes, patience.min(most)).await;
        let clock = match &outcome {
            Ok(CommitOutcome::Committed { clock_ms, .. }) => *clock_ms,
            _ => 0,
        };
        self.note("commit", sent, clock, patience <= most, &outcome);
        outcome
    }

    /// Reads rows of one part of a table, from the key `from` on.
    ///
    /// # Errors
    /// As [`StoreClient::read`].
    pub async fn read(&self, table: &str, part: &str, from: Option<&str>) -> Result<Rows, Error> {
        self.read_some(table, part, from, None, PATIENCE.1).await
    }

    /// Reads one row. `most` bounds the wait.
    ///
    /// # Errors
    /// As [`StoreClient::read`].
    pub async fn read_one(&self, key: &Key, most: Duration) -> Result<Option<Row>, Error> {
        Ok(self.read_with_version(key, most).await?.0)
    }

    /// Reads one row, and the newest transaction of the service.
    ///
    /// # Errors
    /// As [`StoreClient::read`].
    pub async fn read_with_version(
        &self,
        key: &Key,
        most: Duration,
    ) -> Result<(Option<Row>, u64), Error> {
        let rows = self.read_some(&key.table, &key.part, Some(&key.key), Some(1), most).await?;
        Ok((rows.rows.into_iter().find(|r| r.key == key.key), rows.version))
    }

    async fn read_some(
        &self,
        table: &str,
        part: &str,
        from: Option<&str>,
        limit: Option<u32>,
        most: Duration,
    ) -> Result<Rows, Error> {
        let (sent, patience) = (Instant::now(), self.patience());
        let rows = self.store.read(table, part, from, limit, patience.min(most)).await;
        self.note("read", sent, rows.as_ref().map_or(0, |r| r.clock_ms), patience <= most, &rows);
        rows
    }

    /// Waits for changes of a table after a version, at most `wait`.
    ///
    /// # Errors
    /// As [`StoreClient::poll_changes`].
    pub async fn changes(&self, table: &str, after: u64, wait: Duration) -> Result<Rows, Error> {
        let sent = Instant::now();
        let rows = self.store.poll_changes(table, after, wait, wait + self.patience()).await;
        // The wait is no sign of how long answers take.
        self.note("changes", sent + wait, rows.as_ref().map_or(0, |r| r.clock_ms), true, &rows);
        rows
    }

    /// How long an answer is waited for now.
    #[must_use]
    pub fn patience(&self) -> Duration {
        self.health().patience
    }

    /// How long its answers take.
    #[must_use]
    pub fn took(&self) -> Duration {
        self.health().took.unwrap_or(FIRST)
    }

    /// Whether the last call that ended got no answer.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.health().silent
    }

    /// How long ago the service last did what it was asked.
    #[must_use]
    pub fn unserved(&self) -> Duration {
        self.health().served.map_or(Duration::MAX, |at| at.elapsed())
    }

    /// The service's clock now, in milliseconds, 0 if it was never read.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        let passed = |at: Instant| u64::try_from(at.elapsed().as_millis()).unwrap_or(0);
        self.health().clock.map_or(0, |(ms, at)| ms + passed(at))
    }

    fn health(&self) -> Health {
        *self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes what came of a call. A silence that was not waited out, `whole` not being set, says nothing.
    fn note<T>(
        &self,
        call: &str,
        sent: Instant,
        clock_ms: u64,
        whole: bool,
        result: &Result<T, Error>,
    ) {
        let took = Instant::now().saturating_duration_since(sent);
        self.metrics.table(call, outcome(result), took);
        let mut h = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        match result {
            Ok(_) | Err(Error::HistoryGone) => {
                let was_silent = h.silent;
                if !took.is_zero() {
                    // The shortest of recent answers: others include connecting, and work of this daemon.
                    let grown = h.took.map(|old| old + old / TOOK_GROWTH);
                    h.took = Some(grown.map_or(took, |old| old.min(took)));
                }
                h.patience = (took * PATIENCE_FACTOR).clamp(h.patience / 2, h.patience * 2);
                h.patience = h.patience.clamp(PATIENCE.0, PATIENCE.1);
                h.served = Some(Instant::now());
                h.silent = false;
                if clock_ms > 0 {
                    h.clock = Some((clock_ms, Instant::now()));
                }
                if was_silent {
                    tracing::info!("table: it answers again");
                }
            }
            // It answered, and did nothing.
            Err(Error::NotDone(_) | Error::Malformed(_)) => {}
            Err(Error::Unknown(e)) => {
                // Calls sent before the last answer say nothing about now.
                if whole && h.served.is_none_or(|at| at < sent) {
                    h.patience = (h.patience * 2).min(PATIENCE.1);
                    if !h.silent {
                        tracing::warn!("table: no answer: {e}");
                    }
                    h.silent = true;
                }
            }
        }
    }
}

/// What came of a call, for metrics.
fn outcome<T>(result: &Result<T, Error>) -> &'static str {
    match result {
        Ok(_) => "answered",
        Err(Error::HistoryGone) => "history_gone",
        Err(Error::NotDone(_)) => "declined",
        Err(Error::Malformed(_)) => "malformed",
        Err(Error::Unknown(_)) => "lost",
    }
}
