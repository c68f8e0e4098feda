//! Until when owners of earlier terms may act, as their successors know it from the owner row.

use catkin_node::leadership::earlier::EarlierOwners;
use catkin_node::leadership::term::AUTONOMY_LIMIT;
use catkin_node::table::OwnerRecord;
use catkin_schema::peer::Heartbeat;
use std::time::Duration;

const OWN: &str = "node-1";

fn record(daemon: &str, earlier_owners_ms: u64) -> OwnerRecord {
    let address = "10.0.0.1:1".into();
    OwnerRecord {
        epoch: 5,
        daemon: daemon.into(),
        address,
        earlier_owners_ms,
        ..OwnerRecord::default()
    }
}

fn seconds_left(previous: &OwnerRecord) -> u64 {
    let now = Duration::from_secs(100);
    EarlierOwners::new(previous, OWN, now).until().saturating_sub(now).as_secs()
}

#[test]
fn an_owner_that_released_the_cell_or_ran_on_this_daemon_acts_no_more() {
    assert_eq!(seconds_left(&record("node-2", 0)), AUTONOMY_LIMIT.as_secs());
    assert_eq!(seconds_left(&OwnerRecord { address: String::new(), ..record("node-2", 0) }), 0);
    assert_eq!(seconds_left(&record(OWN, 0)), 0);
}

#[test]
fn owners_before_the_previous_one_are_waited_for_as_long_as_its_row_says() {
    assert_eq!(seconds_left(&record(OWN, 4_000)), 4);
    assert_eq!(seconds_left(&record("node-2", 4_000)), AUTONOMY_LIMIT.as_secs());
    assert_eq!(seconds_left(&record(OWN, u64::MAX)), AUTONOMY_LIMIT.as_secs());
}

#[test]
fn a_row_that_does_not_tell_stands_for_the_full_autonomy() {
    let old = r#"{"epoch":5,"daemon":"node-1","incarnation":7,"address":"","renewed_ms":9}"#;
    let previous: OwnerRecord =
        serde_json::from_str(old).expect("a row of an earlier version is read");
    assert_eq!(seconds_left(&previous), AUTONOMY_LIMIT.as_secs());
}

#[test]
fn an_owner_whose_daemon_answers_as_another_process_acts_no_more() {
    let (claimed, now) = (Duration::from_secs(100), Duration::from_secs(101));
    let previous = OwnerRecord { incarnation: 7, ..record("node-2", 0) };
    let mut earlier = EarlierOwners::new(&previous, OWN, claimed);
    let answer = |daemon: &str, incarnation| Heartbeat {
        daemon: daemon.into(),
        incarnation,
        ..Heartbeat::default()
    };
    assert!(!earlier.record_answer(&previous, &answer("node-2", 7), now), "the same process");
    assert!(!earlier.record_answer(&previous, &answer("node-3", 8), now), "another daemon");
    assert_eq!(earlier.until(), claimed + AUTONOMY_LIMIT);
    assert!(earlier.record_answer(&previous, &answer("node-2", 8), now));
    assert_eq!(earlier.until(), now);
    let mut others = EarlierOwners::new(&record("node-2", 4_000), OWN, claimed);
    others.record_answer(&previous, &answer("node-2", 8), now);
    assert_eq!(others.until(), claimed + Duration::from_secs(4), "owners before it are unknown");
}

#[test]
fn no_owner_of_a_series_acts_beyond_what_a_successor_knows() {
    let mut rng = 0x9E37_79B9_7F4A_7C15_u64;
    let mut draw = |max_ms: u64| {
        rng ^= rng << 13;
        rng ^= rng >> 7;
        rng ^= rng << 17;
        Duration::from_millis(rng % max_ms)
    };
    for _ in 0..2_000 {
        let mut time = Duration::from_secs(1_000);
        let mut row = OwnerRecord::default();
        let mut ends: Vec<Duration> = Vec::new();
        for term in 0..6 {
            // Each daemon has a clock of its own.
            let clock_ahead = draw(900_000);
            let daemon = format!("node-{}", draw(3).as_millis());
            let sent = time + clock_ahead;
            let earlier = EarlierOwners::new(&row, &daemon, sent);
            if row.daemon == daemon
                && let Some(end) = ends.last_mut()
            {
                *end = time.min(*end);
            }
            let known = earlier.until().checked_sub(clock_ahead).expect("the clock is ahead");
            assert!(ends.iter().all(|end| *end <= known), "term {term}: {ends:?}, known {known:?}");
            row = record(&daemon, earlier.left_ms(sent));
            // The last renewal, whose answer may be lost, and the last act.
            let renewed = time + draw(4_000);
            row.earlier_owners_ms = earlier.left_ms(renewed + clock_ahead);
            time = renewed + draw(3_000);
            let released = draw(4).is_zero();
            row.address = if released { String::new() } else { row.address };
            ends.push(if released { renewed } else { renewed + AUTONOMY_LIMIT });
        }
    }
}
