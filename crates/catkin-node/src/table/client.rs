//! The one client of the table service: how long it is waited for, whether it answers, and its clock.

use crate::metrics::Metrics;
use catkin_platform::error::Error;
use catkin_platform::store::{CommitOutcome, Key, Row, Rows, StoreClient, Transaction};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The least and the most that an answer is waited for.
const TIMEOUT_RANGE: (Duration, Duration) = (Duration::from_millis(600), Duration::from_secs(3));
/// The shortest time of an answer is taken to grow by one part in so many with each answer.
const LATENCY_GROWTH_DIVISOR: u32 = 16;
/// How long an answer is taken to take before there was one.
const DEFAULT_LATENCY: Duration = Duration::from_millis(100);
/// An answer is waited for so many times as long as recent ones took.
const TIMEOUT_FACTOR: u32 = 4;

/// What is known of the service.
#[derive(Clone, Copy, Debug)]
struct Health {
    /// When it last did what it was asked.
    last_served: Option<Instant>,
    /// Whether the last call that ended got no answer.
    silent: bool,
    timeout: Duration,
    /// How long its answers take, once there was one.
    latency: Option<Duration>,
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
    pub fn new(store: Store, metrics: Arc<Metrics>) -> Self {
        let health = Health {
            last_served: None,
            silent: false,
            timeout: TIMEOUT_RANGE.0,
            latency: None,
            clock: None,
        };
        Self { store, health: Mutex::new(health), metrics }
    }

    /// Applies all changes or none. `most` bounds the wait.
    ///
    /// # Errors
    /// As [`Store::commit`].
    pub async fn commit(&self, changes: &Changes, max_wait: Duration) -> Result<Outcome, Error> {
        let (sent, timeout) = (Instant::now(), self.call_timeout());
        let outcome = self.store.commit(changes, timeout.min(max_wait)).await;
        let clock = match &outcome {
            Ok(CommitOutcome::Committed { clock_ms, .. }) => *clock_ms,
            _ => 0,
        };
        self.record("commit", sent, clock, timeout <= max_wait, &outcome);
        outcome
    }

    /// Reads rows of one part of a table, from the key `from` on.
    ///
    /// # Errors
    /// As [`StoreClient::read`].
    pub async fn read(&self, table: &str, part: &str, from: Option<&str>) -> Result<Rows, Error> {
        self.read_some(table, part, from, None, TIMEOUT_RANGE.1).await
    }

    /// Reads one row. `most` bounds the wait.
    ///
    /// # Errors
    /// As [`Store::read`].
    pub async fn read_one(&self, key: &Key, max_wait: Duration) -> Result<Option<Row>, Error> {
        Ok(self.read_with_version(key, max_wait).await?.0)
    }

    /// Reads one row, and the newest transaction of the service.
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
        self.record(
            "read",
            sent,
            rows.as_ref().map_or(0, |r| r.clock_ms),
            timeout <= max_wait,
            &rows,
        );
        rows
    }

    /// Waits for changes of a table after a version, at most `wait`.
    ///
    /// # Errors
    /// As [`StoreClient::poll_changes`].
    pub async fn changes(&self, table: &str, after: u64, wait: Duration) -> Result<Rows, Error> {
        let sent = Instant::now();
        let rows = self.store.changes(table, after, wait, wait + self.call_timeout()).await;
        // The wait is no sign of how long answers take.
        self.record("changes", sent + wait, rows.as_ref().map_or(0, |r| r.clock_ms), true, &rows);
        rows
    }

    /// How long an answer is waited for now.
    #[must_use]
    pub fn call_timeout(&self) -> Duration {
        self.health().timeout
    }

    /// How long its answers take.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.health().latency.unwrap_or(DEFAULT_LATENCY)
    }

    /// Whether the last call that ended got no answer.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.health().silent
    }

    /// How long ago the service last did what it was asked.
    #[must_use]
    pub fn since_last_served(&self) -> Duration {
        self.health().last_served.map_or(Duration::MAX, |at| at.elapsed())
    }

    /// The service's clock now, in milliseconds, 0 if it was never read.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        let elapsed_ms = |at: Instant| u64::try_from(at.elapsed().as_millis()).unwrap_or(0);
        self.health().clock.map_or(0, |(ms, at)| ms + elapsed_ms(at))
    }

    fn health(&self) -> Health {
        *self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes what came of a call. A silence that was not waited out, `whole` not being set, says nothing.
    fn record<T>(
        &self,
        call: &str,
        sent: Instant,
        clock_ms: u64,
        full_wait: bool,
        result: &Result<T, Error>,
    ) {
        let took = Instant::now().saturating_duration_since(sent);
        self.metrics.record_table_call(call, outcome_label(result), took);
        let mut h = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        match result {
            Ok(_) | Err(Error::HistoryGone) => {
                let was_silent = h.silent;
                if !took.is_zero() {
                    // The shortest of recent answers: others include connecting, and work of this daemon.
                    let grown = h.latency.map(|old| old + old / LATENCY_GROWTH_DIVISOR);
                    h.latency = Some(grown.map_or(took, |old| old.min(took)));
                }
                h.timeout = (took * TIMEOUT_FACTOR).clamp(h.timeout / 2, h.timeout * 2);
                h.timeout = h.timeout.clamp(TIMEOUT_RANGE.0, TIMEOUT_RANGE.1);
                h.last_served = Some(Instant::now());
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
                if full_wait && h.last_served.is_none_or(|at| at < sent) {
                    h.timeout = (h.timeout * 2).min(TIMEOUT_RANGE.1);
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
fn outcome_label<T>(result: &Result<T, Error>) -> &'static str {
    match result {
        Ok(_) => "answered",
        Err(Error::HistoryGone) => "history_gone",
        Err(Error::NotDone(_)) => "declined",
        Err(Error::Malformed(_)) => "malformed",
        Err(Error::Unknown(_)) => "lost",
    }
}
