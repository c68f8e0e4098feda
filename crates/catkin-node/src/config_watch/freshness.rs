//! How long a daemon may have missed a change of the configuration.

use crate::Cx;
use catkin_platform::error::Error;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// When the configuration in force was last known to be the newest, and what has kept the daemon from finding out since.
#[derive(Clone, Debug)]
pub struct Freshness {
    checked: Instant,
    last_failure: Option<Error>,
}

impl Default for Freshness {
    fn default() -> Self {
        Self { checked: Instant::now(), last_failure: None }
    }
}

impl Freshness {
    /// Records that the configuration in force was the newest at `checked`.
    pub fn record_checked(&mut self, checked: Instant) {
        *self = Self { checked, last_failure: None };
    }

    /// Records a read of the configuration, or of its changes, that failed.
    pub fn record_failure(&mut self, why: &Error) {
        self.last_failure = Some(why.clone());
    }

    /// The time since the configuration in force was known to be the newest. Before the first one was read, the time
    /// since the daemon started.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.checked.elapsed()
    }
}

/// Logs when the configuration in force may be older than `limit`, and when it is known to be the newest again.
pub async fn report(cx: Arc<Cx>, limit: Duration) {
    let mut freshness = cx.config_freshness.subscribe();
    loop {
        let last = freshness.borrow_and_update().checked;
        tokio::select! {
            _ = freshness.wait_for(|f| f.checked != last) => continue,
            () = tokio::time::sleep_until(last + limit) => {}
        }
        let why = freshness.borrow().last_failure.as_ref().map(ToString::to_string);
        let version = cx.config_version();
        let age_ms = last.elapsed().as_millis();
        tracing::warn!(version, age_ms, why, "config: not known to be the newest");
        if freshness.wait_for(|f| f.age() < limit).await.is_err() {
            return;
        }
        let (old_version, version) = (version, cx.config_version());
        let age_ms = last.elapsed().as_millis();
        tracing::info!(version, old_version, age_ms, "config: known to be the newest again");
    }
}
