//! Keeps up with the configuration.

use crate::Cx;
use catkin_platform::config::{self, Config, KEY, TABLE};
use catkin_platform::error::Error;
use catkin_platform::store::{Key, Row};
use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// How long one question for changes waits. A connection that went silent is noticed so much later.
const WAIT: Duration = Duration::from_millis(1_500);
/// How long an answer may take.
const PATIENCE: Duration = Duration::from_millis(500);
/// The pause after a question that failed.
const PAUSE: Duration = Duration::from_millis(200);

/// Follows the configuration until the daemon stops.
pub async fn run(cx: Arc<Cx>, tx: watch::Sender<Option<Arc<Config>>>) {
    loop {
        let Some(mut after) = read(&cx, &tx).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        loop {
            match cx.store.changes(TABLE, after, WAIT, WAIT + PATIENCE).await {
                Ok(rows) => {
                    cx.table_read(&rows);
                    rows.rows.iter().filter(|r| r.key == KEY).for_each(|r| take(&tx, r));
                    after = after.max(rows.version);
                }
                Err(Error::HistoryGone) => break,
                Err(e) => {
                    tracing::debug!("config: no news: {e}");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
}

/// Reads the configuration. Returns the version after which changes are new.
async fn read(cx: &Cx, tx: &watch::Sender<Option<Arc<Config>>>) -> Option<u64> {
    let key = Key { table: Cow::Borrowed(TABLE), part: Cow::Borrowed(""), key: KEY.into() };
    let rows = cx
        .store
        .read(&key.table, &key.part, Some(&key.key), Some(1), PATIENCE)
        .await
        .inspect_err(|e| tracing::warn!("config: not read: {e}"))
        .ok()?;
    cx.table_read(&rows);
    rows.rows.iter().filter(|r| r.key == KEY).for_each(|r| take(tx, r));
    Some(rows.version)
}

/// Takes a configuration over unless it is older than the one in force.
fn take(tx: &watch::Sender<Option<Arc<Config>>>, row: &Row) {
    let Some(value) = &row.value else { return };
    let config = match config::parse_config(value) {
        Ok(config) => config,
        Err(e) => {
            tracing::error!("config: version of row {} can't be read: {e}", row.version);
            return;
        }
    };
    let newer = tx.borrow().as_ref().is_none_or(|old| config.version > old.version);
    if newer {
        tracing::info!(version = config.version, routes = config.routes.len(), "config: in force");
        tx.send_replace(Some(Arc::new(config)));
    }
}
