//! The client of the table service, shared by all parts of a daemon. It adapts timeouts to the service's latency, and
//! tracks whether the service answers and its clock.

use super::availability::Availability;
use super::clock::ServiceClock;
use super::latency::Latency;
use crate::metrics::Metrics;
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Key, Row, Rows, StoreClient, Transaction};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The metric label of a transaction.
const COMMIT: &str = "commit";

/// The observed state of the service.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    /// When a call last succeeded.
    last_served: Option<Instant>,
    availability: Availability,
    latency: Latency,
    clock: ServiceClock,
}

/// A client of the table service.
#[derive(Debug)]
pub struct Client {
    store: StoreClient,
    health: Mutex<Health>,
    metrics: Arc<Metrics>,
}

impl Client {
    /// Creates a client that calls `store`.
    #[must_use]
    pub fn new(store: StoreClient, metrics: Arc<Metrics>) -> Self {
        Self { store, health: Mutex::default(), metrics }
    }

    /// Applies all changes or none. `max_wait` limits the timeout.
    ///
    /// # Errors
    /// As [`StoreClient::commit`].
    pub async fn commit(
        &self,
        changes: &Transaction,
        max_wait: Duration,
    ) -> Result<CommitOutcome, Error> {
        let timeout = self.latency().write_timeout();
        self.commit_within(changes, timeout.min(max_wait), timeout <= max_wait).await
    }

    /// Applies all changes or none, and waits for the answer for `max_wait` whatever the usual latency is.
    ///
    /// # Errors
    /// As [`StoreClient::commit`].
    pub async fn commit_patiently(
        &self,
        changes: &Transaction,
        max_wait: Duration,
    ) -> Result<CommitOutcome, Error> {
        self.commit_within(changes, max_wait, true).await
    }

    async fn commit_within(
        &self,
        changes: &Transaction,
        timeout: Duration,
        full_wait: bool,
    ) -> Result<CommitOutcome, Error> {
        let sent = Instant::now();
        let outcome = self.store.commit(changes, timeout).await;
        if let Ok(CommitOutcome::Committed { clock_ms, .. }) = &outcome {
            self.record_clock(*clock_ms, sent);
        }
        self.record(COMMIT, sent, full_wait, &outcome);
        outcome
    }

    /// Reads one page of rows of one part of a table, from the key `from` on.
    ///
    /// # Errors
    /// As [`StoreClient::read`].
    pub async fn read(&self, table: &str, part: &str, from: Option<&str>) -> Result<Rows, Error> {
        self.read_some(table, part, from, None, Latency::max_timeout()).await
    }

    /// Reads one row. Returns `None` if it does not exist. `max_wait` limits the timeout.
    ///
    /// # Errors
    /// As [`StoreClient::read`].
    pub async fn read_one(&self, key: &Key, max_wait: Duration) -> Result<Option<Row>, Error> {
        Ok(self.read_with_version(key, max_wait).await?.0)
    }

    /// Reads one row, and the version of the newest transaction of the service.
    ///
    /// # Errors
    /// As [`StoreClient::read`].
    pub async fn read_with_version(
        &self,
        key: &Key,
        max_wait: Duration,
    ) -> Result<(Option<Row>, u64), Error> {
        let rows = self.read_some(&key.table, &key.part, Some(&key.key), Some(1), max_wait).await?;
        Ok((rows.rows.into_iter().find(|r| r.key == key.key), rows.version))
    }

    async fn read_some(
        &self,
        table: &str,
        part: &str,
        from: Option<&str>,
        limit: Option<u32>,
        max_wait: Duration,
    ) -> Result<Rows, Error> {
        let (sent, timeout) = (Instant::now(), self.call_timeout());
        let rows = self.store.read(table, part, from, limit, timeout.min(max_wait)).await;
        if let Ok(rows) = &rows {
            self.record_clock(rows.clock_ms, sent);
        }
        self.record("read", sent, timeout <= max_wait, &rows);
        rows
    }

    /// Returns the changes of a table after a version. If there are none yet, the service waits up to `wait` for one.
    ///
    /// # Errors
    /// As [`StoreClient::poll_changes`].
    pub async fn changes(&self, table: &str, after: u64, wait: Duration) -> Result<Rows, Error> {
        let sent = Instant::now();
        let rows = self.store.poll_changes(table, after, wait, wait + self.call_timeout()).await;
        if let Ok(rows) = &rows {
            self.record_clock(rows.clock_ms, sent);
        }
        // The requested wait is not part of the latency.
        self.record("changes", sent + wait, true, &rows);
        rows
    }

    /// The current timeout of a call.
    #[must_use]
    pub fn call_timeout(&self) -> Duration {
        self.latency().timeout()
    }

    /// The answer times of recent calls.
    #[must_use]
    pub fn latency(&self) -> Latency {
        self.health().latency
    }

    /// Whether the service does not answer, or rejects calls.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        self.health().availability.is_unavailable()
    }

    /// The time since a call last succeeded, [`Duration::MAX`] if none has.
    #[must_use]
    pub fn since_last_served(&self) -> Duration {
        self.health().last_served.map_or(Duration::MAX, |at| at.elapsed())
    }

    /// The service's clock in milliseconds now; 0 if it was never read.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        self.health().clock.at(Instant::now())
    }

    fn health(&self) -> Health {
        *self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the service's time in the answer to a call; 0 if it holds none.
    fn record_clock(&self, clock_ms: u64, sent: Instant) {
        if clock_ms > 0 {
            let now = Instant::now();
            let took = now.saturating_duration_since(sent);
            let mut h = self.health.lock().unwrap_or_else(PoisonError::into_inner);
            h.clock.record(clock_ms, took, now);
        }
    }

    /// Records the result of a call. A missing answer counts only if the call waited for the full timeout
    /// (`full_wait`).
    fn record<T>(&self, call: &str, sent: Instant, full_wait: bool, result: &Result<T, Error>) {
        let took = Instant::now().saturating_duration_since(sent);
        self.metrics.record_table_call(call, outcome_label(result), took);
        let mut h = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        // A call that was sent before the last success says nothing about the present state.
        let is_news = h.last_served.is_none_or(|at| at < sent);
        match result {
            Ok(_) | Err(Error::HistoryGone) => {
                if !took.is_zero() {
                    match call {
                        COMMIT => h.latency.record_write(took),
                        _ => h.latency.record_answer(took),
                    }
                }
                h.last_served = Some(Instant::now());
                if h.availability.record_served() {
                    tracing::info!("table: the service answers again");
                }
            }
            Err(Error::NotDone(e)) => {
                if is_news && h.availability.record_rejected() {
                    tracing::warn!("table: the service rejects calls: {e}");
                }
            }
            // The service answered, but the answer can't be used, or the call was at fault.
            Err(Error::Malformed(_) | Error::Refused(_)) => {}
            Err(Error::Unknown(e)) => {
                if full_wait && is_news {
                    h.latency.record_timeout();
                    if h.availability.record_silence() {
                        tracing::warn!("table: the service does not answer: {e}");
                    }
                }
            }
        }
    }
}

/// Returns the metric label for the result of a call.
fn outcome_label<T>(result: &Result<T, Error>) -> &'static str {
    match result {
        Ok(_) => "answered",
        Err(Error::HistoryGone) => "history_gone",
        Err(Error::NotDone(_)) => "declined",
        Err(Error::Refused(_)) => "refused",
        Err(Error::Malformed(_)) => "malformed",
        Err(Error::Unknown(_)) => "lost",
    }
}
