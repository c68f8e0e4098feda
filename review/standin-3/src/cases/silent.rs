//! The open connections of a daemon to the store go silent, and a queue leaves the configuration.

use crate::scene::{Route, Scene};
use serde_json::json;
use std::path::Path;
use std::time::Duration;

const KEPT: Route = Route { name: "plans", max_attempts: 3 };
const DROPPED: Route = Route { name: "quotes", max_attempts: 3 };
/// The figures of the pages.
const CONTACT_MS: u64 = 4_000;
const CONFIG_MS: u64 = 3_000;

pub fn run(dir: &Path) -> Option<bool> {
    let mut s = Scene::start(dir, 3, &[&["a", "r1"], &["a", "r1"]], &[KEPT, DROPPED])?;
    std::thread::sleep(Duration::from_secs(2));
    // The connections of a daemon that does not own the cell: the owner renews its row four times a second.
    let owner = s.store.last_writer()?;
    let daemon = (owner + 1) % s.daemons.len();
    s.record.line(format!("{} owns the cell", s.daemons[owner].id));
    let step = json!({ "count": 1, "cpu": 1_000, "mem_mb": 100, "estimate_ms": 30_000 });
    let body = json!({ "spec": "30000", "steps": [step] }).to_string();
    // Some clients submit jobs, and cancel them at about the same time.
    let clients = 4;
    let id = |n: usize| format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + n as u64);
    for round in 0..2 {
        std::thread::scope(|scope| {
            for n in 0..clients {
                let (s, body, id) = (&s, &body, id(round * clients + n));
                scope.spawn(move || s.send(daemon, "POST", KEPT.name, &id, body));
            }
        });
        std::thread::scope(|scope| {
            for n in 0..clients {
                let (s, id) = (&s, id(round * clients + n));
                scope.spawn(move || s.send(daemon, "DELETE", KEPT.name, &id, ""));
            }
        });
    }
    std::thread::sleep(Duration::from_secs(1));
    let silent_at = s.record.now_ms();
    if s.trouble {
        let count = s.ports[daemon].silence_open_connections();
        s.record.line(format!("the {count} open connections of {} to the store go silent", s.daemons[daemon].id));
    }
    std::thread::sleep(Duration::from_millis(500));
    s.configure(&[KEPT]);
    let acked_at = s.record.now_ms();
    let judged_from = (silent_at + CONTACT_MS).max(acked_at + CONFIG_MS);
    let mut broken = 0;
    for n in 0..60 {
        std::thread::sleep(Duration::from_millis(250));
        let sent_at = s.record.now_ms();
        let (status, _) = if n % 4 == 0 {
            s.send(daemon, "POST", DROPPED.name, &id(100 + n), &body)
        } else {
            s.send(daemon, "GET", DROPPED.name, "", "")
        };
        // The clock of the record stands at whole milliseconds.
        if status == 200 && sent_at > judged_from + 1 {
            broken += 1;
        }
    }
    s.record.line(format!(
        "connections silent at {silent_at} ms, configuration acknowledged at {acked_at} ms: {broken} requests of the \
         dropped queue sent later than {judged_from} ms were answered with success"
    ));
    Some(broken == 0)
}
