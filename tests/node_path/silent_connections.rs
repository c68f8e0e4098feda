//! Connections to the table service that go silent for good, without a reset, while new ones work.

use crate::deployment::{Deployment, eventually};
use crate::path::{spec, step};
use catkin_platform_standin::Options;
use catkin_platform_standin::platform::write_routes;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// How long after its connections went silent a daemon has to act on a change that was written since: the time after which
/// a machine counts as in touch with the platform.
const CONTACT_BOUND: Duration = Duration::from_secs(4);
/// Connections of a daemon to the table service that go silent at the same time.
const CONNECTIONS: usize = 4;
/// The first of the jobs that open them.
const FIRST_JOB: u64 = 100;

/// Lets a daemon open several connections to the table service, by jobs that clients cancel at the same time.
async fn open_connections(d: &Deployment, node: usize) {
    let addr = d.nodes[node].client_addr();
    let job = spec(vec![step(1, 30_000)]);
    let mut ids = FIRST_JOB..FIRST_JOB + CONNECTIONS as u64;
    eventually("several connections to the table service are open", async || {
        let mut clients = JoinSet::new();
        for id in ids.clone() {
            d.platform.checker.submitted(id, &job);
            let (client, job) = (d.client.clone(), job.clone());
            clients.spawn(async move {
                client.submit(addr, id, &job).await;
                client.cancel(addr, id).await;
            });
        }
        clients.join_all().await;
        ids = ids.end..ids.end + CONNECTIONS as u64;
        d.links[node].open_connections() >= CONNECTIONS
    })
    .await;
}

// A daemon went by an old configuration for 9 s, as it tried its silent connections one after the other, each for longer
// than the one before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_of_the_configuration_missed_behind_silent_connections() {
    let mut d = Deployment::prepare_proxied("silent-connections", 2, &Options::default()).await;
    d.nodes.iter_mut().for_each(|n| n.spawn(false));
    d.wait_ready().await;
    let node = 1 - d.owner().expect("no daemon owns the cell");
    open_connections(&d, node).await;
    let silent_since = Instant::now();
    d.links[node].silence_open_connections();
    write_routes(&d.platform.store, 2, 3);
    eventually("the new configuration is in force", async || {
        d.nodes[node].metric("catkin_config_version").await.unwrap_or_default() >= 2.0
    })
    .await;
    let took = silent_since.elapsed();
    assert!(took <= CONTACT_BOUND, "in force after {took:?}");
    d.stop_and_check().await;
}
