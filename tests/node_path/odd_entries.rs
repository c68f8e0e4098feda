//! Entries that another writer left among those of the workers.

use crate::deployment::{Deployment, Node};
use crate::path::{spec, step, submit_until_accepted};
use catkin_platform_standin::Options;
use catkin_platform_standin::spec::Step;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::net::TcpListener;

/// The depth of the entry that is nested too deeply.
const DEPTH: usize = 10_000;
/// The identifier of the first job.
const FIRST_JOB: u64 = 61;

/// Counts the connections to an address where no worker is.
async fn count_connections() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("no free port");
    let addr = listener.local_addr().expect("the listener has an address");
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        while listener.accept().await.is_ok() {
            counted.fetch_add(1, Ordering::Relaxed);
        }
    });
    (addr, count)
}

/// Writes one entry of each kind that names no worker.
fn write_odd_entries(d: &Deployment, addr: SocketAddr) {
    let entry = d.platform.workers[0].list_entry(&addr.to_string());
    let odd_fields = [
        ("address", json!(format!("{addr}/x"))),
        ("address", json!(format!("127.0.0.1:{}", 65_536 + u32::from(addr.port())))),
        ("capacity", json!({ "cpu": u64::MAX, "mem_mb": u64::MAX })),
        ("born", json!(u64::MAX)),
        ("labels", json!(vec!["a"; 5_000])),
        ("state", json!(["ready"])),
    ];
    for (n, (field, value)) in odd_fields.into_iter().enumerate() {
        let mut odd = entry.clone();
        odd[field] = value;
        d.platform.store.write_row("servers", &format!("odd-{n}"), &odd);
    }
    let text = entry.to_string();
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    for (n, value) in [nested.as_str(), "1e400"].into_iter().enumerate() {
        let odd = text.replacen('{', &format!("{{\"x\":{value},"), 1);
        d.platform.store.write_value("servers", "", &format!("unreadable-{n}"), odd.as_bytes());
    }
    d.platform.store.write_value("servers", "", "unreadable", b"\xff\x00");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_among_the_workers_are_not_called_and_jobs_run_beside_them() {
    let mut d = Deployment::start("odd", 2, &Options::default()).await;
    let (addr, connections) = count_connections().await;
    write_odd_entries(&d, addr);
    let jobs = [spec(vec![step(20, 100)]), spec(vec![Step { gang: true, ..step(6, 200) }])];
    for (id, job) in (FIRST_JOB..).zip(&jobs) {
        submit_until_accepted(&d, 0, id, job).await;
        d.wait_state(id, "completed").await;
    }
    // A new owner reads the list in full.
    d.nodes.iter_mut().for_each(Node::kill);
    d.nodes.iter_mut().for_each(|n| n.spawn(false));
    d.wait_ready().await;
    for (id, job) in (FIRST_JOB + 2..).zip(&jobs) {
        submit_until_accepted(&d, 1, id, job).await;
        d.wait_state(id, "completed").await;
    }
    assert_eq!(connections.load(Ordering::Relaxed), 0);
    let warnings = d.nodes.iter().flat_map(Node::log_lines);
    let warned = |id: &str| {
        let lines = warnings.clone().filter(|l| l["worker"] == id && l["level"] == "WARN");
        lines.count()
    };
    assert!(
        (1..=4).contains(&warned("odd-0")),
        "once by the first owner, once by each that reads it"
    );
    d.stop_and_check().await;
}
