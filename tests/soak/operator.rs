//! An operator changes the configuration, whose size varies, and a daemon's link to the store may be slow.

use crate::deployment::{Deployment, Node};
use catkin_platform_standin::platform::write_routes;
use catkin_platform_standin::store::Store;
use catkin_standin::proxy::ConnectionFault;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Range of the pause between two versions.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 200..2_500;
/// Range of the number of routes of a version.
const ROUTES: std::ops::Range<usize> = 1..4_000;
/// Range of the rate of a slow link, in bytes a second.
const LINK_RATE: std::ops::Range<u64> = 250_000..2_500_000;
/// How long after it was written a version is in force at daemons in touch.
const CONFIG_BOUND: Duration = Duration::from_secs(4);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The running operator of a seed.
pub struct Operator {
    stop: CancellationToken,
    /// Returns the newest version.
    task: JoinHandle<u64>,
}

/// Starts the operator of a seed, and makes a link slow in every other seed.
pub fn start(d: &Deployment, seed: u64) -> Operator {
    let mut rng = StdRng::seed_from_u64(!seed);
    if rng.random() {
        let link = &d.links[rng.random_range(0..d.links.len())];
        link.set_fault(ConnectionFault::SlowLink(rng.random_range(LINK_RATE)));
    }
    let stop = CancellationToken::new();
    let task = tokio::spawn(write_versions(Arc::clone(&d.platform.store), rng, stop.clone()));
    Operator { stop, task }
}

async fn write_versions(store: Arc<Store>, mut rng: StdRng, stop: CancellationToken) -> u64 {
    let mut version = 1;
    while !stop.is_cancelled() {
        version += 1;
        write_routes(&store, version, rng.random_range(ROUTES));
        let pause = Duration::from_millis(rng.random_range(CHANGE_INTERVAL_MS));
        // Cancellation ends the pause.
        let _ = tokio::time::timeout(pause, stop.cancelled()).await;
    }
    version
}

impl Operator {
    /// Stops the operator, writes one more version, and returns the daemons at which it is not in force in time.
    pub async fn stop_and_check(self, d: &Deployment) -> Vec<String> {
        self.stop.cancel();
        let version = self.task.await.expect("the operator panicked") + 1;
        write_routes(&d.platform.store, version, ROUTES.end);
        let deadline = Instant::now() + CONFIG_BOUND;
        let mut violations = Vec::new();
        for n in &d.nodes {
            while !is_in_force(n, version).await {
                if Instant::now() > deadline {
                    violations.push(format!("{}: version {version} is not in force", n.id));
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        violations
    }
}

#[expect(clippy::cast_precision_loss, reason = "versions are small")]
async fn is_in_force(n: &Node, version: u64) -> bool {
    n.metric("catkin_config_version").await.is_some_and(|v| v >= version as f64)
}
