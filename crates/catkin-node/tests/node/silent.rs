//! Silent workers in the owner row: how long a successor waits for them.

use catkin_cell::cell::SilentWorkers;
use catkin_node::leadership::silent::{inherit, left_ms};
use catkin_node::table::OwnerRecord;
use std::time::Duration;

#[test]
fn the_wait_that_is_left_passes_from_owner_to_owner_whatever_their_clocks() {
    let written = Duration::from_secs(500);
    let idle_from = [("w1".into(), written + Duration::from_micros(7_000_001))].into();
    let row = left_ms(&SilentWorkers { idle_from, version: 9 }, written);
    assert_eq!(row["w1"], 7_001, "a wait is never too short");
    let claimed = Duration::from_millis(20);
    let inherited = inherit(&row, claimed);
    assert_eq!(inherited.version, 0);
    assert_eq!(inherited.idle_from["w1"], claimed + Duration::from_millis(7_001));
    let later = left_ms(&inherited, claimed + Duration::from_secs(2));
    assert_eq!(later["w1"], 5_001);
    assert_eq!(left_ms(&inherited, Duration::from_mins(1))["w1"], 0);
}

#[test]
fn extreme_times_in_a_row_are_waited_for() {
    let inherited = inherit(&[("w1".into(), u64::MAX)].into(), Duration::from_secs(1));
    assert!(inherited.idle_from["w1"] > Duration::from_hours(1));
}

#[test]
fn a_row_of_an_earlier_version_names_no_silent_workers_and_a_row_without_any_looks_like_one() {
    let old = r#"{"epoch":5,"daemon":"node-1","incarnation":7,"address":"","renewed_ms":9}"#;
    let record: OwnerRecord = serde_json::from_str(old).expect("it is read");
    assert!(record.silent_workers_ms.is_empty());
    let text = serde_json::to_string(&record).expect("it is written");
    assert!(!text.contains("silent_workers_ms"), "{text}");
}
