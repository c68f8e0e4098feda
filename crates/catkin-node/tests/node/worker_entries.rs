//! The list of workers with an entry that another writer left.

use catkin_cell::worker::WorkerInfo;
use catkin_node::worker_entries::WorkerEntries;
use catkin_platform::store::Row;
use serde_json::json;

fn row(id: &str, port: u32) -> Row {
    let value = json!({
        "service": "s", "address": format!("10.0.0.1:{port}"), "zone": "z", "state": "ready",
        "capacity": { "cpu": 1_000 },
    });
    Row { key: id.into(), value: Some(value.to_string().into_bytes()), ..Row::default() }
}

#[test]
fn an_entry_that_names_no_worker_is_reported_once_and_the_others_hold() {
    let mut entries = WorkerEntries::default();
    let rows = [row("a", 1), row("odd", 70_000), row("b", 2)];
    let first = entries.read(&rows);
    let ids = |workers: &[WorkerInfo]| workers.iter().map(|w| w.id.clone()).collect::<Vec<_>>();
    assert_eq!(ids(&first.workers), ["a", "b"]);
    assert_eq!(first.removed, ["odd"]);
    assert_eq!(first.newly_unusable.len(), 1);
    let again = entries.read(&rows);
    assert_eq!(ids(&again.workers), ["a", "b"]);
    assert_eq!(again.newly_unusable, []);
    let usable = entries.read(&[row("odd", 3)]);
    assert_eq!((ids(&usable.workers), usable.removed), (vec!["odd".to_owned()], vec![]));
    assert_eq!(entries.read(&[row("odd", 0)]).newly_unusable.len(), 1);
    let gone = entries.read(&[Row { key: "odd".into(), ..Row::default() }]);
    assert_eq!((gone.removed, gone.newly_unusable), (vec!["odd".to_owned()], vec![]));
}
