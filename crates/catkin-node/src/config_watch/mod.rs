//! Watches the configuration in the table service.

pub mod freshness;

use crate::Cx;
use crate::table::client::Answer;
use catkin_platform::config::{self, CONFIG_KEY, CONFIG_TABLE, Config};
use catkin_platform::error::Error;
use catkin_platform::store::{Key, Row};
use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// How long one poll for changes waits at the service. A connection that went silent is noticed with this delay.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_500);
/// How long the service may take to begin its answer to a read of the complete configuration.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Changes of more than this percentage of the configuration's size hold several versions of it.
const MAX_CHANGES_PERCENT: u64 = 150;
/// Changes of fewer bytes are read however many versions they hold.
const MIN_CHANGES_BYTES: u64 = 128 * 1_024;

/// What is known of the row of the configuration.
#[derive(Clone, Copy, Debug)]
struct Position {
    /// Changes after this version are new.
    after: u64,
    /// The size of the value of the row.
    bytes: usize,
}

impl Position {
    /// Returns the size of an answer, which holds values as base64, above which it is cheaper to read the row.
    fn max_changes(self) -> u64 {
        let encoded = self.bytes as u64 * 4 / 3;
        (encoded * MAX_CHANGES_PERCENT / 100).max(MIN_CHANGES_BYTES)
    }
}

/// Publishes each newer configuration on `tx`, and when the newest one was known to be so, until the daemon stops.
pub async fn run(cx: Arc<Cx>, tx: watch::Sender<Option<Arc<Config>>>) {
    let mut position = None;
    let mut poll_time = LONG_POLL_WAIT;
    loop {
        let result = match position {
            None => read_config(&cx, &tx).await,
            Some(p) => read_changes(&cx, &tx, p, poll_time).await,
        };
        match result {
            Ok(p) => {
                position = Some(p);
                // Changes during a long answer are not waited for: the next poll tells at once whether there are any.
                let age = cx.config_freshness.borrow().age();
                poll_time = LONG_POLL_WAIT.saturating_sub(age);
            }
            Err(e @ (Error::HistoryGone | Error::TooLarge(_))) if position.is_some() => {
                tracing::debug!("config: the changes are not read, but the row: {e}");
                position = None;
            }
            Err(e) => {
                tracing::debug!("config: reading failed, will retry: {e}");
                cx.config_freshness.send_modify(|f| f.record_failure(&e));
                // A poll that does not wait shows sooner whether the service is back.
                poll_time = Duration::ZERO;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the configuration.
async fn read_config(cx: &Cx, tx: &watch::Sender<Option<Arc<Config>>>) -> Result<Position, Error> {
    let key =
        Key { table: Cow::Borrowed(CONFIG_TABLE), part: Cow::Borrowed(""), key: CONFIG_KEY.into() };
    let Answer { rows, began } = cx.table.read_large(&key, READ_TIMEOUT).await?;
    let (row, after) = (rows.rows.first(), rows.version);
    let bytes = row.map_or(0, value_len);
    if let Some(row) = row {
        apply_row(tx, row);
    }
    cx.config_freshness.send_modify(|f| f.record_checked(began));
    Ok(Position { after, bytes })
}

/// Reads the changes after a position, for the first of which the service waits for `poll_time`.
async fn read_changes(
    cx: &Cx,
    tx: &watch::Sender<Option<Arc<Config>>>,
    mut position: Position,
    poll_time: Duration,
) -> Result<Position, Error> {
    let max_bytes = position.max_changes();
    let changes = cx.table.changes(CONFIG_TABLE, position.after, poll_time, max_bytes);
    let Answer { rows, began } = changes.await?;
    let versions = rows.rows.iter().rev().filter(|r| r.key == CONFIG_KEY);
    if let Some(row) = versions.into_iter().find(|row| apply_row(tx, row)) {
        position.bytes = value_len(row);
    }
    position.after = position.after.max(rows.version);
    cx.config_freshness.send_modify(|f| f.record_checked(began));
    Ok(position)
}

/// Returns the size of a row's value in bytes.
fn value_len(row: &Row) -> usize {
    row.value.as_ref().map_or(0, Vec::len)
}

/// Publishes the configuration of a row, if it is newer than the one in force. Returns whether the row can be read.
fn apply_row(tx: &watch::Sender<Option<Arc<Config>>>, row: &Row) -> bool {
    let Some(value) = &row.value else { return false };
    let config = match config::parse_config(value) {
        Ok(config) => config,
        Err(e) => {
            tracing::error!(
                "config: the row at version {} is malformed and is ignored: {e}",
                row.version
            );
            return false;
        }
    };
    let newer = tx.borrow().as_ref().is_none_or(|old| config.version > old.version);
    if newer {
        tracing::info!(version = config.version, routes = config.routes.len(), "config: in force");
        for why in &config.unreadable_routes {
            tracing::error!(version = config.version, "config: a route is left out: {why}");
        }
        tx.send_replace(Some(Arc::new(config)));
    }
    true
}
