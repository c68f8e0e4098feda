//! The client of the table service, shared by all parts of a daemon. It adapts timeouts to the service's latency, and
//! tracks whether the service answers and its clock.

use super::availability::Availability;
use super::clock::ServiceClock;
use super::latency::Latency;
use crate::metrics::Metrics;
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Key, Row, Rows, StoreClient, Transaction, Wait};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The metric label of a transaction.
const COMMIT: &str = "commit";

/// The limit of [`Client::changes`] for changes that are to be read however large they are.
pub const ANY_SIZE: u64 = u64::MAX;

/// The observed state of the service.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    /// When a call last succeeded.
    last_served: Option<Instant>,
    availability: Availability,
    latency: Latency,
    clock: ServiceClock,
}

/// An answer with rows.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The rows.
    pub rows: Rows,
    /// When the answer began to arrive. The rows were the newest ones until then, but for the time that an answer travels.
    pub began: Instant,
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
        let answered = Instant::now();
        if let Ok(CommitOutcome::Committed { clock_ms, .. }) = &outcome {
            self.record_clock(*clock_ms, sent, answered);
        }
        self.record(COMMIT, sent, answered, full_wait, &outcome);
        outcome
    }

    /// Reads one page of rows of one part of a table, from the key `from` on. A page may take long to arrive.
    ///
    /// # Errors
    /// As [`StoreClient::read`].
    pub async fn read(&self, table: &str, part: &str, from: Option<&str>) -> Result<Rows, Error> {
        Ok(self.read_some(table, part, from, None, Latency::max_timeout()).await?.rows)
    }

    /// Reads one row. Returns `None` if it does not exist. `max_wait` limits the whole read.
    ///
    /// # Errors
    /// As [`StoreClient::read`].
    pub async fn read_one(&self, key: &Key, max_wait: Duration) -> Result<Option<Row>, Error> {
        let read = self.read_large(key, max_wait);
        let out_of_time =
            |_| Error::Unknown(format!("no whole answer within {} ms", max_wait.as_millis()));
        let answer = tokio::time::timeout(max_wait, read).await.map_err(out_of_time)??;
        Ok(answer.rows.rows.into_iter().next())
    }

    /// Reads one row, which may take long to arrive. `max_wait` limits the time until the answer begins.
    ///
    /// # Errors
    /// As [`StoreClient::read`].
    pub async fn read_large(&self, key: &Key, max_wait: Duration) -> Result<Answer, Error> {
        let read = self.read_some(&key.table, &key.part, Some(&key.key), Some(1), max_wait);
        let mut answer = read.await?;
        answer.rows.rows.retain(|r| r.key == key.key);
        Ok(answer)
    }

    async fn read_some(
        &self,
        table: &str,
        part: &str,
        from: Option<&str>,
        limit: Option<u32>,
        max_wait: Duration,
    ) -> Result<Answer, Error> {
        let timeout = self.call_timeout();
        let arrival = Arrival::new(self);
        let on_data = || arrival.record();
        let wait = Wait { timeout: timeout.min(max_wait), on_data: &on_data, ..Wait::default() };
        let rows = self.store.read(table, part, from, limit, wait).await;
        let began = arrival.began();
        self.record_rows("read", arrival.sent, began, timeout <= max_wait, &rows);
        Ok(Answer { rows: rows?, began })
    }

    /// Returns the changes of a table after a version. If there are none yet, the service waits up to `wait` for one. The
    /// changes may take long to arrive.
    ///
    /// # Errors
    /// As [`StoreClient::poll_changes`]; [`Error::TooLarge`] if the changes take more than `max_bytes`.
    pub async fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
        max_bytes: u64,
    ) -> Result<Answer, Error> {
        let arrival = Arrival::new(self);
        let on_data = || arrival.record();
        let (timeout, pace) = (self.call_timeout(), Wait::default().pace);
        let answer = Wait { timeout, pace, max_bytes, on_data: &on_data };
        let rows = self.store.poll_changes(table, after, wait, answer).await;
        // The requested wait is not part of the latency.
        let began = arrival.began();
        self.record_rows("changes", arrival.sent + wait, began, true, &rows);
        Ok(Answer { rows: rows?, began })
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

    /// Records the service's time in the answer to a call, which began at `began`; 0 if it holds none.
    fn record_clock(&self, clock_ms: u64, sent: Instant, began: Instant) {
        if clock_ms > 0 {
            let took = began.saturating_duration_since(sent);
            let mut h = self.health.lock().unwrap_or_else(PoisonError::into_inner);
            h.clock.record(clock_ms, took, began);
        }
    }

    /// Records that the service carries out a call, as its answer begins or goes on.
    fn record_served(&self) {
        let mut h = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        h.last_served = Some(Instant::now());
        if h.availability.record_served() {
            tracing::info!("table: the service answers again");
        }
    }

    /// Records the result of a read that is considered sent at `sent`. The latency is the time until its answer began:
    /// how long it takes to arrive depends on its size.
    fn record_rows(
        &self,
        call: &str,
        sent: Instant,
        began: Instant,
        full_wait: bool,
        rows: &Result<Rows, Error>,
    ) {
        if let Ok(rows) = rows {
            self.record_clock(rows.clock_ms, sent, began);
        }
        self.record(call, sent, began, full_wait, rows);
    }

    /// Records the result of a call whose answer began at `began`. A missing answer counts only if the call waited for the
    /// full timeout (`full_wait`).
    fn record<T>(
        &self,
        call: &str,
        sent: Instant,
        began: Instant,
        full_wait: bool,
        result: &Result<T, Error>,
    ) {
        let took = began.saturating_duration_since(sent);
        self.metrics.record_table_call(call, outcome_label(result), sent.elapsed());
        let mut h = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        // A call that was sent before the last success says nothing about the present state.
        let is_news = h.last_served.is_none_or(|at| at < sent);
        match result {
            Ok(_) | Err(Error::HistoryGone | Error::TooLarge(_)) => {
                if !took.is_zero() {
                    match call {
                        COMMIT => h.latency.record_write(took),
                        _ => h.latency.record_answer(took),
                    }
                }
                drop(h);
                self.record_served();
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

/// An answer that arrives.
struct Arrival<'a> {
    client: &'a Client,
    sent: Instant,
    began: OnceLock<Instant>,
}

impl<'a> Arrival<'a> {
    fn new(client: &'a Client) -> Self {
        Self { client, sent: Instant::now(), began: OnceLock::new() }
    }

    /// Records that the answer begins or goes on.
    fn record(&self) {
        self.began.get_or_init(Instant::now);
        self.client.record_served();
    }

    /// When the answer began; now if it has not.
    fn began(&self) -> Instant {
        self.began.get().copied().unwrap_or_else(Instant::now)
    }
}

/// Returns the metric label for the result of a call.
fn outcome_label<T>(result: &Result<T, Error>) -> &'static str {
    match result {
        Ok(_) => "answered",
        Err(Error::HistoryGone) => "history_gone",
        Err(Error::NotDone(_)) => "declined",
        Err(Error::Refused(_)) => "refused",
        Err(Error::TooLarge(_)) => "too_large",
        Err(Error::Malformed(_)) => "malformed",
        Err(Error::Unknown(_)) => "lost",
    }
}
