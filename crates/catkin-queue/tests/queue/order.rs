//! Fair order, bounds and early refusal.

use catkin_queue::{Options, Queue, Rejected};
use catkin_types::Row;
use catkin_types::row::Urgency;
use std::collections::BTreeMap;
use std::time::Duration;

fn row(name: &str, weight: u32) -> Row {
    Row {
        name: name.into(),
        borrower: "b".into(),
        weight,
        queue_bound: 100_000,
        max_wait_ms: 1_000_000,
        ..Row::default()
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn taken(q: &mut Queue<u32>, n: usize) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..n {
        if let Some((name, _)) = q.take(ms(0), |_| true) {
            *counts.entry(name).or_default() += 1;
        }
    }
    counts
}

#[test]
fn backlogged_rows_get_their_weights() {
    let mut q = Queue::new(Options::default());
    for i in 0..1_000 {
        q.offer(&row("one", 1), i, ms(0)).expect("room");
        q.offer(&row("three", 3), i, ms(0)).expect("room");
    }
    let counts = taken(&mut q, 400);
    assert_eq!((counts["one"], counts["three"]), (100, 300));
}

#[test]
fn an_urgent_flood_gets_no_more_than_its_share_and_a_bounded_lead() {
    let opt = Options::default();
    let lead = opt.urgent_lead;
    let mut q = Queue::new(opt);
    let urgent = Row { urgency: Urgency::Urgent, ..row("urgent", 1) };
    for i in 0..2_000 {
        q.offer(&urgent, i, ms(0)).expect("room");
        q.offer(&row("calm", 1), i, ms(0)).expect("room");
    }
    let counts = taken(&mut q, 1_000);
    let ahead = u32::try_from(counts["urgent"] - counts["calm"]).expect("ahead");
    assert!(f64::from(ahead) <= lead + 1.0, "{counts:?}");
}

#[test]
fn a_row_that_was_idle_is_served_at_once_in_a_flood() {
    let mut q = Queue::new(Options::default());
    for i in 0..10_000 {
        q.offer(&row("flood", 1), i, ms(0)).expect("room");
    }
    taken(&mut q, 5_000);
    q.offer(&row("quote", 1), 1, ms(0)).expect("room");
    let counts = taken(&mut q, 2);
    assert_eq!(counts.get("quote"), Some(&1), "{counts:?}");
}

#[test]
fn a_full_row_and_a_hopeless_wait_are_refused_at_once() {
    let mut q = Queue::new(Options::default());
    let small = Row { queue_bound: 2, ..row("small", 1) };
    q.offer(&small, 1, ms(0)).expect("room");
    q.offer(&small, 2, ms(0)).expect("room");
    assert!(matches!(q.offer(&small, 3, ms(0)), Err(Rejected::Full { .. })));
    let hasty = Row { max_wait_ms: 50, ..row("hasty", 1) };
    for i in 0..4 {
        q.offer(&hasty, i, ms(0)).expect("room");
    }
    // Each take is 100 ms after the one before.
    for t in 1..=3 {
        q.take(ms(100 * t), |n| n == "hasty");
    }
    assert!(matches!(q.offer(&hasty, 9, ms(300)), Err(Rejected::TooLong { .. })));
}

#[test]
fn entries_that_waited_too_long_are_dropped() {
    let mut q = Queue::new(Options::default());
    let hasty = Row { max_wait_ms: 50, ..row("hasty", 1) };
    q.offer(&hasty, 1, ms(0)).expect("room");
    q.offer(&hasty, 2, ms(40)).expect("room");
    assert_eq!(q.expire(ms(60)).len(), 1);
    assert_eq!(q.len(), 1);
}

#[test]
fn a_wave_of_cancellations_is_one_pass() {
    let mut q = Queue::new(Options::default());
    for i in 0..100_000_u32 {
        q.offer(&row(if i % 2 == 0 { "a" } else { "b" }, 1), i, ms(0)).expect("room");
    }
    let dead = q.remove(|i| i % 4 != 0);
    assert_eq!((dead.len(), q.len()), (75_000, 25_000));
}

/// Nothing is lost or invented, and the bounds hold, whatever comes.
#[test]
fn every_entry_comes_out_once_and_bounds_hold() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|ops| {
        let opt = Options { total_bound: 20, ..Options::default() };
        let mut q = Queue::new(opt);
        let (mut inside, mut now, mut next) = (std::collections::BTreeSet::new(), 0, 0_u32);
        for (op, arg) in ops {
            now += u64::from(arg % 8);
            let r = Row {
                queue_bound: 8,
                max_wait_ms: 100,
                ..row(["a", "b", "c"][usize::from(arg % 3)], u32::from(arg % 5) + 1)
            };
            match op % 4 {
                0 | 1 => {
                    next += 1;
                    if q.offer(&r, next, ms(now)).is_ok() {
                        inside.insert(next);
                    }
                }
                2 => {
                    if let Some((_, i)) = q.take(ms(now), |_| true) {
                        assert!(inside.remove(&i));
                    }
                }
                _ => {
                    for (_, i) in q.expire(ms(now)) {
                        assert!(inside.remove(&i));
                    }
                }
            }
            assert_eq!(q.len(), inside.len());
            assert!(q.len() <= 20 && q.len_of("a") <= 8);
        }
    });
}
