//! Tests of fair queueing, queue bounds and early rejection.

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

fn take_counts(q: &mut Queue<u32>, n: usize) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..n {
        if let Some((name, _)) = q.take(ms(0), |_| true) {
            *counts.entry(name).or_default() += 1;
        }
    }
    counts
}

#[test]
fn backlogged_rows_are_served_in_proportion_to_weight() {
    let mut q = Queue::new(Options::default());
    for i in 0..1_000 {
        q.offer(&row("one", 1), i, ms(0)).expect("admitted");
        q.offer(&row("three", 3), i, ms(0)).expect("admitted");
    }
    let counts = take_counts(&mut q, 400);
    assert_eq!((counts["one"], counts["three"]), (100, 300));
}

#[test]
fn urgent_flood_gets_its_share_plus_a_bounded_lead() {
    let opt = Options::default();
    let lead = opt.urgent_lead;
    let mut q = Queue::new(opt);
    let urgent = Row { urgency: Urgency::Urgent, ..row("urgent", 1) };
    for i in 0..2_000 {
        q.offer(&urgent, i, ms(0)).expect("admitted");
        q.offer(&row("normal", 1), i, ms(0)).expect("admitted");
    }
    let counts = take_counts(&mut q, 1_000);
    let ahead = u32::try_from(counts["urgent"] - counts["normal"]).expect("urgent row is ahead");
    assert!(f64::from(ahead) <= lead + 1.0, "{counts:?}");
}

#[test]
fn idle_row_is_served_immediately_during_a_flood() {
    let mut q = Queue::new(Options::default());
    for i in 0..10_000 {
        q.offer(&row("flood", 1), i, ms(0)).expect("admitted");
    }
    take_counts(&mut q, 5_000);
    q.offer(&row("quote", 1), 1, ms(0)).expect("admitted");
    let counts = take_counts(&mut q, 2);
    assert_eq!(counts.get("quote"), Some(&1), "{counts:?}");
}

#[test]
fn full_row_and_too_long_wait_are_rejected_immediately() {
    let mut q = Queue::new(Options::default());
    let small = Row { queue_bound: 2, ..row("small", 1) };
    q.offer(&small, 1, ms(0)).expect("admitted");
    q.offer(&small, 2, ms(0)).expect("admitted");
    assert!(matches!(q.offer(&small, 3, ms(0)), Err(Rejected::Full { .. })));
    let short_wait = Row { max_wait_ms: 50, ..row("short_wait", 1) };
    for i in 0..4 {
        q.offer(&short_wait, i, ms(0)).expect("admitted");
    }
    // Each entry is taken 100 ms after the previous one.
    for t in 1..=3 {
        q.take(ms(100 * t), |n| n == "short_wait");
    }
    assert!(matches!(q.offer(&short_wait, 9, ms(300)), Err(Rejected::WaitTooLong { .. })));
}

#[test]
fn entries_that_exceed_the_maximum_wait_expire() {
    let mut q = Queue::new(Options::default());
    let short_wait = Row { max_wait_ms: 50, ..row("short_wait", 1) };
    q.offer(&short_wait, 1, ms(0)).expect("admitted");
    q.offer(&short_wait, 2, ms(40)).expect("admitted");
    assert_eq!(q.expire(ms(60)).len(), 1);
    assert_eq!(q.len(), 1);
}

#[test]
fn mass_cancellation_removes_entries_in_one_pass() {
    let mut q = Queue::new(Options::default());
    for i in 0..100_000_u32 {
        q.offer(&row(if i % 2 == 0 { "a" } else { "b" }, 1), i, ms(0)).expect("admitted");
    }
    let removed = q.remove(|i| i % 4 != 0);
    assert_eq!((removed.len(), q.len()), (75_000, 25_000));
}

/// Every admitted entry is taken or expires exactly once, and the bounds hold, for any sequence of operations.
#[test]
fn every_admitted_entry_leaves_once_and_bounds_hold() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|ops| {
        let opt = Options { total_bound: 20, ..Options::default() };
        let mut q = Queue::new(opt);
        let (mut queued, mut now, mut next_item) = (std::collections::BTreeSet::new(), 0, 0_u32);
        for (op, arg) in ops {
            now += u64::from(arg % 8);
            let r = Row {
                queue_bound: 8,
                max_wait_ms: 100,
                ..row(["a", "b", "c"][usize::from(arg % 3)], u32::from(arg % 5) + 1)
            };
            match op % 4 {
                0 | 1 => {
                    next_item += 1;
                    if q.offer(&r, next_item, ms(now)).is_ok() {
                        queued.insert(next_item);
                    }
                }
                2 => {
                    if let Some((_, i)) = q.take(ms(now), |_| true) {
                        assert!(queued.remove(&i));
                    }
                }
                _ => {
                    for (_, i) in q.expire(ms(now)) {
                        assert!(queued.remove(&i));
                    }
                }
            }
            assert_eq!(q.len(), queued.len());
            assert!(q.len() <= 20 && q.row_len("a") <= 8);
        }
    });
}
