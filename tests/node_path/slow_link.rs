//! Daemons whose link to the table service is slow.

use crate::deployment::{Deployment, Node, eventually};
use catkin_cell::Job;
use catkin_node::table::accept_changes;
use catkin_platform_standin::Options;
use catkin_platform_standin::platform::write_routes;
use catkin_standin::proxy::ConnectionFault;
use hyper::Method;
use std::time::Duration;
use tokio::time::Instant;

/// How long after its acknowledgement a change of the configuration is in force everywhere.
const CONFIG_BOUND: Duration = Duration::from_secs(4);

/// The path of readiness checks.
const READY_PATH: &str = "/v1/readiness";

const fn megabits(n: u64) -> u64 {
    n * 1_000_000 / 8
}

async fn start_on_link(name: &str, bytes_per_s: u64) -> Deployment {
    let mut d = Deployment::prepare_proxied(name, 1, &Options::default()).await;
    d.links[0].set_fault(ConnectionFault::SlowLink(bytes_per_s));
    d.nodes[0].spawn(false);
    d.wait_ready().await;
    d
}

async fn is_in_force(node: &Node, version: u32) -> bool {
    node.metric("catkin_config_version").await.unwrap_or_default() >= version.into()
}

/// Writes a version of the configuration, and checks that it is in force within the bound.
async fn check_in_force(d: &Deployment, version: u32, routes: usize) {
    let written = Instant::now();
    write_routes(&d.platform.store, version.into(), routes);
    let what = format!("version {version} with {routes} routes is in force");
    eventually(&what, async || is_in_force(&d.nodes[0], version).await).await;
    let took = written.elapsed();
    assert!(took <= CONFIG_BOUND, "{what} after {took:?}");
}

/// Writes three versions with so many routes, for a daemon on a link of so many Mbit/s, and checks that each is in force
/// in time.
async fn check_versions(rate: u64, routes: usize) {
    let d = start_on_link(&format!("config-{rate}-{routes}"), megabits(rate)).await;
    for version in 2..5 {
        check_in_force(&d, version, routes).await;
    }
    d.stop_and_check().await;
}

/// Polls whose answer was given up before it had arrived whole left a daemon with its first version for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_change_of_a_configuration_of_any_size_that_the_link_bears_is_in_force_in_time() {
    for (rate, routes) in [(2, 700), (10, 45), (10, 1_400), (10, 4_200), (10, 10_000)] {
        check_versions(rate, routes).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_change_of_a_configuration_with_30_000_routes_is_in_force_in_time() {
    check_versions(50, 30_000).await;
}

/// Versions that come while one still arrives piled up in the changes, so that a daemon fell further behind with each.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_that_follows_others_quickly_is_in_force_in_time_on_a_slow_link() {
    const ROUTES: usize = 4_200;
    const INTERVAL: Duration = Duration::from_millis(330);
    const COUNT: u32 = 12;
    let d = start_on_link("config-storm", megabits(10)).await;
    for version in 2..2 + COUNT {
        write_routes(&d.platform.store, version.into(), ROUTES);
        tokio::time::sleep(INTERVAL).await;
    }
    check_in_force(&d, 2 + COUNT, ROUTES).await;
    d.stop_and_check().await;
}

/// A daemon whose configuration was out of date said that it was ready, and that there were no queues of later versions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_whose_configuration_may_be_old_is_not_ready_and_denies_no_queue() {
    let d = start_on_link("config-old", megabits(2)).await;
    let status_of =
        async |addr, path| d.client.send(addr, Method::GET, path, Vec::new()).await.status;
    let ready = async || status_of(d.nodes[0].ready_addr(), READY_PATH).await;
    let unknown = async || status_of(d.nodes[0].client_addr(), "/new/").await;
    assert_eq!((ready().await, unknown().await), (Some(200), Some(404)));
    // This takes 6 s to arrive.
    write_routes(&d.platform.store, 2, 5_000);
    eventually("it is not ready", async || ready().await == Some(503)).await;
    assert!(!is_in_force(&d.nodes[0], 2).await, "the new version is still arriving");
    assert_eq!(unknown().await, Some(503));
    eventually("it is ready again", async || ready().await == Some(200)).await;
    assert!(is_in_force(&d.nodes[0], 2).await);
    assert_eq!(unknown().await, Some(404));
    let lines = d.nodes[0].log_lines();
    for (message, version) in
        [("config: not known to be the newest", 1), ("config: known to be the newest again", 2)]
    {
        let found: Vec<_> = lines.iter().filter(|l| l["message"] == message).collect();
        assert_eq!(found.len(), 1, "{message}");
        assert_eq!(found[0]["version"], version);
    }
    d.stop_and_check().await;
}

/// Pages of jobs that took longer to arrive than a limit on the whole were read again and again, and no owner took over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_on_a_slow_link_reads_large_pages_of_jobs() {
    const JOBS: u64 = 800;
    let mut d = Deployment::prepare_proxied("jobs-10", 1, &Options::default()).await;
    let task = catkin_cell::job::Step { count: 1, estimate_ms: 50, ..Default::default() };
    let job = Job {
        queue: "gone".into(),
        steps: vec![task],
        spec: "7".repeat(5_000).into(),
        ..Job::default()
    };
    for id in 1..=JOBS {
        for (key, value) in accept_changes(id, &job).put {
            d.platform.store.write_value(&key.table, &key.part, &key.key, &value);
        }
    }
    d.links[0].set_fault(ConnectionFault::SlowLink(megabits(10)));
    d.nodes[0].spawn(false);
    d.wait_ready().await;
    let lines = d.nodes[0].log_lines();
    let read = lines.iter().find(|l| l["message"] == "lead: read").expect("it is logged");
    assert_eq!(read["jobs"], JOBS);
    d.shut_down().await;
}
