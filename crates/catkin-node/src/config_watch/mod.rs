//! Watches the configuration in the table service.

pub mod freshness;

use self::freshness::Freshness;
use crate::Cx;
use catkin_platform::config::{self, CONFIG_KEY, CONFIG_TABLE, Config};
use catkin_platform::error::Error;
use catkin_platform::store::{Key, Row};
use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// How long one poll for changes waits at the service. A connection that went silent is noticed with this delay.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_500);
/// The timeout for reading the complete configuration.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Publishes each newer configuration on `tx`, and when the newest one was known to be so, until the daemon stops.
pub async fn run(cx: Arc<Cx>, tx: watch::Sender<Option<Arc<Config>>>) {
    loop {
        let Some(mut after) = read_config(&cx, &tx).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        loop {
            match cx.table.changes(CONFIG_TABLE, after, LONG_POLL_WAIT).await {
                Ok(rows) => {
                    rows.rows
                        .iter()
                        .filter(|r| r.key == CONFIG_KEY)
                        .for_each(|r| apply_row(&tx, r));
                    after = after.max(rows.version);
                    cx.config_freshness.send_modify(Freshness::record_checked);
                }
                Err(Error::HistoryGone) => break,
                Err(e) => {
                    cx.config_freshness.send_modify(|f| f.record_failure(&e));
                    tracing::debug!("config: polling for changes failed, will read again: {e}");
                    tokio::time::sleep(RETRY_DELAY).await;
                    // A read is answered at once, so it shows sooner than a poll whether the service is back.
                    break;
                }
            }
        }
    }
}

/// Reads the configuration. Returns the version after which changes are new, or `None` if the read failed.
async fn read_config(cx: &Cx, tx: &watch::Sender<Option<Arc<Config>>>) -> Option<u64> {
    let key =
        Key { table: Cow::Borrowed(CONFIG_TABLE), part: Cow::Borrowed(""), key: CONFIG_KEY.into() };
    let (row, version) = cx
        .table
        .read_with_version(&key, READ_TIMEOUT)
        .await
        .inspect_err(|e| {
            cx.config_freshness.send_modify(|f| f.record_failure(e));
            tracing::debug!("config: reading failed, will retry: {e}");
        })
        .ok()?;
    if let Some(row) = row {
        apply_row(tx, &row);
    }
    cx.config_freshness.send_modify(Freshness::record_checked);
    Some(version)
}

/// Publishes the configuration of a row, if it is newer than the one in force.
fn apply_row(tx: &watch::Sender<Option<Arc<Config>>>, row: &Row) {
    let Some(value) = &row.value else { return };
    let config = match config::parse_config(value) {
        Ok(config) => config,
        Err(e) => {
            tracing::error!(
                "config: the row at version {} is malformed and is ignored: {e}",
                row.version
            );
            return;
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
}
